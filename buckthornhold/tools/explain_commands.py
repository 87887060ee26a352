"""Commands that explain a request or a rule."""

from collections.abc import Iterable
import dataclasses
import pathlib
import sys
import typing
import urllib.parse

import cappa

from buckthornhold import grammars
from buckthornhold import log_stories
from buckthornhold import rules
from buckthornhold.tools import exits
from buckthornhold.tools import rule_commands
from buckthornhold.tools import tables
from buckthornhold.tools import targets

HISTORY_COUNT = 200


@cappa.command(name="request")
@dataclasses.dataclass(kw_only=True)
class ExplainRequest(targets.Target):
    """Tell where a recent request went and why, or why it was refused."""

    request_id: typing.Annotated[str, cappa.Arg(help="The request's id")]
    json: rule_commands.Json = False

    def __call__(self) -> None:
        """Run the command."""
        quoted = urllib.parse.quote(self.request_id, safe="")
        found = self.call("GET", f"/requests/{quoted}?fleet=1")
        if self.json:
            targets.print_json(found)
            return
        for seen in found["seen"]:
            print_request(seen)
        if found["unreached"]:
            print(f"not asked: {', '.join(found['unreached'])}")


def print_request(seen: dict) -> None:
    """Print what one host knows of a request."""
    print(
        f"request {seen['request_id']} on {seen['host']} ({seen['zone']}), "
        f"{rule_commands.format_time(seen['time'])}"
    )
    print(f"  rules revision {seen['revision']}")
    if seen["route"]:
        print(
            f"  {seen['route']} for workspace {seen['workspace'] or '-'}, "
            f"priority {seen['priority']}"
        )
    for rule in seen["rules"]:
        print(f"  by the rule {rule}")
    if seen.get("rules_changed"):
        print("  the rules have changed since")
    elif seen["failure"] and not seen["rules"]:
        print("  no rule in force decided")
    for number, attempt in enumerate(seen["attempts"]):
        version = (
            f" version {attempt['version']}" if attempt["version"] else ""
        )
        print(
            f"  attempt {number}: {attempt['upstream']} ({attempt['zone']})"
            f"{version}, chosen by {attempt['router']} with "
            f"{attempt['in_flight']} in flight, {attempt['seconds']:.3f} s, "
            f"{attempt['tokens']} tokens"
        )
        if attempt["failure"]:
            print(f"    failed: {format_failure(attempt['failure'])}")
    print(f"  {seen['outcome']}", end="")
    if seen["failure"]:
        print(f": {format_failure(seen['failure'])}", end="")
    print()
    if seen["failure"]:
        print(f"  {format_return(seen['failure'].get('retry_after'))}")


def format_return(seconds: float | None) -> str:
    """Return when a refused caller was told to come back."""
    if seconds is None:
        return "the caller was told no time to ask again"
    return f"the caller was told to ask again in {seconds:.1f} s"


def format_failure(failure: dict) -> str:
    """Return a failure as one line."""
    peer = f" at {failure['peer']}" if failure["peer"] else ""
    return (
        f"{failure['reason']} in step '{failure['step']}'{peer}, "
        f"run: {failure['ran']}; {failure['detail']}"
    )


@cappa.command(name="rule")
@dataclasses.dataclass(kw_only=True)
class ExplainRule(targets.Target):
    """Tell who asked for a rule, since when, and where it is in force.

    The rule is found by words that its line has, as 'limit workspace=x'.
    """

    words: typing.Annotated[
        list[str], cappa.Arg(help="Words of the rule's line")
    ]
    json: rule_commands.Json = False

    def __call__(self) -> None:
        """Run the command."""
        path = f"/rules/history?count={HISTORY_COUNT}&text=1"
        history = self.call("GET", path)["revisions"]
        hosts = self.call("GET", "/rules/where")["hosts"]
        wanted = set(" ".join(self.words).split())
        found = [
            rule
            for rule in (_parse(history[0]["text"]) if history else ())
            if wanted <= set(rule.text.split())
        ]
        if not found:
            tables.print_error("no rule in force has these words")
            raise cappa.Exit(code=exits.ExitCode.REFUSED)
        explained = [_explain(rule, history, hosts) for rule in found]
        if self.json:
            targets.print_json(explained)
            return
        for item in explained:
            _print_rule(item)


