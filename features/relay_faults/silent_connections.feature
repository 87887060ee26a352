Feature: Connections that go silent hide no change and delay no request
  Connections that are open may go silent without a reset, while new ones
  work. A deployment holds a host to its bounds again three seconds after
  that, and a configuration is to be in force two seconds after the store took
  it.

  # Guards against a host that serves an older configuration as it waits on
  # connections to the store that went silent.
  Scenario Outline: A change is in force in time
    Given wire: 1 relay hosts with links that can be harmed
    When wire: the watch on configurations has waited for <waited> seconds
    And wire: the host has made 4 more calls to the store at once
    And wire: open connections to the store go silent
    And wire: <pause> seconds later a configuration without the key is written
    Then wire: it is in force at each host <seconds> seconds after it fell silent

    Examples:
      | waited | pause | seconds |
      | 0.2    | 0.1   | 3.0     |
      | 0.2    | 0.9   | 3.0     |
      | 0.2    | 2.0   | 4.0     |
      | 1.2    | 0.1   | 3.0     |

  # Guards against hosts that the store turns away and that learn too late of
  # a change, as the connections between hosts went silent, too. An unsteady
  # store adds five seconds to the bound.
  Scenario: A host that the store turns away has a change in time
    Given wire: 3 relay hosts with links that can be harmed
    When wire: open connections between hosts go silent
    And wire: the store turns the first host away
    And wire: 2.0 seconds later a configuration without the key is written
    Then wire: it is in force at each host 9.0 seconds after it fell silent

  # Guards against hosts that take each other for lost, as their open
  # connections went silent and are used on.
  Scenario: Hosts hear each other again over new connections
    Given wire: 3 relay hosts with links that can be harmed
    When wire: open connections between hosts go silent
    Then wire: each host hears the others 3.0 seconds after it fell silent

  # Guards against requests that wait on silent connections to upstreams.
  Scenario Outline: Requests are served though open connections to upstreams are silent
    Given wire: 1 relay hosts with links that can be harmed
    When wire: /look/ is asked 30 times at once
    And wire: open connections to upstreams go silent
    And wire: <path> is asked every <pause> seconds for 6.0 seconds
    Then wire: all that were sent 3.0 seconds after the silence are answered with 200

    Examples:
      | path   | pause |
      | /look/ | 0.05  |
      | /look/ | 0.45  |
      | /pay/  | 0.45  |

  # Guards against the same on the product's own interface.
  Scenario Outline: A call that had no answer uses the connections up
    Given own interface: <client> to which 5 connections are idle
    When own interface: open connections go silent
    And own interface: a call is made that has no answer
    Then own interface: the next call is answered

    Examples:
      | client          |
      | a plain service |
      | an engine       |
      | the store       |
      | the host list   |
