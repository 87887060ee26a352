Feature: Upstreams are ordered by demand, reclaimable ones where they pay off
  A simulated cloud starts what is ordered after 4 seconds, and takes
  reclaimable upstreams of a zone away 2 seconds after a notice.

  Scenario: A steady day is borne by reclaimable upstreams
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: a demand of 2.5 engines is seen for 40 seconds
    Then sizes: there are at most 2 on-demand upstreams
    And sizes: the demand was borne at each moment

  Scenario: A demand that goes away gives upstreams back
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: a demand of 3 engines is seen for 30 seconds
    And sizes: a demand of 0.3 engines is seen for 40 seconds
    Then sizes: there are at most 4 upstreams
    And sizes: each zone has one

  Scenario: Zones are reclaimed one after the other and none is to be had
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: a demand of 2 engines is seen for 30 seconds
    And sizes: zone a is reclaimed, and there are no more for 14 seconds
    And sizes: a demand of 2 engines is seen for 4 seconds
    And sizes: zone b is reclaimed, and there are no more for 14 seconds
    And sizes: a demand of 2 engines is seen for 4 seconds
    And sizes: zone c is reclaimed, and there are no more for 14 seconds
    And sizes: a demand of 2 engines is seen for 10 seconds
    Then sizes: the demand was borne at each moment
    When sizes: a demand of 2 engines is seen for 60 seconds
    Then sizes: there are at most 2 on-demand upstreams

  Scenario: Two zones are reclaimed within the time that others need to start
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: a demand of 3 engines is seen for 30 seconds
    And sizes: zone a is reclaimed, and there are no more for 14 seconds
    And sizes: a demand of 3 engines is seen for 1.5 seconds
    And sizes: zone b is reclaimed, and there are no more for 14 seconds
    And sizes: a demand of 3 engines is seen for 10 seconds
    Then sizes: the demand was borne at each moment

  Scenario: The demand doubles
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: a demand of 1.5 engines is seen for 20 seconds
    And sizes: a demand of 3 engines is seen for 20 seconds
    Then sizes: the demand is borne at the end

  Scenario: No order goes past what a zone may have
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: a demand of 50 engines is seen for 30 seconds
    Then sizes: no zone has more than 6 upstreams

  Scenario: What was there at first is kept until the demand is known
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: a demand of 0 engines is seen for 10 seconds
    Then sizes: 6 engines' worth is there without any one zone's reclaimable

  Scenario: What is listed late at the start counts as well
    Given sizes: 3 zones whose 3 upstreams each come one by one
    When sizes: a demand of 0 engines is seen for 10 seconds
    Then sizes: 9 engines' worth is there without any one zone's reclaimable

  Scenario: Upstreams of a new version come while the service is moved
    Given sizes: 3 zones with 3 on-demand upstreams each
    When sizes: a demand of 2.5 engines is seen for 40 seconds
    And sizes: 3 more upstreams come for a move in zone a
    And sizes: a demand of 2.5 engines is seen for 14 seconds
    Then sizes: none was given back
    When sizes: the move is over
    And sizes: a demand of 2.5 engines is seen for 30 seconds
    Then sizes: there are at most 3 on-demand upstreams

  # The load pattern of long answers: prompts are short, and streams keep
  # slots for seconds.
  Scenario Outline: Long answers need a slot each
    Given sizes: engines of <slots> slots
    When sizes: <rate> answers of <tokens> tokens a second are asked for
    Then sizes: the engines that bear this have a slot for each at once

    Examples:
      | slots | rate | tokens |
      | 128   | 200  | 280    |
      | 16    | 32   | 280    |
      | 16    | 136  | 50     |
      | 8     | 32   | 280    |
