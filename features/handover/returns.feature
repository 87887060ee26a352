Feature: Callers that reconnect get the rest of their answers
  A request id with an offset suffices, and is checked against the record.

  Scenario: A caller that lost its connection gets the rest from any host
    Given a shared fleet for handovers
    When a caller loses its connection after 20 of 60 tokens
    And it reconnects to another entry host
    Then each caller gets its own whole answer

  Scenario: A caller that lost the end of its answer gets the rest
    Given a shared fleet for handovers
    When a caller of 30 tokens reconnects for the last 5
    Then it gets the last 5 tokens once

  Scenario: A caller with a different text does not get the rest
    Given a shared fleet for handovers
    When a caller of 30 tokens reconnects with a different text of 25
    Then it is refused with 410 as "text_lost" and ran "unknown"

  Scenario: An unknown request id
    Given a shared fleet for handovers
    When a caller reconnects with the event id "nobody:7"
    Then it is refused with 404 as "unknown_stream" and ran "unknown"

  Scenario: An event id that makes no sense
    Given a shared fleet for handovers
    When a caller reconnects with the event id "nonsense"
    Then it is refused with 400 as "bad_request" and ran "no"

  Scenario: An event id with an invalid digest
    Given a shared fleet for handovers
    When a caller reconnects with the event id "nobody:7-xyz"
    Then it is refused with 400 as "bad_request" and ran "no"

  Scenario: A request id used for another prompt
    Given a shared fleet for handovers
    When a caller sends two prompts under one id to two hosts
    Then it is refused with 422 as "id_reused" and ran "no"

  Scenario: Another workspace does not get the answer
    Given a shared fleet for handovers
    When a caller of another workspace reconnects to a request
    Then it is refused with 401 as "not_authorized" and ran "no"

  Scenario: No holder has room
    Given a fleet whose hosts have no memory for records
    When a caller streams through the first entry host
    Then it is refused with 503 as "host_full" and ran "no"
    And no engine was sent anything

  Scenario: No other host can be reached
    Given a fleet for handovers behind relays
    And zone-c is cut off from everything
    When a caller streams through the last entry host
    Then each caller gets its own whole answer
    And the last entry host counted "events.handovers.unheld"
