Feature: An odd entry in the store stops no host and no request
  Other writers may leave an entry among those of the upstreams or of the
  hosts themselves. It names no upstream to use; the others hold.

  # Guards against hosts that end, stop following the list or fail requests at
  # an entry that can't be used.
  Scenario Outline: One entry among those of upstreams is odd
    Given wire: a relay host
    When wire: another writer lists an upstream with <odd>
    Then wire: the host knows the 4 upstreams that can be used and no other
    And wire: 20 requests to /pay/ are served
    When wire: plain-1 drains
    Then wire: plain-1 soon gets nothing from any host

    Examples:
      | odd                             |
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

  # Guards against the same where hosts read what hosts have written.
  Scenario Outline: An entry that hosts read is odd when they start
    Given wire: 2 relay hosts
    When wire: another writer leaves <odd> at <key>
    And wire: all hosts are killed and start again
    Then wire: 20 requests to /pay/ are served
    And wire: no step of a host has ended with an error

    Examples:
      | key             | odd          |
      | poison/abc      | deep nesting |
      | poison/abc      | a number     |
      | moves           | deep nesting |
      | moves           | a number     |
      | recovery        | deep nesting |
      | recovery        | a number     |
      | op/rollout/x    | deep nesting |
      | op/other        | deep nesting |
