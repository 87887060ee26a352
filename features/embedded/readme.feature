Feature: The commands of README.md do what the page says
  They are read from the page and run in its order, as a newcomer would.

  Scenario: A first rule in five minutes
    Given a newcomer with the repository and the daemon of README.md
    When the newcomer runs all other commands of README.md in order
    Then each block of commands has shown what the page says
      | block with              | shows                                        |
      | buckthornctl status     | without rules                                |
      | apply examples          | in force on 1 of 1 hosts                     |
      | X-Request-Id: first-1   | [DONE]                                       |
      | X-Request-Id: first-2   | "reason": "not_authorized"                   |
      | explain request first-2 | refused: not_authorized in step 'version'    |
      | apply my.rules          | + serve model=model-pool version=v1 workspaces=trainees |
      | apply my.rules          | in force on 1 of 1 hosts                     |
      | X-Request-Id: first-3   | "finish_reason": "stop"                      |
      | explain rule            | asked by: me: first day                      |
      | explain rule            | in force on: entry-1                         |
      | rollback 1              | - serve model=model-pool version=v1 workspaces=trainees |
      | history                 | revision 3                                   |
      | X-Request-Id: order-1   | "run": 1                                   |
    And the refill was answered twice alike and ran once
    And the daemon of README.md ends with exit code 0 on Ctrl-C
