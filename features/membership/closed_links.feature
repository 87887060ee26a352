Feature: A call on a link that closes fails without cancelling its caller
  A link closes when its host is gone. A task that waits for a reply on it
  gets an error and is not cancelled.

  Scenario Outline: The link closes <moment>
    Given membership on a link to a host that never replies
    When membership: the link closes <moment>
    Then membership: the call fails as "UNAVAILABLE"

    Examples:
      | moment            |
      | during the call   |
      | before the call   |

  Scenario: A caller that is cancelled itself stays cancelled
    Given membership on a link to a host that never replies
    When membership: the caller is cancelled
    Then membership: the call ends as cancelled
