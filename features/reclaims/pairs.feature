Feature: A zone goes during an outage of the platform, with a move half done
  Streams, payments and a move between versions go on together. What callers
  were told, what reached the engines and what the services executed are
  recorded; the checkers read only that.

  Scenario Outline: A zone is reclaimed in an outage during a move, seed <seed>
    Given a fleet with engines of two versions and payment services
    When a zone goes in an outage during a move, by seed <seed>
    Then the streams' history breaks no promise
    And the payments' history breaks no promise
    And the move has ended on the hosts that are left, with a reason

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: A move is done though a zone is reclaimed in an outage meanwhile
    Given a fleet with engines of two versions and payment services
    When a zone goes in an outage and a move goes on, by seed 3
    Then the streams' history breaks no promise
    And the payments' history breaks no promise
    And the move is done on the hosts that are left
