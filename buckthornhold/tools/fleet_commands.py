"""Commands that show the fleet and take hosts out of work."""

import dataclasses
import typing

import cappa

from buckthornhold import grammars
from buckthornhold import rules
from buckthornhold.tools import exits
from buckthornhold.tools import rule_commands
from buckthornhold.tools import tables
from buckthornhold.tools import targets

HostName = typing.Annotated[
    str, cappa.Arg(help="Name of an entry host or upstream")
]


@cappa.command(name="status")
@dataclasses.dataclass(kw_only=True)
class Status(targets.Target):
    """Show hosts, upstreams, moves and withdrawals of the whole fleet."""

    here: typing.Annotated[
        bool, cappa.Arg(long=True, help="Only what the asked daemon sees")
    ] = False
    json: rule_commands.Json = False

    def __call__(self) -> None:
        """Run the command."""
        if self.here:
            own = self.call("GET", "/status")
            status = {
                "asked": own["host"],
                "complete": False,
                "hosts": [{"reached": True, **own}],
                "upstreams": own["upstreams"],
            }
        else:
            status = self.call("GET", "/status?fleet=1")
        if self.json:
            targets.print_json(status)
            return
        print_status(status, here=self.here)


def print_status(status: dict, *, here: bool) -> None:
    """Print a status as tables."""
    hosts = status["hosts"]
    tables.print_table(
        ("HOST", "ZONE", "STATE", "REVISION", "IN FLIGHT"),
        [_list_host_columns(host) for host in hosts],
    )
    print()
    tables.print_table(
        ("UPSTREAM", "KIND", "ZONE", "CLASS", "STATE", "IN FLIGHT", "SERVES"),
        [_list_upstream_columns(it) for it in status["upstreams"]],
    )
    print()
    print_versions(status)
    if here:
        print(f"view of {status['asked']} alone")
        return
    unreached = [host["host"] for host in hosts if not host["reached"]]
    if unreached:
        print(f"not the whole fleet: {', '.join(unreached)} not reached")
        return
    print(f"the whole fleet, asked through {status['asked']}")


def print_versions(status: dict) -> None:
    """Print evacuated zones, moves and withdrawn versions, if any."""
    evacuated = status.get("evacuated", [])
    if evacuated:
        print(f"evacuated zones: {', '.join(evacuated)}")
        print()
    moves = status.get("moves", [])
    if moves:
        tables.print_table(
            ("MOVE OF", "OLD", "NEW", "SHARE", "BY", "STATE", "REASON"),
            [
                (
                    it["model"],
                    it["old"],
                    it["new"],
                    f"{it['share']:.0%}",
                    rule_commands.format_time(it["by"]),
                    it["state"],
                    it["reason"],
                )
                for it in moves
            ],
        )
        print()
    withdrawals = status.get("withdrawals", [])
    if withdrawals:
        tables.print_table(
            ("WITHDRAWN", "VERSION", "SINCE", "BY HOST", "STATE", "REASON"),
            [
                (
                    it["model"],
                    it["version"],
                    rule_commands.format_time(it["time"]),
                    it["host"],
                    "in force" if it["in_force"] else "lifted",
                    it["reason"],
                )
                for it in withdrawals
            ],
        )
        print()


def _list_host_columns(host: dict) -> tuple:
    if not host["reached"]:
        state = f"not reached: {host['detail']}"
        return (host["host"], host["zone"], state, "-", "-")
    state = "ready" if host["ready"] else "without rules"
    if host["draining"]:
        state = "draining"
    return (
        host["host"],
        host["zone"],
        state,
        host["revision"],
        host["in_flight"],
    )


def _list_upstream_columns(upstream: dict) -> tuple:
    state = "leaving" if upstream["leaving"] else "live"
    if upstream["drained"]:
        state = "drained"
    elif upstream.get("evacuated"):
        state = "evacuated"
    return (
        upstream["host"],
        upstream["kind"],
        upstream["zone"],
        upstream["host_class"],
        state,
        upstream["in_flight"],
        ",".join(upstream["serves"]),
    )


@cappa.command(name="drain")
@dataclasses.dataclass(kw_only=True)
class Drain(rule_commands.RulesCommand):
    """Give a host no new work, by a rule that is in force everywhere."""

    host: HostName
    asked_by: typing.Annotated[
        str, cappa.Arg(long=True, help="Who asked for it, and why")
    ]
    force: typing.Annotated[
        bool, cappa.Arg(long=True, help="Also a host that nobody sees")
    ] = False
    wait: rule_commands.Wait = False
    timeout: rule_commands.WaitTimeout = rule_commands.WAIT_TIMEOUT

    def __call__(self) -> None:
        """Run the command."""
        if not self.force:
            self._check_host()
        current = self.call("GET", "/rules")
        rule = rules.DrainRule(host=self.host, asked_by=self.asked_by)
        text = current["text"]
        if not text.endswith("\n"):
            text += "\n"
        text += f"{grammars.format_rule(rule)}\n"
        rule_commands.print_changes(current["text"], text)
        self.propose(
            text,
            base=current["revision"],
            wait=self.wait,
            timeout=self.timeout,
        )

    def _check_host(self) -> None:
        status = self.call("GET", "/status?fleet=1")
        known = [*status["hosts"], *status["upstreams"]]
        names = {host["host"] for host in known}
        if self.host in names:
            return
        tables.print_error(f"no host {self.host!r}; --force drains it anyway")
        raise cappa.Exit(code=exits.ExitCode.WRONG_INPUT)


@cappa.command(name="undrain")
@dataclasses.dataclass(kw_only=True)
class Undrain(rule_commands.RulesCommand):
    """Take a host's drain rule away.

    An upstream gets work again at once, an entry host when it is restarted.
    """

    host: HostName
    wait: rule_commands.Wait = False
    timeout: rule_commands.WaitTimeout = rule_commands.WAIT_TIMEOUT

    def __call__(self) -> None:
        """Run the command."""
        current = self.call("GET", "/rules")
        parsed = grammars.parse_rules(current["text"])
        lines = grammars.split_lines(current["text"])
        drained = [
            rule.line
            for rule in getattr(parsed, "rules", ())
            if isinstance(rule, rules.DrainRule) and rule.host == self.host
        ]
        if not drained:
            tables.print_error(f"no rule drains {self.host!r}")
            raise cappa.Exit(code=exits.ExitCode.WRONG_INPUT)
        for number in reversed(drained):
            del lines[number - 1]
        text = "\n".join(lines)
        rule_commands.print_changes(current["text"], text)
        self.propose(
            text,
            base=current["revision"],
            wait=self.wait,
            timeout=self.timeout,
        )


@cappa.command(name="drain-here")
@dataclasses.dataclass(kw_only=True)
class DrainHere(targets.Target):
    """Drain the asked daemon at once, also without the platform's store."""

    def __call__(self) -> None:
        """Run the command."""
        self.call("POST", "/drain")
        print(f"{self.address} is draining")
