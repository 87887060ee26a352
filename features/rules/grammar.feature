Feature: Rules are read line by line and refused by place
  One wrong line refuses the whole text, and every wrong place is named by
  file, line, column, what was found and what was expected.

  Scenario Outline: A wrong line is named by its place
    Given a rules text with the line "<line>" as its third
    When the rules text is read
    Then its only error is at column <column>, found "<found>", expected "<expected>"

    Examples:
      | line                                                           | column | found            | expected                     |
      | serv model=a version=b # asked by: x                           | 1      | serv             | did you mean 'serve'?        |
      | serve modle=a version=b # asked by: x                          | 7      | modle=a          | did you mean 'model='?       |
      | serve model=a # asked by: x                                    | 14     | end of rule      | version=                     |
      | serve model=a version=b                                        | 24     | end of line      | # asked by: WHO              |
      | serve model=a version=b # asked by:                            | 36     | end of line      | # asked by: WHO              |
      | serve model=a version=b # wanted by x                          | 25     | #                | # asked by: WHO              |
      | serve model=a model=b version=b # asked by: x                  | 15     | model=b          | only once                    |
      | serve model=* version=b # asked by: x                          | 13     | *                | a name                       |
      | serve model=a version=b zones=p,,q # asked by: x               | 31     | p,,q             | names parted by commas       |
      | serve model=a version=b zones=p,p # asked by: x                | 31     | p,p              | each once                    |
      | move model=m old=v1 new=v2 by=2026-12-05T18:00 # asked by: x   | 31     | 2026-12-05T18:00 | a time with its zone         |
      | move model=m old=v1 new=v2 by=2026-12-05T18:00Z share=0% # asked by: x | 55 | 0%           | above 0% and up to 100%      |
      | move model=m old=v1 new=v3 by=2026-12-05T18:00Z # asked by: x  | 25     | v3               | that a serve line of m names |
      | move model=m old=v1 new=v1 by=2026-12-05T18:00Z # asked by: x  | 25     | v1               | other than old=              |
      | call service=s operation=.. repeat=no # asked by: x            | 26     | ..               | a name or *                  |
      | call service=s operation=o repeat=maybe # asked by: x          | 35     | maybe            | yes or no                    |
      | call service=s operation=o repeat=no deadline=2 # asked by: x  | 47     | 2                | seconds above zero           |
      | call service=s operation=o repeat=no shared=yes # asked by: x  | 45     | yes              | repeat=yes                   |
      | call service=s operation=o repeat=yes fresh=2s # asked by: x   | 45     | 2s               | shared=yes beside fresh=     |
      | call service=s operation=o repeat=yes shared=yes fresh=0s # asked by: x | 56 | 0s          | seconds above zero           |
      | limit workspace=w rate=0/s # asked by: x                       | 24     | 0/s              | a rate above zero            |
      | limit workspace=w priority=high # asked by: x                  | 28     | high             | a whole number               |
      | limit workspace=w share=60% # asked by: x                      | 25     | 60%              | at most 100%                 |
      | serve model=m version=v1 # asked by: x                         | 13     | serve            | line 1 has it                |
      | capacity model=m version=v1 load=8 # asked by: x               | 35     | end of rule      | most=                        |
      | capacity model=m version=v1 load=0 most=4 # asked by: x        | 34     | 0                | a whole number from 1        |
      | capacity model=m version=v1 load=8 least=5 most=4 # asked by: x | 42    | 5                | at most most=4               |
      | capacity model=m version=v9 load=8 most=4 # asked by: x        | 26     | v9               | that a serve line of m names |

  Scenario: Two moves of one model are refused at the second
    Given a rules text with the line "move model=m old=v1 new=v2 by=2026-12-05T18:00Z # asked by: x" twice
    When the rules text is read
    Then its only error is at column 12, found "move", expected "line 3 has it"

  Scenario: Every wrong line is named, not only the first
    Given a rules text with three wrong lines
    When the rules text is read
    Then it has errors on the lines 2, 3 and 4

  Scenario Outline: Line ends, tabs, a byte order mark and names of any script
    Given a rules text with <oddity>
    When the rules text is read
    Then it reads as a set with a rule for workspace "kalniņš"

    Examples:
      | oddity            |
      | DOS line ends     |
      | tabs              |
      | a byte order mark |
      | old Mac line ends |

  Scenario Outline: A shipped example reads whole and reads back
    Given the shipped rules "<file>"
    When the rules text is read
    Then it names <workspaces> workspaces and <zones> zones
    And the set that is written and read again is equal

    Examples:
      | file           | workspaces | zones |
      | racing.rules   | 5          | 3     |
      | postcards.rules | 5         | 3     |

  Scenario: Any set of rules reads back as it was written
    Given 300 random rule sets from seed 20261204
    Then each rule set that is written and read again is equal

  Scenario: Two sets are compared rule by rule
    Given the shipped rules "racing.rules"
    When a rule is added, another removed and a third changed
    Then the comparison names each of the three with its kind

  Scenario: A text with one wrong line changes nothing
    Given rules in force on a running fleet
    When an operator proposes a text with one wrong line
    Then the proposal is refused with "rule_invalid" naming "mine.rules:2:7"
    And every entry host still has the revision it had

  Scenario Outline: A user's own deployment serves its workspaces
    Given a fleet of the user "<user>"
    Then each of its workspaces gets a whole answer through each entry host
    And a workspace that no rule names is refused as "not_authorized"
    And its call "<operation>" runs once through each entry host

    Examples:
      | user      | operation |
      | racing    | pay       |
      | postcards | refill    |
