Feature: Claims of calls in a restored store
  A repeat would run twice if the claim of its id was lost with the store's
  last seconds.

  Scenario Outline: A repeat runs at most once when the store goes back
    Given eras: <count> claim writers of a store, and a copy of it
    When eras: writer 1 claims ids and the store goes back <when> each write
    And eras: each writer repeats these ids at once
    Then eras: no id was acquired twice
    And eras: what was refused was not run
    When eras: claims were written again and each writer repeats the ids
    Then eras: no id was acquired twice
    And eras: each id that was acquired is held by its owner

    Examples:
      | count | when   |
      | 2     | before |
      | 2     | after  |
      | 3     | after  |

  # The refused attempt is in the store when the lost claim is written again.
  Scenario: A refused attempt that was written gives its place to the claim
    Given eras: 2 claim writers of a store, and a copy of it
    When eras: writer 1 claims ids and the store goes back after each write
    And eras: each writer repeats these ids and is slow to record refusals
    And eras: claims were written again and the refusals are recorded
    And eras: each writer repeats these ids at once
    Then eras: no id was acquired twice
    And eras: each id that was acquired is held by its owner

  Scenario: An id that was made after the restoration is claimed at once
    Given eras: 2 claim writers of a store, and a copy of it
    When eras: the store goes back and ids are made after it
    Then eras: they are acquired at once

  # Whoever acquired the id has ended, so that only this writer knows it.
  Scenario Outline: A shard's lost claims are written again after a failed read
    Given 3 claim writers of one store
    When eras: writer 2 alone knows a lost claim and its first read <fails>
    Then eras: writer 3 finds the claim held by writer 1

    Examples:
      | fails   |
      | fails   |
      | raises  |

  # Guards against a call that runs twice: nobody knows its lost claim.
  Scenario Outline: All writers end while the store goes back
    Given eras: 2 claim writers of a store, and a copy of it
    When eras: ids that say when they were made are claimed and all writers end
    And eras: other writers start <when> the store goes back
    Then eras: none of these ids is acquired again
    And eras: an id that was not claimed is <state>
    And eras: an id that is made later is acquired

    Examples:
      | when            | state    |
      | after           | expired  |
      | later, and once | expired  |
      | and not         | acquired |

  # Such an id can't be told from one that was made after the restoration.
  Scenario: All writers end while the store goes back, ids carry no time
    Given eras: 2 claim writers of a store, and a copy of it
    When eras: ids without a time are claimed and all writers end
    And eras: other writers start after the store goes back
    Then eras: none of these ids is acquired again
