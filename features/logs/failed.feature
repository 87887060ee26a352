Feature: A scenario that fails leaves its hosts' logs

  Scenario Outline: The files of a scenario's fleet
    Given failed: a scenario over a fleet that has logs
    When failed: it ends as <status>
    Then failed: its logs are <kept>

    Examples:
      | status | kept     |
      | failed | kept     |
      | error  | kept     |
      | passed | not kept |

  Scenario: A scenario without a fleet
    Given failed: a scenario without a fleet
    When failed: it ends as failed
    Then failed: its logs are not kept
