"""Versions: which version of a model a request goes to."""

from collections.abc import Callable
import functools
import weakref

from buckthornhold import attempts
from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import rules
from buckthornhold import signals
from buckthornhold.coordination import moves


class Versions:
    """Chooses a version by the rules, the moves and the withdrawals."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._rules = rules.RuleSet()
        self._failed: weakref.WeakKeyDictionary[
            request_contracts.RequestContract, set[str]
        ] = weakref.WeakKeyDictionary()
        signals.attempt_finished.connect(self._take_attempt, sender=host)

    def adopt(self, rule_set: rules.RuleSet) -> None:
        """Take a newer rule set."""
        self._rules = rule_set

    def choose(
        self, contract: request_contracts.RequestContract
    ) -> rules.ServeRule | reasons.Failure:
        """Return the rule of the version that serves a request."""
        served = self._rules.list_serves(contract.route)
        if not served:
            return _fail(reasons.Reason.UNKNOWN_MODEL, contract)
        matching = [
            rule for rule in served if _matches(rule, contract.workspace)
        ]
        if not matching:
            return _fail(reasons.Reason.NOT_AUTHORIZED, contract)
        allowed = [rule for rule in matching if not self._is_withdrawn(rule)]
        if not allowed:
            return _fail(reasons.Reason.VERSION_WITHDRAWN, contract)
        plan = self._host.moves.find_plan(contract.route)
        if plan is None:
            return allowed[0]
        wanted = [plan.old, plan.new]
        failed = plan.new in self._failed.get(contract, ())
        failed = failed or self._is_out(plan.model, plan.new)
        if not failed and self._host.moves.takes_new(plan, contract):
            wanted = [plan.new, plan.old]
        return self._pick(allowed, wanted)

    def make_zone_check(
        self, contract: request_contracts.RequestContract
    ) -> Callable[[str], bool]:
        """Return what tells whether a request's body may be sent to a zone.

        These are the zones of the rule that serves it, or of all its rules
        while none of them does.
        """
        rule = self.choose(contract)
        if isinstance(rule, rules.ServeRule):
            return functools.partial(rules.includes, rule.zones)
        zones: set[str] = set()
        for served in self._rules.list_serves(contract.route):
            if _matches(served, contract.workspace):
                zones.update(served.zones)
        return functools.partial(rules.includes, tuple(zones or {rules.ANY}))

    def compares(
        self, contract: request_contracts.RequestContract, plan: moves.Plan
    ) -> bool:
        """Tell whether chance alone decides a request's version."""
        found = {
            rule.version
            for rule in self._rules.list_serves(contract.route)
            if _matches(rule, contract.workspace)
            and not self._is_withdrawn(rule)
            and self._has_engines(rule)
        }
        return {plan.old, plan.new} <= found

    def _pick(
        self, allowed: list[rules.ServeRule], wanted: list[str]
    ) -> rules.ServeRule:
        """Return the first wanted version that has engines."""
        by_version = {rule.version: rule for rule in reversed(allowed)}
        ordered = [by_version[it] for it in wanted if it in by_version]
        for rule in ordered:
            if self._has_engines(rule):
                return rule
        return (ordered or allowed)[0]

    def _has_engines(self, rule: rules.ServeRule) -> bool:
        return bool(
            self._host.upstreams.list_engines(rule.model, rule.version)
        )

    def _is_out(self, model: str, version: str) -> bool:
        """Tell whether each engine of a version is lost or held off."""
        found = self._host.upstreams.list_engines(model, version)
        paused = self._host.backoffs.list_active()
        return bool(found) and all(
            it.key in paused or self._host.silences.is_lost(it) for it in found
        )

    def _is_withdrawn(self, rule: rules.ServeRule) -> bool:
        found = self._host.moves.find_withdrawal(rule.model, rule.version)
        return found is not None

    def _take_attempt(self, host, *, attempt: attempts.Attempt) -> None:
        if attempt.failure is not None and attempt.version:
            failed = self._failed.setdefault(attempt.contract, set())
            failed.add(attempt.version)


def _matches(rule: rules.ServeRule, workspace: str) -> bool:
    return rules.ANY in rule.workspaces or workspace in rule.workspaces


def _fail(
    reason: reasons.Reason, contract: request_contracts.RequestContract
) -> reasons.Failure:
    return reasons.Failure(
        reason=reason,
        step="version",
        detail=f"model {contract.route}, workspace {contract.workspace}",
    )
