Feature: Identical reads at one time share one execution
  Only where a call rule says so, and each caller gets its own whole answer.

  Background:
    Given shared reads: a fleet whose rules share stock and results

  Scenario: Equal reads while one runs are executed once
    When shared reads: 20 callers ask for stock while one asks for it
    Then shared reads: each has the answer to its own request
    And shared reads: the services ran 1 call
    And shared reads: 20 callers are counted as joined

  Scenario Outline: What differs is not shared
    When shared reads: 2 callers ask for stock with another <part>
    Then shared reads: each has the answer to its own request
    And shared reads: the services ran 2 calls

    Examples:
      | part         |
      | body         |
      | workspace    |
      | method       |
      | query        |
      | content type |

  Scenario Outline: What no rule shares is not shared
    When shared reads: 5 callers ask for <operation> at one time
    Then shared reads: each has the answer to its own request
    And shared reads: the services ran 5 calls

    Examples:
      | operation   |
      | heat-lookup |
      | pay         |

  Scenario: The upstream dies mid-call
    Given shared reads: each service loses its next answer
    When shared reads: 20 callers ask for results while one asks for it
    Then shared reads: each has the answer to its own request
    And shared reads: the services ran 2 to 4 calls

  Scenario: An error is told to those who waited and to nobody else
    Given shared reads: each service fails
    When shared reads: 20 callers ask for results while one asks for it
    Then shared reads: all are told of status 500
    And shared reads: the services ran 1 call
    When shared reads: the services work again and a caller asks for results
    Then shared reads: each has the answer to its own request

  Scenario: A caller that goes away takes nothing from the others
    When shared reads: the first of 5 callers for stock goes away
    Then shared reads: each has the answer to its own request
    And shared reads: the services ran 1 call

  Scenario: When all callers go away the execution is ended
    When shared reads: all of 3 callers for stock go away
    Then shared reads: 1 execution is counted as abandoned

  Scenario: A caller with time left asks again when another's time ends
    When shared reads: the first caller's time for stock ends and the second's not
    Then shared reads: the first is refused and the second answered

  Scenario: A kept answer is never older than the rule allows
    When shared reads: a caller asks for results twice, and 0.6 s later again
    Then shared reads: each has the answer to its own request
    And shared reads: the services ran 2 calls

  Scenario: What was written through the host is seen by the next read
    When shared reads: a caller asks for results, pays and asks again
    Then shared reads: each has the answer to its own request
    And shared reads: the services ran 3 calls
