Feature: Settings are checked whole before anything starts
  Every wrong key and value is named at once, with its line.

  Scenario Outline: A wrong setting is named with its place
    Given a settings file in which <change>
    When the settings file is checked
    Then it is refused on line <line> with "<text>"

    Examples:
      | change                              | line | text                                         |
      | zone is called zoen                 | 3    | unknown key 'zoen', did you mean 'zone'?     |
      | zone is missing                     | 1    | key 'zone' is missing                        |
      | callers is called caller            | 5    | unknown key 'listen.caller', did you mean 'callers'? |
      | platform is a name                  | 9    | platform: expected an address as IP:port     |
      | platform has no port                | 9    | platform: expected an address as IP:port     |
      | platform has the port 70000         | 9    | expected a port from 1 to 65535              |
      | seeds has a name                    | 11   | expected an address as IP:port               |
      | body_limit is negative              | 12   | Input should be greater than 0, found -1     |
      | log_level is loud                   | 10   | Input should be 'debug', 'info'              |
      | router is a guess                   | 10   | expected one of earliest, least_in_flight    |
      | host stands twice                   | 0    | key 'host' stands twice                      |
      | a comma is missing                  | 3    | Expecting ',' delimiter                      |

  Scenario: All errors are named at once
    Given a settings file with three wrong values
    When the settings file is checked
    Then each of the three is named on a line of its own
    And the daemon refuses the file with exit code 2 and the same text

  Scenario: Every value is shown with its origin, and no token
    Given a settings file that is right
    When the settings file is shown
    Then "zone" is shown with origin "file"
    And "body_limit" is shown with origin "file"
    And "max_attempts" is shown with origin "default"
    And no token is shown

  Scenario: The pages on settings and counters match the code
    Then the generated pages are as the code would make them
    And every setting, reason and counter has a meaning there
