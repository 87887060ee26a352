Feature: The cheapest hosts that serve the demand after a reclaim are chosen
  Prices, demands, bounds and held hosts are generated from seeds.

  Scenario: No other sufficient allocation costs less
    Given 200 requirements generated with seed 1
    Then each allocation costs as little as the best possible one

  Scenario: A zone's reclaimable hosts may be lost at once
    Given 500 requirements generated with seed 2
    Then each allocation serves the demand without any zone's reclaimable hosts

  Scenario: Bounds hold and refused offers are not used
    Given 500 requirements generated with seed 3
    Then each allocation is within its bounds and uses available offers

  Scenario: Released hosts were not needed
    Given 500 requirements generated with seed 4
    Then releasing the surplus terminates and leaves enough hosts

  Scenario: A small change of price starts no hosts
    Given 200 requirements generated with seed 5
    When the hosts chosen with none held are held, and each price changes by up to 10%
    Then no other hosts are chosen
