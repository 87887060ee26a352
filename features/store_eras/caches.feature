Feature: What hosts hold of a restored store
  Revisions of a restored store name other states than before. A host that
  compared them alone would ignore what is written again, and a host that
  hasn't seen the new era would overwrite one that has.

  Scenario: Entries under recurring revisions replace the known ones
    Given eras: a directory that knows a and b, and then c and that b leaves
    When eras: the store goes back to a and b, and a is written again
    Then eras: the directory lists a and c
    When eras: a host that hasn't seen the new era pushes its directory
    Then eras: the directory lists a and c
    When eras: c isn't written again in the time for it
    Then eras: the directory lists a

  Scenario: A lost configuration stays in force and isn't offered
    Given eras: hosts with configurations 5 and then 6 of era 0
    When eras: the restored store has configuration 5
    Then eras: configuration 6 is in force there and 5 is offered
    And eras: a host that starts takes 5 from it and not 6 from the others
    When eras: the operator writes configuration 6 with another text
    Then eras: the other text is in force there

  Scenario: A version that is rewritten with the same text is offered again
    Given eras: hosts with configurations 5 and then 6 of era 0
    When eras: the restored store has configuration 5
    And eras: the operator writes configuration 6 with the same text
    Then eras: configuration 6 is in force there and 6 is offered

  Scenario: An order that is written again is the same move
    Given eras: orders to v1 and then to v2 in era 0
    When eras: the restored store shows the order to v1
    Then eras: the order to v2 is in force with its first number
    When eras: the operator writes the order to v2 again
    Then eras: the order to v2 is in force with its first number
    When eras: the operator orders v1 once more
    Then eras: the order to v1 is in force

  Scenario Outline: States of a move don't go back
    When eras: a host knows a move as <known> and a later era has it as <stored>
    Then eras: the move is <result>

    Examples:
      | known      | stored     | result     |
      | done       | trial      | done       |
      | taken_back | switching  | taken_back |
      | trial      | taken_back | taken_back |
      | trial      | nothing    | trial      |

  Scenario Outline: A leader writes the states that the store has lost
    Given eras: a leader of moves whose states are written <count> times
    When eras: the store goes back <when> write <write>
    Then eras: the store has the states that the leader knows
    And eras: the status is written again

    Examples:
      | count | when   | write |
      | 2     | before | 2     |
      | 2     | after  | 2     |
      | 1     | before | 1     |
      | 1     | after  | 1     |
