Feature: A workspace gets its share of the engines under overload
  Each host compares what it admitted itself, without a call per request.

  Scenario: A workspace without contenders may use all engines
    Given shares: 3 engines behind 3 hosts, large and small with 30% each
    When shares: large sends 40 requests of 1000 tokens
    Then shares: as many are admitted as without shares

  Scenario: A workspace over its share leaves capacity to one under its own
    Given shares: 3 engines behind 3 hosts, large and small with 30% each
    When shares: large sends 4 requests of 1000 tokens
    And shares: small sends 1 requests of 1000 tokens
    And shares: 0.4 seconds pass and all answers end
    And shares: large sends 40 requests of 1000 tokens
    Then shares: fewer are admitted than without shares
    And shares: the last is refused as over its share, with a retry time
    When shares: small sends 2 requests of 1000 tokens
    Then shares: all 2 are admitted

  Scenario: Capacity that no other workspace requests any more is free for all
    Given shares: 3 engines behind 3 hosts, large and small with 30% each
    When shares: large sends 4 requests of 1000 tokens
    And shares: small sends 1 requests of 1000 tokens
    And shares: 6 seconds pass and all answers end
    And shares: large sends 40 requests of 1000 tokens
    Then shares: as many are admitted as without shares

  Scenario: Workspaces without a limit line share one usage entry
    Given shares: 3 engines behind 3 hosts, large and small with 30% each
    When shares: 500 workspaces without a limit line send 1 tokens each
    Then shares: the host keeps the usage of 1 limit line

  Scenario: A small workspace is served beside one that sends 5 times its share
    Given shares: a fleet of slow engines, large and small with 30% each
    When shares: large sends 30/s and small 3/s for 5 seconds, seed 1
    Then shares: 6 of 10 of small's requests after 2 s have their first token within 0.91 s
    And shares: large is refused as over its share, as not run and counted
    And shares: large gets more answers than small
