Feature: A malformed message of another host stops no host and no request
  Hosts exchange messages by gRPC. One that can't be read, or whose figures no
  host would send, changes nothing: requests are served as before.

  # Guards against hosts that exit, drop each other from the fleet or fail
  # requests after one malformed message.
  Scenario Outline: One message is malformed
    Given wire: 2 relay hosts
    And wire: shops has a limit of 1000000 units a second
    Then wire: 20 requests to /pay/ are served
    When wire: another process sends <method> with <fault> to the first host
    Then wire: 20 requests to /pay/ are served
    And wire: 6 requests to /chat/ are served
    And wire: the hosts know each other
    And wire: no task of a host has failed
    When wire: plain-1 drains
    Then wire: plain-1 soon gets no requests from any host

    Examples:
      | method        | fault                                |
      | Tell          | bytes that are no message            |
      | Tell          | nothing                              |
      | Tell          | a time that is no number             |
      | Tell          | an endless time                      |
      | Tell          | a time before 1970                   |
      | Tell          | units that are no number             |
      | Tell          | endless units                        |
      | Tell          | units below zero                     |
      | Tell          | a demand that is no number           |
      | Tell          | an endless demand                    |
      | Tell          | a million hosts                      |
      | Tell          | tallies that are too short           |
      | Tell          | counts of a far window               |
      | Tell          | an age that is no number             |
      | Tell          | an age below zero                    |
      | Probe         | bytes that are no message            |
      | Probe         | nothing                              |
      | Probe         | an unknown state                     |
      | Probe         | an address that is none              |
      | Probe         | a host without a name                |
      | ProbeFor      | nothing                              |
      | Push          | bytes that are no message            |
      | Push          | nothing                              |
      | Push          | a body that is not compressed        |
      | Push          | a body that is no text               |
      | Push          | a body that expands to 64 MB         |
      | Push          | a configuration that is none         |
      | Pull          | an unknown topic                     |
      | PushFacts     | bytes that are no message            |
      | PushFacts     | a fact without a rank                |
      | PushFacts     | a fact that is no poison entry       |
      | PushFacts     | a fact that expires at no number     |
      | ExchangeFacts | nothing                              |

  # Guards against a time of day that is no number, as the median of three
  # clocks of which one is none.
  Scenario Outline: A message with a malformed time comes before a sound one
    Given wire: a relay host
    When wire: another process sends Tell with <fault> to the first host
    And wire: a third process sends a sound summary to the first host
    Then wire: 20 requests to /pay/ are served
    And wire: no task of a host has failed

    Examples:
      | fault                    |
      | a time that is no number |
      | an endless time          |
      | a time before 1970       |

  # Guards against a host that never joins its fleet after it starts, because
  # each attempt ends at an unusable reply of one of the listed addresses.
  Scenario Outline: A listed address gives malformed replies
    Given wire: 3 relay hosts
    When wire: another process with <fault> takes the address of the last host
    And wire: the other hosts are killed and start again
    Then wire: 20 requests to /pay/ are served
    And wire: the hosts know each other
    And wire: no task of a host has failed

    Examples:
      | fault                        |
      | replies that are no messages |
      | an unknown state             |
      | an address that is none      |
      | a host without a name        |
