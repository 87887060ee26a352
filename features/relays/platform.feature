Feature: Relay hosts on the users' platform
  The real daemon's parts before a stand-in of the platform's protocol.

  Scenario: A call goes to a worker as it came, but for what the system sets
    Given wire: a relay host
    When wire: a call is sent with headers that only the system may set
    Then wire: the worker got the call's bytes and the system's headers
    And wire: the caller got the worker's status, body and seal

  Scenario Outline: What a worker does wrong never looks right
    Given wire: a relay host
    When wire: both workers of <path> end the next requests with <word>
    And wire: <path> is asked
    Then wire: the caller gets <result>

    Examples:
      | path  | word           | result |
      | /pay/ | 200            | 200    |
      | /pay/ | 500            | 500    |
      | /pay/ | lost           | 502    |
      | /pay/ | cut            | 502    |
      | /pay/ | crossed        | 502    |
      | /pay/ | unframed       | 200    |
      | /pay/ | reset_unframed | 502    |
      | /pay/ | not_run        | 503    |
      | /ask/ | 200            | whole  |
      | /ask/ | cut            | whole  |
      | /chat/ | cut           | broken |
      | /chat/ | lost          | 502    |

  Scenario: Unasked bytes on a resting connection reach no caller
    Given wire: a relay host
    When wire: both workers of /pay/ end the next requests with extra
    And wire: /pay/ is asked 6 times with pauses
    Then wire: each caller gets its own answer

  Scenario: A request is known by route and key
    Given wire: a relay host
    Then wire: /nowhere/ gives 404
    And wire: /pay/ gives 401 with the key unknown
    And wire: /pay/ gives 401 without a key
    And wire: /pay/ gives 400 without an id
    And wire: /chat/ gives 400 with bad token counts
    And wire: no worker ran anything

  Scenario: A key that is taken away holds no longer
    Given wire: a relay host
    When wire: a configuration without the key is written
    Then wire: /pay/ is soon answered with 401

  Scenario: A new configuration comes though the store forgets its history
    Given wire: a relay host
    When wire: the store forgets its history
    And wire: a configuration without the key is written
    Then wire: /pay/ is soon answered with 401

  Scenario: A worker that drains gets no more, from any host
    Given wire: 2 relay hosts
    When wire: plain-1 drains
    Then wire: plain-1 soon gets nothing from any host

  Scenario: The store goes away and requests are served on
    Given wire: a relay host
    When wire: the store goes away
    Then wire: /pay/ gives 200
    When wire: the store is back
    And wire: a configuration without the key is written
    Then wire: /pay/ is soon answered with 401

  Scenario: Each window's usage is reported once, by one host
    Given wire: 2 relay hosts
    When wire: /pay/ is asked at both hosts for 2 seconds
    Then wire: the usage of all windows adds up to what workers ran

  Scenario: Usage whose written sum was not acknowledged is not reported anew
    Given wire: 2 relay hosts
    When wire: the store loses the answers of the next 2 writes of sums
    And wire: /pay/ is asked at both hosts for 2 seconds
    Then wire: the usage of all windows adds up to what workers ran

  Scenario: What was counted before all hosts were killed is reported
    Given wire: 2 relay hosts
    When wire: /pay/ is asked at both hosts for 1 seconds
    And wire: 1.5 seconds later all hosts are killed and start again
    Then wire: the usage of all windows adds up to what workers ran

  Scenario: Metrics and readiness are served
    Given wire: a relay host
    When wire: /pay/ is asked
    And wire: /nowhere/ is asked
    Then wire: the metrics count a call with 200 and a refusal of unknown_path
    And wire: the balancer is told that the host is ready

  Scenario: A body over the limit is refused before it is read
    Given wire: a relay host
    When wire: a body of 5 MB is sent to /pay/
    Then wire: the caller gets 413
    And wire: no worker ran anything

  Scenario: A limit of tokens is told with a time to come back
    Given wire: a relay host
    When wire: the workspace is limited to 100 tokens a second
    Then wire: one of 30 requests of 100 tokens is refused with 429

  Scenario: A host that is told to stop answers what it was asked
    Given wire: a relay host
    When wire: it is told to stop while callers keep connections open
    Then wire: each request was answered or its connection was closed unread
    And wire: no connection stays open with nobody to answer

  # Found by a hunted day: a connection whose last body came late was left open
  # at the stop, with nobody to answer on it.
  Scenario Outline: A host is told to stop while something still arrives
    Given wire: a relay host
    When wire: it stops listening once <arrived> has arrived
    Then wire: the caller is <outcome>

    Examples:
      | arrived                          | outcome                    |
      | the body of a refused request    | told at once to leave      |
      | half of a request's head         | answered, and told to leave |
      | half of a request's body         | answered, and told to leave |
