Feature: A zone is evacuated and taken back on all hosts
  The operator's key is removed again, hosts don't all read the store, and
  some start while it can't be read.

  Scenario: Hosts that don't watch the store follow an evacuation and its end
    Given evacuations: 5 hosts of a large fleet with upstreams in the zones b and c
    And evacuations: a slow stream runs in zone b
    When evacuations: zone b is evacuated
    Then evacuations: after 2 seconds no host sends to zone b
    And evacuations: the stream in zone b has run to its end
    When evacuations: zone b is taken back
    Then evacuations: after 2 seconds all hosts send to zone b

  Scenario: An evacuation persists over a restart while the store is down
    Given evacuations: 3 hosts of a small fleet with upstreams in the zones b and c
    When evacuations: zone b is evacuated
    And evacuations: 1 seconds later the store goes down and host 0 is started anew
    Then evacuations: after 0 seconds no host sends to zone b
    When evacuations: the key is removed while host 1 is cut off from the store, which is up again
    Then evacuations: after 3 seconds all hosts send to zone b

  Scenario: A host starts beside peers of the previous build while the store is down
    Given evacuations: 3 hosts of a small fleet with upstreams in the zones b and c
    When evacuations: the others offer no orders, as the previous build
    And evacuations: 0 seconds later the store goes down and host 0 is started anew
    Then evacuations: after 0 seconds all hosts send to zone b

  Scenario: Requests that no allowed zone can run are refused at once
    Given evacuations: 1 hosts of a small fleet with upstreams in the zones b and c
    When evacuations: the workspace is limited to the region of zone b
    Then evacuations: after 1 seconds all requests go to zone b
    When evacuations: zone b is evacuated
    Then evacuations: after 1 seconds a request is refused at once as zone_evacuated
    When evacuations: the workspace is limited to a region without upstreams
    Then evacuations: after 1 seconds a request is refused at once as region_not_allowed

  Scenario: An evacuation and its end arrive though the store refuses the watchers
    Given evacuations: 5 hosts of a large fleet with upstreams in the zones b and c
    When readers: the store refuses both watchers
    And evacuations: zone b is evacuated
    Then evacuations: after 5 seconds no host sends to zone b
    When evacuations: zone b is taken back
    Then evacuations: after 5 seconds all hosts send to zone b
