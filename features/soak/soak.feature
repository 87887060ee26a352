Feature: A soak of real processes holds what callers and upstreams saw
  The plan of a seed is always the same; what processes make of it is not.

  Scenario: A seed gives one plan, whose faults overlap
    When soak: the faults of 30 seeds are planned twice
    Then soak: both plans of each seed are the same
    And soak: faults of every kind are among them
    And soak: in each plan some faults overlap
    And soak: nothing is brought over a target that has a fault already

  Scenario Outline: What was promised and not kept is found
    Given soak: a history of a <kind> request that was <outcome>
    When soak: <event>
    Then soak: the check says "<finding>"

    Examples:
      | kind | outcome | event                                  | finding                |
      | pay  | served  | nothing else happens                   |                        |
      | pay  | served  | it runs a second time                  | ran 2 times            |
      | look | served  | it runs a second time                  |                        |
      | pay  | refused | nothing else happens                   |                        |
      | pay  | refused | it runs a second time                  | refused as not run     |
      | look | refused | it runs a second time                  |                        |
      | pay  | denied  | nothing else happens                   | denied                 |
      | pay  | denied  | its key was taken away                 |                        |
      | pay  | served  | its key was taken away                 | key that was taken     |
      | pay  | served  | its key was taken away lately          |                        |
      | pay  | served  | its key was taken away in a cut        |                        |
      | pay  | served  | its upstream left before               | which leaves           |
      | pay  | served  | its upstream left just before          |                        |
      | pay  | served  | it ran with another body               | ran changed            |
      | pay  | served  | it ran for another workspace           | ran for                |
      | pay  | served  | its answer is another request's        | answered               |
      | pay  | served  | its answer has no seal                 | without an upstream's  |
      | chat | served  | nothing else happens                   |                        |
      | chat | served  | an event is missing                    | whole with the events  |
      | chat | served  | an event came twice                    | whole with the events  |
      | chat | broken  | nothing else happens                   |                        |
      | chat | broken  | an event is missing                    | events                 |
      | pay  | lost    | nothing else happens                   |                        |
      | pay  | lost    | its host was told to stop              | lost its answer        |
      | pay  | lost    | its host was told to stop in a cut     |                        |
      | pay  | lost    | its upstream broke off at a stop       |                        |
      | pay  | hung    | nothing else happens                   | no answer              |
      | pay  | hung    | its host was frozen                    |                        |

  Scenario: A run that nobody asked for is found
    Given soak: a history of a pay request that was served
    When soak: a request runs that nobody sent
    Then soak: the check says "never sent"

  Scenario Outline: What is served once all is mended
    Given soak: <served> of 8 requests of the calm end are served
    Then soak: the check says "<finding>"

    Examples:
      | served | finding                    |
      | 2      |                            |
      | 1      | served after all           |

  Scenario Outline: Calls that run after their callers have left
    Given soak: <count> calls ran <seconds> seconds after their callers had left a host that was <state>
    Then soak: the check says "<finding>"

    Examples:
      | count | seconds | state  | finding  |
      | 3     | 0.6     | calm   |          |
      | 4     | 0.4     | calm   |          |
      | 4     | 0.6     | calm   | had left |
      | 4     | 0.6     | frozen |          |

  # Promises with a time hold for hosts that run; on a busy machine they may
  # not, so that the soak by hand judges them and this one does not.
  Scenario Outline: Real processes keep their promises under a seed's faults
    When soak: seed <seed> is played for <seconds> seconds over 3 hosts
    Then soak: no promise was broken

    Examples:
      | seed | seconds |
      | 3    | 6       |
      | 8    | 6       |
