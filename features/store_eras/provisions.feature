Feature: Ordered hosts in a restored ledger
  A host whose order is lost would be ordered again while it starts.

  Scenario Outline: The holder writes again what the ledger has lost
    Given eras: a provisioner that has written an order
    When eras: the store goes back to before it, <seconds> seconds later
    Then eras: the ledger <result> the order

    Examples:
      | seconds | result      |
      | 1       | has         |
      | 30      | doesn't have |
