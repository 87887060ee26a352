Feature: A move ends by its time, done or taken back, and says which
  Scenario: A good version takes over in time
    Given a fleet with engines of versions v1 and v2
    When a move from v1 to v2 begins and traffic runs until it is done
    Then the store and every version host say the move is done
    And new requests go to v2 alone
    And each caller on the moved model got its whole answer

  Scenario: Too little traffic until its time takes a move back
    Given a fleet with engines of versions v1 and v2
    When a move from v1 to v2 with 4 s left gets 10 requests
    Then the store and every version host say the move is taken_back
    And the move's reason has "not judged by its deadline"

  Scenario: Only an operator's changed line lifts a withdrawal
    Given a fleet with engines of versions v1 and v2
    And the engines of v2 have the faults {"bad_versions": {"v2": "fail"}}
    When a move from v1 to v2 begins and traffic runs until v2 is withdrawn
    And an operator changes a rule that does not name v2
    Then every version host keeps v2 withdrawn and says why with "fail"
    When an operator writes the move's line anew
    Then every version host has v2 no longer withdrawn

  Scenario: Another host takes a move on when its judge dies
    Given a fleet with engines of versions v1 and v2
    When a move from v1 to v2 begins and its judge is killed under traffic
    Then another host has taken the move on with a higher fence
    And each caller on the moved model got its whole answer

  Scenario: A judge that is paused in the middle of a step changes nothing later
    Given a fleet with engines of versions v1 and v2
    When a move from v1 to v2 begins and its judge is paused while it writes a step, until another has written one
    Then no host ever went back or beyond what the store held
    And each holder's fence was higher than the one before
    And the store and every version host say the move is done
    And each caller on the moved model got its whole answer

  Scenario: The state of an ended move goes once no rule names it
    Given a fleet with engines of versions v1 and v2
    And the engines of v2 have the faults {"bad_versions": {"v2": "fail"}}
    When a move from v1 to v2 begins and traffic runs until v2 is withdrawn
    And an operator takes the move's line away
    Then the store and every version host forget the move within 10 s
    When an operator writes the move's line back
    Then every version host keeps v2 withdrawn and says why with "fail"
    And the store holds v2 as withdrawn and the move as taken back
