Feature: A move ends by its deadline, done or taken back, with a reason
  Scenario: A good version takes over in time
    Given a fleet with engines of versions v1 and v2
    When a move from v1 to v2 begins and traffic runs until it is done
    Then the store and every version host report the move as done
    And new requests go to v2 alone
    And each caller on the moved model got its whole answer

  Scenario: Too little traffic before its deadline takes a move back
    Given a fleet with engines of versions v1 and v2
    When a move from v1 to v2 with 4 s left gets 10 requests
    Then the store and every version host report the move as taken_back
    And the move's reason contains "not judged by its time"

  Scenario: Only an operator's changed line lifts a withdrawal
    Given a fleet with engines of versions v1 and v2
    And the engines of v2 have the faults {"bad_versions": {"v2": "fail"}}
    When a move from v1 to v2 begins and traffic runs until v2 is withdrawn
    And an operator changes a rule that does not name v2
    Then every version host keeps v2 withdrawn with a reason containing "fail"
    When an operator rewrites the move's line
    Then every version host has v2 no longer withdrawn

  Scenario: Another host continues a move when its judge is killed
    Given a fleet with engines of versions v1 and v2
    When a move from v1 to v2 begins and its judge is killed under traffic
    Then another host has continued the move with a higher fencing token
    And each caller on the moved model got its whole answer

  Scenario: A judge that is paused during a step has no later effect
    Given a fleet with engines of versions v1 and v2
    When a move from v1 to v2 begins and its judge is paused while it writes a step, until another has written one
    Then no host's state ever went back or ahead of the store's
    And each holder's fencing token was higher than the previous one
    And the store and every version host report the move as done
    And each caller on the moved model got its whole answer

  Scenario: The state of an ended move expires once no rule names it
    Given a fleet with engines of versions v1 and v2
    And the engines of v2 have the faults {"bad_versions": {"v2": "fail"}}
    When a move from v1 to v2 begins and traffic runs until v2 is withdrawn
    And an operator removes the move's line
    Then the store and every version host forget the move within 10 s
    When an operator restores the move's line
    Then every version host keeps v2 withdrawn with a reason containing "fail"
    And the store holds v2 as withdrawn and the move as taken back
