Feature: Whatever a caller does, it gets a clear answer and nothing leaks
  Each refusal has a reason, says whether the request was run, and is
  counted. Afterwards the host has as many tasks and connections as before.

  Background:
    Given an entry host at rest

  Scenario Outline: A request that can't be served is refused with its reason
    When an odd caller sends <request>
    Then the raw answer has status <status>, reason "<reason>" and ran "no"
    And the counter "refusals.<reason>" has grown
    And the entry host is at rest again

    Examples:
      | request                             | status | reason             |
      | a body that is not JSON             | 400    | bad_request        |
      | a body that is not UTF-8            | 400    | bad_request        |
      | a body of the wrong shape           | 400    | bad_request        |
      | a line that is not HTTP             | 400    | bad_request        |
      | a header without a colon            | 400    | bad_request        |
      | a header that is too long           | 400    | bad_request        |
      | a chunk of the wrong size           | 400    | bad_request        |
      | a body that is not gzip as it says  | 400    | bad_request        |
      | two lengths that differ             | 400    | bad_request        |
      | a length over the limit             | 413    | body_too_large     |
      | chunks over the limit               | 413    | body_too_large     |
      | zeros that unpack over the limit    | 413    | body_too_large     |
      | half a body and then nothing        | 408    | caller_too_slow    |
      | half a head and then nothing        | 408    | caller_too_slow    |
      | a model that no rule names          | 404    | unknown_model      |
      | a service that no rule names        | 404    | unknown_service    |
      | a path that leads nowhere           | 404    | unknown_path       |
      | a method that the path does not take | 405   | method_not_allowed |
      | an encoded slash in an operation    | 400    | bad_request        |
      | encoded dots as an operation        | 400    | bad_request        |
      | an expectation over the limit       | 413    | body_too_large     |

  Scenario: No odd path reached a plain service
    When an odd caller sends an encoded slash in an operation
    And an odd caller sends encoded dots as an operation
    Then the plain services have run nothing

  Scenario: An odd request id is replaced and the answer names the new one
    When a caller streams with a request id of 200 characters
    Then the answer is whole and has a request id of its own

  Scenario: A request id may hold any printable sign
    When a caller streams with a request id of quotes and backslashes
    Then every event is JSON and has that request id

  Scenario: A caller that waits for leave to send its body gets it
    When a caller sends a good request and expects leave to continue
    Then it is told to continue and gets its answer

  Scenario: Requests sent one behind the other are answered in their order
    When a caller sends three requests without waiting for answers
    Then it gets three answers in their order

  Scenario: A caller that goes away mid-stream frees its engine
    When a caller goes away in the middle of a long stream
    Then no engine runs anything within 2 seconds
    And the counter "refusals.caller_gone" has grown
    And the entry host is at rest again

  Scenario: A caller that reads nothing is cut off and not buffered for
    When a caller asks for a long stream and reads nothing
    Then the counter "events.callers.stalled" grows
    And the counter "refusals.caller_too_slow" has grown
    And the entry host held less than 8 MB for it
    And no engine runs anything within 2 seconds
    And the entry host is at rest again

  Scenario: More requests than the host takes are refused for later
    When 40 callers stream at once through a host that takes 32
    Then some are refused as "host_full" with ran "no" and a time to retry
    And all others get their whole answers
    And the entry host is at rest again

  Scenario: A wrong operator token is refused and counted
    When an operator calls with a wrong token
    Then the operator is refused as "not_authorized"
    And the counter "refusals.not_authorized" has grown

  Scenario: More connections than the host takes are refused for later
    When a caller opens 70 connections to a host that takes 64
    Then 6 of them are refused as "host_full"
    And a connection that was taken still serves
    And the entry host is at rest again

  Scenario: A caller goes away while its engine dies
    When a caller goes away while every engine is killed
    Then one refusal is counted, and one alone
    And the entry host is at rest again
