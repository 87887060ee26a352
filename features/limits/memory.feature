Feature: What requests and responses hold never exceeds a process's memory
  Long bodies wait in their clients' connections until there is room, or are
  refused at once. Short ones don't wait for them.

  Scenario: Long bodies get room in the order in which they came
    Given memory: a budget of 10 MB
    When memory: 8 bodies of 3 MB come at once
    Then memory: 2 of them have room and the others wait or are refused
    And memory: a short body has room at once
    When memory: the bodies that have room are done, one after the other
    Then memory: those that waited got room in their order
    And memory: nothing is held

  Scenario: What can't get room soon is refused at once, to come back spread
    Given memory: a budget of 10 MB
    When memory: 40 bodies of 3 MB come at once
    Then memory: at least 30 were refused within 0.1 seconds
    And memory: their Retry-After are spread over 1 second or more

  Scenario: A body that waits too long is refused, and its room is given on
    Given memory: a budget of 10 MB
    When memory: 4 bodies of 3 MB come at once
    Then memory: those that waited are refused within 1.7 seconds
    When memory: the bodies that have room are done, one after the other
    Then memory: nothing is held

  Scenario: No workspace holds all of the room
    Given memory: a budget of 10 MB for 2 workspaces
    When memory: 8 bodies of 1 MB of the workspace "large" come at once
    Then memory: a body of 1 MB of the workspace "small" has room at once

  Scenario: Seeded holds of any order stay within the budget
    Given memory: a budget of 10 MB for 2 workspaces
    When memory: 300 seeded bodies come, wait, go and end early
    Then memory: the budget was never exceeded
    And memory: nothing is held

  # Guards against processes that are killed as long bodies come at once.
  Scenario Outline: <clients> long bodies come at once, <kind>
    When memory: a relay host of 256 MB gets <clients> long requests at once, <kind>
    Then memory: its process never had more than 256 MB
    And memory: at least <served> of the long requests were served
    And memory: nearly all short requests were served meanwhile

    Examples:
      | clients | kind    | served |
      | 70      | length  | 12     |
      | 70      | chunked | 12     |
      | 70      | slow    | 0      |

  # Guards against the same on the product's own interface.
  Scenario: 70 long calls come at once on the own interface
    When memory: an entry host of 256 MB gets 70 calls of 4 MB at once
    Then memory: its process never had more than 256 MB
    And memory: at least 12 of the long requests were served
    And memory: the others were refused as "host_full" with a time to retry
