Feature: A change is accepted, refused or reported as unknown
  Accepted means committed by compare-and-swap in the store.

  Background:
    Given agreement among 3 hosts on one store

  Scenario: Changes of different rules that race are both kept
    When agreement: two operators change different rules of one base at once
    Then agreement: both changes are accepted
    And agreement: the store holds both changes

  Scenario: The refused one of two concurrent changes names the conflicting rule
    When agreement: two operators change the same rule of one base at once
    Then agreement: one change is accepted
    And agreement: the other is refused as "rule_conflict" naming that rule

  Scenario: An edit of an old base does not revert later changes
    When agreement: an operator adds a rule to a base that is 3 revisions old
    Then agreement: the store holds all 4 changes

  Scenario: A text without changes creates no revision
    When agreement: an operator proposes the current text once more
    Then agreement: it is accepted without a new revision

  Scenario: A lost store response is resolved by reading back
    Given agreement: the store loses the responses of the next 2 writes
    When agreement: an operator adds a rule
    Then agreement: it is accepted and committed once

  Scenario: A lost store response is resolved although the rule was changed again
    Given agreement: the next response is lost and the same rule changed again
    When agreement: an operator adds a rule
    Then agreement: it is accepted as the revision before the current one

  Scenario: A timed-out change is resolved by a final read
    Given agreement: the first host tries each change only once
    And agreement: the next response is lost and the same rule changed again
    When agreement: an operator adds a rule
    Then agreement: it is accepted as the revision before the current one

  Scenario: A timed-out change that was superseded is refused
    Given agreement: the first host tries each change only once
    And agreement: the next commit is lost and the same rule changed
    When agreement: an operator adds a rule
    Then agreement: it is refused as "store_unavailable" with ran "no"
    When agreement: the lost commit reaches the store late
    Then agreement: the store holds the other operator's change

  Scenario: A change that a peer reports is resolved without the store
    Given agreement: the store goes down when it has taken the next commit, which a peer reports
    When agreement: an operator adds a rule
    Then agreement: it is accepted and committed once

  Scenario: A store outage before the write refuses the change at once
    Given agreement: the store is down
    When agreement: an operator adds a rule
    Then agreement: it is refused as "store_unavailable" with ran "no"
    And agreement: the store does not hold that change

  Scenario: A store outage after the write took effect leaves the outcome unknown
    Given agreement: the store goes down when it has taken the next commit
    When agreement: an operator adds a rule
    Then agreement: it is refused as "outcome_unknown" with ran "unknown"
    When agreement: the store is back
    Then agreement: a lookup on another host finds the change

  Scenario: A store outage before the write took effect leaves the outcome unknown
    Given agreement: the store goes down when it has lost the next commit
    When agreement: an operator adds a rule
    Then agreement: it is refused as "outcome_unknown" with ran "unknown"
    When agreement: the store is back
    Then agreement: a lookup on another host does not find the change
    When agreement: the lost commit reaches the store late
    Then agreement: the store does not hold that change

  Scenario: A store restored from a backup is repaired
    Given agreement: the store was backed up 3 changes ago
    When agreement: the store is restored from the backup
    Then agreement: the hosts repair it and no host's revision falls

  Scenario: A change made on a restored store is not lost
    Given agreement: the store was backed up 3 changes ago
    When agreement: the store is restored from the backup
    And agreement: a fresh host adds a rule to it
    Then agreement: the store eventually holds all changes in a newer revision

  Scenario: A change made on a restored store cannot revert a rule
    Given agreement: the store was backed up 1 changes ago
    When agreement: the store is restored from the backup
    And agreement: a fresh host changes that rule
    Then agreement: the newest accepted rule stays and the loss is counted
    And agreement: all hosts hold the same revision

  Scenario Outline: Many operators race while store responses are lost
    When agreement: 6 operators make 8 changes each with seed <seed>
    Then agreement: the history shows no lost and no falsely reported change

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
