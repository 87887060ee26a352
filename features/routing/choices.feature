Feature: The cost of choosing an upstream doesn't grow with their number
  Hosts choose alike without communication and skip unavailable upstreams.

  Scenario Outline: Few load estimates are read for each request
    Given routing: a host with the router <router> that knows 600 engines
    When routing: 200 requests are planned and admitted
    Then routing: at most 150 loads were read for each

    Examples:
      | router    |
      | prefix    |
      | earliest  |

  Scenario: Hosts that learned of the engines in another order choose alike
    Given routing: 2 hosts that know the same 60 engines in another order
    When routing: all hosts choose for 300 prompts
    Then routing: all hosts chose the same

  Scenario: Hosts with the same host list choose alike after any changes
    Given routing: 2 hosts that know the same 60 engines in another order
    When routing: one host sees 300 random changes, seed 20261204
    And routing: all hosts choose for 300 prompts
    Then routing: all hosts chose the same

  Scenario: The loss of an engine moves only its own prompts
    Given routing: a host with the router prefix that knows 60 engines
    When routing: it chooses for 600 prompts before and after the loss of one
    Then routing: only the prompts of that engine have moved
    And routing: they have moved to at least 5 others

  Scenario Outline: Prompts are evenly distributed over <count> engines
    Given routing: a host with the router prefix that knows <count> engines
    When routing: it ranks the engines for 6000 prompts
    Then routing: each is the first for at least <share> of the mean

    Examples:
      | count | share |
      | 3     | 0.85  |
      | 9     | 0.8   |
      | 60    | 0.55  |

  Scenario Outline: An engine gets no work as soon as it <event>
    Given routing: a host with the router <router> that knows <count> engines
    When routing: the engine chosen for a prompt <event>
    Then routing: another is chosen for that prompt at once

    Examples:
      | event                 | router   | count |
      | is marked as leaving  | prefix   | 600   |
      | is listed as leaving  | prefix   | 600   |
      | is no longer listed   | prefix   | 600   |
      | is drained by a rule  | prefix   | 600   |
      | was unreachable       | prefix   | 600   |
      | has crashed           | prefix   | 600   |
      | was tried before      | prefix   | 600   |
      | reports 60 requests   | prefix   | 600   |
      | reports 60 requests   | prefix   | 9     |
      | reports 60 requests   | earliest | 600   |
      | reports 60 requests   | earliest | 9     |

  Scenario: Without free slots a request goes to a less loaded engine
    Given routing: a host with the router earliest that knows 9 engines
    When routing: all engines report 60 requests, and the chosen one 90
    Then routing: another is chosen for that prompt at once

  Scenario: An unreachable engine is chosen again once it responds
    Given routing: a host with the router prefix that knows 600 engines
    When routing: the engine chosen for a prompt was unreachable
    Then routing: it is chosen again once it responds to a probe, not before

  Scenario: A rule's zones and classes restrict the choice
    Given routing: a host with the router prefix that knows 600 engines
    When routing: a rule allows only reclaimable hosts of zone-1
    Then routing: all prompts go to such hosts
