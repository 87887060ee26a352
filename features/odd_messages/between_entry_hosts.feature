Feature: A malformed message of another host stops no entry host
  Entry hosts exchange messages by gRPC. One that can't be read, or that no
  host would send, changes nothing: requests are served as before.

  # Guards against entry hosts that exit or fail requests after one malformed
  # message.
  Scenario Outline: One message to each entry host is malformed
    Given a running fleet
    When another process sends <method> with <fault> to each entry host
    And a caller streams 12 tokens through each entry host
    Then each caller gets its own whole answer
    When a caller makes the call "heat-lookup" through each entry host
    Then each call is answered with status 200
    And no task of an entry host has failed

    Examples:
      | method         | fault                               |
      | Probe          | bytes that are no message           |
      | Probe          | nothing                             |
      | Probe          | an unknown state                    |
      | Probe          | an address that is none             |
      | ProbeFor       | nothing                             |
      | Push           | nothing                             |
      | Push           | a body that is not compressed       |
      | Push           | a body that is no text              |
      | Push           | a body that expands to 64 MB        |
      | Pull           | an unknown topic                    |
      | PushFacts      | bytes that are no message           |
      | PushFacts      | a fact without a rank               |
      | PushFacts      | a fact that is no poison entry      |
      | PushFacts      | a fact that expires at no number    |
      | ExchangeFacts  | nothing                             |
      | CollectTallies | nothing                             |
      | MarkLeaving    | bytes that are no message           |
      | MarkLeaving    | nothing                             |
      | MarkLeaving    | a departure in no number of seconds |
      | MarkLeaving    | a departure without an end          |
      | MarkLeaving    | a departure of long ago             |
      | Hold           | nothing                             |
      | Hold           | a prompt that is none               |
      | Hold           | an unknown engine                   |
      | Update         | nothing                             |
      | Take           | nothing                             |
      | Submit         | nothing                             |
      | Submit         | a time that is none                 |
      | Submit         | an outcome of no kind               |
      | Report         | nothing                             |
