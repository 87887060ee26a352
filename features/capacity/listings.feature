Feature: News of the host list costs what has changed
  One host of a fleet reads the platform's list and tells the others.

  Scenario: One upstream more is told in few bytes
    Given capacity of a list of 600 upstreams that 9 hosts know
    When capacity: one upstream is listed
    Then capacity: all hosts have the platform's list
    And capacity: no message was longer than 400 bytes

  Scenario Outline: Any change leads all hosts to the platform's list
    Given capacity of a list of 50 upstreams that 9 hosts know
    When capacity: <change>
    Then capacity: all hosts have the platform's list
    And capacity: nobody was sent the whole list

    Examples:
      | change                                    |
      | one upstream is listed                    |
      | one upstream is unlisted                  |
      | an upstream comes back with a new number  |
      | an upstream is listed as leaving          |
      | 30 upstreams get notices                  |
      | a notice is taken back                    |

  Scenario: Random changes in a row lead all hosts to the platform's list
    Given capacity of a list of 50 upstreams that 9 hosts know
    When capacity: 200 random changes are read in a row, seed 20261204
    Then capacity: all hosts have the platform's list
    And capacity: nobody was sent the whole list

  Scenario: A host that missed news is sent the whole list
    Given capacity of a list of 50 upstreams that 9 hosts know
    When capacity: one host misses a change and then gets the next
    Then capacity: all hosts have the platform's list
    And capacity: 1 host was sent the whole list

  Scenario: Two hosts that read the same change send nobody the whole list
    Given capacity of a list of 50 upstreams that 9 hosts know
    When capacity: two hosts read a change at the same time
    Then capacity: all hosts have the platform's list
    And capacity: nobody was sent the whole list

  Scenario Outline: A list that has not changed is the same to <who>
    Given capacity of a list of 50 upstreams that 9 hosts know
    When capacity: <who> asks for the list twice
    Then capacity: it gets one and the same list

    Examples:
      | who                     |
      | a host that reads it    |
      | a host that is told it  |

  Scenario Outline: A list that is read again costs what has changed
    Given capacity of a platform that lists 600 upstreams
    When capacity: a host reads the list before and after <change>
    Then capacity: <count> records were made anew
    And capacity: it has read what the platform lists

    Examples:
      | change                                    | count |
      | nothing has changed                       | 0     |
      | one upstream is listed                    | 1     |
      | one upstream is unlisted                  | 0     |
      | an upstream comes back with a new number  | 1     |
      | an upstream serves another version        | 1     |
      | an upstream gets notice                   | 1     |
      | the platform answers with an error        | 0     |
      | the platform answers with another body    | 0     |

  Scenario: A notice runs down while it is passed on
    Given capacity of a list of 50 upstreams that 9 hosts know
    When capacity: an upstream gets notice of 60 s, and 20 s later a host asks
    Then capacity: that host knows that 40 s are left
