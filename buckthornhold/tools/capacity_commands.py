"""The command that shows ordered hosts."""

import dataclasses

import cappa

from buckthornhold.tools import rule_commands
from buckthornhold.tools import tables
from buckthornhold.tools import targets


@cappa.command(name="capacity")
@dataclasses.dataclass(kw_only=True)
class Capacity(targets.Target):
    """Show the hosts that were ordered for each model version."""

    json: rule_commands.Json = False

    def __call__(self) -> None:
        """Run the command."""
        found = self.call("GET", "/capacity")
        if self.json:
            targets.print_json(found)
            return
        print_capacities(found)


def print_capacities(found: dict) -> None:
    """Print what is needed and what was ordered as tables."""
    tables.print_table(
        (
            "MODEL",
            "VERSION",
            "LEAST",
            "MOST",
            "DEMAND",
            "ORDERED",
            "WAITS FOR",
        ),
        [_list_rule_columns(it) for it in found["capacities"]],
    )
    rows = [
        (
            f"{rule['model']}@{rule['version']}",
            it["host"] or "-",
            it["zone"],
            it["host_class"],
            it["state"],
            rule_commands.format_time(it["changed"]),
        )
        for rule in found["capacities"]
        for it in rule["ordered"] or ()
    ]
    if rows:
        print()
        tables.print_table(
            ("ORDERED FOR", "HOST", "ZONE", "CLASS", "STATE", "SINCE"), rows
        )
    print()
    if not found["holder"]:
        print("no entry host orders hosts now")
        return
    print(f"hosts are ordered by {found['holder']}")


def _list_rule_columns(rule: dict) -> tuple:
    ordered = rule["ordered"]
    return (
        rule["model"],
        rule["version"],
        rule["least"],
        rule["most"],
        _show(rule["demand"]),
        "store away" if ordered is None else len(ordered),
        _show(rule["wants"]) or "nothing",
    )


def _show(value) -> str:
    return "ask the holder" if value is None else str(value)