def _parse(text: str) -> tuple[rules.Rule, ...]:
    parsed = grammars.parse_rules(text)
    return parsed.rules if isinstance(parsed, rules.RuleSet) else ()


def _explain(rule: rules.Rule, history: list[dict], hosts: list[dict]) -> dict:
    since = history[0]
    for revision in history[1:]:
        if rule not in _parse(revision["text"]):
            break
        since = revision
    behind = [it for it in hosts if it["revision"] < since["revision"]]
    return {
        "line": rule.line,
        "rule": grammars.format_rule(rule),
        "asked_by": rule.asked_by,
        "revision": since["revision"],
        "who": since["who"],
        "time": since["time"],
        "change_id": since["change_id"],
        "in_force": [it["host"] for it in hosts if it not in behind],
        "behind": [it["host"] for it in behind if it["reached"]],
        "unreached": [it["host"] for it in behind if not it["reached"]],
    }


def _print_rule(item: dict) -> None:
    print(f"line {item['line']}: {item['rule']}")
    print(f"  asked by: {item['asked_by']}")
    print(
        f"  since revision {item['revision']}, put in by {item['who']}, "
        f"{rule_commands.format_time(item['time'])}, "
        f"change {item['change_id']}"
    )
    print(f"  in force on: {', '.join(item['in_force']) or 'no host'}")
    if item["behind"]:
        print(f"  not yet on: {', '.join(item['behind'])}")
    if item["unreached"]:
        print(f"  not reached: {', '.join(item['unreached'])}")


@cappa.command(name="log")
@dataclasses.dataclass(kw_only=True)
class ExplainLog:
    """Tell a request's story from hosts' logs, without asking a host."""

    request_id: typing.Annotated[str, cappa.Arg(help="The request's id")]
    files: typing.Annotated[
        list[pathlib.Path],
        cappa.Arg(help="Logs of hosts; standard input without any"),
    ] = dataclasses.field(default_factory=list)
    json: rule_commands.Json = False

    def __call__(self) -> None:
        """Run the command."""
        try:
            log = log_stories.read_log(_read_texts(self.files))
        except OSError as error:
            tables.print_error(str(error))
            raise cappa.Exit(code=exits.ExitCode.WRONG_INPUT) from error
        if log.bad:
            tables.print_error(
                f"{len(log.bad)} lines can't be read, first {log.bad[0]}"
            )
        story = log_stories.tell(log, self.request_id)
        if not story.own:
            tables.print_error(
                f"none of {len(log.lines)} lines names {self.request_id!r}"
            )
            raise cappa.Exit(code=exits.ExitCode.WRONG_INPUT)
        if self.json:
            targets.print_json(
                [it.model_dump(mode="json") for it in story.lines]
            )
            return
        for line in story.lines:
            print(format_line(line, own=line.request_id == self.request_id))


def _read_texts(paths: list[pathlib.Path]) -> Iterable[tuple[str, str]]:
    """Return each line with its place, of files or of standard input."""
    if not paths:
        for number, text in enumerate(sys.stdin, start=1):
            yield f"line {number}", text
    for path in paths:
        with path.open(errors="replace") as lines:
            for number, text in enumerate(lines, start=1):
                yield f"{path}, line {number}", text


def format_line(line: log_stories.Line, *, own: bool) -> str:
    """Return a log line for people; a request's own ones are marked."""
    time = line.time.time().isoformat(timespec="milliseconds")
    mark = "*" if own else " "
    peer = f" {line.peer}" if line.peer else ""
    reason = f" ({line.reason})" if line.reason else ""
    return f"{mark} {time} {line.host} {line.step}{peer}{reason}: " + (
        line.message
    )


@cappa.command(name="explain")
@dataclasses.dataclass(kw_only=True)
class Explain:
    """Explain a request or a rule."""

    command: cappa.Subcommands[ExplainRequest | ExplainRule | ExplainLog]
