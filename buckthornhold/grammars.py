"""Grammar of the rules text: one rule a line, read and written.

A line is a verb, ``key=value`` words and ``# asked by: WHO[: why]``::

    serve model=race-desk-llm version=v1  # asked by: J. Ali: ruling desk

Empty lines and lines that begin with ``#`` are skipped. Line ends may be
those of DOS, words may be parted by tabs, and a byte order mark is skipped.
"""

import dataclasses
import difflib
import re

from buckthornhold import conflicts
from buckthornhold import reasons
from buckthornhold import rules
from buckthornhold import values

WORD = re.compile(r"\S+")
COMMENT_START = "# asked by:"
EXPECTED_COMMENT = f"a comment '{COMMENT_START} WHO'"
BYTE_ORDER_MARK = "\ufeff"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verb:
    """One kind of rule line with its keys, of which some must be there."""

    kind: type[rules.Rule]
    required: tuple[str, ...]
    keys: dict[str, values.Value]


VERBS = {
    verb.kind.verb: verb
    for verb in (
        Verb(
            kind=rules.ServeRule,
            required=("model", "version"),
            keys={
                "model": values.Name(),
                "version": values.Name(),
                "workspaces": values.Names(),
                "zones": values.Names(),
                "classes": values.Names(),
            },
        ),
        Verb(
            kind=rules.MoveRule,
            required=("model", "old", "new", "by"),
            keys={
                "model": values.Name(),
                "old": values.Name(),
                "new": values.Name(),
                "by": values.Moment(),
                "share": values.Share(),
            },
        ),
        Verb(
            kind=rules.CallRule,
            required=("service", "operation", "repeat"),
            keys={
                "service": values.Name(),
                "operation": values.NameOrAny(),
                "repeat": values.YesNo(),
                "deadline": values.Seconds(),
                "shared": values.YesNo(),
                "fresh": values.Seconds(),
            },
        ),
        Verb(
            kind=rules.LimitRule,
            required=("workspace",),
            keys={
                "workspace": values.NameOrAny(),
                "rate": values.Rate(),
                "share": values.Share(),
                "priority": values.Number(),
            },
        ),
        Verb(
            kind=rules.CapacityRule,
            required=("model", "version", "load", "most"),
            keys={
                "model": values.Name(),
                "version": values.Name(),
                "load": values.Count(),
                "least": values.Count(),
                "most": values.Count(),
                "zones": values.Names(),
                "classes": values.Names(),
            },
        ),
        Verb(
            kind=rules.DrainRule,
            required=("host",),
            keys={"host": values.Name()},
        ),
        Verb(
            kind=rules.EvacuateRule,
            required=("zone",),
            keys={"zone": values.Name()},
        ),
    )
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class RuleError:
    """A wrong place in a rules text; line and column count from 1."""

    file: str
    line: int
    column: int
    found: str
    expected: str

    def describe(self) -> str:
        """Return the error as one line."""
        return (
            f"{self.file}:{self.line}:{self.column}: found {self.found!r}, "
            f"expected {self.expected}"
        )


def parse_rules(
    text: str, *, name: str = "rules"
) -> rules.RuleSet | list[RuleError]:
    """Read a whole text; with any wrong line only errors are returned."""
    found = []
    errors = []
    lines = split_lines(text)
    for number, line in enumerate(lines, start=1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        result = _LineReader(line=line, number=number, name=name).read()
        if isinstance(result, RuleError):
            errors.append(result)
            continue
        found.append(result)
    if not errors:
        errors = _list_conflicts(found, lines, name)
    return errors or rules.RuleSet(rules=tuple(found))


def find_identity(line: str) -> str | None:
    """Return what tells which rule a line is, or None for no rule.

    Two lines with one identity speak of the same thing, so that two
    operators who change them change the same rule.
    """
    if not line.strip() or line.lstrip().startswith("#"):
        return None
    rule = _LineReader(line=line, number=1, name="").read()
    if isinstance(rule, RuleError):
        return None
    words = [rule.verb]
    for key, value in zip(rule.key_fields, rule.key[1:], strict=True):
        text = ",".join(value) if isinstance(value, tuple) else value
        words.append(f"{key}={text}")
    return " ".join(words)


def find_problem(text: str) -> str | None:
    """Return what is wrong with a rules text, a line for each error."""
    found = parse_rules(text)
    if isinstance(found, rules.RuleSet):
        return None
    return "\n".join(error.describe() for error in found)


def split_lines(text: str) -> list[str]:
    """Return the lines without line ends and byte order mark."""
    text = text.removeprefix(BYTE_ORDER_MARK)
    return re.split(r"\r\n|\n|\r", text)


def format_rule(rule: rules.Rule) -> str:
    """Return a rule as its line; keys at their default are left out."""
    verb = VERBS[rule.verb]
    defaults = {it.name: it.default for it in dataclasses.fields(rule)}
    words = [rule.verb]
    for key, value in verb.keys.items():
        held = getattr(rule, key)
        if key not in verb.required and held == defaults[key]:
            continue
        words.append(f"{key}={value.write(held)}")
    return f"{' '.join(words)}  {COMMENT_START} {rule.asked_by}"


def format_rules(rule_set: rules.RuleSet) -> str:
    """Return the text that reads as a rule set."""
    return "".join(f"{format_rule(rule)}\n" for rule in rule_set.rules)


def make_failure(errors: list[RuleError]) -> reasons.Failure:
    """Return the refusal of a text with wrong lines."""
    return reasons.Failure(
        reason=reasons.Reason.RULE_INVALID,
        step="parse rules",
        detail="\n".join(error.describe() for error in errors),
    )


class _LineReader:
    """Reads one line that should hold a rule."""

    def __init__(self, *, line: str, number: int, name: str) -> None:
        self._line = line
        self._number = number
        self._name = name

    def read(self) -> rules.Rule | RuleError:
        """Return the rule, or the first wrong place."""
        body, _, comment = self._line.partition(COMMENT_START)
        words = list(WORD.finditer(body))
        if not words:
            return self._fail(0, COMMENT_START, "a rule before the comment")
        verb = VERBS.get(words[0][0])
        if verb is None:
            return self._fail(
                words[0].start(),
                words[0][0],
                _list_options(words[0][0], tuple(VERBS)),
            )
        found = self._read_words(verb, words[1:])
        if isinstance(found, RuleError):
            return found
        end = len(body.rstrip())
        for key in verb.required:
            if key not in found:
                return self._fail(end, "end of rule", f"{key}=")
        if not comment.strip():
            end = len(self._line.rstrip())
            return self._fail(end, "end of line", EXPECTED_COMMENT)
        return verb.kind(
            line=self._number,
            asked_by=comment.strip(),
            text=body.strip(),
            **found,
        )

    def _read_words(self, verb: Verb, words) -> dict | RuleError:
        found = {}
        for word in words:
            if word[0].startswith("#"):
                return self._fail(word.start(), word[0], EXPECTED_COMMENT)
            key, equals, text = word[0].partition("=")
            if key not in verb.keys or not equals:
                options = tuple(f"{it}=" for it in verb.keys)
                return self._fail(
                    word.start(),
                    word[0],
                    _list_options(f"{key}=", options),
                )
            if key in found:
                return self._fail(word.start(), word[0], f"{key}= only once")
            value = verb.keys[key].read(text)
            if value is None:
                column = word.start() + len(key) + 1
                return self._fail(column, text, verb.keys[key].expected)
            found[key] = value
        return found

    def _fail(self, start: int, found: str, expected: str) -> RuleError:
        return RuleError(
            file=self._name,
            line=self._number,
            column=start + 1,
            found=found,
            expected=expected,
        )


def _list_conflicts(
    found: list[rules.Rule], lines: list[str], name: str
) -> list[RuleError]:
    errors = [
        RuleError(
            file=name,
            line=conflict.rule.line,
            column=_find_column(lines[conflict.rule.line - 1], conflict.key),
            found=conflict.found,
            expected=conflict.expected,
        )
        for conflict in conflicts.find_conflicts(found)
    ]
    return sorted(errors, key=lambda error: (error.line, error.column))


def _list_options(found: str, options: tuple[str, ...]) -> str:
    near = difflib.get_close_matches(found, options, n=1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    return f"one of {', '.join(options)}{hint}"


def _find_column(line: str, key: str) -> int:
    """Return the column of a key's value, counted from 1."""
    for word in WORD.finditer(line):
        if word[0].startswith(f"{key}="):
            return word.start() + len(key) + 2
    return 1
