Feature: Retries of relayed requests and the truth of their refusals
  Upstreams are scripted: the first attempt follows the script's first entry,
  the second one the next entry, and so on.

  Scenario Outline: A call that must not be retried
    Given relays: a <kind> route with <attempts> attempts and 3 upstreams
    When relays: upstreams answer <script>
    Then relays: the client gets <result> after <sent> attempts

    Examples:
      | kind   | attempts | script            | result | sent     |
      | unsafe | 1        | 200               | 200    | 1        |
      | unsafe | 1        | 500               | 500    | 1        |
      | unsafe | 1        | not_run, 200      | 200    | 2        |
      | unsafe | 1        | unreachable, 200  | 200    | 2        |
      | unsafe | 1        | lost, 200         | 502    | 1        |
      | unsafe | 1        | crossed, 200      | 502    | 1        |
      | unsafe | 1        | cut, 200          | 502    | 1        |
      | unsafe | 1        | 503               | 502    | 1        |
      | unsafe | 1        | hang              | 504    | 1        |

  Scenario Outline: A call that may be retried
    Given relays: a <kind> route with <attempts> attempts and 3 upstreams
    When relays: upstreams answer <script>
    Then relays: the client gets <result> after <sent> attempts

    Examples:
      | kind | attempts | script           | result | sent     |
      | safe | 2        | lost, 200        | 200    | 2        |
      | safe | 2        | 500, 200         | 200    | 2        |
      | safe | 2        | 500, 500, 200    | 500    | 2        |
      | safe | 2        | hang, 200        | 200    | 2        |
      | safe | 2        | lost, lost, 200  | 502    | 2        |
      | safe | 1        | 500, 200         | 500    | 1        |
      | safe | 2        | cut, 200         | 200    | 2        |

  Scenario Outline: A stream
    Given relays: a <kind> route with <attempts> attempts and 3 upstreams
    When relays: upstreams answer <script>
    Then relays: the client gets <result> after <sent> attempts
    And relays: the client's events are in order, each once

    Examples:
      | kind      | attempts | script                | result | sent     |
      | stream    | 1        | events                | whole  | 1        |
      | stream    | 1        | not_run, events       | whole  | 2        |
      | stream    | 1        | lost, events          | 502    | 1        |
      | stream    | 1        | cut_events, events    | broken | 1        |
      | resumable | 2        | cut_events, events    | whole  | 2        |
      | resumable | 2        | mute_events, events   | whole  | 2        |
      | resumable | 2        | lost, events          | whole  | 2        |
      | resumable | 2        | hang, events          | whole  | 2        |
      | resumable | 1        | cut_events, events    | broken | 1        |

  # Guards against an error, or a stream from its beginning, that reaches the
  # client in the middle of a stream, and against ending such a stream as
  # complete.
  Scenario Outline: A stream breaks off and the next upstream doesn't continue it
    Given relays: a resumable route with <attempts> attempts and 3 upstreams
    When relays: upstreams answer <script>
    Then relays: the client gets <result> after <sent> attempts
    And relays: the client's events are in order, each once

    Examples:
      | attempts | script                               | result | sent |
      | 2        | cut_events, 500                      | broken | 2    |
      | 2        | cut_events, 404                      | broken | 2    |
      | 2        | cut_events, 200                      | broken | 2    |
      | 2        | cut_events, cut                      | broken | 2    |
      | 3        | cut_events, 500, events              | whole  | 3    |
      | 2        | cut_events, not_run, events          | whole  | 3    |
      | 2        | cut_events, restarted_events         | broken | 2    |
      | 3        | cut_events, restarted_events, events | whole  | 3    |

  # Guards against judging a version that generates tokens slowly by the time
  # to the first token alone.
  Scenario Outline: The interval of a stream's events is recorded for its version
    Given relays: a stream route with 1 attempts and 3 upstreams
    When relays: upstreams answer <script>
    Then relays: the client gets <result> after 1 attempts
    And relays: its event interval is recorded once, as <seconds> s an event

    Examples:
      | script      | result | seconds |
      | events      | whole  | 0       |
      | slow_events | whole  | 0.2     |
      | cut_events  | broken | 0       |

  Scenario: Retries stop when the budget is exhausted
    Given relays: a safe route with 2 attempts and 3 upstreams
    And relays: the retry budget is exhausted
    When relays: upstreams answer lost, 200
    Then relays: the client gets 502 after 1 attempts

  Scenario: A service without upstreams
    Given relays: a unsafe route with 1 attempts and 0 upstreams
    When relays: upstreams answer 200
    Then relays: the client gets 503 after 0 attempts
    And relays: the refusal has a Retry-After

  Scenario: A client disconnects
    Given relays: a safe route with 2 attempts and 3 upstreams
    When relays: the client disconnects while the upstream works
    Then relays: the upstream's response is closed

  Scenario: A client disconnects from a call that must not be retried
    Given relays: a unsafe route with 1 attempts and 3 upstreams
    When relays: the client disconnects while the upstream works
    Then relays: the call completes and is counted

  Scenario Outline: The host is suspended past a request's deadline
    Given relays: a <kind> route with <attempts> attempts and 3 upstreams
    And relays: the host is suspended for <seconds> seconds before it sends
    When relays: upstreams answer 200
    Then relays: the client gets <result> after <sent> attempts

    Examples:
      | kind   | attempts | seconds | result | sent     |
      | unsafe | 1        | 6       | 503    | 0        |
      | safe   | 2        | 6       | 503    | 0        |
      | unsafe | 1        | 1       | 200    | 1        |

  Scenario: A client disconnects before its call was sent
    Given relays: a unsafe route with 1 attempts and 3 upstreams
    And relays: the refresh after a pause takes 0.3 seconds
    When relays: the client disconnects while the upstream works
    Then relays: nothing was sent

  # Guards against requests that are sent on after their client has closed.
  Scenario Outline: A client disconnects before an upstream runs its request
    Given relays: a <kind> route with <attempts> attempts and 3 upstreams
    When relays: the client disconnects while upstreams answer <script>
    Then relays: <sent> upstreams received the request
    And relays: the request's quota is refunded

    Examples:
      | kind      | attempts | script                       | sent |
      | unsafe    | 1        | late_connect_timeout, 200    | 0    |
      | unsafe    | 1        | late_connect, 200            | 0    |
      | unsafe    | 1        | late_refusal, 200            | 1    |
      | safe      | 2        | late_connect_timeout, 200    | 0    |
      | safe      | 2        | late_connect, 200            | 0    |
      | stream    | 1        | late_connect_timeout, events | 0    |
      | resumable | 2        | late_connect, events         | 0    |

  Scenario Outline: All upstreams of a plain service are silent
    Given relays: a <kind> route with 1 attempts and 3 upstreams
    And relays: all upstreams are silent
    When relays: upstreams answer <script>
    Then relays: the client gets <result> after <sent> attempts

    Examples:
      | kind   | script | result | sent     |
      | unsafe | 200    | 503    | 0        |
      | safe   | 200    | 503    | 0        |
      | stream | events | whole  | 1        |

  Scenario: A call is refused at once while all upstreams are silent
    Given relays: a unsafe route with 1 attempts and 3 upstreams
    And relays: all upstreams are silent
    When relays: upstreams answer 200
    Then relays: the refusal has a Retry-After of 1.5 seconds
