Feature: Usage windows of a restored store
  A window would be reported with two different counts if its total was lost
  after the report and a later holder summed it up again.

  Scenario Outline: A window keeps its count when its total is lost
    Given eras: a holder of the duties and a host that follows it
    When eras: the store goes back <when> write <write> of a window's report
    And eras: the <next> reports with other counts of its own
    Then eras: the window was reported with one count
    And eras: the store has the reported total

    Examples:
      | when   | write | next            |
      | before | 1     | same host       |
      | before | 2     | same host       |
      | after  | 2     | same host       |
      | before | 1     | other host      |
      | before | 2     | other host      |
      | after  | 2     | other host      |
      | after  | 3     | other host      |

  Scenario: Without eras a window is reported at once and nobody is told
    Given eras: a holder of the duties and a host that follows it
    When eras: the store names no era and a window is reported
    Then eras: it was reported in one step and no other host was told

  # Such a window would be announced in each step and never reported.
  Scenario: A later holder reports a window older than the known totals
    Given eras: a holder of the duties and a host that follows it
    When eras: the other host takes over 7 windows of which it knows the last
    Then eras: it reported all 7 windows and announced each total once
    And eras: the first host knows all 7 totals

  # A host would take another total than the reported one for its own.
  Scenario: A total that only the host behind has reaches the other one
    Given eras: a holder of the duties and a host that follows it
    When eras: two hosts know one total each and exchange them
    Then eras: each of them knows both totals

  # Guards against a window that is reported twice after a restart of all
  # hosts: nobody knows its total, and the copy has earlier counts of it.
  Scenario Outline: All hosts end while the store goes back
    Given eras: a holder of the duties and a host that follows it
    When eras: a window is reported and its total is lost with era <era>
    And eras: another process starts with <count> counts of that window
    Then eras: the window was reported with one count
    And eras: the process reports the next window

    Examples:
      | era | count |
      | 0   | 5     |
      | 0   | 0     |
      | 1   | 5     |

  # Guards against duties that are missed after each restart.
  Scenario Outline: All hosts end while the store stays
    Given eras: a holder of the duties and a host that follows it
    When eras: all processes end in era <era> before a window is reported
    And eras: another process starts with 5 counts of that window
    Then eras: the window was reported with one count

    Examples:
      | era |
      | 0   |
      | 1   |

  # Guards against a second report by a host that was cut off at the first.
  Scenario Outline: The next holder could not be told the total
    Given eras: a holder of the duties and a host that follows it
    When eras: a window is reported while the other host <cut>
    And eras: the store goes back and the other host takes over
    Then eras: the window was reported with one count

    Examples:
      | cut                          |
      | misses a host for a moment   |
      | has missed windows before it |
