Feature: Two partitioned regions each continue to serve
  Five zones of two regions; the platform stays with the first region.

  Scenario: Regions are partitioned until each considers the other gone
    Given regions of 3 and 2 zones on a running fleet
    When regions: they are partitioned
    And regions: an operator in the first region changes a rule
    Then regions: within 9 seconds it is in force in the first region
    And regions: within 20 seconds each region considers the other's hosts gone
    And regions: the second region is ready with the previous rules
    When a caller streams 16 tokens through each entry host
    Then each caller gets its own whole answer
    When regions: an operator in the second region proposes a rule
    Then regions: it is refused as "store_unavailable" and in force nowhere
    When regions: the partition is healed
    Then regions: within 9 seconds it is in force in both regions
    And regions: within 9 seconds all hosts consider all others ready
    And regions: no host ever showed older rules after newer ones

  Scenario: A region that reaches only the platform continues to serve
    Given regions of 3 and 2 zones on a running fleet
    When regions: they are partitioned, and both reach the platform
    And regions: an operator in the first region changes a rule
    Then regions: within 9 seconds it is in force in both regions
    When a caller streams 16 tokens through each entry host
    Then each caller gets its own whole answer
    When regions: the partition is healed
    Then regions: within 9 seconds all hosts consider all others ready
