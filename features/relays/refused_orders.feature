Feature: An order that can't be met takes the duty from nobody
  The platform refuses an order with one status both when a zone has nothing to
  give and when another host has used a higher fencing token.

  # Guards against holders that give the duty up, and so pass it on every second
  # or two, while a zone has nothing to give.
  Scenario Outline: A zone has no <kind> upstreams to give
    Given duties: 2 relay hosts that order upstreams in the zones a and b
    And duties: the price of reclaimable upstreams is <price> of the others'
    When duties: zone b has nothing to give for 8 seconds
    Then duties: one host made all calls, under one fencing token
    And duties: the usage of each window was reported
    And duties: at most 5 orders of each kind were refused
    And duties: zone b is asked again within 10 seconds of having some

    Examples:
      | kind        | price |
      | on-demand   | no    |
      | reclaimable | 0.2   |

  Scenario: Another host has acted under a higher fencing token
    Given duties: 2 relay hosts that order upstreams in the zones a and b
    When duties: the fencing token was raised by 5 for orders in zone b
    Then duties: orders are taken under a higher token within 4 seconds of the refusal
    And duties: at most 3 calls were refused

  Scenario: Nothing is to be had in a zone, and the token was raised
    Given duties: 2 relay hosts that order upstreams in the zones a and b
    When duties: zone b has nothing to give for 1 seconds
    And duties: the fencing token was raised by 5 for orders in zone a
    Then duties: orders are taken under a higher token within 4 seconds of the refusal

  Scenario: The answer to an order is lost
    Given duties: 2 relay hosts that order upstreams in the zones a and b
    When duties: the answers to 2 orders are lost
    Then duties: one host made all calls, under one fencing token
    And duties: orders are repeated until they are answered
