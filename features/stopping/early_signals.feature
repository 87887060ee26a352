Feature: A signal that comes while a host's libraries are imported
  Found by the soak: a reload that came within half a second of a start ended
  the process.

  Scenario Outline: The process is asked before it can serve
    When early: <signal> comes while the daemon imports its libraries
    Then early: the process exits with 0 and <outcome>

    Examples:
      | signal  | outcome               |
      | SIGHUP  | goes on starting      |
      | SIGTERM | does not go on        |

  Scenario: Settings that change while they are read are read again
    Given early: settings that were written again after they were read
    When early: the process looks for changes
    Then early: the host takes over what was written last
