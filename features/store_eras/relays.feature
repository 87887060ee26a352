Feature: Relay hosts over a restored store
  Watches of the lost revisions, leases and roster entries must not outlive
  the store's era.

  Scenario: Hosts follow the store again at once
    Given eras: 2 relay hosts over a store that names its era
    When eras: the store goes back to a copy without the newest configuration
    Then eras: the newest configuration stays in force at each host
    When eras: the operator writes a configuration without the key
    Then eras: it is in force at each host within 1.5 seconds
    And eras: one host holds the duties with a token of the new era
    And eras: both hosts are in the roster under leases of the new era
