Feature: Tests that run at once don't disturb each other

  # Guards against two folders of features that begin to take ports at nearly
  # the same place: each was given ports that the other was about to use.
  Scenario: Processes that run at once get ports of their own
    Given ports: 12 processes that take 400 ports each
    Then ports: no port was given to two of them

  # Guards against a process that runs out of ports although those that it
  # used before are free again.
  Scenario: A process takes more ports than it has
    Given ports: 1 processes that take 1200 ports each
    Then ports: each of them got all its ports
