Feature: Hosts share a workspace's rate by what is requested
  Runs without a network: hosts hear the others' totals 0.5 to 2 s late, send
  to them unevenly, and each request is 200 to 30,000 tokens.

  # Guards against levels that hosts use up together and then refuse all.
  Scenario Outline: A workspace sends far more than its rate
    When shared rates: <hosts> hosts get <factor> times the rate, fault "<fault>", seed <seed>
    Then shared rates: no window is over the bound
    And shared rates: windows of the surge admit 0.95 of the limit
    And shared rates: small calls are admitted nearly always
    And shared rates: large requests are admitted like others of their urgency

    Examples:
      | hosts | factor | fault     | seed |
      | 9     | 4      | none      | 1    |
      | 9     | 10     | killed    | 2    |
      | 80    | 4      | none      | 3    |
      | 80    | 10     | partition | 4    |

  # Guards against a run in which the new code only looks good as every code
  # would: today's levels exceed the bound in the same one.
  Scenario: Levels exceed the bound in the same run
    When shared rates: 80 hosts with levels get 10 times the rate, seed 3
    Then shared rates: a window is over the bound

  Scenario: Below the limit hardly any request is refused
    When shared rates: 9 hosts get 1 times the rate, fault "none", seed 5
    Then shared rates: 0.95 of the requested units are admitted

  # Guards against refusals below the limit: clumps of few requests that are
  # taken for a surge, also in the first seconds after all hosts start.
  Scenario Outline: Below the limit requests are admitted from the start on
    When shared rates: <hosts> hosts get 0.55 of <rate> units a second, seed <seed>
    Then shared rates: less than <part> of the requests are refused
    And shared rates: no refused request waits longer than 0.6 seconds

    Examples:
      | hosts | rate   | seed | part  |
      | 9     | 13000  | 6    | 0.002 |
      | 21    | 30000  | 7    | 0.002 |
      | 80    | 13000  | 8    | 0.002 |
      | 21    | 508807 | 9    | 0.002 |

  Scenario: Urgent requests go first and others keep a floor
    When shared rates: urgencies 0, 1 and 2 request 600, 600 and 600 units a second of 1000
    Then shared rates: their parts are 1.00, 0.50 and 0.17

  Scenario: Small requests go before all urgencies
    When shared rates: urgency 0 requests 5000 and small ones 150 units a second of 1000
    Then shared rates: all small ones are admitted

  # Guards against a limit that is reached for good by requests that never ran.
  Scenario: Units of requests that were not run are refunded
    Given shared rates: a host alone, 100 units a second
    When shared rates: 2000 times a unit is requested and refunded
    Then shared rates: nothing was refused and nothing is reported as admitted

  Scenario: A lower limit comes into force
    Given shared rates: a host alone, 1000 units a second
    When shared rates: 2000 units a second are requested for 12 seconds
    And shared rates: the limit is lowered to 200 units a second
    And shared rates: 2000 units a second are requested for 24 seconds
    Then shared rates: the last 16 seconds admit 0.9 to 1.1 of the new limit

  # Guards against refused callers that return together, or too early for
  # another try within their time.
  Scenario: Refused requests return at different times
    Given shared rates: a host alone, 100 units a second
    When shared rates: 1000 units a second are requested for 8 seconds
    Then shared rates: the times to wait differ and are 0.2 to 12 seconds

  Scenario: A returning request is admitted more often than a new one
    Given shared rates: a host alone, 100 units a second
    When shared rates: 300 units a second, new and returning ones, are requested for 20 seconds
    Then shared rates: returning ones are admitted at least 1.3 times as often

  # Guards against an aggregate that loses the requested units, or that a host
  # of an earlier build reads as negative demand.
  Scenario: Requested units survive aggregation
    Given shared rates: summaries of three hosts, one without requested units
    When shared rates: a collector adds them up twice and one is subtracted
    Then shared rates: the increases are those of the other hosts

  Scenario: Hosts of an earlier build share the limit
    When shared rates: 9 hosts, every third of an earlier build, get 4 times the rate
    Then shared rates: no window is over the bound
