Feature: A request that comes late in a planned stop is refused and not cut off
  The grace period is 3 seconds. Of a request's head on an open connection one
  half has arrived when the host is asked to stop.

  # Guards against passing on a request that can't be answered before the
  # process ends.
  Scenario Outline: The rest of a request to <path> comes <late> s later
    Given wire: a relay host
    When wire: the rest of a request to <path> comes <late> seconds after the host was asked to stop
    Then wire: the late request was <outcome>

    Examples:
      | path   | late | outcome                  |
      | /pay/  | 1.6  | refused and not executed |
      | /look/ | 1.6  | refused and not executed |
      | /chat/ | 1.6  | refused and not executed |
      | /pay/  | 0.1  | answered                 |
