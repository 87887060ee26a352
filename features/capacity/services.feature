Feature: A service that has nothing to do costs nothing

  Scenario: With nothing to do a step is done once
    Given capacity of a service of 0.01 s with nothing to do
    When capacity: the service runs for 0.3 s
    Then capacity: its step was done 1 times

  Scenario: What wakes a service has its step done
    Given capacity of a service of 60 s with nothing to do
    When capacity: the service runs for 0.3 s and is woken 3 times
    Then capacity: its step was done 4 times

  Scenario: A wake in the midst of a step has it done once more
    Given capacity of a service of 60 s that is woken in its first step
    When capacity: the service runs for 0.3 s
    Then capacity: its step was done 2 times

  Scenario: A wait is one timer and makes no task
    Given capacity of a service of 0.01 s with work to do
    When capacity: the service runs for 0.3 s
    Then capacity: its step was done more than 5 times
    And capacity: no task was made for its waits

  Scenario: A stop does not wait for the interval's end
    Given capacity of a service of 60 s with work to do
    When capacity: the service runs for 0.3 s
    Then capacity: its step was done 1 times
    And capacity: the service stopped by itself, not cancelled
