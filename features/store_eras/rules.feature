Feature: Rules in a restored store
  A change that was accepted in the store's last seconds would be gone, or a
  host would take an older revision for a newer one.

  Scenario Outline: Accepted changes stay when the store goes back
    Given agreement among 3 hosts on one store
    When eras: rules are changed and the store goes back <when> write <write>
    Then eras: hosts and store soon hold all accepted changes

    Examples:
      | when   | write |
      | before | 1     |
      | after  | 1     |
      | before | 2     |
      | after  | 2     |
