"""Exit codes of ``buckthornctl``; docs/operators/tool.md lists them."""

import enum


class ExitCode(enum.IntEnum):
    """What a command's exit code says."""

    DONE = 0
    REFUSED = 1
    WRONG_INPUT = 2
    UNREACHABLE = 3
    NOT_EVERYWHERE = 4
    OUTCOME_UNKNOWN = 5


MEANINGS = {
    ExitCode.DONE: "The command did what was asked.",
    ExitCode.REFUSED: "The daemon refused; nothing has changed.",
    ExitCode.WRONG_INPUT: "An argument or a local file is wrong.",
    ExitCode.UNREACHABLE: "No daemon answers at the address.",
    ExitCode.NOT_EVERYWHERE: (
        "The change is accepted, but was not in force on every host in time."
    ),
    ExitCode.OUTCOME_UNKNOWN: (
        "The change may have taken effect or not; "
        "`buckthornctl change ID` tells."
    ),
}
