Feature: A workspace's limit holds over all hosts
  Hosts exchange the units that they admitted; no call is made per request.

  Scenario: A workspace that stays within its limit is never refused
    Given quotas: 3 hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: the workspace requests 100 units a second for 30 seconds
    Then quotas: nothing is refused

  # The load of clients that send several requests at once through one host:
  # each is larger than the host's share of what is left.
  Scenario Outline: A workspace far below its limit sends its requests in clumps
    Given quotas: <hosts> hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: the workspace requests 3 times 10 units at once at one host, each second for 30 seconds
    Then quotas: nothing is refused

    Examples:
      | hosts |
      | 3     |
      | 9     |
      | 195   |

  Scenario: The demand of a workspace far below its limit jumps
    Given quotas: 9 hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: the workspace requests 3 times 10 units at once at one host, each second for 10 seconds
    And quotas: the workspace requests 600 units a second for 20 seconds
    Then quotas: any 8 seconds admit at most 1000 units plus 10% and 9 requests

  Scenario: A workspace that sends 6 times its limit gets the limit
    Given quotas: 3 hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: the workspace requests 600 units a second for 30 seconds
    Then quotas: any 8 seconds admit at most 1000 units plus 10% and 3 requests
    And quotas: the busiest 8 seconds admit at least 900 units

  Scenario: An overload does not cause periods without admissions
    Given quotas: 3 hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: the workspace requests 600 units a second for 30 seconds
    Then quotas: each 2 seconds after the first 2 admit at least 160 units

  Scenario: All traffic of a workspace goes to one host
    Given quotas: 3 hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: the workspace requests 600 units a second from host 1 for 30 seconds
    Then quotas: any 8 seconds admit at most 1000 units plus 10% and 3 requests
    And quotas: the busiest 8 seconds admit at least 900 units

  Scenario: Hosts that are partitioned from each other share the limit
    Given quotas: 3 hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: the hosts are partitioned from each other
    And quotas: the workspace requests 600 units a second for 30 seconds
    Then quotas: any 8 seconds admit at most 1000 units plus 10% and 3 requests

  Scenario: All hosts are killed and restart during an overload
    Given quotas: 3 hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: the workspace requests 600 units a second for 10 seconds
    And quotas: all hosts restart after 1.5 seconds
    And quotas: the workspace requests 600 units a second for 20 seconds
    Then quotas: any 8 seconds admit at most 1000 units plus 10% and 3 requests

  Scenario: A workspace far below its limit is not refused after a restart
    Given quotas: 3 hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: the workspace requests 30 units a second for 10 seconds
    And quotas: all hosts restart after 1.5 seconds
    And quotas: the workspace requests 30 units a second for 20 seconds
    Then quotas: nothing is refused

  Scenario: A host that restarts gets the admitted units from the others
    Given quotas: 3 hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: the workspace requests 50 units a second for 10 seconds
    And quotas: host 1 restarts
    And quotas: the workspace requests 50 units a second from host 1 for 5 seconds
    Then quotas: less than 30% of the last 5 seconds' requests are refused

  Scenario: Small requests do not starve a large one
    Given quotas: 3 hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: small requests of 10 units and large ones of 150 compete
    Then quotas: large ones are admitted at least half as often as small ones

  Scenario: Units of requests that were not run are refunded
    Given quotas: 1 hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: 1000 units are admitted and refunded 5 times
    Then quotas: nothing is refused

  # Guards against a workspace that is refused for good after one host reported
  # far more than could be admitted.
  Scenario: A host reports more units than any limit allows
    Given quotas: 3 hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: a host reports that it admitted 1e300 units
    And quotas: 12 seconds pass
    And quotas: the workspace requests 50 units a second for 10 seconds
    Then quotas: nothing is refused

  # Guards against hosts whose summaries, sent early for another reason, give
  # them a new allowance before they have heard of the others.
  Scenario Outline: Hosts send summaries early
    Given quotas: <hosts> hosts, 100 units a second and a burst of 200, in 8 seconds
    When quotas: a host sends a summary early, each 0.05 seconds
    And quotas: the workspace requests 600 units a second for 30 seconds
    Then quotas: any 8 seconds admit at most 1000 units plus 10% and <hosts> requests
    And quotas: the busiest 8 seconds admit at least 900 units

    Examples:
      | hosts |
      | 3     |
      | 9     |
