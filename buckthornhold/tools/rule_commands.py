"""Commands that check, compare and change the rules."""

import dataclasses
import datetime
import time
import typing

import cappa

from buckthornhold import grammars
from buckthornhold import rules
from buckthornhold.coordination import revisions
from buckthornhold.tools import exits
from buckthornhold.tools import tables
from buckthornhold.tools import targets

WAIT_TIMEOUT = 15.0
POLL_INTERVAL = 0.2
#: A larger fleet is asked less often, in seconds for each host.
POLL_INTERVAL_PER_HOST = 0.005
SIGNS = {
    rules.ChangeKind.ADDED: "+",
    rules.ChangeKind.REMOVED: "-",
    rules.ChangeKind.CHANGED: "~",
}

Json = typing.Annotated[
    bool, cappa.Arg(long="--json", help="Print JSON for programs")
]
Wait = typing.Annotated[
    bool, cappa.Arg(long=True, help="Wait until it is in force everywhere")
]
WaitTimeout = typing.Annotated[
    float, cappa.Arg(long=True, help="Seconds that --wait waits")
]


def print_changes(old_text: str, new_text: str) -> None:
    """Print rule by rule what differs; wrong texts print nothing."""
    old = grammars.parse_rules(old_text)
    new = grammars.parse_rules(new_text)
    if not isinstance(old, rules.RuleSet):
        return
    if not isinstance(new, rules.RuleSet):
        return
    changes = rules.compare_rules(old, new)
    if not changes:
        print("no rule differs")
    for change in changes:
        sign = SIGNS[change.kind]
        if change.kind is rules.ChangeKind.CHANGED:
            print(f"{sign} from {grammars.format_rule(change.old)}")
            print(f"{sign} to   {grammars.format_rule(change.new)}")
            continue
        print(f"{sign} {grammars.format_rule(change.new or change.old)}")


@dataclasses.dataclass(kw_only=True)
class RulesCommand(targets.Target):
    """Base of the commands that propose a rules text."""

    def propose(
        self,
        text: str,
        *,
        base: int | None,
        file: str = "rules",
        wait: bool = False,
        timeout: float = WAIT_TIMEOUT,
    ) -> None:
        """Propose a text over a base revision and say what came of it."""
        proposal = {
            "text": text,
            "base": base,
            "file": file,
            "change_id": revisions.make_change_id(base or 0),
        }
        result = self.call("PUT", "/rules", proposal)
        revision = result["revision"]
        print(f"revision {revision} accepted, change {result['change_id']}")
        if wait:
            self.wait_until_in_force(revision, timeout)

    def wait_until_in_force(self, revision: int, timeout: float) -> None:
        """Show where a revision is in force until it is so everywhere."""
        give_up_at = time.monotonic() + timeout
        shown = ""
        while True:
            hosts = self.call("GET", "/rules/where")["hosts"]
            behind = [it for it in hosts if it["revision"] < revision]
            text = (
                f"revision {revision} is in force on "
                f"{len(hosts) - len(behind)} of {len(hosts)} hosts"
            )
            if text != shown:
                print(text, flush=True)
                shown = text
            if not behind:
                return
            if time.monotonic() > give_up_at:
                break
            time.sleep(max(POLL_INTERVAL, POLL_INTERVAL_PER_HOST * len(hosts)))
        for host in behind:
            state = f"has revision {host['revision']}"
            if not host["reached"]:
                state = f"could not be reached: {host['detail']}"
            tables.print_error(f"{host['host']} ({host['zone']}) {state}")
        raise cappa.Exit(code=exits.ExitCode.NOT_EVERYWHERE)


@cappa.command(name="check")
@dataclasses.dataclass(kw_only=True)
class Check:
    """Check a rules file without a daemon."""

    file: typing.Annotated[str, cappa.Arg(help="The rules file")]

    def __call__(self) -> None:
        """Run the command."""
        text = targets.read_file(self.file)
        parsed = grammars.parse_rules(text, name=self.file)
        if isinstance(parsed, rules.RuleSet):
            print(f"{self.file}: {len(parsed.rules)} rules")
            return
        for error in parsed:
            tables.print_error(error.describe())
        raise cappa.Exit(code=exits.ExitCode.WRONG_INPUT)


