Feature: A non-idempotent call executes at most once
  A retry with the same request id, through any entry host in any zone, gets
  the first attempt's answer or a correct report of whether it ran.

  Scenario: Retries through the other hosts get the first answer
    Given a fleet for payments
    When a payment is made through host 1
    And the payment is retried through host 2
    And the payment is retried through host 3
    Then payment attempt 1 is answered with status 200
    And payment attempts 1, 2 and 3 have the same answer
    And the payment ran 1 time

  Scenario: A retry gets the same error answer
    Given a fleet for payments
    And the payment services answer with status 500
    When a payment is made through host 1
    And the payment is retried through host 2
    And the payment is retried through host 3
    Then payment attempt 1 is answered with status 500
    And payment attempts 1, 2 and 3 have the same answer
    And the payment ran 1 time

  Scenario: A retry while the first attempt runs gets a Retry-After
    Given a fleet for payments
    And the payment services take 1.5 seconds
    When a payment is started through host 1
    And the payment is retried through host 2 meanwhile
    And the payment's first attempt ends
    And the payment is retried through host 3
    Then payment attempt 1 is answered with status 200
    And payment attempt 2 is refused as "still_running" with ran "unknown"
    And payment attempts 1 and 3 have the same answer
    And the payment ran 1 time

  Scenario: A retry through the same host joins the running call
    Given a fleet for payments
    And the payment services take 1.0 seconds
    When a payment is started through host 1
    And the payment is retried through host 1 meanwhile
    And the payment's first attempt ends
    Then payment attempts 1 and 2 have the same answer
    And the payment ran 1 time

  Scenario: One id with two queries is not a retry
    Given a fleet for payments
    When a payment is made through host 1
    And the payment is sent with another query through host 1
    And the payment is sent with another query through host 2
    Then payment attempt 2 is refused as "id_reused" with ran "no"
    And payment attempt 3 is refused as "id_reused" with ran "no"
    And the payment ran 1 time

  Scenario: One id with two bodies is not a retry
    Given a fleet for payments
    When a payment is made through host 1
    And the payment is sent with another body through host 1
    And the payment is sent with another body through host 2
    Then payment attempt 2 is refused as "id_reused" with ran "no"
    And payment attempt 3 is refused as "id_reused" with ran "no"
    And the payment ran 1 time

  Scenario: A call whose answer is too large to store is reported as run
    Given a fleet for payments
    And the payment services pad each answer by 5000 bytes
    When a payment is made through host 1
    And the payment is retried through host 2
    Then payment attempt 1 is answered with status 200
    And payment attempt 2 is refused as "answer_not_kept" with ran "yes"
    And the payment ran 1 time

  Scenario: An id older than the claim retention is refused and not run
    Given a fleet for payments
    When a payment whose id was made 700 seconds ago is sent through host 1
    Then payment attempt 1 is refused as "id_expired" with ran "unknown"
    And the payment ran 0 times

  Scenario: An invalid id is refused and not replaced
    Given a fleet for payments
    When a payment whose id has 200 characters is sent through host 1
    Then payment attempt 1 is refused as "bad_request" with ran "no"
    And the payment ran 0 times

  Scenario Outline: The HTTP client library doesn't retry <method> on its own
    Given a fleet for payments
    And every host has a keep-alive connection to every payment service
    And the payment services close each connection after running a call
    When a payment is made by <method> through host 1
    And the payment is retried by <method> through host 2 until it ends
    Then payment attempt 1 is refused as "upstream_broken" with ran "unknown"
    And payment attempt 2 is refused as "outcome_unknown" with ran "unknown"
    And the payment ran 1 time

    Examples:
      | method |
      | POST   |
      | PUT    |
      | DELETE |

  Scenario: A call continues when its client disconnects
    Given a fleet for payments
    And the payment services take 1.0 seconds
    When a payment is started through host 1
    And the payment's client disconnects
    And the payment is retried through host 2 until it succeeds
    Then the payment ran 1 time

  Scenario: A retry that is refused at admission isn't reported as not run
    Given a fresh fleet for payments
    When a payment is made through host 1
    And the payment's host 2 is drained
    And the payment is retried through host 2
    And another payment is made through host 2
    Then payment attempt 1 is answered with status 200
    And payment attempt 2 is refused as "host_draining" with ran "unknown"
    And the other payment is refused as "host_draining" with ran "no"
    And the payment ran 1 time

  Scenario: A stopping host waits for a call whose client disconnected
    Given a fresh fleet for payments
    And the payment services take 1.5 seconds
    When a payment is started through host 1
    And the payment's client disconnects
    And the payment's host 1 is terminated and exits with code 0
    And the payment is retried through host 2
    Then payment attempt 2 is answered with status 200
    And the payment ran 1 time
