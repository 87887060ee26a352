"""The command that evacuates a zone."""

import dataclasses
import typing

import cappa

from buckthornhold import grammars
from buckthornhold import rules
from buckthornhold.tools import exits
from buckthornhold.tools import rule_commands
from buckthornhold.tools import tables


@cappa.command(name="evacuate")
@dataclasses.dataclass(kw_only=True)
class Evacuate(rule_commands.RulesCommand):
    """Send no new requests to a zone's upstreams, by a rule.

    What runs there ends. With --end the rule is removed.
    """

    zone: typing.Annotated[str, cappa.Arg(help="Name of the zone")]
    end: typing.Annotated[
        bool, cappa.Arg(long=True, help="End the zone's evacuation")
    ] = False
    asked_by: typing.Annotated[
        str, cappa.Arg(long=True, help="Who asked for it, and why")
    ] = "an operator, with buckthornctl"
    force: typing.Annotated[
        bool, cappa.Arg(long=True, help="Also a zone without any host")
    ] = False
    wait: rule_commands.Wait = False
    timeout: rule_commands.WaitTimeout = rule_commands.WAIT_TIMEOUT

    def __call__(self) -> None:
        """Run the command."""
        current = self.call("GET", "/rules")
        if self.end:
            text = self._remove_rule(current["text"])
        else:
            text = self._add_rule(current["text"])
        rule_commands.print_changes(current["text"], text)
        self.propose(
            text,
            base=current["revision"],
            wait=self.wait,
            timeout=self.timeout,
        )

    def _add_rule(self, text: str) -> str:
        if not self.force:
            self._check_zone()
        rule = rules.EvacuateRule(zone=self.zone, asked_by=self.asked_by)
        if text and not text.endswith("\n"):
            text += "\n"
        return f"{text}{grammars.format_rule(rule)}\n"

    def _remove_rule(self, text: str) -> str:
        parsed = grammars.parse_rules(text)
        lines = grammars.split_lines(text)
        found = [
            rule.line
            for rule in getattr(parsed, "rules", ())
            if isinstance(rule, rules.EvacuateRule) and rule.zone == self.zone
        ]
        if not found:
            tables.print_error(f"no rule evacuates {self.zone!r}")
            raise cappa.Exit(code=exits.ExitCode.WRONG_INPUT)
        for number in reversed(found):
            del lines[number - 1]
        return "\n".join(lines)

    def _check_zone(self) -> None:
        """Check the zone in the asked daemon's view, which takes no time."""
        status = self.call("GET", "/status")
        zones = {status["zone"]}
        zones.update(upstream["zone"] for upstream in status["upstreams"])
        if self.zone in zones:
            return
        tables.print_error(
            f"no host in zone {self.zone!r}; --force evacuates it anyway"
        )
        raise cappa.Exit(code=exits.ExitCode.WRONG_INPUT)
