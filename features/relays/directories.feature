Feature: Upstreams are known as the store lists them, also after its outages

  Scenario: An upstream that leaves gets no more
    Given directory: upstreams a and b are listed
    When directory: a says that it leaves
    Then directory: only b may be sent to

  Scenario: An entry that is removed is gone at once
    Given directory: upstreams a and b are listed
    When directory: the entry of a is removed
    Then directory: only b may be sent to

  Scenario: Entries that lapsed in an outage have time to return
    Given directory: upstreams a and b are listed
    When directory: the store goes away for 5 seconds and comes back without a
    Then directory: a and b may be sent to
    When directory: 1 seconds pass and a is listed again
    And directory: 5 seconds pass
    Then directory: a and b may be sent to

  Scenario: Entries that do not return are gone
    Given directory: upstreams a and b are listed
    When directory: the store goes away for 5 seconds and comes back without a
    And directory: 2.1 seconds pass
    Then directory: only b may be sent to

  Scenario: What leaves is not used again after an outage
    Given directory: upstreams a and b are listed
    When directory: a says that it leaves
    And directory: the store goes away for 5 seconds and comes back without a
    Then directory: only b may be sent to

  Scenario: A name that starts again is another process
    Given directory: upstreams a and b are listed
    When directory: a says that it leaves
    And directory: a starts again under its name
    Then directory: a and b may be sent to

  Scenario: An older entry changes nothing
    Given directory: upstreams a and b are listed
    When directory: a says that it leaves
    And directory: an older entry of a arrives
    Then directory: only b may be sent to

  Scenario: An entry that can't be read names no upstream
    Given directory: upstreams a and b are listed
    When directory: the entry of a can't be read
    Then directory: only b may be sent to

  Scenario: A host that the store turns away learns from another host
    Given directory: upstreams a and b are listed
    When directory: another host has the document without a and with c
    Then directory: b and c may be sent to

  Scenario: A configuration's version only rises
    Given directory: a configuration of version 5 is in force
    When directory: versions 4, 7, 6 arrive
    Then directory: version 7 is in force

  Scenario: A configuration that can't be read changes nothing
    Given directory: a configuration of version 5 is in force
    When directory: a configuration arrives that can't be read
    Then directory: version 5 is in force

  Scenario Outline: The others are asked only while the store may say less
    Given directory: upstreams a and b are listed
    When directory: the store <says>
    Then directory: the others are <asked>

    Examples:
      | says                     | asked     |
      | told of b just now       | not asked |
      | was quiet for 1.5 s      | asked     |
      | turns this host away     | asked     |

  # The load pattern of a large fleet: each upstream writes once a second, and
  # each of many hosts wants to see it.
  Scenario Outline: Many hosts ask the store for news of upstreams
    Given directory: a fleet of <hosts> hosts, and 45 upstreams that write
    When directory: 20 seconds pass at one of its hosts
    Then directory: all hosts together ask at most <calls> times a second
    And directory: an upstream that leaves is seen within <seconds> seconds
    And directory: no other host is asked

    Examples:
      | hosts | calls | seconds |
      | 1     | 3     | 0.5     |
      | 12    | 30    | 0.5     |
      | 18    | 31    | 0.7     |
      | 63    | 53    | 1.3     |
      | 390   | 325   | 1.3     |
