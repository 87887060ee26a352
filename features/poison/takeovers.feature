Feature: Suspects whose callers reconnect to another host
  An equal request may run in isolation elsewhere and is waited for. A request
  that was taken over runs nowhere else.

  Scenario Outline: A request with a suspect's prompt arrives <origin>
    Given suspects: a host that knows of a crash under a prompt
    When suspects: a request with that prompt arrives <origin>
    Then suspects: it may be sent <when>

    Examples:
      | origin                        | when                   |
      | by takeover from another host | at once                |
      | under its own id              | only after it was held |
