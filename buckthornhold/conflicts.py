"""Conflicts between the rules of one text."""

from collections.abc import Iterator
import dataclasses

from buckthornhold import rules


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """A rule that does not go with the others; ``key`` is the wrong word."""

    rule: rules.Rule
    key: str
    found: str
    expected: str


def find_conflicts(found: list[rules.Rule]) -> Iterator[Conflict]:
    """Yield every rule that does not go with those before it."""
    yield from _find_duplicates(found)
    yield from _find_wrong_moves(found)
    yield from _find_excess_shares(found)
    yield from _find_wrong_capacities(found)
    yield from _find_wrong_shared_calls(found)


def _find_duplicates(found: list[rules.Rule]) -> Iterator[Conflict]:
    first = {}
    for rule in found:
        key = _normalize_key(rule)
        if key not in first:
            first[key] = rule
            continue
        yield Conflict(
            rule=rule,
            key=rule.key_fields[0],
            found=rule.text,
            expected=(
                f"no second {rule.verb} line for the same "
                f"{', '.join(rule.key_fields)}; line {first[key].line} has it"
            ),
        )


def _normalize_key(rule: rules.Rule) -> tuple:
    return tuple(
        tuple(sorted(part)) if isinstance(part, tuple) else part
        for part in rule.key
    )


def _find_wrong_moves(found: list[rules.Rule]) -> Iterator[Conflict]:
    served: dict[str, list[str]] = {}
    for rule in found:
        if isinstance(rule, rules.ServeRule):
            served.setdefault(rule.model, []).append(rule.version)
    for rule in found:
        if not isinstance(rule, rules.MoveRule):
            continue
        versions = served.get(rule.model, [])
        for key in ("old", "new"):
            version = getattr(rule, key)
            if version in versions:
                continue
            names = ", ".join(dict.fromkeys(versions)) or "none"
            yield Conflict(
                rule=rule,
                key=key,
                found=version,
                expected=(
                    f"a version that a serve line of {rule.model} names "
                    f"({names})"
                ),
            )
        if rule.old == rule.new:
            yield Conflict(
                rule=rule,
                key="new",
                found=rule.new,
                expected="a version other than old=",
            )


def _find_excess_shares(found: list[rules.Rule]) -> Iterator[Conflict]:
    total = 0.0
    for rule in found:
        if not isinstance(rule, rules.LimitRule):
            continue
        total += rule.share
        if rule.share and total > 1 + 1e-9:
            yield Conflict(
                rule=rule,
                key="share",
                found=f"{rule.share * 100:g}%",
                expected=(
                    "shares that add up to at most 100%; "
                    f"with this line they are {total * 100:g}%"
                ),
            )


def _find_wrong_capacities(found: list[rules.Rule]) -> Iterator[Conflict]:
    served = {
        (rule.model, rule.version)
        for rule in found
        if isinstance(rule, rules.ServeRule)
    }
    for rule in found:
        if not isinstance(rule, rules.CapacityRule):
            continue
        if rule.least > rule.most:
            yield Conflict(
                rule=rule,
                key="least",
                found=str(rule.least),
                expected=f"at most most={rule.most}",
            )
        if (rule.model, rule.version) not in served:
            yield Conflict(
                rule=rule,
                key="version",
                found=rule.version,
                expected=f"a version that a serve line of {rule.model} names",
            )


def _find_wrong_shared_calls(found: list[rules.Rule]) -> Iterator[Conflict]:
    for rule in found:
        if not isinstance(rule, rules.CallRule):
            continue
        if rule.shared and not rule.repeat:
            yield Conflict(
                rule=rule,
                key="shared",
                found="yes",
                expected="repeat=yes: a call that runs at most once is "
                "never shared",
            )
        if rule.fresh and not rule.shared:
            yield Conflict(
                rule=rule,
                key="fresh",
                found=f"{rule.fresh:g}s",
                expected="shared=yes beside fresh=",
            )
