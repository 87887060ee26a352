Feature: An engine's own word that it leaves may overtake the host list
  The list says how long its streams may still take. Seen beside a heavy load:
  streams that fitted a notice of 20 s were moved.

  Scenario Outline: A stream is on an engine that says that it leaves
    Given own word: the list <list>
    When own word: an engine with a stream of 3 s left says that it leaves
    Then own word: the stream is <outcome>

    Examples:
      | list                      | outcome      |
      | has its notice of 20 s    | left to end  |
      | has its notice of 4 s     | moved        |
      | says nothing of it        | moved        |
      | can't be read             | moved        |
