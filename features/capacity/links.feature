Feature: A host keeps connections only to those that it talks to

  Scenario: Links that nobody uses are closed, and open when needed
    Given capacity of links to 20 hosts that were all asked once
    When capacity: only 3 of the links are used for a while
    Then capacity: 3 of the links are open
    When capacity: all links are asked again
    Then capacity: all links have answered

  Scenario: A call that takes long keeps its link
    Given capacity of links to 2 hosts that were all asked once
    When capacity: a call on a link takes longer than a link may idle
    Then capacity: the call is answered
    And capacity: 1 of the links are open

  Scenario: In a fleet at rest few links are open
    Given capacity of a running fleet of 12 entry hosts
    Then capacity: after some time no host has more than 4 links open
    When capacity: an operator asks for the state of the fleet
    Then capacity: that host has no more than 4 links open
