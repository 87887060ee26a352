Feature: A part of prompts that crashes each engine that answers it is refused
  The requests with it are not alike, and sound ones share all other parts.

  # Guards against a detector that compares whole requests only, and against
  # refusing parts that were running by chance when engines crashed.
  Scenario Outline: <kind>, <hosts> hosts and <engines> engines
    When 50 seeded trials of <kind> with <hosts> hosts and <engines> engines are run
    Then in no trial more than 3 requests with the deadly part are sent after it was shown
    And in no trial a request without the deadly part is refused

    Examples:
      | kind                                | hosts | engines |
      | a new deadly part                   | 3     | 5       |
      | a new deadly part                   | 9     | 9       |
      | many rare parts                     | 9     | 9       |
      | a part that turns deadly            | 9     | 9       |
      | a deadly part with a rare companion | 9     | 9       |
      | engines killed at once              | 9     | 9       |

  # Guards against refusing all common parts for the crashes of a version.
  Scenario: A version that crashes on every request
    When 5 seeded trials of a version that crashes all with 9 hosts and 9 engines are run
    Then in no trial a request without the deadly part is refused

  # Guards against each chat with the same message crashing another engine.
  Scenario: Chats with a message that crashes engines are refused
    Given a poison fleet of 6 engines
    When 12 different chats with a deadly message are sent to the hosts in turn
    Then at most 3 engines have crashed by chats with it
    And the last 6 chats with it were refused as poison, having not run
    And chats that share the other messages are served by each host
