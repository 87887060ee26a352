Feature: A request that crashes upstreams is refused after the second crash
  Copies of it, with the same path, client and body, reach any host. A crashed
  upstream returns half a second later as a new process.

  # Guards against each host sending the request again because hosts don't share
  # which requests were running when an upstream crashed.
  Scenario Outline: The request is refused once it has crashed two upstreams
    Given wire: <hosts> relay hosts before upstreams that can be crashed
    When wire: a crashing request is sent to <path> 12 times, at hosts in turn
    Then wire: at most 2 upstreams have crashed
    And wire: its last copies were refused with 503 and not executed
    And wire: other requests to <path> are served by each host

    Examples:
      | hosts | path   |
      | 1     | /pay/  |
      | 3     | /pay/  |
      | 3     | /look/ |
      | 3     | /chat/ |
      | 3     | /ask/  |

  # Guards against hosts that are cut off from each other and decide only by
  # the crashes that they have seen themselves.
  Scenario: Hosts without links to each other read the crashes from the store
    Given wire: 3 relay hosts before upstreams that can be crashed
    When wire: links between hosts are cut
    And wire: a crashing request is sent to /pay/ 12 times, at hosts in turn
    Then wire: at most 6 upstreams have crashed
    And wire: at most 3 of them more than 3 seconds after the third
    And wire: its last copies were refused with 503 and not executed

  # Guards against hosts that start after the crashes and don't load them.
  Scenario: Restarted hosts know the crashes
    Given wire: 2 relay hosts before upstreams that can be crashed
    When wire: a crashing request is sent to /pay/ 6 times, at hosts in turn
    And wire: all hosts restart
    And wire: a crashing request is sent to /pay/ 4 times, at hosts in turn
    Then wire: at most 2 upstreams have crashed

  # Guards against refusing requests that only ran at the same time.
  Scenario: Requests that were running at the same time are served
    Given wire: 2 relay hosts before upstreams that can be crashed
    When wire: 12 other requests to /ask/ are running while it is sent 6 times
    Then wire: each of the others is served, at the latest on its retry

  # Guards against taking a broken connection for a crash.
  Scenario: Broken connections do not count as a crash
    Given wire: 2 relay hosts before upstreams that can be crashed
    When wire: upstreams abort /look/ 12 times and keep running
    Then wire: other requests to /look/ are served by each host
    And wire: the same request to /look/ is served by each host
