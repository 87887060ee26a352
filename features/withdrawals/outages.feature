Feature: Withdrawing a version needs neither the store nor all zones
  Scenario: A version is withdrawn permanently while the store is down
    Given a fleet with engines of versions v1 and v2 and relays
    When a move from v1 to v2 is at its first step
    And the platform is down and v2 turns bad under traffic until withdrawn
    Then no more than the planned share went to v2, and nothing later
    And each caller on the moved model got its whole answer
    When a version host is restarted before the platform is back
    And the platform comes back without the withdrawal
    Then it has v2 withdrawn from the moment it is ready
    And the store holds v2 as withdrawn and the move as taken back

  Scenario: A partitioned zone withdraws a bad version by itself in an outage
    Given a fleet with engines of versions v1 and v2 and relays
    When a move from v1 to v2 is at its first step
    And zone-c is cut off, the platform is down and v2 turns bad
    Then zone-c and the others each withdraw v2 on their own evidence
    When the cuts are healed and the platform is back
    Then every version host keeps v2 withdrawn with a reason containing "fail"
    And the store holds v2 as withdrawn and the move as taken back

  Scenario: A partitioned host stays at or below its last known step
    Given a fleet with engines of versions v1 and v2 and relays
    When a move from v1 to v2 is at its first step
    And zone-c is cut off while the others advance the move
    Then zone-c still uses the share of the first step
    When the cuts are healed
    Then zone-c follows the move within 3 s

  Scenario: Callers get an answer or a reason while zones are partitioned
    Given a fleet with engines of versions v1 and v2 and relays
    When a move from v1 to v2 is at its first step
    And zone-c is cut off, the platform is down and v2 turns bad
    Then each caller on the moved model got its whole answer or a reason
