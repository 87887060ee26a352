Feature: Losses between zones make no running host gone
  Lost data arrives late, after TCP has retransmitted it.

  Scenario: Three in ten transmissions between zones are lost
    Given membership on a running fleet
    When losses: the links between zones lose 0.3 of all transmissions for 6 seconds
    Then losses: no running host was seen gone for more than 2 seconds
    When membership: host 1 is killed
    Then losses: every host sees host 1 gone within 10 seconds
