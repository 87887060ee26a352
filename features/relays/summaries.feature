Feature: Each host knows the load of all others at a bounded cost
  In a large fleet each host sends its summary to its zone's collector only,
  which replies with the aggregate of all hosts. There is no network: the
  summaries are passed on directly.

  Scenario Outline: Each host knows the figures of all others
    Given summaries: <hosts> hosts in 3 zones
    When summaries: each has requests in flight and 6 rounds pass
    Then summaries: each host knows the others' loads, demands and counts
    And summaries: all other hosts report to each host
    And summaries: a host sends at most <messages> messages a round

    Examples:
      | hosts | messages |
      | 9     | 8        |
      | 27    | 3        |
      | 81    | 3        |

  Scenario: Units that other hosts admit are counted once, by their increase
    Given summaries: 27 hosts in 3 zones
    When summaries: each has requests in flight and 6 rounds pass
    And summaries: each host admits 10 units more in each of 5 rounds
    Then summaries: each host knows of 1300 units admitted by others

  Scenario: All counts are known after the aggregation delay
    Given summaries: 27 hosts in 3 zones
    When summaries: each has requests in flight and 6 rounds pass
    And summaries: each host counts 5 requests more
    And summaries: the aggregation delay passes
    Then summaries: each host knows of 5 more requests of each other

  Scenario Outline: A host that restarts counts no request twice
    Given summaries: <hosts> hosts in 3 zones
    When summaries: each has requests in flight and 6 rounds pass
    And summaries: a host restarts with the checkpoint of another
    Then summaries: it knows all others' counts and its own earlier ones

    Examples:
      | hosts |
      | 9     |
      | 27    |

  Scenario Outline: All hosts restart with the checkpoint of one
    Given summaries: <hosts> hosts in 3 zones
    When summaries: each has requests in flight and 6 rounds pass
    And summaries: all hosts restart with the checkpoint of one
    Then summaries: each knows all earlier counts, once

    Examples:
      | hosts |
      | 9     |
      | 27    |

  # Guards against requests that are reported twice after all hosts were killed,
  # as the checkpoint of a collector holds the aggregates of other zones.
  Scenario: All hosts restart with the checkpoint of a collector
    Given summaries: 27 hosts in 3 zones
    When summaries: each has requests in flight and 6 rounds pass
    And summaries: all hosts restart with the checkpoint of a collector
    Then summaries: each knows all earlier counts, once

  Scenario: A collector is killed
    Given summaries: 27 hosts in 3 zones
    When summaries: each has requests in flight and 6 rounds pass
    And summaries: a collector is killed and 6 rounds pass
    Then summaries: each host knows the others' loads, demands and counts
    And summaries: all other hosts report to each host

  # Guards against hosts of other zones that ignore a new collector for good,
  # because its process started before the former one's.
  Scenario Outline: The next collector started earlier or later
    Given summaries: <hosts> hosts in 3 zones, each started <order> the one before
    When summaries: each has requests in flight and 6 rounds pass
    And summaries: one zone's collector after the other is killed and 6 rounds pass
    Then summaries: each host knows the others' loads, demands and counts
    And summaries: all other hosts report to each host
    When summaries: each host admits 10 units more in each of 5 rounds
    Then summaries: each host knows of <units> units admitted by others

    Examples:
      | hosts | order  | units |
      | 27    | after  | 1150  |
      | 27    | before | 1150  |
      | 195   | after  | 9550  |
      | 195   | before | 9550  |

  # The views of two hosts differ for a while after a collector was lost.
  Scenario: Two hosts of a zone aggregate it at the same time
    Given summaries: 27 hosts in 3 zones, each started after the one before
    When summaries: each has requests in flight and 6 rounds pass
    And summaries: another host sends the aggregate of half a zone, and 1 rounds pass
    Then summaries: each host knows the others' loads, demands and counts

  Scenario: A zone is partitioned off
    Given summaries: 27 hosts in 3 zones
    When summaries: each has requests in flight and 6 rounds pass
    And summaries: a zone is partitioned off and 10 rounds pass
    Then summaries: in the zone 8 hosts report to each and 18 are silent
    And summaries: outside it 17 hosts report to each and 9 are silent

  Scenario: The time of day does not drift by the latency of messages
    Given summaries: 27 hosts in 3 zones
    When summaries: 120 rounds pass and each message takes 5 ms
    Then summaries: every host's time of day is right within 0.1 s

  Scenario: One host's time of day jumps
    Given summaries: 27 hosts in 3 zones
    When summaries: a collector's time of day jumps by 5 s and 6 rounds pass
    Then summaries: every host's time of day is right within 1 s
