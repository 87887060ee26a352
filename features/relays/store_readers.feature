Feature: Few hosts of a large fleet read the store, and all follow it
  In each availability zone two hosts watch the store and push what changes.
  The others read it themselves only when they hear of nothing recent.

  Scenario Outline: A host decides whether to read the store
    Given readers: a host that is <role>, with 4 seconds for a configuration
    When readers: it has heard of the store <age> seconds ago
    Then readers: the host <does>

    Examples:
      | role                 | age  | does                    |
      | in a small fleet     | 0    | watches                 |
      | a watcher            | 0    | watches                 |
      | one of many          | 0    | doesn't call the store  |
      | one of many          | 2.9  | doesn't call the store  |
      | one of many          | 3.1  | reads once              |
      | one of many          | 1000 | reads once              |

  Scenario: Hosts that hear nothing don't read at the same time
    Given readers: a host that is one of many, with 4 seconds for a configuration
    When readers: it hears nothing for 60 seconds
    Then readers: it makes 30 to 75 reads, at uneven intervals

  Scenario Outline: The age of what a host knows
    Given readers: the age is known from <prefixes> answered 3 and 1 seconds ago
    When readers: another host reports an age of <report> seconds
    Then readers: the age is <age> seconds

    Examples:
      | prefixes     | report | age |
      | two prefixes | 5      | 3   |
      | two prefixes | 2      | 2   |
      | one of two   | 5      | 5   |

  Scenario: A fleet makes few calls and all its hosts follow the store
    Given readers: 5 relay hosts of a zone in a large fleet
    Then readers: no more than 3 of them watch the store
    When readers: a configuration without the key is written
    Then readers: it is in force at each host within 1.0 seconds
    When readers: an upstream announces that it leaves
    Then readers: no host uses it after 1.5 seconds

  Scenario: Watchers that the store refuses are replaced
    Given readers: 5 relay hosts of a zone in a large fleet
    When readers: the store refuses both watchers
    And readers: a configuration without the key is written
    Then readers: it is in force at each other host within 4.0 seconds

  Scenario: A host that reaches only the store follows it
    Given readers: 5 relay hosts of a zone in a large fleet
    When readers: one host that doesn't watch is cut off from the others
    And readers: a configuration without the key is written
    Then readers: it is in force at each host within 4.0 seconds
