Feature: The whole system runs in one process to try it out
  Only the embedded mode imports the stand-ins.

  Scenario: The demonstration shows each part and ends well
    When the demonstration is run
    Then it exits with 0 within 60 seconds
    And it has shown "got 24 tokens"
    And it has shown "refill-1 ran once"
    And it has shown "v2 alone serves"

  Scenario: A daemon of its own imports neither stand-ins nor heavy libraries
    When the daemon's modules are imported
    Then none of "buckthornhold.standins, cappa, rich, numpy, pandas, matplotlib, behave" is loaded

  Scenario: Only the embedded mode imports the stand-ins
    When the imports of the package are read
    Then only "embedded.py" and the stand-ins import the stand-ins

  Scenario: The embedded mode serves from its settings file
    Given a daemon with the shipped settings of the embedded mode
    When the shipped rules of the postcards are applied
    Then a driver's question is answered whole
    And the embedded daemon ends with exit code 0

  Scenario Outline: A daemon whose address is taken says so and ends
    Given a daemon with the shipped settings of the embedded mode
    When a second daemon is to listen to its <listener> address
    Then the second daemon ends with exit code 1 and an error in step "start"

    Examples:
      | listener  |
      | callers   |
      | operators |
      | peers     |
