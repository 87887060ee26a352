"""Judges: the one host that takes moves on, by the store's agreement."""

import time

from buckthornhold import exchanges
from buckthornhold import observations
from buckthornhold import reasons
from buckthornhold import rechecks
from buckthornhold import rollouts
from buckthornhold import signals
from buckthornhold import stores
from buckthornhold import tally_collectors
from buckthornhold import tasks
from buckthornhold.coordination import evidence
from buckthornhold.coordination import facts
from buckthornhold.coordination import host_rankings
from buckthornhold.coordination import moves
from buckthornhold.coordination import roles
from buckthornhold.coordination import withdrawals

#: Hosts of a zone that one second of collecting is worth.
HOSTS_PER_SECOND = 25
ROLE_RENEWALS_PER_TERM = 4
#: Facts by which a move may have to be taken on or back.
ENDING_PREFIXES = (
    exchanges.MOVES_PREFIX,
    rechecks.PREFIX,
    withdrawals.PREFIX,
)


class Judge(tasks.PeriodicService):
    """Seeks the role of the moves' judge and decides while it holds it."""

    def __init__(self, *, host, role: roles.Role) -> None:
        super().__init__(
            interval=min(
                host.settings.move_collect_interval,
                host.settings.role_term / ROLE_RENEWALS_PER_TERM,
            ),
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._settings = host.settings
        self._role = role
        self._collector = tally_collectors.Collector(host=host)
        self._collected_at = 0.0
        self._waits_for: dict[str, str] = {}
        host.exchanges.receive_with(self._take_fact)
        signals.rules_adopted.connect(self._take_rules, sender=host)

    @property
    def has_work(self) -> bool:
        """Whether a move is not at its agreed end."""
        return bool(self._host.moves.list_open())

    @property
    def role(self) -> roles.Role:
        """The role that allows to take moves on."""
        return self._role

    @property
    def collector(self) -> tally_collectors.Collector:
        """Sums up the tallies that are judged."""
        return self._collector

    def find_want(self, plan: moves.Plan) -> str:
        """Return what a move waits for, if this host is its judge."""
        return self._waits_for.get(plan.move, "") if self._role.is_held else ""

    async def run_once(self) -> None:
        """Keep the role while moves are open, and decide on each."""
        plans = self._host.moves.list_open()
        open_moves = {plan.move for plan in plans}
        self._collector.retain_moves(open_moves)
        for move in set(self._waits_for) - open_moves:
            del self._waits_for[move]
        if not plans or not self._is_candidate():
            return
        await self._role.acquire_or_renew()
        now = time.monotonic()
        due = now - self._collected_at >= self._collect_time()
        if not self._role.is_held or not due:
            return
        self._collected_at = now
        tallies = await self._collector.collect_fleet()
        for plan in plans:
            await self._decide(plan, tallies)

    async def _decide(
        self, plan: moves.Plan, tallies: evidence.Tallies
    ) -> None:
        """Take a move one step on, or end it, by the store's agreement."""
        known = self._host.moves.find_agreed(plan)
        if known is None:
            known = await self._read_agreed(plan)
        if isinstance(known, reasons.Failure):
            return
        withdrawal = self._host.moves.find_withdrawal(plan.model, plan.new)
        if withdrawal is not None:
            await self._agree(
                plan, known, moves.State.TAKEN_BACK, withdrawal.reason
            )
            return
        if known is None:
            await self._agree(plan, None, moves.State.RUNNING, "begun")
            return
        seen = observations.select_move(tallies, plan.move)
        if known.state is moves.State.DONE:
            await self._recheck(plan, known, seen)
            return
        judgement = moves.decide(
            plan,
            seen,
            step=known.step,
            dwell_elapsed=time.time() - known.changed
            >= self._settings.move_step_time,
            remaining_seconds=plan.deadline - time.time(),
            finish_lead_seconds=self._settings.move_lead,
        )
        self._waits_for[plan.move] = judgement.reason
        await self._follow(plan, known, judgement)

    async def _recheck(
        self,
        plan: moves.Plan,
        known: moves.AgreedState,
        tallies: evidence.Tallies,
    ) -> None:
        """Take a done move back if its new version has turned worse."""
        alarm = moves.find_regression(plan, tallies, single_host=False)
        if alarm:
            self._host.moves.withdraw(plan.model, plan.new, alarm)
            await self._agree(plan, known, moves.State.TAKEN_BACK, alarm)

    async def _follow(self, plan, known, judgement) -> None:
        verdict = judgement.action
        if verdict is moves.Action.WAIT:
            return
        if verdict is moves.Action.WITHDRAW:
            self._host.moves.withdraw(plan.model, plan.new, judgement.reason)
        state = {
            moves.Action.ADVANCE: moves.State.RUNNING,
            moves.Action.FINISH: moves.State.DONE,
        }.get(verdict, moves.State.TAKEN_BACK)
        await self._agree(plan, known, state, judgement.reason)

    async def _read_agreed(
        self, plan: moves.Plan
    ) -> moves.AgreedState | None | reasons.Failure:
        entry = await self._host.store.get(rollouts.make_key(plan))
        if entry is None or isinstance(entry, reasons.Failure):
            return entry
        fact = facts.load_fact(entry.key, entry.value)
        self._host.exchanges.known.merge(fact)
        return moves.load_agreed_state(fact.value)

    async def _agree(
        self,
        plan: moves.Plan,
        known: moves.AgreedState | None,
        state: moves.State,
        reason: str,
    ) -> None:
        """Write a move's next state over what the store holds."""
        key = rollouts.make_key(plan)
        entry = await self._host.store.get(key)
        if isinstance(entry, reasons.Failure):
            return
        if entry is not None:
            stored = facts.load_fact(key, entry.value)
            held = moves.load_agreed_state(stored.value)
            if held.fence > self._role.fence:
                return
            if known is None or held.rank > known.rank:
                self._host.exchanges.publish(stored)
                return
        step = known.step if known else 0
        if known and state is moves.State.RUNNING:
            step += 1
        agreed = moves.AgreedState(
            move=plan.move,
            step=step,
            state=state,
            reason=reason,
            fence=self._role.fence,
            holder=self._settings.host,
            changed=time.time(),
        )
        fact = facts.Fact(key=key, rank=agreed.rank, value=agreed.dump())
        if not self._role.is_held:
            return
        result = await self._host.store.put(
            key,
            fact.dump(),
            expect=entry.version if entry else stores.MUST_NOT_EXIST,
        )
        if not isinstance(result, reasons.Failure):
            self._host.exchanges.publish(fact)

    def _take_rules(self, sender, revision) -> None:
        self.wake()

    def _take_fact(self, fact: facts.Fact) -> None:
        if fact.key.startswith(ENDING_PREFIXES):
            self.wake()

    def _is_candidate(self) -> bool:
        """Tell whether this host is among the few that seek the role."""
        return host_rankings.is_selected(
            self._settings.host,
            [link.host for link in self._host.links.list_all()],
            self._settings.role_candidates,
        )

    def _collect_time(self) -> float:
        zone = self._settings.zone
        hosts = len(self._host.links.list_zone(zone)) + 1
        return self._settings.move_collect_interval * max(
            1.0, hosts / HOSTS_PER_SECOND
        )
