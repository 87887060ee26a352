Feature: No upstream gets a request whose client has long closed
  Clients may close before their deadline while a host still looks for an
  upstream. What an upstream has begun by then is completed if it must not be
  repeated.

  # Guards against calls that are sent to the next upstream after connections
  # to a dark one have timed out, though their clients have closed.
  Scenario Outline: Clients of <path> close while connections to an upstream hang
    Given wire: a relay host
    And wire: connections to the upstream <dark> hang
    When wire: 16 clients request <path> and close after 0.2 seconds
    Then wire: some of their requests were not sent
    And wire: from 0.4 seconds after that on no upstream gets any of them
    And wire: the host has nothing in flight

    Examples:
      | path   | dark    |
      | /pay/  | plain-1 |
      | /look/ | plain-1 |
      | /chat/ | model-1 |
      | /ask/  | model-1 |

  # Guards against requests that are read after their clients have closed, on a
  # host whose event loop lags.
  Scenario Outline: Clients of <path> close before the host reads their requests
    Given wire: a relay host
    When wire: 10 clients request <path> and close while the host is blocked for 0.7 seconds
    Then wire: no upstream got any of them
    And wire: the host has nothing in flight

    Examples:
      | path   |
      | /pay/  |
      | /look/ |
      | /ask/  |
