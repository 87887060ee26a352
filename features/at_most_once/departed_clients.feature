Feature: A call whose client has disconnected is sent no further
  A call that must not be repeated continues without its client only once the
  service may have received it. A client that comes back has it run.

  # Guards against calls that are sent long after their clients have closed.
  Scenario Outline: The client disconnects at the step: <step>
    Given two call hosts of which the first will be frozen at the step "<step>"
    When a call's client disconnects from the first host at that step
    Then the call's service counted <early> executions by then
    When the call is retried through the second host
    Then the call's later retry gets 'answer'
    And the call's service counted 1 executions
    And the history of this call violates no guarantee

    Examples:
      | step             | early |
      | before the claim | 0     |
      | claim written    | 0     |
      | claimed          | 0     |
      | connecting       | 0     |
      | sent             | 1     |

  # Guards against retries of calls for clients that have closed.
  Scenario: The client disconnects before the service's refusal arrives
    Given two call hosts of which the first will be frozen at the step "sent"
    And the call's service refuses the first attempt
    When a call's client disconnects from the first host at that step
    Then the call's service counted 0 executions by then
    When the call is retried through the second host
    Then the call's later retry gets 'answer'
    And the call's service counted 1 executions

  # Guards against ending a call for which another client waits.
  Scenario: One of two clients of the same call disconnects
    Given two call hosts of which the first will be frozen at the step "connecting"
    When one of two clients disconnects from the first host at that step
    Then the call's later retry gets 'answer'
    And the call's service counted 1 executions
    And the history of this call violates no guarantee

  # Guards against calls that are read after their clients have closed, on a
  # host whose event loop lags.
  Scenario: The client disconnects before the host reads its call
    Given two call hosts of which the first will be frozen at the step "none"
    When a call's client disconnects while the first host is blocked
    Then the call's service counted 0 executions
