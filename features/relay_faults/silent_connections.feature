Feature: Silent connections hide no change and delay no request
  Open connections may go silent without a reset while new ones work. A
  deployment requires a host to meet its limits again three seconds later, and
  a configuration must be in force two seconds after the store accepted
  it.

  # Guards against a host that serves an older configuration while it waits on
  # connections to the store that went silent.
  Scenario Outline: A new configuration is in force in time
    Given wire: 1 relay hosts with links that can be disturbed
    When wire: the watch on configurations has waited for <waited> seconds
    And wire: the host has made 4 more calls to the store at once
    And wire: open connections to the store go silent
    And wire: <pause> seconds later a configuration without the key is written
    Then wire: it is in force at each host <seconds> seconds after the silence began

    Examples:
      | waited | pause | seconds |
      | 0.2    | 0.1   | 3.0     |
      | 0.2    | 0.9   | 3.0     |
      | 0.2    | 2.0   | 4.0     |
      | 1.2    | 0.1   | 3.0     |

  # Guards against hosts that the store refuses and that receive a change too
  # late because the connections between hosts went silent, too. An unstable
  # store adds five seconds to the bound.
  Scenario: A host that the store refuses receives a change in time
    Given wire: 3 relay hosts with links that can be disturbed
    When wire: open connections between hosts go silent
    And wire: the store refuses the first host
    And wire: 2.0 seconds later a configuration without the key is written
    Then wire: it is in force at each host 9.0 seconds after the silence began

  # Guards against hosts that consider each other lost because they keep using
  # silent connections.
  Scenario: Hosts receive each other's summaries again over new connections
    Given wire: 3 relay hosts with links that can be disturbed
    When wire: open connections between hosts go silent
    Then wire: each host receives the others 3.0 seconds after the silence began

  # Guards against requests that wait on silent connections to upstreams.
  Scenario Outline: Requests are served although open connections to upstreams are silent
    Given wire: 1 relay hosts with links that can be disturbed
    When wire: /look/ is requested 30 times at once
    And wire: open connections to upstreams go silent
    And wire: <path> is requested every <pause> seconds for 6.0 seconds
    Then wire: all that were sent 3.0 seconds after the silence are answered with 200

    Examples:
      | path   | pause |
      | /look/ | 0.05  |
      | /look/ | 0.45  |
      | /pay/  | 0.45  |

  # Guards against the same fault of the product's own interface.
  Scenario Outline: The next call after one without a response uses a new connection
    Given own interface: <client> to which 5 connections are idle
    When own interface: open connections go silent
    And own interface: a call is made that gets no response
    Then own interface: the next call is answered

    Examples:
      | client          |
      | a plain service |
      | an engine       |
      | the store       |
      | the host list   |
