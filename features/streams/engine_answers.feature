Feature: An engine's answer is read however its bytes are cut
  How bodies of engines are framed and in which pieces they arrive must not
  change what a caller gets.

  Scenario Outline: An answer with <framing> in pieces of <size> bytes
    Given an engine that answers 20 tokens with <framing> in pieces of <size>
    When its answer is read 2 times
    Then each time there were 20 tokens in order and the end marker
    And it took <connections> connections

    Examples:
      | framing  | size | connections |
      | chunks   | 1    | 1           |
      | chunks   | 7    | 1           |
      | chunks   | 8192 | 1           |
      | length   | 3    | 1           |
      | length   | 8192 | 1           |
      | close    | 5    | 2           |
      | close    | 8192 | 2           |
      | trailers | 9    | 1           |
      | interim  | 11   | 1           |

  Scenario Outline: An answer with <fault> is a failure
    Given an engine that answers 20 tokens with <fault> in pieces of 9000
    When its answer is read 1 times
    Then it failed as "<reason>" with ran "<ran>"

    Examples:
      | fault        | reason           | ran     |
      | bad size     | upstream_broken  | unknown |
      | long chunk   | upstream_broken  | unknown |
      | early close  | upstream_broken  | yes     |
      | no head      | upstream_broken  | unknown |
      | half head    | upstream_broken  | unknown |
      | cut event    | upstream_broken  | yes     |
      | not http     | upstream_broken  | unknown |
      | long head    | upstream_broken  | unknown |
      | bad length   | upstream_broken  | unknown |
      | no end       | upstream_broken  | yes     |
      | hole         | upstream_broken  | yes     |
      | text offset  | upstream_broken  | yes     |
      | two values   | upstream_broken  | yes     |
      | no token     | upstream_broken  | yes     |
      | list event   | upstream_broken  | yes     |
      | bad utf8     | upstream_broken  | yes     |
      | text count   | upstream_broken  | yes     |
      | refusal      | upstream_refused | no      |

  Scenario: Bytes behind an answer are not taken for the next one
    Given an engine that answers 20 tokens with surplus in pieces of 8192
    When its answer is read 2 times
    Then each time there were 20 tokens in order and the end marker
    And it took 2 connections

  Scenario: An engine that can't be reached did not run
    Given an engine that is not there
    When its answer is read 1 times
    Then it failed as "upstream_unreachable" with ran "no"

  Scenario: What a caller does not read is not read from its engine
    Given an engine that answers 200000 tokens with chunks in pieces of 65536
    When its answer is read by a caller that takes 0.5 s for the first part
    Then the engine could send less than half of it meanwhile
    And each time there were 200000 tokens in order and the end marker

  Scenario: Leaving an answer closes its connection
    Given an engine that answers 200000 tokens with chunks in pieces of 65536
    When its answer is left after the first part
    Then the engine's connection is closed and nothing more is taken
