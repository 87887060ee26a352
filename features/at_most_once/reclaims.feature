Feature: Calls execute at most once while their zone is reclaimed
  A zone's entry host and service get a notice and are killed when it ends.

  Scenario: A zone is reclaimed and its call ends within the notice
    Given a fresh fleet for payments
    And the payment services take 2.0 seconds
    When a payment is started through host 1
    And the payment's zone 1 is reclaimed with a notice of 4.5 s
    And the payment's first attempt ends
    And the payment's zone is gone
    And the payment is retried through host 2
    Then payment attempts 1 and 2 have the same answer
    And the payment ran 1 time

  Scenario: A zone is reclaimed and its call does not end within the notice
    Given a fresh fleet for payments
    And the payment services take 8.0 seconds
    When a payment is started through host 1
    And the payment's zone 1 is reclaimed with a notice of 4 s
    And the payment's first attempt ends
    And the payment is retried through host 2 meanwhile
    And the payment's zone is gone
    And the payment is retried through host 3
    Then payment attempt 1 is refused as "still_running" with ran "unknown"
    And payment attempt 2 is refused as "still_running" with ran "unknown"
    And payment attempt 3 is refused as "outcome_unknown" with ran "unknown"
    And the payment ran 1 time

  Scenario: A host is reclaimed before its call ends on another zone's service
    Given a fresh fleet for payments
    And the payment's service in zone 1 refuses all calls
    And the payment services take 8.0 seconds
    When a payment is started through host 1
    And the payment's host 1 is reclaimed with a notice of 4 s
    And the payment's first attempt ends
    And the payment's zone is gone
    And the payment is retried through host 3
    Then payment attempt 1 is refused as "still_running" with ran "unknown"
    And payment attempt 2 is refused as "outcome_unknown" with ran "unknown"
    And the payment ran 1 time
