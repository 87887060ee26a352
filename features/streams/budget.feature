Feature: Repeats of model requests stay within the host's budget
  Requests without a first token are repeated within the budget that plain
  calls have as well. An answer that has begun is never given up for it.

  Scenario Outline: Engines that all fail by <fault> get no more work for it
    Given a fleet for streams with a budget of 10 repeats
    And all its engines have the fault <fault>
    When 100 callers ask the first entry host for a stream
    Then each is refused with ran "<ran>" and when to come back
    And the engines had at most 110 attempts
    And some are refused as "retry_budget"

    Examples:
      | fault                         | ran     |
      | refuse_work=true              | no      |
      | bad_versions={"v1": "fail"}   | unknown |

  Scenario: Engines that are all dead are not tried again and again
    Given a fleet for streams with a budget of 10 repeats
    And all its engines are killed
    When 100 callers ask the first entry host for a stream
    Then each is refused with ran "no" and when to come back
    And at most 30 attempts were repeats

  Scenario: An engine's Retry-After holds for all requests of a host
    Given a fleet for streams with a budget of 10 repeats
    And all its engines ask for 3 seconds without work
    When 1 callers ask the first entry host for a stream
    And 20 callers ask the first entry host for a stream
    Then each is refused with ran "no" and when to come back
    And the engines had at most 3 attempts
    And they are told to come back after 2 to 3 seconds

  Scenario: An answer that has begun outlives an empty budget
    Given a fleet for streams with a budget of 10 repeats
    When 9 callers stream 400 tokens while the budget is used up and an engine dies
    Then each caller gets its own whole answer
    And the entry hosts counted retries for "stream_truncated"
