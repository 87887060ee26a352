Feature: Endless responses of upstreams are cut off
  A faulty upstream may send bytes until its client closes, in a head or in a
  body. A host has 200 MB of memory in total.

  # Guards against a host that buffers such bytes until its memory is exhausted.
  Scenario Outline: One response is endless
    Given wire: a relay host and upstreams with endless responses
    When wire: <path> is answered with <bytes> without end
    Then wire: the client gets <result> and the host has read at most 16 MB

    Examples:
      | path   | bytes                | result |
      | /pay/  | a sized body         | 502    |
      | /pay/  | an unframed body     | 502    |
      | /pay/  | a chunked body       | 502    |
      | /pay/  | a status line        | 502    |
      | /pay/  | one header           | 502    |
      | /pay/  | headers              | 502    |
      | /pay/  | interim answers      | 502    |
      | /chat/ | a first event        | 502    |
      | /chat/ | a later event        | broken |

  # Guards against many such responses at once, each within its own limit.
  Scenario: Many responses are endless
    Given wire: a relay host and upstreams with endless responses
    When wire: /pay/ is answered 40 times at once with an unframed body without end
    Then wire: each client gets 502 or 504 within its deadline
    And wire: the host has buffered at most 64 MB of responses

  # Guards against the same fault of the product's own interface.
  Scenario Outline: A plain service or an engine sends an endless response
    When own interface: <client> is answered with <bytes> without end
    Then own interface: the call fails and has read at most 16 MB

    Examples:
      | client          | bytes            |
      | a plain service | an unframed body |
      | a plain service | interim answers  |
      | an engine       | a chunked body   |

  # Guards against a host that does nothing else while it reads one stream.
  Scenario Outline: Other requests are served while streams do not end
    Given wire: a relay host and upstreams with endless responses
    When wire: models answer 3 streams with <bytes> without end
    Then wire: 20 lookups one after the other are each answered within 0.5 s
    And wire: the readiness check is answered within 0.5 s
    And wire: each stream is ended by its deadline

    Examples:
      | bytes                |
      | line feeds           |
      | later line feeds     |
      | comments             |
      | small events         |
      | chunks of line feeds |
      | events of many lines |

  # Guards against the same fault of the product's own interface.
  Scenario: An engine sends more tokens than are read in one turn
    When own interface: an engine has 6 MB of tokens ready
    Then own interface: no other task waits longer than 0.1 s
    And own interface: all tokens are given to the sink
