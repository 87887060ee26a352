"""Operators' rules, one for each line of the rules text.

How the lines are read and written stands in ``grammars``.
"""

import dataclasses
import datetime
import enum
import functools
import typing

from buckthornhold import values

ANY = values.ANY


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rule:
    """One rule line; ``asked_by`` is the whole comment."""

    #: First word of the rule's line.
    verb: typing.ClassVar[str]
    #: Fields that tell the rule apart from others of its verb.
    key_fields: typing.ClassVar[tuple[str, ...]]

    line: int = dataclasses.field(default=0, compare=False)
    asked_by: str
    text: str = dataclasses.field(default="", compare=False)

    @property
    def key(self) -> tuple:
        """The verb and the values of which a rule set has one rule."""
        return (self.verb, *(getattr(self, it) for it in self.key_fields))


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServeRule(Rule):
    """Which workspaces, zones and host classes a model version serves."""

    verb = "serve"
    key_fields = ("model", "version", "workspaces", "zones", "classes")

    model: str
    version: str
    workspaces: tuple[str, ...] = (ANY,)
    zones: tuple[str, ...] = (ANY,)
    classes: tuple[str, ...] = (ANY,)

    def allows(self, record) -> bool:
        """Tell whether a listed host is in the rule's zones and classes."""
        return includes(self.zones, record.zone) and includes(
            self.classes, record.host_class
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class MoveRule(Rule):
    """Traffic of a model goes over from one version to another.

    ``by`` is the time at which the move is done or taken back; ``share`` is
    the new version's greatest share before it is judged good.
    """

    verb = "move"
    key_fields = ("model",)

    model: str
    old: str
    new: str
    by: datetime.datetime
    share: float = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallRule(Rule):
    """A plain service's operation and whether it may be repeated.

    ``deadline`` is in seconds. Identical calls at one time may share one
    execution if ``shared``, and an answer that was sent for up to ``fresh``
    seconds ago.
    """

    verb = "call"
    key_fields = ("service", "operation")

    service: str
    operation: str
    repeat: bool
    deadline: float = 10.0
    shared: bool = False
    fresh: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitRule(Rule):
    """A workspace's limits.

    ``rate`` is the greatest number of requests a second, 0 for none.
    ``share`` is the part of the capacity that is kept for the workspace
    when all ask for more than there is. A higher ``priority`` goes first.
    """

    verb = "limit"
    key_fields = ("workspace",)

    workspace: str
    rate: float = 0.0
    share: float = 0.0
    priority: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainRule(Rule):
    """A host, entry or upstream, that gets no new work."""

    verb = "drain"
    key_fields = ("host",)

    host: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EvacuateRule(Rule):
    """A zone whose upstreams get no new requests."""

    verb = "evacuate"
    key_fields = ("zone",)

    zone: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CapacityRule(Rule):
    """How many hosts a model version may have ordered for it.

    ``load`` is the number of requests at once that one host bears within
    the latency target. There are ``least`` hosts at any time and never more
    than ``most``, of the named zones and host classes.
    """

    verb = "capacity"
    key_fields = ("model", "version")

    model: str
    version: str
    load: int
    most: int
    least: int = 1
    zones: tuple[str, ...] = (ANY,)
    classes: tuple[str, ...] = (ANY,)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RuleSet:
    """All rules of one revision."""

    rules: tuple[Rule, ...] = ()

    def list_serves(self, model: str) -> list[ServeRule]:
        """Return the serve rules of a model, in the order of the file."""
        return self._serves.get(model, [])

    def find_move(self, model: str) -> MoveRule | None:
        """Return a model's move, if there is one."""
        return self._by_key.get((MoveRule.verb, model))

    def list_moves(self) -> list[MoveRule]:
        """Return all moves."""
        return [it for it in self.rules if isinstance(it, MoveRule)]

    def list_capacities(self) -> list[CapacityRule]:
        """Return all rules on the hosts to order."""
        return self._capacities

    def list_named_versions(self) -> list[tuple[Rule, str, str]]:
        """Return each rule with the model and a version that it names."""
        named: list[tuple[Rule, str, str]] = []
        for rule in self.rules:
            if isinstance(rule, (ServeRule, CapacityRule)):
                named.append((rule, rule.model, rule.version))
            elif isinstance(rule, MoveRule):
                named.append((rule, rule.model, rule.old))
                named.append((rule, rule.model, rule.new))
        return named

    def find_call(self, service: str, operation: str) -> CallRule | None:
        """Return the rule of an operation, the exact one first."""
        exact = self._by_key.get((CallRule.verb, service, operation))
        return exact or self._by_key.get((CallRule.verb, service, ANY))

    def find_limit(self, workspace: str) -> LimitRule | None:
        """Return the limits of a workspace, the exact one first."""
        exact = self._by_key.get((LimitRule.verb, workspace))
        return exact or self._by_key.get((LimitRule.verb, ANY))

    def has_service(self, service: str) -> bool:
        """Tell whether any rule names a service."""
        return service in self._services

    def find_drain(self, host: str) -> DrainRule | None:
        """Return the rule by which a host gets no new work, if any."""
        return self._by_key.get((DrainRule.verb, host))

    def is_drained(self, host: str) -> bool:
        """Tell whether a host is to get no new work."""
        return self.find_drain(host) is not None

    def list_evacuations(self) -> list[EvacuateRule]:
        """Return the rules that evacuate zones."""
        return [it for it in self.rules if isinstance(it, EvacuateRule)]

    @functools.cached_property
    def _by_key(self) -> dict[tuple, Rule]:
        return {rule.key: rule for rule in self.rules}

    @functools.cached_property
    def _serves(self) -> dict[str, list[ServeRule]]:
        found: dict[str, list[ServeRule]] = {}
        for rule in self.rules:
            if isinstance(rule, ServeRule):
                found.setdefault(rule.model, []).append(rule)
        return found

    @functools.cached_property
    def _capacities(self) -> list[CapacityRule]:
        return [it for it in self.rules if isinstance(it, CapacityRule)]

    @functools.cached_property
    def _services(self) -> set[str]:
        return {
            rule.service for rule in self.rules if isinstance(rule, CallRule)
        }


def includes(names: tuple[str, ...], name: str) -> bool:
    """Tell whether a rule's list of names includes a name."""
    return ANY in names or name in names


class ChangeKind(enum.StrEnum):
    """What happened to a rule between two rule sets."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RuleChange:
    """One rule that differs between two rule sets."""

    kind: ChangeKind
    old: Rule | None = None
    new: Rule | None = None


def compare_rules(old: RuleSet, new: RuleSet) -> list[RuleChange]:
    """Return what differs, rule by rule; order and layout don't count."""
    old_rules = {rule.key: rule for rule in old.rules}
    new_rules = {rule.key: rule for rule in new.rules}
    changes = []
    for key, rule in old_rules.items():
        if key not in new_rules:
            changes.append(RuleChange(kind=ChangeKind.REMOVED, old=rule))
            continue
        if rule != new_rules[key]:
            changes.append(
                RuleChange(
                    kind=ChangeKind.CHANGED, old=rule, new=new_rules[key]
                )
            )
    for key, rule in new_rules.items():
        if key not in old_rules:
            changes.append(RuleChange(kind=ChangeKind.ADDED, new=rule))
    return changes
