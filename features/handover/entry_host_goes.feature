Feature: An accepted request outlives its entry host
  Another host in another zone holds what is needed to resume a request. Its
  caller reconnects to any host and gets the rest exactly once.

  Scenario: An entry host gets a reclaim notice
    Given a fleet for handovers
    When callers stream 900 tokens and the first entry host gets a notice of 2.5 s
    Then each caller gets its own whole answer
    And callers of the first entry host reconnected
    And no connection was closed before its caller was notified

  Scenario: An entry host is killed
    Given a fleet for handovers
    When callers stream 300 tokens and the first entry host is killed
    Then each caller gets its own whole answer
    And callers of the first entry host reconnected

  Scenario: An entry host is killed during its reclaim notice
    Given a fleet for handovers
    When callers stream 500 tokens and the first entry host is killed early in its notice
    Then each caller gets its own whole answer

  Scenario: An entry host is paused and resumes later
    Given a fleet for handovers
    When callers stream 300 tokens and the first entry host is paused for 3 s
    Then each caller gets its own whole answer

  Scenario: An entry host and its zone's engine are reclaimed together
    Given a fleet for handovers
    When callers stream 500 tokens and the first zone gets a notice of 2.5 s
    Then each caller gets its own whole answer

  Scenario: A zone stops while the platform is down
    Given a fleet for handovers
    And the platform is down
    When callers stream 500 tokens and the first zone is asked to stop, with 2 s left
    Then each caller gets its own whole answer

  Scenario: Two entry hosts get notices in turn
    Given a fleet for handovers
    When callers stream 900 tokens and two entry hosts get notices of 2.2 s in turn
    Then each caller gets its own whole answer

  Scenario: An entry host is killed while the platform is down
    Given a fleet for handovers
    And the platform is down
    When callers stream 300 tokens and the first entry host is killed
    Then each caller gets its own whole answer

  Scenario: A holder is killed first and its entry host after it
    Given a fleet for handovers
    When callers stream 700 tokens and two entry hosts are killed 2 s apart
    Then each caller gets its own whole answer

  Scenario: A holder and its entry host are killed at once
    Given a fleet for handovers
    When callers stream 300 tokens and two entry hosts are killed at once
    Then each caller gets its own whole answer or the error "unknown_stream"
    And some callers get that error with an unknown outcome

  Scenario: An entry host and an engine are killed at once
    Given a fleet for handovers
    When callers stream 300 tokens and the first entry host and the engine that it uses most are killed
    Then each caller gets its own whole answer or the error "text_lost"

  Scenario: An entry host and a deterministic engine are killed at once
    Given a fleet for handovers with deterministic engines
    When callers stream 300 tokens and the first entry host and the engine that it uses most are killed
    Then each caller gets its own whole answer
    And some callers' text was regenerated

  Scenario: A whole zone is lost without notice during long answers
    Given a fleet for handovers with deterministic engines
    When callers stream 700 tokens and the zone that uses its own engine most is killed after 2 s
    Then each caller gets its own whole answer
    And some callers' text was regenerated

  Scenario: Unstreamed answers are found on another host after a notice
    Given a fleet for handovers
    When callers request 500 unstreamed tokens and the first entry host gets a notice of 2 s
    Then each caller of the first entry host is told where to reconnect
    And each gets its whole answer from another host

  Scenario: Unstreamed answers are repeated after a kill
    Given a fleet for handovers
    When callers repeat 300 unstreamed tokens and the first entry host is killed
    Then each caller gets its own whole answer
