Feature: What upstreams say of themselves in their answers is kept to
  An upstream that leaves says so in all its answers. One that refuses a
  request may name a time for which it wants no more from this host.

  # Guards against sending to an upstream that has said that it leaves, while its
  # record in the store says that it is ready.
  Scenario Outline: An upstream of <path> says that it leaves in <answer>, <store>
    Given wire: 2 relay hosts
    And wire: the store is <store>
    When wire: one upstream of <path> says that it leaves in <answer>
    Then wire: it gets no more requests to <path> from that host
    And wire: within 1 second it gets no more requests to <path> from any host

    Examples:
      | path   | answer          | store   |
      | /pay/  | a refusal       | up      |
      | /pay/  | a response      | up      |
      | /look/ | an error        | up      |
      | /chat/ | a stream's head | up      |
      | /pay/  | a response      | down    |
      | /chat/ | a refusal       | down    |

  Scenario: A process that starts anew under the same name is not leaving
    Given wire: 2 relay hosts
    When wire: one upstream of /pay/ says that it leaves in a response
    And wire: it starts anew under its name
    Then wire: it gets requests to /pay/ again

  Scenario: Every upstream is leaving
    Given wire: a relay host
    When wire: all upstreams of /pay/ say that they leave
    Then wire: /pay/ is refused within 0.1 s with a Retry-After of 0.1 to 1 s

  # Guards against requests to an upstream that has asked for none, each refused
  # there, and against a return of all that waited.
  Scenario Outline: An upstream of <path> asks for no requests for <seconds> s
    Given wire: a relay host
    When wire: one upstream of <path> refuses with a Retry-After of <seconds>
    And wire: 5 requests at once are sent to <path> again and again for <watched> s
    Then wire: at most 2 requests reached it after the first half second
    And wire: all of the requests were answered with 200

    Examples:
      | path   | seconds | watched |
      | /pay/  | 2       | 1.6     |
      | /look/ | 2       | 1.6     |
      | /chat/ | 2       | 1.6     |
      | /pay/  | 60      | 1.6     |

  Scenario: All upstreams ask for no requests
    Given wire: a relay host
    When wire: all upstreams of /pay/ refuse with a Retry-After of 2
    Then wire: /pay/ is refused within 0.1 s with a Retry-After of 1 to 2 s

  Scenario: An upstream gets requests again after the time that it named
    Given wire: a relay host
    When wire: all upstreams of /pay/ refuse with a Retry-After of 0.2
    And wire: they refuse no more, and 0.5 s pass
    Then wire: it gets requests to /pay/ again

  Scenario Outline: The Retry-After <text> means <seconds>
    Then a Retry-After of <text> is read as <seconds>

    Examples:
      | text                          | seconds |
      | 2                             | 2       |
      | 0.2                           | 0.2     |
      | 0                             | 0       |
      | Wed, 21 Oct 2015 07:28:00 GMT | 0       |
      | Wed, 21 Oct 2095 07:28:00 GMT | 600     |
      | 86400000                      | 600     |
      | nothing                       | none    |
      | -1                            | none    |
      | nan                           | none    |
      | inf                           | none    |
      | 1e400                         | none    |
      | soon                          | none    |

  # The load of many hosts that one overloaded upstream has told the same time.
  Scenario Outline: <hosts> hosts return after the same time
    Then at most 60 of <hosts> hosts return within any second

    Examples:
      | hosts |
      | 9     |
      | 65    |
      | 195   |

  # Guards against the same gap of the product's own interface.
  Scenario Outline: Own interface: <client> says in <answer> that it leaves
    When own interface: <client> says in <answer> that it leaves
    Then own interface: the host hears that it leaves

    Examples:
      | client          | answer       |
      | a plain service | a refusal    |
      | a plain service | a response   |
      | an engine       | a refusal    |
      | an engine       | a response   |
