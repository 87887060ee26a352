Feature: Evacuated zones and allowed regions decide where a request may run
  Without a network: the decision, the operator's documents and the orders of
  upstreams.

  Scenario Outline: A zone is allowed by evacuations and regions
    Given placements: zone a is in r1, b in r2, c in no region, evacuated are <evacuated>
    Then placements: a request limited to <regions> may use <zones>, and with upstreams in <listed> it is <outcome>

    Examples:
      | evacuated | regions | zones | listed | outcome            |
      | none      | none    | a,b,c | a,b    | run                |
      | b         | none    | a,c   | a,b    | run                |
      | b         | none    | a,c   | b      | zone_evacuated     |
      | b         | none    | a,c   | none   | run                |
      | none      | r1      | a     | b,c    | region_not_allowed |
      | none      | r1+r2   | none  | a,b    | region_not_allowed |
      | none      | r1,r2   | a,b   | c      | region_not_allowed |
      | a         | r1,r2   | b     | a      | zone_evacuated     |
      | unknown   | none    | none  | a      | host_not_ready     |

  Scenario Outline: A removed document stays removed
    When placements: hosts x and y do <steps>
    Then placements: x holds <x> and y holds <y>

    Examples:
      | steps                                                                | x    | y    |
      | x reads 5 b,y reads 5 b,x sees 9 -b,x asks y                         | none | b    |
      | x reads 5 b,y reads 5 b,x sees 9 -b,y asks x                         | none | none |
      | x reads 5 b,y reads 5 b,x reads 9,y asks x                           | none | none |
      | x reads 9,y reads 5 b,x asks y,y asks x                              | none | none |
      | x reads 5 b,x sees 9 -b,y asks x,x sees 12 b                         | b    | none |
      | x reads 9 b,x forgets,y reads 1                                      | b    | none |
      | x reads 9 b,x forgets,x reads 2                                      | none | none |
      | x reads 5 b,y reads 9,x passes on to y as the previous build         | b    | none |
      | x reads 5 b,x sees 8 c,y passes on to x as the previous build        | bc   | none |
      | x reads 9 c,y knew b and asks x through the previous build,y asks x  | c    | c    |

    # 2**40 + 8: the store was restored from a copy and is in era 1.
    Examples: a restored store
      | steps                                                                        | x    | y    |
      | x reads 9 b c,y reads 9 b c,x reads 1099511627784 b,x asks y                 | b    | bc   |
      | x reads 9 b c,y reads 9 b c,x reads 1099511627784 b,y asks x                 | b    | b    |
      | x reads 9 b,y reads 9 b,x reads 1099511627784,x asks y,y asks x              | none | none |
      | x reads 9 b,y reads 9 b,x reads 1099511627784,y passes on to x as previous   | none | b    |

  Scenario: Hosts that exchange documents at random agree with the store
    Then placements: 3000 seeded runs of 5 hosts that write, remove, read, restart and exchange end with the store's documents

  Scenario: Orders of upstreams leave an evacuated zone as it is
    Given placements: a holder with 2 upstreams in each of 3 zones and a demand of 5
    When placements: the zones b are evacuated and 20 rounds of orders pass
    Then placements: no order names zone b, and the other zones bear the demand
    When placements: the zones abc are evacuated and 20 rounds of orders pass
    Then placements: nothing is ordered

  Scenario: Nothing is ordered before the evacuated zones are known
    Given placements: a holder with 2 upstreams in each of 3 zones and a demand of 5
    When placements: it is not known which zones are evacuated and 20 rounds of orders pass
    Then placements: nothing is ordered

  Scenario: A record is held only in the zones of its request's rule
    Given holders: a host with a neighbour, and 4 hosts of other zones
    Then placements: records of a rule with zone-c are offered to zone-c alone, while it serves
    And placements: records of a rule with zone-c are offered to zone-c alone, also when it is withdrawn
