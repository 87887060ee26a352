Feature: A broadcast document reaches all hosts with few copies per host

  Scenario: All hosts of a large fleet are reached with few copies per host
    Given broadcasts among 5 zones of 30 hosts
    When broadcasts: one host publishes a newer document
    Then broadcasts: all running hosts have it
    And broadcasts: no host has sent more than 8 copies

  Scenario: Hosts that do not reply do not block the broadcast
    Given broadcasts among 5 zones of 30 hosts
    When broadcasts: every fifth host is dead and not yet detected
    And broadcasts: one host publishes a newer document
    Then broadcasts: all running hosts have it

  Scenario: A host that was missed pulls when it sees the newer version
    Given broadcasts among 1 zones of 3 hosts
    When broadcasts: a host is missed by a push and then probed
    Then broadcasts: all running hosts have it

  Scenario: Two hosts of each zone are watchers, and are replaced when gone
    Given broadcasts among 5 zones of 30 hosts
    Then broadcasts: each zone has 2 watchers
    When broadcasts: the watchers are doubted
    Then broadcasts: each zone has 2 other watchers

  Scenario Outline: Watchers of <zones> zones of <count> hosts are spaced evenly
    Given broadcasts among <zones> zones of <count> hosts
    Then broadcasts: phases are at most <all> of an interval apart
    And broadcasts: without one zone they are at most <rest> apart

    Examples:
      | zones | count | all  | rest |
      | 3     | 1     | 0.34 | 0.67 |
      | 3     | 3     | 0.17 | 0.34 |
      | 5     | 30    | 0.11 | 0.21 |
