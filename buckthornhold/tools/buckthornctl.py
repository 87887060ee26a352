"""The operators' command-line tool; talks to any daemon's operator port."""

import dataclasses

import cappa

from buckthornhold.tools import capacity_commands
from buckthornhold.tools import evacuate_commands
from buckthornhold.tools import explain_commands
from buckthornhold.tools import fleet_commands
from buckthornhold.tools import rule_commands
from buckthornhold.tools import settings_commands


@cappa.command(name="buckthornctl")
@dataclasses.dataclass(kw_only=True)
class Buckthornctl:
    """Operate buckthornhold."""

    command: cappa.Subcommands[
        rule_commands.Check
        | rule_commands.Apply
        | rule_commands.Diff
        | rule_commands.History
        | rule_commands.Rollback
        | rule_commands.Change
        | fleet_commands.Status
        | capacity_commands.Capacity
        | fleet_commands.Drain
        | fleet_commands.Undrain
        | fleet_commands.DrainHere
        | evacuate_commands.Evacuate
        | explain_commands.Explain
        | settings_commands.Settings
    ]


def main() -> None:
    """Run the tool."""
    cappa.invoke(Buckthornctl)


if __name__ == "__main__":
    main()
