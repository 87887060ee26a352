Feature: Streams are moved away from an upstream that is leaving
  A stream continues on another upstream, with its KV cache if the notice and
  the target's capacity allow it, else from its offset.

  Scenario: Streams are moved with their KV cache
    Given a fleet for reclaims
    When callers stream 700 tokens and the first engine gets a notice of 2.5 s
    Then each caller gets its own whole answer
    And streams were moved with their cache
    And at most 0.1 tokens were recomputed per token moved

  Scenario: Streams that fit the notice are left to end
    Given a fleet for reclaims
    When callers stream 150 tokens and the first engine gets a notice of 20 s
    Then each caller gets its own whole answer
    And no stream was moved

  Scenario: Streams are moved without their cache if targets refuse it
    Given a fleet for reclaims
    And all other engines refuse imports
    When callers stream 700 tokens and the first engine gets a notice of 2.5 s
    Then each caller gets its own whole answer
    And streams were moved without their cache

  Scenario: A notice too short for the cache
    Given a fleet for reclaims
    When callers stream 300 tokens and the first engine gets a notice of 0.3 s
    Then each caller gets its own whole answer

  Scenario: The target is reclaimed as well
    Given a fleet for reclaims
    When callers stream 400 tokens and two engines get notices of 2 s in turn
    Then each caller gets its own whole answer

  Scenario: A reclaim while the platform is down
    Given a fleet for reclaims
    And the platform's list is down
    When callers stream 300 tokens and only the first engine reports that it leaves
    Then each caller gets its own whole answer
