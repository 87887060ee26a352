Feature: Evacuated zones and allowed regions decide where a request may run
  Without a network: the decision, the operator's documents and the orders of
  upstreams.

  Scenario Outline: A zone is allowed by evacuations and regions
    Given placements: zone a is in r1, b in r2, c in no region, evacuated are <evacuated>
    Then placements: a request limited to <regions> may use <zones>
    And placements: with upstreams in <listed> it is refused as <reason>

    Examples:
      | evacuated | regions | zones | listed | reason             |
      | none      | -       | a,b,c | a,b    | not refused        |
      | b         | -       | a,c   | a,b    | not refused        |
      | b         | -       | a,c   | b      | zone_evacuated     |
      | b         | -       | a,c   | -      | not refused        |
      | none      | r1      | a     | b,c    | region_not_allowed |
      | none      | r1+r2   | -     | a,b    | region_not_allowed |
      | none      | r1,r2   | a,b   | c      | region_not_allowed |
      | a         | r1,r2   | b     | a      | zone_evacuated     |
      | unknown   | -       | -     | a      | host_not_ready     |

  Scenario: A removal is not reverted by an older document from a peer
    Given placements: hosts x and y know an order of revision 5
    When placements: the order is removed at revision 9 and x sees it
    And placements: x applies what y holds
    Then placements: x knows no order
    When placements: y applies what x holds
    Then placements: y knows no order

  Scenario: A host that read the store after a removal tells the others
    Given placements: hosts x and y know an order of revision 5
    When placements: x starts anew and reads the store without it at revision 9
    And placements: x applies what y holds
    And placements: y applies what x holds
    Then placements: x knows no order
    And placements: y knows no order

  Scenario: Hosts of the previous build keep removals apart from documents
    Given placements: hosts x and y know an order of revision 5
    Then placements: the previous build reads the order and the version from x
    When placements: x applies a body of the previous build with a newer order
    Then placements: x knows both orders
    When placements: x starts anew and applies what the previous build made of y's
    Then placements: x knows one order once it has asked y

  Scenario: Revisions are forgotten and the documents stay
    Given placements: hosts x and y know an order of revision 5
    When placements: x forgets all revisions
    Then placements: x knows the order
    When placements: x reads the store without it at revision 2
    Then placements: x knows no order

  Scenario: Hosts that exchange documents at random agree with the store
    When placements: 3000 seeded runs of 5 hosts write, remove, read, restart and exchange
    Then placements: every host ends with the documents of the store

  Scenario: Orders of upstreams leave an evacuated zone as it is
    Given placements: a holder with 2 upstreams in each of 3 zones and a demand of 5
    When placements: zone b is evacuated and 20 rounds of orders pass
    Then placements: no order names zone b, and the other zones bear the demand
    When placements: all zones are evacuated and 20 rounds of orders pass
    Then placements: nothing is ordered

  Scenario: A record is held only in the zones of its request's rule
    Given holders: a host with a neighbour, and 4 hosts of other zones
    Then placements: a record limited to zone-c goes to that zone alone
    And placements: a record limited to zone-x goes to no host
