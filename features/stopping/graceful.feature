Feature: A graceful stop cuts off nothing
  On SIGTERM the host is unready at once, refuses new work honestly, lets
  everything in flight end and goes away.

  Scenario: New work is refused while what is in flight goes on
    Given an entry host with a stream, a slow call and an idle connection
    When the entry host is asked to stop
    Then it is unready at once
    And a request on the idle connection is refused as "host_draining" and closed
    And a new request is refused as "host_draining" with ran "no"
    And the stream and the slow call end whole
    And the stopped host ends with exit code 0 within 10 seconds

  Scenario: A request whose body comes late is refused and not cut off
    Given an entry host with half a request and nothing else
    When the entry host is asked to stop
    And the other half comes once it is unready
    Then the late request is refused as "host_draining" with ran "no"
    And the stopped host ends with exit code 0 within 10 seconds

  Scenario: A stop while the platform is down cuts off nothing
    Given an entry host with a stream, a slow call and an idle connection
    And the platform does not answer
    When the entry host is asked to stop
    Then the stream and the slow call end whole
    And the stopped host ends with exit code 0 within 10 seconds

  Scenario: A stop that would never end stops at its time limit
    Given an entry host that drains for 1 second at most, with a long stream
    When the entry host is asked to stop
    Then the stopped host ends with exit code 0 within 10 seconds
