Feature: An upstream that is leaving gets no new work
  However one entry host learns of it, all reachable hosts know within 2 s.

  Scenario: A notice reaches every entry host
    Given a fleet for reclaims
    When the first engine gets a notice of 10 s
    Then every entry host knows within 2 s that the first engine leaves

  Scenario: Notices reach every entry host in time with default settings
    Given a fleet with default settings
    When 12 listed upstreams get notices one after the other
    Then every entry host knows of each within 2 s

  Scenario: The engine's own refusal reaches every entry host
    Given a fleet for reclaims
    And the platform's list is down
    When only the first engine knows that it leaves
    And callers stream through the first entry host until a request is refused
    Then every entry host knows within 2 s that the first engine leaves
    And each caller gets its own whole answer

  Scenario: An idle engine leaves while the list is down
    Given a fleet for reclaims
    And the platform's list is down
    When only the first engine knows that it leaves
    Then every entry host knows within 2 s that the first engine leaves

  Scenario: A zone that is cut off from the platform learns it from peers
    Given a fleet for reclaims behind relays
    And zone-c is cut off from the platform
    When the first engine gets a notice of 10 s
    Then every entry host knows within 2 s that the first engine leaves

  Scenario: A paused peer does not prevent the others from learning it
    Given a fleet for reclaims
    And the platform's list is down
    And the last entry host is paused
    When only the first engine knows that it leaves
    And callers stream through the first entry host until a request is refused
    Then every running entry host knows within 2 s that the first engine leaves

  Scenario: A resumed host refreshes its state before it sends requests
    Given a fleet for reclaims
    And the last entry host is paused
    When the first engine gets a notice of 30 s
    And after 3 s the last entry host resumes and gets requests at once
    Then each caller gets its own whole answer
    And the first engine got no requests since the host resumed

  Scenario: A departure does not apply to a new incarnation
    Given a fleet for reclaims
    When the first engine gets a notice of 10 s
    And every entry host knows that the first engine leaves
    And the first engine is killed and restarted
    Then every entry host sends requests to the first engine within 5 s
