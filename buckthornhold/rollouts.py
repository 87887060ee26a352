"""Rollouts: this host's part in moving traffic between versions."""

import time

from buckthornhold import exchanges
from buckthornhold import observations
from buckthornhold import rechecks
from buckthornhold import request_contracts
from buckthornhold import rules
from buckthornhold import tasks
from buckthornhold.coordination import facts
from buckthornhold.coordination import incidents
from buckthornhold.coordination import moves
from buckthornhold.coordination import poison_detectors
from buckthornhold.coordination import withdrawals


class Rollouts(tasks.PeriodicService):
    """Follows the agreed moves, judges them and withdraws bad versions."""

    def __init__(self, *, host) -> None:
        super().__init__(
            interval=host.settings.moves_interval,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._settings = host.settings
        self._plans: dict[str, moves.Plan] = {}
        self._lines: dict[tuple[str, str], tuple[str, ...]] = {}
        self._revision = 0
        self._observed = observations.Observations(
            host=host, notify=self._look_at_own
        )
        self._rechecks = rechecks.Rechecks(host=host)
        self._looked_at = 0
        host.exchanges.receive_with(self._take_fact)

    def adopt(self, rule_set: rules.RuleSet, revision: int) -> None:
        """Take a newer rule set."""
        self._revision = revision
        self._plans = {
            plan.model: plan for plan in map(_make_plan, rule_set.list_moves())
        }
        lines: dict[tuple[str, str], list[str]] = {}
        for rule, model, version in rule_set.list_named_versions():
            text = f"{rule.text} # {rule.asked_by}"
            digests = lines.setdefault((model, version), [])
            digests.append(withdrawals.digest_line(text))
        self._lines = {name: tuple(found) for name, found in lines.items()}
        self.wake()

    @property
    def has_work(self) -> bool:
        """Whether a move is not at its agreed end."""
        return bool(self.list_open())

    @property
    def observed(self) -> observations.Observations:
        """What this host's own attempts have shown."""
        return self._observed

    def list_open(self) -> list[moves.Plan]:
        """Return the plans whose versions are compared now."""
        return [
            plan
            for plan in self._plans.values()
            if self.is_open(plan) or self.is_rechecked(plan)
        ]

    def find_plan(self, model: str) -> moves.Plan | None:
        """Return the plan of a model's move."""
        return self._plans.get(model)

    def is_named(self, move: str) -> bool:
        """Tell whether a rule in force asks for a move."""
        return any(plan.move == move for plan in self._plans.values())

    def find_agreed(self, plan: moves.Plan) -> moves.AgreedState | None:
        """Return what this host knows to be agreed on a move."""
        fact = self._host.exchanges.known.find(make_key(plan))
        return moves.load_agreed_state(fact.value) if fact else None

    def find_share(self, plan: moves.Plan) -> float:
        """Return the new version's share on this host now."""
        if self.find_withdrawal(plan.model, plan.new) is not None:
            return 0.0
        agreed = self.find_agreed(plan)
        if agreed is None or agreed.state is moves.State.TAKEN_BACK:
            return 0.0
        if agreed.state is moves.State.DONE:
            rechecked = self.is_rechecked(plan)
            return moves.RECHECK_SHARE if rechecked else 1.0
        if time.time() >= plan.deadline:
            return 0.0
        return plan.shares[min(agreed.step, len(plan.shares) - 1)]

    def takes_new(
        self, plan: moves.Plan, contract: request_contracts.RequestContract
    ) -> bool:
        """Tell whether a request is in the new version's share."""
        place = request_contracts.hash_to_fraction(
            f"{plan.move}:{contract.request_id}"
        )
        return place < self.find_share(plan)

    def find_withdrawal(
        self, model: str, version: str
    ) -> withdrawals.Withdrawal | None:
        """Return the withdrawal of a version that is in force."""
        key = withdrawals.make_key(model, version)
        fact = self._host.exchanges.known.find(key)
        if fact is None:
            return None
        withdrawal = withdrawals.load_withdrawal(fact)
        lines = self._lines.get((model, version), ())
        if withdrawal.is_lifted(revision=self._revision, lines=lines):
            return None
        return withdrawal

    def withdraw(self, model: str, version: str, reason: str) -> None:
        """Stop a version everywhere until an operator's rule lifts it."""
        if self.find_withdrawal(model, version) is not None:
            return
        withdrawal = withdrawals.Withdrawal(
            model=model,
            version=version,
            reason=reason,
            host=self._settings.host,
            revision=self._revision,
            lines=self._lines.get((model, version), ()),
            time=time.time(),
        )
        self._host.exchanges.publish(withdrawal.make_fact())

    def describe(self) -> dict:
        """Return moves and withdrawals, as operators read them."""
        listed = self._host.exchanges.known.list_all(withdrawals.PREFIX)
        ended = self._host.exchanges.known.list_all(exchanges.MOVES_PREFIX)
        return {
            "moves": [self._describe_move(it) for it in self._plans.values()],
            "expiring_moves": [
                {
                    "move": fact.key.removeprefix(exchanges.MOVES_PREFIX),
                    "until": fact.expires,
                }
                for fact in ended
                if fact.expires
            ],
            "withdrawals": [
                self._describe_withdrawal(withdrawals.load_withdrawal(fact))
                for fact in listed
            ],
        }

    async def run_once(self) -> None:
        """Look at this host's own evidence, where it has changed."""
        self._observed.look_at_running()
        plans = self.list_open()
        self._observed.keep_only({plan.move for plan in plans})
        self._rechecks.keep_only({it.move for it in self._plans.values()})
        if self._observed.count == self._looked_at:
            return
        self._looked_at = self._observed.count
        for plan in plans:
            self._look_at_own(plan)

    def is_open(self, plan: moves.Plan) -> bool:
        """Tell whether the store has not agreed to the move's end."""
        if self.find_withdrawal(plan.model, plan.new) is not None:
            agreed = self.find_agreed(plan)
            return agreed is None or agreed.state is not (
                moves.State.TAKEN_BACK
            )
        agreed = self.find_agreed(plan)
        return agreed is None or agreed.state is moves.State.RUNNING

    def is_rechecked(self, plan: moves.Plan) -> bool:
        """Tell whether this host compares a done move's versions again."""
        if self.find_withdrawal(plan.model, plan.new) is not None:
            return False
        return self._rechecks.is_on(plan)

    def _look_at_own(self, plan: moves.Plan) -> None:
        """Withdraw on this host's own evidence, if it is strong."""
        if self.find_withdrawal(plan.model, plan.new) is not None:
            return
        alarm = moves.find_regression(
            plan,
            self._observed.select(plan.move),
            single_host=True,
        )
        if alarm:
            self.withdraw(plan.model, plan.new, alarm)

    def _look_at_crashes(self) -> None:
        judge = self._host.quarantines.detector
        for plan in self._plans.values():
            agreed = self.find_agreed(plan)
            if agreed is not None and agreed.state is moves.State.DONE:
                alarm = incidents.find_crash_burst(judge, version=plan.new)
            elif self.is_open(plan):
                alarm = incidents.find_crash_regression(
                    judge,
                    old=plan.old,
                    new=plan.new,
                    share=self._find_crash_share(plan),
                )
            else:
                continue
            if alarm:
                reason = f"{alarm} of {plan.model}@{plan.new}"
                self.withdraw(plan.model, plan.new, reason)

    def _find_crash_share(self, plan: moves.Plan) -> float:
        """Return the share of crashes that chance gives the new version."""
        upstreams = self._host.upstreams
        new = len(upstreams.list_engines(plan.model, plan.new))
        old = len(upstreams.list_engines(plan.model, plan.old))
        return max(self.find_share(plan), new / max(1, new + old))

    def _take_fact(self, fact: facts.Fact) -> None:
        log = self._host.logger.bind(step="moves")
        if fact.key.startswith(exchanges.MOVES_PREFIX):
            agreed = moves.load_agreed_state(fact.value)
            self._host.counters.count_event(f"moves.{agreed.state.value}")
            self.wake()
            log.info(
                f"move {agreed.move}: {agreed.state.value}, step "
                f"{agreed.step}: {agreed.reason}"
            )
        elif fact.key.startswith(withdrawals.PREFIX):
            self._host.counters.count_event("versions.withdrawn")
            self.wake()
            withdrawal = withdrawals.load_withdrawal(fact)
            log.warning(
                f"{withdrawal.model}@{withdrawal.version} withdrawn by "
                f"{withdrawal.host}: {withdrawal.reason}"
            )
        elif fact.key.startswith(rechecks.PREFIX):
            self.wake()
        elif fact.key.startswith(poison_detectors.CLEARED_PREFIX):
            self._look_at_crashes()

    def _describe_move(self, plan: moves.Plan) -> dict:
        agreed = self.find_agreed(plan)
        withdrawal = self.find_withdrawal(plan.model, plan.new)
        described = {
            "move": plan.move,
            "model": plan.model,
            "old": plan.old,
            "new": plan.new,
            "by": plan.deadline,
            "share": self.find_share(plan),
            "rechecked": self.is_rechecked(plan),
            "state": "not begun",
            "reason": "",
        }
        if agreed is not None:
            described |= {
                "state": agreed.state.value,
                "step": agreed.step,
                "reason": agreed.reason,
                "fence": agreed.fence,
                "holder": agreed.holder,
                "changed": agreed.changed,
            }
        if withdrawal is not None:
            described |= {
                "state": moves.State.TAKEN_BACK.value,
                "reason": withdrawal.reason,
            }
        elif self.is_open(plan) and time.time() >= plan.deadline:
            described["reason"] = "its time has passed, kept on the old"
        return described

    def _describe_withdrawal(self, withdrawal) -> dict:
        found = self.find_withdrawal(withdrawal.model, withdrawal.version)
        return {
            "model": withdrawal.model,
            "version": withdrawal.version,
            "reason": withdrawal.reason,
            "host": withdrawal.host,
            "revision": withdrawal.revision,
            "time": withdrawal.time,
            "in_force": found is not None,
        }


def _make_plan(rule: rules.MoveRule) -> moves.Plan:
    return moves.Plan(
        move=moves.make_move_id(
            rule.model, rule.new, f"{rule.text} # {rule.asked_by}"
        ),
        model=rule.model,
        old=rule.old,
        new=rule.new,
        share=rule.share,
        deadline=rule.by.timestamp(),
    )


def make_key(plan: moves.Plan) -> str:
    """Return the key of a move's agreed state, in the store too."""
    return f"{exchanges.MOVES_PREFIX}{plan.move}"
