"""Commands that check and show a settings file."""

import dataclasses
import typing

import cappa

from buckthornhold import reasons
from buckthornhold import settings
from buckthornhold.tools import exits
from buckthornhold.tools import rule_commands
from buckthornhold.tools import tables
from buckthornhold.tools import targets

SettingsFile = typing.Annotated[str, cappa.Arg(help="The settings file")]


def load(path: str) -> settings.Settings:
    """Return checked settings; prints every error and exits otherwise."""
    config = settings.load_settings(path)
    if not isinstance(config, reasons.Failure):
        return config
    tables.print_error(config.detail)
    raise cappa.Exit(code=exits.ExitCode.WRONG_INPUT)


@cappa.command(name="check")
@dataclasses.dataclass(kw_only=True)
class Check:
    """Check a settings file."""

    file: SettingsFile

    def __call__(self) -> None:
        """Run the command."""
        config = load(self.file)
        print(f"{self.file}: settings of {config.host} in {config.zone}")


@cappa.command(name="show")
@dataclasses.dataclass(kw_only=True)
class Show:
    """Show every setting with its origin, default or file."""

    file: SettingsFile
    json: rule_commands.Json = False

    def __call__(self) -> None:
        """Run the command."""
        rows = settings.list_origins(load(self.file))
        if self.json:
            targets.print_json(
                [
                    {"key": key, "value": value, "origin": origin}
                    for key, value, origin in rows
                ]
            )
            return
        tables.print_table(("KEY", "VALUE", "ORIGIN"), rows)


@cappa.command(name="settings")
@dataclasses.dataclass(kw_only=True)
class Settings:
    """Check or show a daemon's settings file."""

    command: cappa.Subcommands[Check | Show]
