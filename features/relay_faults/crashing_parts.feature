Feature: A part of prompts that crashes upstreams is refused
  Requests with it have different bodies and reach any host. Sound requests
  share their workspace and all their other parts. A crashed upstream returns
  half a second later as a new process.

  # Guards against requests with a common part that crash upstream after
  # upstream because no two of them are alike.
  Scenario Outline: Requests with the part are refused, <hosts> hosts, <path>
    Given wire: <hosts> relay hosts before engines that a part can crash
    When wire: 12 requests to <path> with a deadly part are sent beside sound ones, at hosts in turn
    Then wire: at most 5 upstreams have crashed
    And wire: the last 6 requests with the deadly part were refused with 503 and not executed
    And wire: sound requests sent after the fifth crash were served

    Examples:
      | hosts | path   |
      | 1     | /chat/ |
      | 3     | /chat/ |
      | 3     | /ask/  |

  # Guards against hosts that start anew and don't know the refused parts.
  Scenario: Restarted hosts know the refused parts
    Given wire: 2 relay hosts before engines that a part can crash
    When wire: 8 requests to /chat/ with a deadly part are sent beside sound ones, at hosts in turn
    And wire: all hosts restart
    And wire: 6 requests to /chat/ with a deadly part are sent beside sound ones, at hosts in turn
    Then wire: at most 5 upstreams have crashed

  # Guards against hosts that are cut off from each other and never hear which
  # parts others refuse.
  Scenario: Hosts without links to each other read the refused parts
    Given wire: 3 relay hosts before engines that a part can crash
    When wire: links between hosts are cut
    And wire: 16 requests to /chat/ with a deadly part are sent beside sound ones, at hosts in turn
    Then wire: at most 3 upstreams have crashed more than 3 seconds after the fifth
    And wire: the last 3 requests with the deadly part were refused with 503 and not executed
