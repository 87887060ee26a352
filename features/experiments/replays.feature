Feature: A replay passes or falls short of its trace's stated outcomes
  Each outcome is held against what the callers of the replay saw.

  Scenario: A run that reaches every outcome passes
    Given replays: a run that reaches every outcome of its trace
    Then replays: it falls short of nothing

  Scenario Outline: A run that misses one outcome falls short of it alone
    Given replays: a run that reaches every outcome of its trace
    When replays: its <figure> is <value>
    Then replays: it falls short of <outcome> alone

    Examples:
      | figure          | value | outcome         |
      | first_token_p95 | 0.92  | first_token_p95 |
      | gap_p95         | 0.071 | gap_p95         |
      | call_p95        | 0.51  | call_p95        |
      | refusal_p99     | 0.051 | refusal_p99     |
      | wrong           | 1     | wrong           |
      | doubles         | 1     | doubles         |
      | lost            | 1     | lost            |
      | gave_up         | 1     | gave_up         |
      | answered        | 99    | goodput         |

  Scenario: A replay that falls short ends with an exit status that says so
    When replays: a trace is replayed that asks for calls faster than any
    Then replays: the command exits with 1 and names call_p95
