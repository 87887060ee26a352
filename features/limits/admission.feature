Feature: A request whose first token can't come in time is refused at once
  Admission counts tokens to prefill and slots of engines, not requests.

  Scenario: A host admits what the engines can prefill in time
    Given admission: 3 engines behind 3 hosts
    When admission: 40 requests of 1000 tokens arrive at once
    Then admission: the admitted ones can have their first tokens in time
    And admission: the others are refused as not run
    And admission: their retries are spread out

  Scenario: A host admits less when its requests wait for those of others
    Given admission: 3 engines behind 9 hosts
    When admission: 2 requests of 1000 tokens arrive at once
    And admission: 0.6 seconds pass without a first token
    Then admission: a request of 1000 tokens is refused

  Scenario: A host admits as much as before when requests are served in time
    Given admission: 3 engines behind 9 hosts
    When admission: 2 requests of 1000 tokens arrive at once
    And admission: their first tokens come after 0.25 seconds
    Then admission: a request of 1000 tokens is admitted

  Scenario: A host admits as much as before after an overload
    Given admission: 3 engines behind 9 hosts
    When admission: 2 requests of 1000 tokens arrive at once
    And admission: 0.6 seconds pass without a first token
    Then admission: a request of 1000 tokens is refused
    When admission: their first tokens come after 1 seconds
    And admission: a request of 1 tokens arrives in each of 12 seconds
    And admission: 40 requests of 1000 tokens arrive at once
    Then admission: the admitted ones can have their first tokens in time

  Scenario: Clients that retry when told to are admitted
    Given admission: 3 engines behind 1 hosts
    When admission: 200 requests of 700 tokens arrive within 2 seconds
    Then admission: at least 40 are refused at first
    And admission: 9 of 10 that retry after the last arrival are admitted

  Scenario: Idle engines get a request whose prefill exceeds the target
    Given admission: 3 engines behind 9 hosts
    When admission: 1 requests of 9000 tokens arrive at once
    Then admission: all are admitted

  Scenario: Requests are refused while streams occupy all slots
    Given admission: 3 engines behind 3 hosts
    When admission: 48 requests of 1 tokens for long answers arrive
    And admission: their first tokens come after 0.1 seconds
    Then admission: a request of 1 tokens is refused
    When admission: their answers end after 20 seconds
    Then admission: a request of 1 tokens is admitted

  Scenario: A fleet refuses at once what it can't serve in time
    Given admission: a fleet of slow engines
    When admission: 150 clients send 700 new tokens each within 2 seconds
    Then admission: some are refused with a retry time
    And admission: all refusals confirmed by other hosts say not run
    And admission: no engine has received a refused request
    And admission: each entry host explains a refusal with its rule and time
    And admission: all others get complete answers

  Scenario: A refusal doesn't wait for paused hosts and says it may have run
    Given admission: a fleet of slow engines
    When admission: all hosts but the first are paused
    And admission: 60 clients send the first host 1000 tokens each in 2 seconds
    Then admission: some are refused with a retry time
    And admission: each refusal says that the request may have run
    And admission: no engine has received a refused request
    And admission: all others get complete answers
