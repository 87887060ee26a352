Feature: Entry hosts detect which entry hosts run
  Each entry host discovers the others from its seeds and the platform's
  delayed list, and detects failures by probes only.

  Scenario: Hosts find each other while the platform's list is down
    Given membership on a fleet whose platform lists no hosts
    Then membership: every host knows all others as present

  Scenario: A killed host is gone and its new incarnation is ready
    Given membership on a running fleet
    When membership: host 1 is killed
    Then membership: every host sees host 1 as "gone"
    When membership: host 1 is started again
    Then membership: every host sees host 1 as "ready"
    And membership: host 1 has a newer incarnation than before

  Scenario: A paused host returns as the same incarnation
    Given membership on a running fleet
    When membership: host 1 is paused
    Then membership: every host doubts host 1 as "silent"
    And membership: every host sees host 1 as "gone"
    When membership: host 1 resumes
    Then membership: every host sees host 1 as "ready"
    And membership: host 1 has the same incarnation as before
    And membership: host 1 has counted 1 pause and doubts no host

  Scenario: A doubt during a short pause is refuted and no host is gone
    Given membership on a running fleet
    When membership: host 2 is paused
    Then membership: every host doubts host 2 as "silent"
    When membership: host 2 resumes
    Then membership: every host sees host 2 as "ready"
    And membership: no host has ever seen host 2 gone

  Scenario: The platform's list proves neither presence nor absence
    Given membership on a running fleet
    When membership: host 2 is removed from the platform's list
    And membership: a host that does not run is added to the platform's list
    Then membership: 4 seconds later every host sees host 2 as "ready"
    And membership: no host knows the host that does not run

  Scenario: A stopping host announces that it is gone
    Given membership on a running fleet
    When membership: host 2 is terminated
    Then membership: every host sees host 2 as "gone"
    And membership: no host doubted host 2

  Scenario: Zones that reach each other only through a third raise no doubts
    Given membership on a running fleet
    When membership: zones 0 and 1 are cut off from each other
    Then membership: 5 seconds later every host sees host 0 as "ready"
    And membership: no host doubted host 0
    And membership: no host doubted host 2
    When membership: the cut is healed
    Then membership: every host knows all others as present

  Scenario Outline: A one-way cut raises no doubts if a third zone reaches both
    Given membership on a running fleet
    When membership: zone <source> cannot send to zone <target>
    Then membership: 5 seconds later every host sees host 0 as "ready"
    And membership: no host doubted host 0
    And membership: no host doubted host 2
    When membership: the cut is healed
    Then membership: every host knows all others as present

    Examples:
      | source | target |
      | 0      | 1      |
      | 1      | 0      |

  Scenario: A zone returns after a cut without its dead host
    Given membership on a running fleet
    When membership: zone 2 is cut off
    And membership: host 5 is killed
    Then membership: the hosts on each side see the others as "gone"
    When membership: the cut is healed
    Then membership: the hosts on each side see the others as "ready"
    And membership: every host sees host 5 as "gone"
