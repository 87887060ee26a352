Feature: A service moves to a good version before the deadline and to no bad one
  Requests of three routes arrive at several hosts during the whole move.
  Decisions depend on the counts and on a clock that the scenario sets.

  Scenario Outline: A version that <fault>
    Given moves: a service with <rate> requests/s, ordered to v2 within <seconds> s
    When moves: v2 <fault> and the time passes
    Then moves: the move is <state> by its deadline
    And moves: at most 0.1 of the requests and 50 more reached a bad version
    And moves: a bad version got no request 5 s after its 50th bad answer

    Examples:
      | rate | seconds | fault                     | state      |
      | 85   | 14      | is good                   | done       |
      | 318  | 16      | is good                   | done       |
      | 30   | 16      | is good                   | done       |
      | 85   | 14      | fails half                | taken_back |
      | 318  | 16      | fails half                | taken_back |
      | 85   | 14      | is 8 times as slow        | taken_back |
      | 318  | 16      | is 8 times as slow        | taken_back |
      | 30   | 16      | is 8 times as slow        | taken_back |
      | 85   | 14      | makes tokens 4 times as slowly | taken_back |
      | 318  | 16      | makes tokens 4 times as slowly | taken_back |
      | 30   | 16      | makes tokens 4 times as slowly | taken_back |
      | 318  | 16      | fails half on one route   | taken_back |
      | 318  | 16      | fails half from 5 s on    | taken_back |
      | 318  | 16      | fails half at the end     | done       |

  Scenario: Streams on the old version finish before the move ends
    Given moves: a service with 85 requests/s, ordered to v2 within 14 s
    When moves: v2 is good and the time passes
    Then moves: no stream was running on v1 when the move was done

  Scenario: An outage of both versions is not attributed to the new one
    Given moves: a service with 318 requests/s, ordered to v2 within 16 s
    When moves: both versions fail half and the time passes
    Then moves: the move is done by its deadline

  Scenario: No requests arrive during the move
    Given moves: a service with 0.1 requests/s, ordered to v2 within 14 s
    When moves: v2 is good and the time passes
    Then moves: the move is taken_back by its deadline
    And moves: the reason names "attempts by its time"

  Scenario Outline: An evaluation is due when a transition depends on the clock
    Given moves: a service with 85 requests/s, ordered to v2 within 14 s
    Then moves: in state <state> the next transition is due at <moment> s

    Examples:
      | state      | moment |
      | trial      | 10     |
      | switching  | 13.7   |
      | done       | -      |
      | taken_back | -      |

  Scenario: A later release of the service continues after a move
    Given moves: a service with 85 requests/s, ordered to v2 within 14 s
    When moves: v2 is good and the time passes
    Then moves: the move selects the version until 24 s and no longer
