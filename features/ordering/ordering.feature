Feature: One entry host orders upstream hosts, and no order is duplicated
  An order is recorded in the store before it is sent to the cloud.

  Background:
    Given a fleet with 3 engines and spare hosts in each zone

  Scenario: Hosts are ordered until there are enough, the cheapest first
    When the rules ask for at least 5 hosts
    Then 5 hosts serve, and the cloud had 2 orders of reclaimable hosts
    And the version is served by the hosts that were ordered
    And the tool shows the ordered hosts and who ordered them

  Scenario: Refused starts are replaced in other zones
    When the cloud refuses starts in zone-a and zone-b
    And the rules ask for at least 6 hosts
    Then 6 hosts serve, and the cloud had 3 orders in zone-c

  Scenario: Surplus hosts are released without interrupting a stream
    When the rules ask for at least 6 hosts
    And the rules ask for at least 3 hosts while streams run
    Then 3 hosts serve, and the cloud had 3 releases of hosts it had started
    And each stream was whole

  Scenario: Hosts of a reclaimed zone are replaced in other zones
    When the rules ask for at least 6 hosts
    And the hosts of zone-a get notice of 3 seconds
    Then 6 hosts serve in zone-b and zone-c alone

  Scenario: Wrong load reports do not exceed the bounds
    When the rules ask for at most 6 hosts
    And an engine reports 100000 requests
    Then 6 hosts serve, and the cloud had 3 orders
