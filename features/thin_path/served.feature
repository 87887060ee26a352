Feature: A request is served from end to end by separate processes
  Callers reach upstreams through any entry host, which took its rules
  from the platform's store.

  Scenario: An entry host at rest stays within its memory
    Given a running fleet
    Then no entry host has more than 65536 kB resident

  Scenario: Each entry host streams a whole answer
    Given a running fleet
    When a caller streams 12 tokens through each entry host
    Then each caller gets its own whole answer

  Scenario: Each entry host runs a non-idempotent call once
    Given a running fleet
    When a caller makes the call "pay" through each entry host
    Then each call is answered with status 200
    And the plain services ran each of these calls once

  Scenario: A call's query reaches the service as it was sent
    Given a running fleet
    When a caller makes the call "heat-lookup?of=a%26b%3D1&of=c+d" through each entry host
    Then each call is answered with status 200
    And the plain services were sent the query "of=a%26b%3D1&of=c+d" each time

  Scenario: A stream goes on elsewhere when its engine dies
    Given a fresh fleet
    When a caller streams 400 tokens and every engine but one is killed
    Then each caller gets its own whole answer

  Scenario: A malformed request is refused with its place
    Given a running fleet
    When a caller sends a chat request without messages
    Then it is refused as "bad_request" with ran "no" naming "messages"

  Scenario: A graceful stop cuts off nothing
    Given a fresh fleet
    When a caller streams 200 tokens and the entry host is asked to stop
    Then each caller gets its own whole answer
    And the entry host has ended with exit code 0
