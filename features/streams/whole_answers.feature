Feature: Each caller gets the whole answer to its own request
  An answer is whole when its offsets have no gap and its end marker counts
  them all. Anything else is a failure, after which another engine goes on
  at the offset.

  Scenario Outline: A stream that is broken by <fault> goes on elsewhere
    Given a fleet for streams
    And all its engines but one have the fault <fault>
    When callers stream 40 tokens each through every entry host
    Then each caller gets its own whole answer
    And the entry hosts counted retries for "<reason>"

    Examples:
      | fault                        | reason           |
      | truncate_after=7             | stream_truncated |
      | answer_fault=wrong_offset    | stream_truncated |
      | answer_fault=double_token    | stream_truncated |
      | answer_fault=early_end       | stream_truncated |
      | answer_fault=garbage         | stream_truncated |
      | stall_after=5                | stream_stalled   |
      | stall_after=5,trickles=true  | stream_stalled   |
      | crossed_answer=true          | answer_crossed   |
      | answer_fault=crossed_attempt | answer_crossed   |
      | refuse_work=true             | upstream_refused |

  Scenario: Answers that are not streamed are held to the same
    Given a fleet for streams
    And all its engines but one have the fault truncate_after=7
    When callers ask for 40 whole tokens each through every entry host
    Then each caller gets its own whole answer

  Scenario Outline: What does not belong to an answer is dropped: <fault>
    Given a fleet for streams
    And all its engines but one have the fault <fault>
    When callers stream 40 tokens each through every entry host
    Then each caller gets its own whole answer
    And the entry hosts counted "events.answers.late_dropped"

    Examples:
      | fault                 |
      | crossed_answer=true   |
      | answer_fault=trailing |

  Scenario: No answer at all is told as such and never as an end
    Given a fleet for streams with 2 s until the deadline
    And all its engines have the fault truncate_after=7
    When one caller streams 40 tokens
    Then it gets a failure "deadline_passed" with ran "yes" and no end

  Scenario: A stream that makes progress outlives the deadline
    Given a fleet for streams with 2 s until the deadline
    And all its engines have the fault slow=0.1
    When one caller streams 40 tokens
    Then each caller gets its own whole answer

  Scenario: A caller that vanishes cancels the engine's work
    Given a fleet for streams
    When a caller of 2000 tokens vanishes after the first ones
    Then the engines are idle within 2 s
    And the entry hosts counted "refusals.caller_gone"

  Scenario: A stream whose engine is paused goes on elsewhere
    Given a fleet for streams
    When callers stream 400 tokens while the busiest engine is paused
    Then each caller gets its own whole answer
    And the entry hosts counted retries for "stream_stalled"

  Scenario: Text that is sampled is kept over a broken stream
    Given a fleet for streams whose engines sample
    And all its engines but one have the fault truncate_after=7
    When callers stream 40 tokens each through every entry host
    Then each caller gets its own whole answer
