Feature: A request that crashes upstreams is not sent to one after the other
  It comes again, with the same path, caller and body, at any host. A crashed
  upstream is back half a second later as another process.

  # Guards against a request that each host sends anew, as no host remembers
  # which requests were running when an upstream crashed.
  Scenario Outline: It is refused once it has crashed two upstreams
    Given wire: <hosts> relay hosts before upstreams that can be crashed
    When wire: a crashing request is sent to <path> 12 times, at hosts in turn
    Then wire: at most 2 upstreams have crashed
    And wire: its last copies were refused with 503 and not run
    And wire: other requests to <path> are served by each host

    Examples:
      | hosts | path   |
      | 1     | /pay/  |
      | 3     | /pay/  |
      | 3     | /look/ |
      | 3     | /chat/ |
      | 3     | /ask/  |

  # Guards against hosts that are cut off from each other and judge only by
  # what they have seen themselves.
  Scenario: Hosts without links to each other learn of it from the store
    Given wire: 3 relay hosts before upstreams that can be crashed
    When wire: hosts reach each other no more
    And wire: a crashing request is sent to /pay/ 12 times, at hosts in turn
    Then wire: at most 6 upstreams have crashed
    And wire: at most 3 of them more than 3 seconds after the third
    And wire: its last copies were refused with 503 and not run

  # Guards against hosts that start after the crashes and know nothing of them.
  Scenario: Hosts that start anew know it
    Given wire: 2 relay hosts before upstreams that can be crashed
    When wire: a crashing request is sent to /pay/ 6 times, at hosts in turn
    And wire: all hosts start anew
    And wire: a crashing request is sent to /pay/ 4 times, at hosts in turn
    Then wire: at most 2 upstreams have crashed

  # Guards against refusing those that only ran beside it.
  Scenario: Requests that were running beside it are served
    Given wire: 2 relay hosts before upstreams that can be crashed
    When wire: 12 other requests to /ask/ are running while it is sent 6 times
    Then wire: each of the others is served, at the latest when sent again

  # Guards against taking a broken connection for a crash.
  Scenario: Connections that break are no crash
    Given wire: 2 relay hosts before upstreams that can be crashed
    When wire: upstreams break off /look/ 12 times and run on
    Then wire: other requests to /look/ are served by each host
    And wire: the same request to /look/ is served by each host
