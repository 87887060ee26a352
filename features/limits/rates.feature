Feature: A workspace's rate limit holds over all entry hosts
  Each host admits its part of the rate, without a call per request.

  Scenario: A workspace over its rate limit gets its rate and no more
    Given limits of 12/s for a workspace over three hosts
    When limits: the workspace sends 40/s for 3 seconds to all hosts
    Then limits: between 90% of the rate and the rate with its burst get in
    And limits: the others are refused as not run, with a retry time
    And limits: another workspace is not refused

  Scenario: No side of a network partition uses the other side's part
    Given limits of 12/s for a workspace over three hosts
    When limits: zone-c is cut off
    And limits: the workspace sends 40/s for 3 seconds to all hosts
    Then limits: between 90% of the rate and the rate with its burst get in
