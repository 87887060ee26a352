Feature: An accepted change takes effect on every host and is never reverted

  Scenario: A change reaches every host within 9 seconds
    Given spreading on a running fleet
    When spreading: operators make 3 changes through different hosts
    Then spreading: within 9 seconds it is in force on all hosts
    And spreading: each zone has 2 watchers and the other hosts none

  Scenario: A zone without access to the platform gets changes from its peers
    Given spreading on a running fleet
    When spreading: zone 1 is cut off from the platform alone
    And spreading: operators make 1 changes through different hosts
    Then spreading: within 9 seconds it is in force on all hosts

  Scenario: An isolated zone continues to serve and catches up when healed
    Given spreading on a running fleet
    When spreading: zone 1 is cut off
    And spreading: operators make 2 changes through different hosts
    Then spreading: zone 1 is ready with the previous rules
    When spreading: the cut is healed
    Then spreading: within 9 seconds it is in force on all hosts

  Scenario: A zone isolated during a change catches up from a slow store
    Given spreading on a running fleet
    When spreading: the store is slow and zone 1 is cut off
    And spreading: operators make 1 changes through different hosts
    And spreading: the cut is healed
    Then spreading: within 9 seconds it is in force on all hosts

  Scenario: A fresh host in an isolated zone adopts its peers' rules
    Given spreading on a running fleet
    When spreading: zone 1 is cut off
    And spreading: operators make 1 changes through different hosts
    And spreading: the first host of zone 1 is killed and started again
    Then spreading: that host is ready with the rules of its peers
    When spreading: the cut is healed
    Then spreading: within 9 seconds it is in force on all hosts

  Scenario: A host that was paused never serves by older rules
    Given spreading on a running fleet
    When spreading: the first host of zone 1 is paused during a change
    Then spreading: it is never ready with older rules

  Scenario: A zone whose watchers are paused still gets changes
    Given spreading on a running fleet
    When spreading: the watchers of zone 1 are paused
    And spreading: operators make 1 changes through different hosts
    Then spreading: within 9 seconds it is in force on the running hosts
    When spreading: the paused hosts resume
    Then spreading: within 9 seconds it is in force on all hosts

  Scenario: A partition during a store outage with two concurrent operators
    Given spreading on a running fleet
    When spreading: the store is down and zone 1 is cut off
    And spreading: two operators on both sides make a change
    Then spreading: both are refused at once as not run
    When spreading: the store is up and the cut is healed
    And spreading: both operators make their changes at once
    Then spreading: both changes are in force on all hosts in 9 seconds

  Scenario: A store restored to an older state reverts nothing
    Given spreading on a running fleet
    When spreading: the store is saved, 2 changes are made and it is restored
    Then spreading: the store eventually holds the newest change again
    When spreading: the first host of zone 1 is killed and started again
    Then spreading: that host is ready with the rules of its peers
    And spreading: no host's revision ever fell
