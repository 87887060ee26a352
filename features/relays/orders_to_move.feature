Feature: An operator's order to move a service is executed and its status published
  Relay hosts with a stand-in for the platform.

  Scenario Outline: A version that <fault> is <state>
    Given move orders: 2 relay hosts and upstreams of versions v1 and v2
    And move orders: the upstreams of v2 <fault>
    When move orders: the operator orders v2 within 4 s while clients send
    Then move orders: the published state is "<state>"
    And move orders: new requests run on <version> alone
    And move orders: no request was executed twice

    Examples:
      | fault       | state       | version |
      | answer well | completed   | v2      |
      | answer 500  | rolled_back | v1      |
