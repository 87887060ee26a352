Feature: Upstreams are known as the store lists them, also after its outages

  Scenario: An upstream that leaves gets no more requests
    Given directory: upstreams a and b are listed
    When directory: a announces that it leaves
    Then directory: only b may be used

  Scenario: An upstream whose entry is removed is gone at once
    Given directory: upstreams a and b are listed
    When directory: the entry of a is removed
    Then directory: only b may be used

  Scenario: Entries that expired in an outage have a grace period to return
    Given directory: upstreams a and b are listed
    When directory: the store fails for 5 seconds and recovers without a
    Then directory: a and b may be used
    When directory: 1 seconds pass and a is listed again
    And directory: 5 seconds pass
    Then directory: a and b may be used

  Scenario: Entries that do not return in the grace period are removed
    Given directory: upstreams a and b are listed
    When directory: the store fails for 5 seconds and recovers without a
    And directory: 2.1 seconds pass
    Then directory: only b may be used

  Scenario: A leaving upstream is not used again after an outage
    Given directory: upstreams a and b are listed
    When directory: a announces that it leaves
    And directory: the store fails for 5 seconds and recovers without a
    Then directory: only b may be used

  Scenario: A restarted upstream of the same name is another process
    Given directory: upstreams a and b are listed
    When directory: a announces that it leaves
    And directory: a restarts under its name
    Then directory: a and b may be used

  Scenario: An entry of an older revision is ignored
    Given directory: upstreams a and b are listed
    When directory: a announces that it leaves
    And directory: an older entry of a arrives
    Then directory: only b may be used

  Scenario: An upstream with an invalid entry is not used
    Given directory: upstreams a and b are listed
    When directory: the entry of a is invalid
    Then directory: only b may be used

  Scenario: A host that can't reach the store gets the entries from a peer
    Given directory: upstreams a and b are listed
    When directory: another host has the document without a and with c
    Then directory: b and c may be used

  # Guards against using an upstream that has left: after an outage of its own
  # a peer keeps the entry for a grace period, and its document is newer.
  Scenario: A peer that still lists a removed upstream does not bring it back
    Given directory: upstreams a and b are listed
    When directory: the entry of a is removed
    And directory: another host has a newer document that still lists a
    Then directory: only b may be used
    When directory: a restarts under its name
    Then directory: a and b may be used

  Scenario: A peer's document does not end the grace period of a missing entry
    Given directory: upstreams a and b are listed
    When directory: the store fails for 5 seconds and recovers without a
    And directory: another host has a newer document that still lists a
    And directory: 2.1 seconds pass
    Then directory: only b may be used

  Scenario: The version of the configuration never falls
    Given directory: a configuration of version 5 is active
    When directory: versions 4, 7, 6 arrive
    Then directory: version 7 is active

  Scenario: An invalid configuration is ignored
    Given directory: a configuration of version 5 is active
    When directory: an invalid configuration arrives
    Then directory: version 5 is active

  Scenario Outline: Peers are asked only while the store may be outdated
    Given directory: upstreams a and b are listed
    When directory: the store <behaviour>
    Then directory: the peers are <asked>

    Examples:
      | behaviour                 | asked     |
      | sent an entry of b        | not asked |
      | sent nothing for 1.5 s    | asked     |
      | is unreachable            | asked     |

  # The load of a large fleet: each upstream writes once a second, and each of
  # many hosts watches all of these writes.
  Scenario Outline: Many hosts watch the store's entries of upstreams
    Given directory: a fleet of <hosts> hosts, and 45 upstreams that write
    When directory: 20 seconds pass at one of its hosts
    Then directory: all hosts together make at most <calls> calls a second
    And directory: an upstream that leaves is seen within <seconds> seconds
    And directory: no peer is asked

    Examples:
      | hosts | calls | seconds |
      | 1     | 3     | 0.5     |
      | 12    | 30    | 0.5     |
      | 18    | 31    | 0.7     |
      | 63    | 53    | 1.3     |
      | 390   | 325   | 1.3     |

  # Guards against requests to an upstream that the directory no longer lists:
  # nothing but the directory's generation tells the index of a change.
  Scenario: Leaving and expired entries are no longer listed for requests
    Then directory: an index by service lists what the directory lists
