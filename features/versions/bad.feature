Feature: A bad version gets a small share, and none soon after its detection
  Traffic moves from v1 to v2 in steps; the evidence of each host and that
  of all hosts merged may withdraw v2 until an operator's new rule.

  Scenario Outline: A version that <fault> is taken back everywhere
    Given a fleet with engines of versions v1 and v2
    And the engines of v2 have the faults <faults>
    When a move from v1 to v2 begins and traffic runs until v2 is withdrawn
    Then every version host keeps v2 withdrawn with a reason containing "<why>"
    And no more than the planned share went to v2, and nothing later
    And each caller on the moved model got its whole answer
    And the store holds v2 as withdrawn and the move as taken back

    Examples:
      | fault               | why     | faults                                                    |
      | fails at once       | fail    | {"bad_versions": {"v2": "fail"}}                          |
      | fails on one route  | booth   | {"bad_versions": {"v2": "fail"}, "bad_workspace": "booth"} |
      | fails under load    | fail    | {"bad_versions": {"v2": "fail"}, "bad_when_running": 1}   |
      | truncates answers   | fail    | {"bad_versions": {"v2": "truncate"}}                      |
      | is slow late        | time    | {"bad_versions": {"v2": "slow"}, "bad_after": 30}         |

  Scenario: A version that crashes its engines is distinguished from poison
    Given a fleet with engines of versions v1 and v2
    And the engines of v2 have the faults {"bad_versions": {"v2": "crash"}}
    When a move from v1 to v2 begins and traffic runs until v2 is withdrawn
    Then every version host keeps v2 withdrawn with a reason containing "crashes"
    And each caller on the moved model got its whole answer
    And no request was classified as poison
    And the crashed engines of v2 are started again without faults
