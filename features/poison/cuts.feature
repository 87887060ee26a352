Feature: A partitioned host refuses poison and what it can't serve
  It reaches only its own zone's upstreams.

  Scenario: Poison through a host whose zone is cut off from the others
    Given a poison fleet of 9 engines and relays
    When 12 innocent streams run, zone-c is cut off from the others and poison is sent through its host until it is refused
    Then it is refused as poison within the deadline of one request
    And at most 2 upstreams crashed
    And each innocent stream got its whole answer
    When the last engine of zone-c is killed
    Then a caller of its host is refused at once as "no_upstream", not run, with a retry time
    When the cut is healed
    Then a caller of its host gets its whole answer
