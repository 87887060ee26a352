Feature: A call's host fails between any two steps
  A host is killed, frozen past the call's deadline, or cut off from the store
  and its peers, at a given step of a non-idempotent call. The call is retried
  through another host at once, and again after its deadline or, if the fault
  ends later, after that.

  Scenario Outline: The host is <fault> at the step: <step>
    Given two call hosts of which the first will be <fault> at the step "<step>"
    When a call is sent through the first host until that step
    And the call is retried through the second host, at once and afterwards
    Then the call's first attempt gets '<first>'
    And the call's immediate retry gets '<at once>'
    And the call's later retry gets '<afterwards>'
    And the call's service counted <runs> executions
    And the history of this call violates no guarantee

    Examples: Killed
      | fault  | step             | first   | at once               | afterwards              | runs |
      | killed | before the claim | nothing | answer                | answer                  | 1    |
      | killed | claim written    | nothing | still_running unknown | outcome_unknown unknown | 0    |
      | killed | claimed          | nothing | still_running unknown | outcome_unknown unknown | 0    |
      | killed | sent             | nothing | still_running unknown | outcome_unknown unknown | 1    |
      | killed | answered         | answer  | still_running unknown | outcome_unknown unknown | 1    |
      | killed | recorded         | answer  | answer                | answer                  | 1    |

    Examples: Frozen past the call's deadline, then resumed
      | fault  | step             | first                | at once               | afterwards | runs |
      | frozen | before the claim | answer               | answer                | answer     | 1    |
      | frozen | claim written    | store_unavailable no | still_running unknown | answer     | 1    |
      | frozen | claimed          | deadline_passed no   | still_running unknown | answer     | 1    |
      | frozen | sent             | answer               | still_running unknown | answer     | 1    |
      | frozen | answered         | answer               | still_running unknown | answer     | 1    |
      | frozen | recorded         | answer               | answer                | answer     | 1    |

    Examples: Cut off from the store and peers, then healed
      | fault | step             | first                | at once               | afterwards | runs |
      | cut   | before the claim | store_unavailable no | answer                | answer     | 1    |
      | cut   | claim written    | store_unavailable no | still_running unknown | answer     | 1    |
      | cut   | claimed          | answer               | still_running unknown | answer     | 1    |
      | cut   | sent             | answer               | still_running unknown | answer     | 1    |
      | cut   | answered         | answer               | still_running unknown | answer     | 1    |

    Examples: The store's reply to a write is lost
      | fault       | step          | first  | at once | afterwards | runs |
      | answer lost | claim written | answer | answer  | answer     | 1    |
      | answer lost | recorded      | answer | answer  | answer     | 1    |

  Scenario: A call that certainly did not run is run by another host
    Given two call hosts of which the first will be off store at the step "answered"
    And the call's service refuses the first 4 attempts
    When a call is sent through the first host until that step
    And the call is retried through both hosts and through the first again
    Then the call's first attempt gets 'upstream_refused no'
    And the call's immediate retry gets 'answer'
    And the call's service counted 1 executions
    And the history of this call violates no guarantee

  Scenario: The preferred writer's reply is lost after it wrote the claim
    Given two call hosts of which the second writes all claims but never replies
    When a call is sent through the first host
    And the call is retried through the first host
    Then the call's first attempt gets 'answer'
    And the call's later retry gets 'answer'
    And the call's service counted 1 executions
    And the history of this call violates no guarantee
