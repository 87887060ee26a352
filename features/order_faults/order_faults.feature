Feature: Faults during orders neither duplicate nor lose any
  An order is recorded in the store before it is sent to the cloud.

  Background:
    Given a fleet with 3 engines and spare hosts in each zone

  Scenario: Lost responses of the cloud and the store duplicate no order
    When the platform loses the responses to its next 4 writes
    And the rules ask for at least 6 hosts
    Then 6 hosts serve, and the cloud had 3 orders

  Scenario: Another host completes the orders of a killed one
    When the cloud accepts no orders and the rules ask for at least 6 hosts
    And the ordering host is killed with its orders recorded
    And the cloud accepts orders again
    Then 6 hosts serve, and the cloud had 3 orders

  Scenario: A paused host that lost its lease does not interfere
    When the rules ask for at least 5 hosts
    And the ordering host is frozen until another has taken over
    And the rules ask for at least 7 hosts
    And the frozen host resumes
    Then 7 hosts serve, and the cloud had 4 orders

  Scenario: Nothing is ordered while the store is down, and once afterwards
    When the rules ask for at least 5 hosts
    And the store goes down and an ordered host is reclaimed
    Then no host is ordered for 2 seconds
    When the store is back
    Then 5 hosts serve, and the cloud had 3 orders

  Scenario: A zone and the lease holder are lost during a platform outage
    When the rules ask for at least 6 hosts
    And the platform goes down and the ordering host is killed
    And the hosts of zone-a are lost
    And the platform is back
    Then 6 hosts serve in zone-b and zone-c alone
    And each order of the cloud is for a different host
