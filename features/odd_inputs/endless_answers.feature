Feature: Bytes from an upstream that do not end are cut off
  A faulty upstream may send on until its caller closes, in a head or in a
  body. A host has 200 MB for all that it does.

  # Guards against a host that keeps such bytes until its memory is used up.
  Scenario Outline: One answer does not end
    Given wire: a relay host before upstreams that send on without end
    When wire: <path> is answered with <bytes> without end
    Then wire: the caller gets <result> and the host has taken at most 16 MB

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

  # Guards against many such answers at once, each within its own limit.
  Scenario: Many answers do not end
    Given wire: a relay host before upstreams that send on without end
    When wire: /pay/ is answered 40 times at once with an unframed body without end
    Then wire: each caller gets 502 or 504 within its time
    And wire: the host has held at most 64 MB of answers

  # Guards against the same on the product's own interface.
  Scenario Outline: A plain service or an engine does not end its answer
    When own interface: <client> is answered with <bytes> without end
    Then own interface: the call fails and has taken at most 16 MB

    Examples:
      | client          | bytes            |
      | a plain service | an unframed body |
      | a plain service | interim answers  |
      | an engine       | a chunked body   |
