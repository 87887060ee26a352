Feature: What the daemon does can be read and counted
  Logs are JSON lines with the same fields in each, and every refusal and
  retry is counted to statsd.

  Scenario: Every log line is JSON with the same fields
    Given a fleet that counts to a statsd listener
    When a caller is refused through the first entry host
    Then every line of every entry host's log is JSON with all fields
    And the refusal's line has its request id, step and reason

  Scenario: Refusals and retries reach statsd under their reasons
    Given a fleet that counts to a statsd listener
    When a caller is refused through the first entry host
    And a stream is retried because engines refuse work
    Then statsd has counted "buckthornhold.refusals.unknown_model"
    And statsd has counted "buckthornhold.retries.upstream_refused"
    And statsd has counted nothing that the page on counters does not name

  Scenario: A log that nobody reads stops nothing
    Given an embedded daemon whose log nobody reads
    When 3000 requests are refused
    Then the daemon answers still
    And the log, once it is read, says how many lines were dropped
