Feature: A version that turns bad after its move is done is withdrawn, too
  While the old version is still served, traffic returns to it.

  Scenario Outline: A version that <fault> after its move is taken back
    Given a fleet with engines of versions v1 and v2
    When a move from v1 to v2 begins and traffic runs until it is done
    And the engines of v2 have the faults <faults>
    And other traffic runs until v2 is withdrawn
    Then every version host keeps v2 withdrawn with a reason containing "<why>"
    And each caller on the moved model got its whole answer
    And no request was sent to v2 after its withdrawal
    And the store holds v2 as withdrawn and the move as taken back

    Examples:
      | fault              | why   | faults                                                     |
      | fails              | fail  | {"bad_versions": {"v2": "fail"}}                           |
      | fails on one route | booth | {"bad_versions": {"v2": "fail"}, "bad_workspace": "booth"} |
      | is slow            | time  | {"bad_versions": {"v2": "slow"}}                           |

  Scenario: An outage of both versions after a move is not attributed to the new one
    Given a fleet with engines of versions v1 and v2
    When a move from v1 to v2 begins and traffic runs until it is done
    And both versions fail under other traffic for 4 s
    Then the versions were compared again and v2 is not withdrawn

  Scenario: A version that fails at times is judged by the merged evidence
    Given a fleet with engines of versions v1 and v2
    When a move from v1 to v2 is done
    And the engines of v2 have the faults {"bad_versions": {"v2": "fail"}, "bad_every": 5}
    And other traffic runs through 2 of 3 hosts until v2 is withdrawn
    Then the third host compared the versions as well
    And v2 was withdrawn on more attempts than any one host had made
    And each caller on the moved model got its whole answer

  Scenario: A version that crashes its engines after its move is taken back
    Given a fleet with engines of versions v1 and v2
    When a move from v1 to v2 is done
    And the engines of v2 have the faults {"bad_versions": {"v2": "crash"}, "bad_after": 20}
    And other traffic runs until v2 is withdrawn
    Then every version host keeps v2 withdrawn with a reason containing "crashes"
    And no request was classified as poison
    And each caller on the moved model got its whole answer
    And the crashed engines of v2 are started again without faults
