Feature: Upstreams are ordered by demand, reclaimable ones where they pay off
  A simulated cloud starts ordered upstreams after 4 seconds. It reclaims all
  reclaimable upstreams of a zone 2 seconds after a notice.

  Scenario: A steady demand is served mostly by reclaimable upstreams
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: the demand is 2.5 engines for 40 seconds
    Then sizes: there are at most 2 on-demand upstreams
    And sizes: there was always enough capacity

  Scenario: Upstreams are released when the demand falls
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: the demand is 3 engines for 30 seconds
    And sizes: the demand is 0.3 engines for 40 seconds
    Then sizes: there are at most 4 upstreams
    And sizes: each zone has one

  Scenario: Zones are reclaimed one after the other, without replacements
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: the demand is 2 engines for 30 seconds
    And sizes: zone a is reclaimed, without replacements for 14 seconds
    And sizes: the demand is 2 engines for 4 seconds
    And sizes: zone b is reclaimed, without replacements for 14 seconds
    And sizes: the demand is 2 engines for 4 seconds
    And sizes: zone c is reclaimed, without replacements for 14 seconds
    And sizes: the demand is 2 engines for 10 seconds
    Then sizes: there was always enough capacity
    When sizes: the demand is 2 engines for 60 seconds
    Then sizes: there are at most 2 on-demand upstreams

  # Guards against ordering again and again where there is nothing to be had,
  # in place of other zones.
  Scenario Outline: Zone <zone> is reclaimed and has nothing to give
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: the demand is <demand> engines for 30 seconds
    And sizes: zone <zone> is reclaimed and has nothing to give for 14 seconds
    And sizes: the demand is <demand> engines for 20 seconds
    Then sizes: there was always enough capacity
    And sizes: at most 10 orders were refused
    When sizes: the demand is <demand> engines for 60 seconds
    Then sizes: there are at most 2 on-demand upstreams

    Examples:
      | zone | demand |
      | a    | 2      |
      | a    | 3      |
      | b    | 3      |
      | c    | 2      |

  Scenario: A second zone is reclaimed before replacements have started
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: the demand is 3 engines for 30 seconds
    And sizes: zone a is reclaimed, without replacements for 14 seconds
    And sizes: the demand is 3 engines for 1.5 seconds
    And sizes: zone b is reclaimed, without replacements for 14 seconds
    And sizes: the demand is 3 engines for 10 seconds
    Then sizes: there was always enough capacity

  Scenario: The demand doubles
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: the demand is 1.5 engines for 20 seconds
    And sizes: the demand is 3 engines for 20 seconds
    Then sizes: there is enough capacity at the end

  Scenario: Orders stay within the maximum of a zone
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: the demand is 50 engines for 30 seconds
    Then sizes: no zone has more than 6 upstreams

  # The load of a crowd while reclaimable upstreams are taken away: on-demand
  # ones are ordered where they are cheapest, which is one zone.
  Scenario: The demand exceeds what the cheapest zone may have
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: the demand is 3 engines for 20 seconds
    And sizes: zone a is reclaimed, without replacements for 30 seconds
    And sizes: zone b is reclaimed, without replacements for 30 seconds
    And sizes: zone c is reclaimed, without replacements for 30 seconds
    And sizes: the demand is 10 engines for 14 seconds
    Then sizes: there is enough capacity at the end
    And sizes: no zone has more than 6 upstreams

  Scenario: The initial capacity is kept until the demand is known
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: the demand is 0 engines for 10 seconds
    Then sizes: 6 engines remain without any one zone's reclaimable ones

  Scenario: Upstreams that are listed late count as initial capacity
    Given sizes: 3 zones whose 3 upstreams each are listed one by one
    When sizes: the demand is 0 engines for 10 seconds
    Then sizes: 9 engines remain without any one zone's reclaimable ones

  Scenario: Upstreams of a new version are added during a rollout
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: the demand is 2.5 engines for 40 seconds
    And sizes: 3 more upstreams are added for a rollout in zone a
    And sizes: the demand is 2.5 engines for 14 seconds
    Then sizes: none was released
    When sizes: the rollout is over
    And sizes: the demand is 2.5 engines for 30 seconds
    Then sizes: there are at most 3 on-demand upstreams

  # Guards against releasing the upstreams that stay, as those that the end of a
  # move removes still count.
  Scenario Outline: A move is <outcome>, and the former demand goes on
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: the demand is 3 engines for 30 seconds
    And sizes: a move adds 2 upstreams to each zone
    And sizes: the demand is 3 engines for <seconds> seconds
    And sizes: the move is <outcome>
    And sizes: the demand is 3 engines for 12 seconds
    Then sizes: there was always enough capacity
    When sizes: the demand is 3 engines for 30 seconds
    Then sizes: there are at most 3 on-demand upstreams

    Examples:
      | outcome    | seconds |
      | done       | 20      |
      | done       | 4       |
      | taken back | 10      |

  # The load of long responses: prompts are short, and streams occupy slots for
  # seconds.
  Scenario Outline: Long responses need a slot each
    Given sizes: engines of <slots> slots
    When sizes: <rate> responses of <tokens> tokens a second are requested
    Then sizes: the engines for this load have a slot for each at once

    Examples:
      | slots | rate | tokens |
      | 128   | 200  | 280    |
      | 16    | 32   | 280    |
      | 16    | 136  | 50     |
      | 8     | 32   | 280    |
