Feature: An invalid response is a failure, on both interfaces
  A worker answers a long upload at once with a 200 without a length, and its
  connection ends while the upload is still being written; what has come is
  no whole response. A worker in trouble sends the status 000.

  # Guards against a part of a body, or an impossible status, that a client
  # takes for the response, and against a second run of the request.
  Scenario Outline: <client> gets <fault> on a <kind> connection
    Given invalid: <client> with a <kind> connection to a scripted upstream
    When invalid: a long upload is answered by <fault>
    Then invalid: the client gets a failure that doesn't say "not run"
    And invalid: the request was sent <times>
    And invalid: the next request is answered on another connection

    Examples: The upstream doesn't read the upload
      | client         | kind | fault                             | times |
      | a relayed call | new  | a part without a length, a reset  | once  |
      | a relayed call | kept | a part without a length, a reset  | once  |
      | a relayed call | new  | a part without a length, a close  | once  |
      | a relayed call | kept | a part without a length, a close  | once  |
      | a relayed read | new  | a part without a length, a reset  | twice |
      | a relayed chat | new  | events without a length, a reset  | once  |
      | a relayed chat | kept | events without a length, a close  | once  |
      | an own call    | new  | a part without a length, a reset  | once  |
      | an own call    | kept | a part without a length, a reset  | once  |
      | an own call    | new  | a part without a length, a close  | once  |
      | an own call    | kept | a part without a length, a close  | once  |
      | an own import  | new  | a part without a length, a reset  | once  |
      | an own import  | kept | a part without a length, a close  | once  |
      | an own chat    | new  | events without a length, a reset  | once  |

    Examples: Statuses
      | client         | kind | fault           | times |
      | a relayed call | new  | the status 000  | once  |
      | a relayed call | kept | the status 000  | once  |
      | a relayed call | new  | the status 099  | once  |
      | a relayed call | new  | the status 20   | once  |
      | a relayed call | new  | the status 600  | once  |
      | a relayed call | new  | the status 999  | once  |
      | a relayed call | new  | the status 2000 | once  |
      | a relayed call | new  | the status 101  | once  |
      | a relayed read | new  | the status 000  | twice |
      | a relayed chat | new  | the status 000  | once  |
      | an own call    | new  | the status 000  | once  |
      | an own call    | kept | the status 000  | once  |
      | an own call    | new  | the status 600  | once  |
      | an own call    | new  | the status 101  | once  |
      | an own call    | new  | the status 2000 | once  |
      | an own import  | new  | the status 000  | once  |
      | an own import  | new  | the status 101  | once  |
      | an own chat    | new  | the status 000  | once  |
      | an own chat    | kept | the status 999  | once  |

  # Guards against a response that can't be the request's own.
  Scenario Outline: <client> gets a response before its request on a <kind> connection
    Given invalid: <client> with a <kind> connection to a scripted upstream
    When invalid: a whole response arrives before the request
    Then invalid: the client doesn't take it for its own

    Examples:
      | client         | kind |
      | a relayed call | new  |
      | a relayed call | kept |
      | an own call    | new  |
      | an own call    | kept |
      | an own import  | new  |
      | an own import  | kept |

  # Guards against a legitimate early refusal that is taken for invalid.
  Scenario Outline: <client> gets an early whole response
    Given invalid: <client> with a new connection to a scripted upstream
    When invalid: a long upload is answered by a sized 413
    Then invalid: the client gets the status 413
    And invalid: the next request is answered on another connection

    Examples:
      | client         |
      | a relayed call |
      | an own call    |
