Feature: A refusal that is sent once more is never taken for a later request's
  A faulty upstream may write an earlier refusal again on a connection that is
  in use for another request, or for another attempt of the same one. That
  request runs, so its client must not learn that it did not, and it must not
  run at another upstream.

  # Guards against trusting a refusal before its request id is compared.
  Scenario Outline: An upstream runs a request and sends another one's refusal
    Given wire: a relay host
    When wire: both upstreams of <path> end the next requests with crossed_refusal
    And wire: <path> is requested
    Then wire: the client gets 502
    And wire: the upstreams of <path> have run 1 request

    Examples:
      | path   |
      | /pay/  |
      | /chat/ |

  # Guards against a second attempt over the connection that carried the
  # refusal of the first: the copy bears the id of both.
  Scenario Outline: A request that all upstreams refused is tried again
    Given wire: a relay host
    When wire: both upstreams of <path> refuse a request once and may repeat the refusal
    And wire: <path> is requested
    Then wire: the client gets <result>
    And wire: the upstreams of <path> have run 1 request

    Examples:
      | path   | result |
      | /pay/  | 200    |
      | /chat/ | whole  |

  # Guards against the same fault of the product's own interface.
  Scenario Outline: The next call after a refusal uses a new connection
    Given own interface: <client> that repeats a refusal on its connection
    When own interface: two calls are made
    Then own interface: the first was refused and the second is answered

    Examples:
      | client          |
      | a plain service |
      | an engine       |
