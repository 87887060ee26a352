Feature: A membership table merges records by fixed rules

  Scenario Outline: The size of a message does not grow with the fleet
    Given a member table with <count> new hosts
    Then a member table never puts more than 15 records into a message

    Examples:
      | count |
      | 9     |
      | 390   |
      | 1000  |

  Scenario: Every update is sent eventually
    Given a member table with 390 new hosts
    Then a member table has sent updates of all of them after 200 messages

  Scenario: Subscribers are notified of each new host
    Given a member table with 9 new hosts
    Then a member table has notified its subscriber of 9 hosts

  Scenario: An older incarnation changes nothing
    Given a member table with a host of incarnation 5
    When a member table receives a record that incarnation 4 is leaving
    Then a member table shows it as incarnation 5 and "ready"

  Scenario: An older doubt does not override a refutation
    Given a member table with a host of incarnation 5
    When a member table receives a doubt about it and then its refutation
    And a member table receives the old doubt again
    Then a member table shows it as incarnation 5 and "ready"

  Scenario: A host refutes a doubt about itself
    Given a member table with a host of incarnation 5
    When a member table receives a doubt about its own host
    Then a member table publishes its own state with a higher sequence

  Scenario: A host detects that a newer incarnation has its name
    Given a member table with a host of incarnation 5
    When a member table receives a newer incarnation of its own host
    Then a member table reports that it is superseded

  Scenario: A clock gap is a pause and triggers a refresh
    Given a pause detector with a slow refresher
    When its clock jumps by 30 seconds
    Then it is not fresh until the refresher has ended
    And it reports a pause since the time before the jump
