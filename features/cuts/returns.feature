Feature: Streams whose records can't be reached for a while
  That a stream is not found is final only where all were asked who may
  know it, and a caller that comes back is not forgotten.

  Scenario: A caller comes back within a zone that is cut off
    Given a fleet for handovers behind relays
    When a caller comes back to a host of zone-c, which is cut off
    Then it is told "stream_unreachable", to come back and ran "unknown"

  Scenario: An entry host dies while another zone is cut off
    Given a fleet for handovers behind relays
    When callers stream 300 tokens and the first entry host is killed while the second zone is cut off for 2 s
    Then each caller gets its own whole answer

  Scenario: A caller comes back until an upstream is there again
    Given a fleet for handovers that keeps answers for a while
    When a caller loses its connection after 20 of 60 tokens
    And all engines go, and others come in 7 s
    And it comes back to one entry host after the other
    Then each caller gets its own whole answer

  Scenario: A zone that is cut off holds its own records
    Given holders: a host with a neighbour, and 4 hosts of other zones
    When holders: the other zones stop answering and a record is replicated
    Then holders: the neighbour holds it after a retry
