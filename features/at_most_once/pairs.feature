Feature: Calls execute at most once under faults and pairs of faults
  Entry host processes are killed and frozen, zones are cut off, and the
  platform's store is down, slow or loses replies, alone or in combination.

  Scenario: The store's replies are lost
    Given a payment fleet with cuts
    And the payments' store loses its next 4 replies
    When a payment is made through host 1
    And the payment is retried through host 2
    Then payment attempts 1 and 2 have the same answer
    And the payment ran 1 time

  Scenario: The store is down and recovers late
    Given a payment fleet with cuts
    And the payments' store is down
    When a payment is made through host 1
    And the payment is retried through host 2 meanwhile
    And the payments' store is up again
    And the payment is retried through host 3 until it succeeds
    Then payment attempt 1 is refused as "store_unavailable" with ran "no"
    And payment attempt 2 is refused as "store_unavailable" with ran "unknown"
    And the payment ran 1 time

  Scenario: A call without a client's request id needs no store
    Given a payment fleet with cuts
    And the payments' store is down
    When a payment without an id is made through host 1
    Then payment attempt 1 is answered with status 200

  Scenario: A zone is cut off before the call
    Given a payment fleet with cuts
    And the payment's zone 1 is cut off
    When a payment is made through host 1
    And the payment is retried through host 2
    And the payment's zone is healed
    And the payment is retried through host 1 until it succeeds
    Then payment attempt 1 is refused as "store_unavailable" with ran "no"
    And payment attempt 2 is answered with status 200
    And the payment ran 1 time

  Scenario: A retry joins a hanging attempt while another zone runs the call
    Given a payment fleet with cuts
    And the payment's zone 1 is cut off
    When a payment is started through host 1
    And the payment is retried through host 2
    And the payment is retried through host 1 meanwhile
    Then payment attempt 2 is answered with status 200
    And payment attempt 3 is refused as "store_unavailable" with ran "unknown"
    And the payment ran 1 time

  Scenario: A zone is cut off while its call runs and is retried elsewhere
    Given a payment fleet with cuts
    And the payment services take 1.0 seconds
    When a payment is started through host 1
    And the payment has reached a service
    And the payment's zone 1 is cut off
    And the payment's first attempt ends
    And the payment is retried through host 2 meanwhile
    And the payment's zone is healed
    And the payment is retried through host 3 until it succeeds
    Then payment attempt 1 is answered with status 200
    And payment attempt 2 is refused as "still_running" with ran "unknown"
    And the payment ran 1 time

  Scenario: A host is killed while its call runs and starts anew
    Given a payment fleet with cuts
    And the payment services take 1.0 seconds
    When a payment is started through host 1
    And the payment's host 1 is killed
    And the payment is retried through host 2 meanwhile
    And the payment's host 1 is restarted
    And the payment is retried through host 3
    And the payment is retried through host 1
    Then payment attempt 2 is refused as "still_running" with ran "unknown"
    And payment attempt 3 is refused as "outcome_unknown" with ran "unknown"
    And payment attempt 4 is refused as "outcome_unknown" with ran "unknown"
    And the payment ran 1 time

  Scenario: A host is killed during a store outage that ends late
    Given a payment fleet with cuts
    And the payment services take 1.0 seconds
    When a payment is started through host 1
    And the payments' store goes down
    And the payment's host 1 is killed
    And the payment is retried through host 2 meanwhile
    And the payment is retried through host 3 meanwhile
    And the payments' store is up again
    And the payment is retried through host 2
    Then no payment attempt is reported with ran "no"
    And payment attempt 4 is refused as "outcome_unknown" with ran "unknown"
    And the payment ran 1 time

  Scenario: A host is frozen between claim and send past the deadline
    Given a payment fleet with cuts
    And the payments' store takes 0.4 seconds
    When a payment is started through host 1
    And the payment's host 1 is frozen past the call's deadline
    And the payment is retried through host 2 until it succeeds
    Then payment attempt 1 is reported with ran "no"
    And the payment ran 1 time

  Scenario: A host is frozen while its call runs, and its zone is cut off
    Given a payment fleet with cuts
    And the payment services take 1.0 seconds
    When a payment is started through host 1
    And the payment has reached a service
    And the payment's zone 1 is cut off
    And the payment's host 1 is frozen past the call's deadline
    And the payment's zone is healed
    And the payment is retried through host 3
    Then no payment attempt is reported with ran "no"
    And the payment ran 1 time
