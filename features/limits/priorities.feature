Feature: Short questions have priority over long rulings; neither starves
  Under overload a higher priority goes first, except for a reserved share.

  Scenario: Questions are admitted under an overload of rulings
    Given priorities: 3 engines behind 3 hosts, marshals before rulings
    When priorities: in each 0.1 of 20 seconds 3 rulings of 1000 tokens arrive
    And priorities: of marshals 1 of 100 tokens
    Then priorities: at least 98% of marshals' requests are admitted
    And priorities: rulings are refused as not run, with a retry time
    And priorities: some are refused since others have precedence

  Scenario: Rulings are admitted under an overload of questions
    Given priorities: 3 engines behind 3 hosts, marshals before rulings
    When priorities: in each 0.1 of 20 seconds 1 rulings of 1000 tokens arrive
    And priorities: of marshals 60 of 100 tokens
    Then priorities: rulings get at least 8% of the work
    And priorities: marshals get more than rulings

  Scenario: A lower priority may use capacity that the higher one leaves
    Given priorities: 3 engines behind 3 hosts, marshals before rulings
    When priorities: in each 0.1 of 20 seconds 6 rulings of 1000 tokens arrive
    And priorities: of marshals 1 of 10 tokens
    Then priorities: rulings get at least 70% of the engines' capacity

  Scenario: Refusals before any admission have a retry time
    Given priorities: 3 engines behind 3 hosts, marshals before rulings
    When priorities: streams without a line occupy all slots, and both arrive
    Then priorities: rulings are refused as not run, with a retry time
