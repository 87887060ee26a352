Feature: The speed of engines is learned from their streams
  Engines answer after a time that depends on their work, at a pace of their
  own. The estimates of that time decide where requests go and how many
  engines are ordered.

  Scenario Outline: A service of any speed is estimated after 20 streams
    Given speeds: engines at <pace> times the default speed
    When speeds: 20 streams are answered
    Then speeds: of the next 200 estimates half are at most 15% off
    And speeds: 90 of 100 are at most 40% off

    Examples:
      | pace |
      | 0.5  |
      | 1    |
      | 2    |
      | 5    |

  Scenario: One odd answer changes little
    Given speeds: engines at 1 times the default speed
    When speeds: 100 streams are answered
    And speeds: one takes 100 times as long
    Then speeds: of the next 50 estimates half are at most 15% off

  Scenario: A version with another pace is learned
    Given speeds: engines at 1 times the default speed
    When speeds: 200 streams are answered
    And speeds: the engines change to 2 times the default speed
    And speeds: 300 streams are answered
    Then speeds: of the next 100 estimates half are at most 15% off

  # The load of a degraded engine: it is slow from the start or becomes so.
  Scenario Outline: One engine is slow among fast ones
    Given speeds: engines at 1 times the default speed
    When speeds: <before> streams are answered
    And speeds: one of 5 engines becomes 5 times as slow
    And speeds: 60 streams are answered
    Then speeds: that engine's pace is at least 2.5, the others' is 1
    When speeds: it gets no streams for 30 seconds
    Then speeds: its pace is 1

    Examples:
      | before |
      | 0      |
      | 100    |

  Scenario: Engines whose times only vary have no pace
    Given speeds: engines at 1 times the default speed
    When speeds: 300 streams are answered
    Then speeds: every engine's pace is 1

  Scenario: A gap in the process's time makes no engine slow
    Given speeds: engines at 1 times the default speed
    When speeds: 100 streams are answered
    And speeds: 5 streams are answered 10 seconds late, one on each engine
    Then speeds: every engine's pace is 1

  Scenario Outline: Demand follows the speed of the engines
    Given speeds: engines at <pace> times the default speed
    When speeds: 200 streams are answered
    Then speeds: a request keeps an engine busy for <least> to <most> times the default

    Examples:
      | pace | least | most |
      | 0.5  | 0.3   | 0.7  |
      | 1    | 0.7   | 1.3  |
      | 4    | 2.8   | 5    |
