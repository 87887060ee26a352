Feature: Attempts are retried within one budget and only if it is safe
  A call is retried only if it is idempotent or certainly did not run, after
  a jittered backoff, and within a share of the host's successes.

  Scenario: A call that certainly did not run is retried under the same claim
    Given a fleet for payments
    And the payment service of zone 1 refuses calls as not run
    When a payment is made through host 1
    And the payment is retried through host 2
    Then payment attempts 1 and 2 have the same answer
    And the payment ran 1 time

  Scenario: A call that no service ran may be retried later
    Given a fleet for payments
    And all payment services refuse calls as not run
    When a payment is made through host 1
    And the payment services accept calls again
    And the payment is retried through host 2 until it succeeds
    Then payment attempt 1 is refused as "upstream_refused" with ran "no"
    And the payment ran 1 time

  Scenario: A call that may have run is not retried
    Given a fleet for payments
    And the payment services close each connection after running a call
    When a payment is made through host 1
    Then payment attempt 1 is refused as "upstream_broken" with ran "unknown"
    And the payment ran 1 time

  Scenario: The failure of an idempotent call covers all its attempts
    Given a fleet for payments
    And the payment services close each connection after running a call
    When 1 heat lookups are made through host 1
    Then the heat lookups are refused with ran "unknown"

  Scenario: Retries stay within the budget when everything fails
    Given a fleet for payments
    And all payment services refuse calls as not run
    When 200 heat lookups are made through host 1
    Then the heat lookups are refused with ran "no"
    And at most 20 of their attempts were retries
    And some heat lookups are refused as "retry_budget" with Retry-After

  Scenario: An upstream's Retry-After is respected and forwarded
    Given a fresh fleet for payments
    And all payment services refuse calls with a Retry-After of 3 seconds
    When 1 heat lookups are made through host 1
    And 5 heat lookups are made through host 1
    Then the payment services were called at most 3 times
    And the heat lookups get a Retry-After of 1 to 3 seconds

  Scenario Outline: Whether <what> may be retried
    Given a retry budget of 2 retries
    When an attempt ended as <ran> and its call <kind> idempotent
    Then a retry is <word>

    Examples:
      | what                      | ran     | kind   | word    |
      | an idempotent call        | unknown | is     | allowed |
      | a call that did not run   | no      | is not | allowed |
      | a call that may have run  | unknown | is not | refused |
      | a call that ran           | yes     | is not | refused |

  Scenario: Successes add to the budget
    Given a retry budget of 2 retries
    When 10 retries are requested
    Then 2 retries were allowed and 8 refused as "retry_budget"
    When 10 successes are recorded
    And 10 retries are requested
    Then 1 retries were allowed and 9 refused as "retry_budget"
