Feature: Operators drive the fleet with buckthornctl
  Every command works through any daemon, and its exit code says what came
  of it.

  Background:
    Given an operator's fleet

  Scenario: A rules file is applied and followed until it is everywhere
    Given a rules file with the change "rate=200/s" to "rate=150/s"
    When the operator runs "apply FILE --wait"
    Then the tool exits with 0 and prints "in force on 3 of 3 hosts"
    And the tool has printed "~ to   limit workspace=timing-marshals rate=150/s"

  Scenario: A wrong file is refused by place and changes nothing
    Given a rules file with the change "repeat=yes" to "repeat=perhaps"
    When the operator runs "apply FILE"
    Then the tool exits with 1 and prints "found 'perhaps', expected yes or no"
    When the operator runs "check FILE"
    Then the tool exits with 2 and prints "found 'perhaps', expected yes or no"
    And the revision in force is as before

  Scenario Outline: Exit codes tell refusals from silence
    When the operator runs "<command>"
    Then the tool exits with <code> and prints "<text>"

    Examples:
      | command                                | code | text             |
      | status --address 127.0.0.1:9           | 3    | unreachable      |
      | status --token wrong                   | 1    | not_authorized   |
      | apply no-such-file                     | 2    | no-such-file     |
      | rollback 999999                        | 1    | unknown_revision |
      | change 0123                            | 1    | did not take     |
      | explain request no-such-request        | 1    | unknown_request  |
      | explain rule serve model=none          | 1    | no rule in force |
      | drain no-such-host --asked-by me       | 2    | no host          |
      | undrain no-such-host                   | 2    | no rule drains   |
      | no-such-command                        | 2    | no-such-command  |

  Scenario: Waiting names the hosts that could not be reached
    Given a rules file with the change "rate=200/s" to "rate=140/s"
    And the last entry host is frozen
    When the operator runs "apply FILE --wait --timeout 1"
    Then the tool exits with 4 and prints "could not be reached"
    And the tool has printed "in force on 2 of 3 hosts"
    When the operator runs "status"
    Then the tool exits with 0 and prints "not the whole fleet: entry"

  Scenario: A rollback is a new revision with an old text
    Given a rules file with the change "rate=200/s" to "rate=130/s"
    When the operator runs "apply FILE --wait"
    And the operator rolls back to the revision before
    Then the tool exits with 0 and prints "~ from limit workspace=timing-marshals rate=130/s"
    And the history has a newer revision with the older text

  Scenario: Two operators who change one line do not overwrite each other
    Given a rules file with the change "rate=200/s" to "rate=120/s"
    And another operator has changed "rate=200/s" to "rate=110/s"
    When the operator applies the file over the revision it was made from
    Then the tool exits with 1 and prints "rule_conflict"
    And the tool has printed "base: limit workspace=timing-marshals priority=2 rate=200/s"
    And the tool has printed "theirs: limit workspace=timing-marshals priority=2 rate=110/s"
    And the tool has printed "mine: limit workspace=timing-marshals priority=2 rate=120/s"
    And the rules in force have "rate=110/s"

  Scenario: An answer that is lost on its way to the tool can be asked for
    Given a rules file with the change "rate=200/s" to "rate=90/s"
    When the operator applies the file and the answer is lost
    Then the tool exits with 5 and prints "it may have taken effect"
    When the operator asks after the change that the tool named
    Then the tool exits with 0 and prints "took effect as revision"
    And the rules in force have "rate=90/s"

  Scenario: A change that is lost on its way to the daemon is told as such
    Given a rules file with the change "rate=200/s" to "rate=80/s"
    When the operator applies the file and the change is lost
    Then the tool exits with 5 and prints "it may have taken effect"
    When the operator asks after the change that the tool named
    Then the tool exits with 1 and prints "did not take"
    And the revision in force is as before

  Scenario: The daemon itself can't tell whether a change took effect
    Given a rules file with the change "rate=200/s" to "rate=70/s"
    And the store goes down for good once it has taken the next revision
    When the operator runs "apply FILE"
    Then the tool exits with 5 and prints "outcome_unknown"
    And the tool has printed "it may have taken effect; later ask"
    When the operator asks after the change that the tool named
    Then the tool exits with 5 and prints "whether it took effect is not known"
    When the store answers again
    And the operator asks after the same change
    Then the tool exits with 0 and prints "took effect as revision"
    And the rules in force have "rate=70/s"

  Scenario: Status is a table for people and JSON for programs
    When the operator runs "status"
    Then the tool exits with 0 and prints "the whole fleet"
    When the operator runs "status --json"
    Then the status in JSON names every host and every upstream

  Scenario: A drained upstream gets no new work and gets it again
    When the operator drains the first engine
    Then no new stream reaches the first engine
    And the status shows the first engine as "drained"
    When the operator undrains the first engine
    Then new streams reach the first engine again

  Scenario: Status shows a move with its state
    Given a rules file with a move from v1 to v2
    When the operator runs "apply FILE --wait"
    And the operator runs "status"
    Then the tool exits with 0 and prints "MOVE OF"
    And the status names the move from v1 to v2 with its share and time

  Scenario: A request is explained through another host
    Given a caller was answered and another refused through the last entry host
    When the operator asks for the answered request through the first host
    Then the tool exits with 0 and prints "chosen by earliest"
    And the tool has printed "by the rule serve model=race-desk-llm version=v1"
    And the tool has printed "answered"
    When the operator asks for the refused request through the first host
    Then the tool exits with 0 and prints "refused: unknown_model in step 'version'"

  Scenario: Refusals before any attempt are explained through another host
    Given a rules file with a rate of 1/s and a version for one workspace
    When the operator runs "apply FILE --wait"
    And callers are refused through the last entry host
    Then each refusal is explained through the first host
      | caller       | reason          | step      | rule                                                  | when         |
      | bad-body     | bad_request     | read body | no rule in force decided                              | told no time |
      | over-limit   | limit_reached   | limit     | by the rule limit workspace=timing-marshals           | ask again in |
      | no-service   | unknown_service | rules     | no rule in force decided                              | told no time |
      | no-workspace | not_authorized  | version   | by the rule serve model=race-desk-llm version=v1      | told no time |

  Scenario: A rule is explained by who asked, since when and where
    Given a rules file with the change "rate=200/s" to "rate=100/s"
    When the operator runs "apply FILE --wait"
    And the operator runs "explain rule limit workspace=timing-marshals"
    Then the tool exits with 0 and prints "asked by: J. Ali, race desk"
    And the tool has printed "put in by ann"
    And the rule is said to be in force on all three hosts
    When the operator asks after the change that put it in
    Then the tool exits with 0 and prints "took effect as revision"

  Scenario: A zone is evacuated and its evacuation ended
    When the operator runs "evacuate zone-a --wait"
    Then the tool exits with 0 and prints "in force on 3 of 3 hosts"
    And calls of a plain service reach zone-b and zone-c alone
    When the operator runs "status"
    Then the tool exits with 0 and prints "evacuated zones: zone-a"
    When the operator runs "explain rule evacuate"
    Then the tool exits with 0 and prints "evacuate zone=zone-a"
    When the operator evacuates the other zones
    Then a call of a plain service is refused at once and explained by the rule
    When the operator runs "evacuate zone-a --end --wait"
    Then the tool exits with 0 and prints "- evacuate zone=zone-a"
    And calls of a plain service reach zone-a alone
    When the operator runs "evacuate zone-a --end"
    Then the tool exits with 2 and prints "no rule evacuates"
    When the operator runs "evacuate zone-x"
    Then the tool exits with 2 and prints "no host in zone"

  Scenario: An entry host that a rule drains takes no new work
    When the operator drains the last entry host
    Then the last entry host is unready
    And the status shows the last entry host as "draining"
    When a caller is refused by the last entry host as it drains
    Then each refusal is explained through the first host
      | caller   | reason        | step      | rule                         | when         |
      | draining | host_draining | admission | by the rule drain host=entry | ask again in |
