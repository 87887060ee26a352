Feature: A cold upstream gets no more requests than it bears over all hosts
  A cold upstream bears 12 requests a second over all hosts and crashes well
  above that; at most 23 may reach it in any second. Hosts know neither what
  the others send nor, at once, which hosts there are.

  Scenario Outline: Upstreams start cold in a fleet with differing views
    Given cold: <hosts> hosts and <upstreams> upstreams
    When cold: all upstreams start while <trouble>, with <seeds> seeds
    Then cold: at most 23 requests reach an upstream in any second
    And cold: at least <use> of the cold rate is used after 3.2 seconds

    Examples:
      | hosts | upstreams | seeds | use  | trouble                           |
      | 9     | 4         | 10    | 0.90 | all is well                       |
      | 9     | 4         | 10    | 0.50 | a third of the hosts is killed    |
      | 9     | 4         | 10    | 0.60 | a third more hosts join           |
      | 9     | 4         | 10    | 0.50 | a third of the hosts is replaced  |
      | 9     | 4         | 10    | 0.50 | hosts are partitioned             |
      | 9     | 4         | 10    | 0.50 | hosts are partitioned for long    |
      | 71    | 12        | 3     | 0.90 | all is well                       |
      | 71    | 12        | 3     | 0.50 | a third of the hosts is killed    |
      | 71    | 12        | 3     | 0.60 | a third more hosts join           |
      | 71    | 12        | 3     | 0.50 | a third of the hosts is replaced  |
      | 71    | 12        | 3     | 0.45 | hosts are partitioned             |
      | 71    | 12        | 3     | 0.50 | hosts are partitioned for long    |
      | 390   | 12        | 1     | 0.60 | all is well                       |
      | 390   | 12        | 1     | 0.45 | a third of the hosts is replaced  |
      | 390   | 12        | 1     | 0.45 | hosts are partitioned for long    |

  Scenario Outline: Warm upstreams turn cold at once
    Before the news can be known they get what they got while they were warm;
    what is taken from those known to be cold must not be added to the others.
    Given cold: <hosts> hosts and 12 upstreams
    When cold: <count> upstreams turn cold that get <warm> requests a second
    Then cold: at most 23 requests reach an upstream in any second after the news
    And cold: at most <most> requests reach an upstream in any second

    Examples:
      | hosts | count | warm | most |
      | 9     | 4     | 8    | 23   |
      | 9     | 12    | 8    | 23   |
      | 71    | 4     | 8    | 23   |
      | 71    | 12    | 8    | 23   |
      | 71    | 4     | 40   | 65   |
      | 71    | 12    | 40   | 65   |
      | 390   | 4     | 8    | 23   |
      | 390   | 12    | 8    | 23   |
      | 390   | 12    | 40   | 65   |

  Scenario Outline: A host sends nothing while others may consider its places theirs
    Then cold: a host that sees <present> of <hosts> hosts and knows of <silent> silent ones <result>, after <age> s and with <summaries> summaries

    Examples:
      | present | hosts | silent | age | summaries | result       |
      | 1       | 1     | 0      | 60  | recent    | may send     |
      | 3       | 5     | 0      | 60  | recent    | may send     |
      | 2       | 4     | 0      | 60  | recent    | may not send |
      | 3       | 3     | 3      | 60  | recent    | may not send |
      | 5       | 5     | 0      | 60  | no        | may not send |
      | 5       | 5     | 0      | 2   | recent    | may not send |

  Scenario: A request that finds only cold upstreams is refused at once
    Given cold: a host whose upstreams are cold for 2.5 and 4 seconds
    When cold: 30 requests arrive at once
    Then cold: at most 23 were sent to each upstream
    And cold: the last was refused in 0.05 s as upstreams_cold, to return in 2.5 s
    And cold: a request that may have run waits and is sent
    When cold: the first upstream's entry is read again
    Then cold: its remaining time has not changed
    When cold: a new revision says that the first upstream is warm
    Then cold: 30 more requests that arrive at once are all sent

  Scenario: A warm version that a move has taken back is not waited for
    Given cold: a host whose upstreams are cold for 2.5 and 0 seconds
    And cold: a move sends no request to the second
    When cold: 30 requests arrive at once
    Then cold: the last was refused in 0.05 s as upstreams_cold, to return in 2.5 s

  Scenario: Hosts that don't watch the store learn that a cold time grew
    They are told of changed lists only, and would take the upstream for warm.
    Then cold: entries that are cold for 3, 0.5, 2.6, 1.4 and 0 s change the list at the first, third and fifth

  Scenario: A listing does nothing for each upstream while none is cold or evacuated
    Hosts with a tenth of a core list the upstreams for each attempt.
    Given cold: a host whose upstreams are cold for 0 and 0 seconds
    Then cold: a listing checks no upstream's zone and applies no entry again

  Scenario: A relay host refuses calls that find no place
    Given cold: a relay host and two upstreams that are cold for 3 s
    When cold: 60 calls arrive at once
    Then cold: at most 23 were run by each upstream and the others got 503
    And cold: the refused calls are to return within 3 s
    When cold: the upstreams are warm again
    Then cold: 60 calls that arrive at once are all run

  Scenario: Nothing is limited where the configuration has no cold rate
    Given cold: a host whose upstreams are cold for 2.5 and 4 seconds
    When cold: the configuration has no cold rate
    Then cold: 30 more requests that arrive at once are all sent
    And cold: a listing does not look for cold upstreams

  Scenario: Cold upstreams are no capacity, but nothing is ordered for them
    Given cold: upstreams that take 4 s to start and are then cold for 3 s
    Then cold: one that is cold for 6 s counts when others are ordered
    And cold: one that is cold for 8 s is ordered in addition
    And cold: nothing is given back while one is cold
