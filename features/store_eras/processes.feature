Feature: Real processes over a restored store

  Scenario Outline: A payment whose claim was lost doesn't run twice
    Given a fleet for payments
    When a payment is made through host 1
    And eras: the platform's store goes back to before the payment
    And the payment is retried through host <retry>
    And eras: the payment is retried through host <retry> until it is final
    Then the payment ran 1 time
    And eras: the hosts are ready and the store has the rules

    Examples:
      | retry |
      | 2     |
      | 3     |
