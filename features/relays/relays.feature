Feature: A relayed request runs as often as it may, and its refusal is true
  Upstreams are scripted; the first that is asked follows the script's first
  entry, the next one the second, and so on.

  Scenario Outline: A call that may not be repeated
    Given relays: a <kind> route with <attempts> attempts and 3 upstreams
    When relays: upstreams answer <script>
    Then relays: the caller gets <result> after <sendings> sendings

    Examples:
      | kind   | attempts | script            | result | sendings |
      | unsafe | 1        | 200               | 200    | 1        |
      | unsafe | 1        | 500               | 500    | 1        |
      | unsafe | 1        | not_run, 200      | 200    | 2        |
      | unsafe | 1        | unreachable, 200  | 200    | 2        |
      | unsafe | 1        | lost, 200         | 502    | 1        |
      | unsafe | 1        | crossed, 200      | 502    | 1        |
      | unsafe | 1        | cut, 200          | 502    | 1        |
      | unsafe | 1        | 503               | 502    | 1        |
      | unsafe | 1        | hang              | 504    | 1        |

  Scenario Outline: A call that may be repeated
    Given relays: a <kind> route with <attempts> attempts and 3 upstreams
    When relays: upstreams answer <script>
    Then relays: the caller gets <result> after <sendings> sendings

    Examples:
      | kind | attempts | script           | result | sendings |
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
    Then relays: the caller gets <result> after <sendings> sendings
    And relays: the caller's events are in order, each once

    Examples:
      | kind      | attempts | script                | result | sendings |
      | stream    | 1        | events                | whole  | 1        |
      | stream    | 1        | not_run, events       | whole  | 2        |
      | stream    | 1        | lost, events          | 502    | 1        |
      | stream    | 1        | cut_events, events    | broken | 1        |
      | resumable | 2        | cut_events, events    | whole  | 2        |
      | resumable | 2        | mute_events, events   | whole  | 2        |
      | resumable | 2        | lost, events          | whole  | 2        |
      | resumable | 2        | hang, events          | whole  | 2        |
      | resumable | 1        | cut_events, events    | broken | 1        |

  # Guards against a version that makes tokens slowly and is judged by the time
  # to the first of them alone.
  Scenario Outline: How fast a stream's events come counts for its version
    Given relays: a stream route with 1 attempts and 3 upstreams
    When relays: upstreams answer <script>
    Then relays: the caller gets <result> after 1 sendings
    And relays: its pace is counted once, with <seconds> s an event

    Examples:
      | script      | result | seconds |
      | events      | whole  | 0       |
      | slow_events | whole  | 0.2     |
      | cut_events  | broken | 0       |

  Scenario: Repeats end with the budget
    Given relays: a safe route with 2 attempts and 3 upstreams
    And relays: no repeat is left of the budget
    When relays: upstreams answer lost, 200
    Then relays: the caller gets 502 after 1 sendings

  Scenario: There is no upstream
    Given relays: a unsafe route with 1 attempts and 0 upstreams
    When relays: upstreams answer 200
    Then relays: the caller gets 503 after 0 sendings
    And relays: the refusal says when to come back

  Scenario: A caller leaves
    Given relays: a safe route with 2 attempts and 3 upstreams
    When relays: the caller leaves while the upstream works
    Then relays: the upstream's answer is closed

  Scenario: A caller leaves a call that may not be repeated
    Given relays: a unsafe route with 1 attempts and 3 upstreams
    When relays: the caller leaves while the upstream works
    Then relays: the call goes on and is counted

  Scenario Outline: The host stands still past a request's deadline
    Given relays: a <kind> route with <attempts> attempts and 3 upstreams
    And relays: the host stands still for <seconds> seconds before it sends
    When relays: upstreams answer 200
    Then relays: the caller gets <result> after <sendings> sendings

    Examples:
      | kind   | attempts | seconds | result | sendings |
      | unsafe | 1        | 6       | 503    | 0        |
      | safe   | 2        | 6       | 503    | 0        |
      | unsafe | 1        | 1       | 200    | 1        |

  Scenario: A caller leaves a call that was not sent yet
    Given relays: a unsafe route with 1 attempts and 3 upstreams
    And relays: the host reads again what it knows for 0.3 seconds
    When relays: the caller leaves while the upstream works
    Then relays: nothing was sent

  Scenario Outline: No upstream of a plain service has a word for anybody
    Given relays: a <kind> route with 1 attempts and 3 upstreams
    And relays: all upstreams have said nothing for long
    When relays: upstreams answer <script>
    Then relays: the caller gets <result> after <sendings> sendings

    Examples:
      | kind   | script | result | sendings |
      | unsafe | 200    | 503    | 0        |
      | safe   | 200    | 503    | 0        |
      | stream | events | whole  | 1        |

  Scenario: A call that can't be served is refused at once
    Given relays: a unsafe route with 1 attempts and 3 upstreams
    And relays: all upstreams have said nothing for long
    When relays: upstreams answer 200
    Then relays: the refusal says to come back in 1.5 seconds
