Feature: Leases and fencing tokens of a restored store
  Two holders would act under one token if a restored store issued a token
  again, or if a token, a lease and a role key of two eras were combined.

  Scenario: Parts are told of an era in a stated order and once
    Given eras: parts that were registered in another order
    When eras: responses of eras none, 0, 2, 1 and 2 arrive
    Then eras: each part was told of era 2 once, in order, also after an error
    And eras: the response of era 1 was refused

  Scenario: A process that starts in a later era is told of no change
    Given eras: parts that were registered in another order
    When eras: the first response is of era 3
    Then eras: no part was told

  Scenario Outline: The store goes back before and after each write
    Given eras: two candidates for a role, and a copy <copied>
    When eras: the store goes back <when> each write of an acquisition
    Then eras: no token was held twice and tokens only rise
    And eras: each lease was of the era in which it was acquired
    And eras: the role is held again within two lease TTLs

    Examples:
      | copied                   | when   |
      | before the first holder  | before |
      | before the first holder  | after  |
      | during the first holder  | before |
      | during the first holder  | after  |
      | after the first holder   | before |
      | after the first holder   | after  |

  Scenario: A holder that sees a new era is no holder at once
    Given eras: two candidates for a role, and a copy before the first holder
    When eras: the holder reads from a restored store
    Then eras: it is no holder before its next step
    And eras: the other candidate waits until a lease would have expired
