Feature: Requests go to the upstreams that respond

  Scenario: A zone becomes unreachable without errors
    Given upstreams: 2 in each of zones a and b, seen from zone a
    When upstreams: those of zone b become silent with 3 requests in flight each
    And upstreams: 1 seconds pass
    Then upstreams: 40 new requests all go to zone a
    When upstreams: the requests at zone b are abandoned
    Then upstreams: 40 new requests all go to zone a
    When upstreams: 2 seconds pass
    Then upstreams: some of 40 new requests go to zone b

  Scenario: All upstreams are silent
    Given upstreams: 2 in each of zones a and b, seen from zone a
    When upstreams: all become silent with 3 requests in flight each
    And upstreams: 1 seconds pass
    Then upstreams: new requests are still sent

  Scenario: Requests are abandoned at every upstream
    Given upstreams: 2 in each of zones a and b, seen from zone a
    When upstreams: all become silent with 3 requests in flight each
    And upstreams: 1 seconds pass
    Then upstreams: a call is not refused for silence
    When upstreams: the requests at zone b are abandoned
    Then upstreams: a call is not refused for silence
    When upstreams: the requests at zone a are abandoned
    Then upstreams: a call is refused with a Retry-After of at most 2 seconds
    When upstreams: 2 seconds pass
    Then upstreams: a call is not refused for silence

  Scenario: One upstream fails much more than the others
    Given upstreams: 2 in each of zones a and b, seen from zone a
    When upstreams: a-0 fails 8 of 20 requests and the others 1 of 20
    Then upstreams: 40 new requests avoid a-0

  Scenario: All upstreams fail equally often
    Given upstreams: 2 in each of zones a and b, seen from zone a
    When upstreams: all fail 8 of 20 requests
    Then upstreams: no upstream is avoided

  Scenario: Outcomes of other hosts count as well
    Given upstreams: 2 in each of zones a and b, seen from zone a
    When upstreams: another host reports that a-0 failed 8 of 20 requests
    Then upstreams: 40 new requests avoid a-0

  Scenario: Another host reports that an upstream leaves
    Given upstreams: 2 in each of zones a and b, seen from zone a
    When upstreams: another host reports that a-0 leaves
    Then upstreams: 40 new requests avoid a-0

  Scenario: Requests that share a prefix go to one engine
    Given upstreams: 2 in each of zones a and b, seen from zone a
    Then upstreams: requests for one of 50 prefixes go to one engine
    And upstreams: the prefixes are spread over all engines

  Scenario: An engine with a long queue is avoided
    Given upstreams: 2 in each of zones a and b, seen from zone a
    When upstreams: the engine of a prefix has 60000 tokens waiting
    Then upstreams: requests for that prefix go to another engine