@cappa.command(name="apply")
@dataclasses.dataclass(kw_only=True)
class Apply(RulesCommand):
    """Put a rules file in force."""

    file: typing.Annotated[str, cappa.Arg(help="The rules file")]
    base: typing.Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help="Revision that the file was made from; the newest by default",
        ),
    ] = None
    wait: Wait = False
    timeout: WaitTimeout = WAIT_TIMEOUT

    def __call__(self) -> None:
        """Run the command."""
        text = targets.read_file(self.file)
        current = self.call("GET", "/rules")
        print_changes(current["text"], text)
        base = current["revision"] if self.base is None else self.base
        self.propose(
            text,
            base=base,
            file=self.file,
            wait=self.wait,
            timeout=self.timeout,
        )


@cappa.command(name="diff")
@dataclasses.dataclass(kw_only=True)
class Diff(targets.Target):
    """Compare two rules texts rule by rule.

    Each is a file, a revision's number, or 'current'.
    """

    new: typing.Annotated[str, cappa.Arg(help="File, revision or current")]
    old: typing.Annotated[
        str, cappa.Arg(long="--from", help="File, revision or current")
    ] = "current"

    def __call__(self) -> None:
        """Run the command."""
        print_changes(self._read(self.old), self._read(self.new))

    def _read(self, source: str) -> str:
        if source == "current":
            return self.call("GET", "/rules")["text"]
        if source.isdigit():
            return self.call("GET", f"/rules/revisions/{source}")["text"]
        text = targets.read_file(source)
        parsed = grammars.parse_rules(text, name=source)
        if isinstance(parsed, rules.RuleSet):
            return text
        for error in parsed:
            tables.print_error(error.describe())
        raise cappa.Exit(code=exits.ExitCode.WRONG_INPUT)


@cappa.command(name="history")
@dataclasses.dataclass(kw_only=True)
class History(targets.Target):
    """List the newest revisions of the rules."""

    count: typing.Annotated[int, cappa.Arg(long=True)] = 20
    json: Json = False

    def __call__(self) -> None:
        """Run the command."""
        path = f"/rules/history?count={self.count}"
        found = self.call("GET", path)["revisions"]
        if self.json:
            targets.print_json(found)
            return
        tables.print_table(
            ("REVISION", "TIME", "WHO", "CHANGE"),
            [
                (
                    it["revision"],
                    format_time(it["time"]),
                    it["who"],
                    it["change_id"],
                )
                for it in found
            ],
        )


@cappa.command(name="rollback")
@dataclasses.dataclass(kw_only=True)
class Rollback(RulesCommand):
    """Put the text of an earlier revision in force as a new revision."""

    revision: typing.Annotated[int, cappa.Arg(help="The earlier revision")]
    wait: Wait = False
    timeout: WaitTimeout = WAIT_TIMEOUT

    def __call__(self) -> None:
        """Run the command."""
        old = self.call("GET", f"/rules/revisions/{self.revision}")
        current = self.call("GET", "/rules")
        print_changes(current["text"], old["text"])
        self.propose(
            old["text"],
            base=current["revision"],
            file=f"revision {self.revision}",
            wait=self.wait,
            timeout=self.timeout,
        )


@cappa.command(name="change")
@dataclasses.dataclass(kw_only=True)
class Change(targets.Target):
    """Tell whether a change whose outcome was unknown took effect."""

    change_id: typing.Annotated[str, cappa.Arg(help="The change's id")]

    def __call__(self) -> None:
        """Run the command."""
        found = self.call("GET", f"/changes/{self.change_id}")
        print(
            f"change {self.change_id} took effect as revision "
            f"{found['revision']}"
        )


def format_time(seconds: float) -> str:
    """Return a time since the epoch in UTC."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")
