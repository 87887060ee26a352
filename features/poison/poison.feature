Feature: A request that crashes each upstream is refused after two crashes
  Other requests that ran on the crashed upstreams are isolated, complete,
  and are not taken for poison.

  Scenario: A poison request is refused under any id through any host
    Given a poison fleet of 6 engines
    When 24 innocent streams run and a poison request is sent
    Then it is refused as poison after at most 2 crashes, having run
    And it is refused at once under a new id through each entry host
    And the operator API reports the reason and that no rule was involved
    And each innocent stream got its whole answer
    And no innocent request is refused when it is sent again
    And the store holds the poison request

  Scenario: Poison that crashes in the middle of its answer
    Given a poison fleet of 6 engines
    When 24 innocent streams run and a poison request is sent that crashes after 8 tokens
    Then it is refused as poison after at most 2 crashes, having run
    And each innocent stream got its whole answer
    And no innocent request is refused when it is sent again

  Scenario: A popular innocent prompt is not taken for poison
    Given a poison fleet of 6 engines
    When 24 innocent streams of one prompt run and a poison request is sent
    Then it is refused as poison after at most 2 crashes, having run
    And each innocent stream got its whole answer
    And no innocent request is refused when it is sent again

  Scenario: A caller that repeats poison at once through all hosts
    Given a poison fleet of 6 engines
    When 12 innocent streams run and a poison request is repeated through all hosts until refused
    Then it was refused as poison on each host after at most 2 crashes
    And each innocent stream got its whole answer

  Scenario: No request is lost when an engine is killed under many streams
    Given a poison fleet of 6 engines
    When 24 innocent streams run and an engine is killed
    Then each innocent stream got its whole answer
    And no innocent request is refused when it is sent again

  Scenario: A zone's engines lost at once are not attributed to requests
    Given a poison fleet of 9 engines
    When 24 innocent streams run and a zone's engines are killed twice
    Then each innocent stream got its whole answer
    And no innocent request is refused when it is sent again

  Scenario: Poison during a move does not roll back the good version
    Given a poison fleet of 6 engines with a move
    When 24 innocent streams run and a poison request is sent
    Then it is refused as poison after at most 2 crashes, having run
    And each innocent stream got its whole answer
    And the moved version is not withdrawn

  Scenario: No request is held back once the poison is refused
    Given a poison fleet of 3 engines
    When 36 innocent streams run and a poison request is sent
    Then it is refused as poison after at most 2 crashes, having run
    And each innocent stream got its whole answer
    And no innocent request is refused when it is sent again

  Scenario: Suspects are isolated on the upstreams that a rule allows
    Given a poison fleet of 6 engines that serves from zone-a and zone-b
    When 36 innocent streams run and a poison request is sent that crashes after 8 tokens
    Then it is refused as poison after at most 2 crashes, having run
    And each innocent stream got its whole answer
    And no innocent request is refused when it is sent again

  Scenario: Poison is refused while the store is down and a host restarts
    Given a poison fleet of 6 engines
    When the store is down and a poison request is sent
    Then it is refused as poison after at most 2 crashes, having run
    And it is refused at once under a new id through each entry host
    When the store is back and the first entry host is restarted
    Then it is refused at once under a new id through each entry host
