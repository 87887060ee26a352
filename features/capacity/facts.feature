Feature: A fact reaches every host of a large fleet by few copies from each

  Scenario: Every host is told, and none tells many
    Given capacity of facts among 5 zones of 30 hosts
    When capacity: a host publishes a withdrawal
    Then capacity: all running hosts know it
    And capacity: no host has pushed more than 8 copies

  Scenario: Hosts that do not answer keep it from nobody
    Given capacity of facts among 5 zones of 30 hosts
    When capacity: every fifth host is dead and not yet detected
    And capacity: a host publishes a withdrawal
    Then capacity: all running hosts know it
    And capacity: no host has pushed more than 40 copies

  Scenario: A host that knows a fact already passes it on all the same
    Given capacity of facts among 1 zones of 60 hosts
    When capacity: the root hosts already know a withdrawal
    And capacity: a host publishes the same withdrawal
    Then capacity: all running hosts know it

  Scenario: A host that publishes a crash is told what all hosts saw of it
    Given capacity of facts among 5 zones of 30 hosts
    When capacity: every host has seen a crash and one publishes it
    Then capacity: the host that published it knows the crashes seen by 150 hosts

  Scenario: A small fleet is told in one step
    Given capacity of facts among 3 zones of 3 hosts
    When capacity: a host publishes a withdrawal
    Then capacity: all running hosts know it
    And capacity: the host that published it pushed 8 copies

  Scenario: Hosts that differ in their facts find it in the answer to a probe
    Given capacity of facts among 1 zones of 2 hosts
    When capacity: a host knows a fact that was not pushed
    And capacity: another host sees its digest
    Then capacity: all running hosts know it
