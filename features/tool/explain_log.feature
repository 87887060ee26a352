Feature: The tool tells a request's story from hosts' logs
  For engineers who have logs and nothing else.

  Background:
    Given stories: logs of two hosts

  Scenario: A request that was sent again
    When stories: the tool explains "r1" from both files
    Then stories: it exits with 0 and prints
      """
        11:59:00.000 h1 directory u1: listed, revision 4
        12:00:00.500 h1 store: lost
      * 12:00:01.000 h1 send u1 (upstream_broken): retrying: reset
      * 12:00:01.200 h1 relay u2: 200 after 0.3 s
        12:00:02.000 h1 directory u1: not listed any more
      """

  Scenario: Logs come through a pipe with a collector's prefix
    When stories: the tool explains "r2" from a pipe with prefixes
    Then stories: it exits with 0 and prints
      """
      * 12:00:01.100 h2 limit (limit_reached): w may take 5/s
      """

  Scenario: No line names the request
    When stories: the tool explains "r9" from both files
    Then stories: it exits with 2 and says "none of 8 lines names 'r9'"

  Scenario: A line is cut off
    Given stories: the first file ends within a line
    When stories: the tool explains "r1" from both files
    Then stories: it exits with 0 and says "1 lines can't be read, first"
    And stories: it says the place of the line

  Scenario: A file is not there
    When stories: the tool explains "r1" from a file that is not there
    Then stories: it exits with 2 and says "No such file"
