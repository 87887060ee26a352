Feature: A malformed entry in the store stops no host and no request
  Other writers may leave a malformed entry among those of the upstreams or of
  the hosts. It adds no upstream; the other entries stay valid.

  # Guards against hosts that exit, stop watching the list or fail requests after
  # reading an unusable entry.
  Scenario Outline: One entry of an upstream is malformed
    Given wire: a relay host
    When wire: another writer lists an upstream with <fault>
    Then wire: the host knows the 4 upstreams that can be used and no other
    And wire: 20 requests to /pay/ are served
    When wire: plain-1 drains
    Then wire: plain-1 soon gets no requests from any host

    Examples:
      | fault                           |
      | deep nesting                    |
      | a service in deep nesting       |
      | port 70000                      |
      | port -1                         |
      | port 0                          |
      | port http                       |
      | no port                         |
      | an empty address                |
      | a name for an address           |
      | 10**400 slots                   |
      | 10**30 slots                    |
      | -1 slots                        |
      | 0 slots                         |
      | a start at 10**40               |
      | a start at -5                   |
      | an endless warm-up              |
      | a warm-up of -1                 |
      | an endless notice               |
      | bytes that are no text          |
      | a value that is no base64       |
      | a value that is no string       |

  # Guards against the same fault in entries that hosts write themselves.
  Scenario Outline: An entry of the hosts is malformed when they start
    Given wire: 2 relay hosts
    When wire: another writer leaves <fault> at <key>
    And wire: all hosts are killed and start again
    Then wire: 20 requests to /pay/ are served
    And wire: no task of a host has failed

    Examples:
      | key             | fault        |
      | poison/abc      | deep nesting |
      | poison/abc      | a number     |
      | moves           | deep nesting |
      | moves           | a number     |
      | recovery        | deep nesting |
      | recovery        | a number     |
      | op/rollout/x    | deep nesting |
      | op/other        | deep nesting |
