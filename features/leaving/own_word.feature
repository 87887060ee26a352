Feature: An engine may report that it leaves before the host list does
  Only the list contains the notice, the time that streams may still take.
  Under heavy load, streams that fitted a notice of 20 s were moved.

  Scenario Outline: A stream is on an engine that reports that it leaves
    Given leaving report: the list <list>
    When leaving report: an engine with a stream of 3 s left reports that it leaves
    Then leaving report: the stream is <outcome>

    Examples:
      | list                      | outcome      |
      | has its notice of 20 s    | left to end  |
      | has its notice of 4 s     | moved        |
      | does not contain it       | moved        |
      | can't be read             | moved        |
