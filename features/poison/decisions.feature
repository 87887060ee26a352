Feature: The detector finds the poison and no innocent request
  Seeded simulations of three hosts' poison detectors, without processes.

  Scenario Outline: Poison among <suspects> suspects on <upstreams> upstreams, <kind>
    When 100 seeded trials of <kind> among <suspects> suspects on <upstreams> upstreams are run
    Then in each trial the poison is refused after at most 2 crashes
    And in no trial an innocent request is refused
    And in no trial an innocent request waits once the poison is refused
    And in each trial every innocent request got its whole answer

    Examples:
      | suspects | upstreams | kind                              |
      | 8        | 6         | poison at once                    |
      | 8        | 6         | late poison                       |
      | 9        | 3         | late poison                       |
      | 12       | 6         | late poison on a slow fleet       |
      | 12       | 4         | late poison among callers that leave |
