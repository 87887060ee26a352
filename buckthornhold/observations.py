"""Observations: what this host's attempts say of a move's versions."""

import asyncio
from collections.abc import Callable
import dataclasses
import time

from buckthornhold import attempts
from buckthornhold import healths
from buckthornhold import reasons
from buckthornhold import signals
from buckthornhold.coordination import evidence
from buckthornhold.coordination import moves
from buckthornhold.peers import evidence_pb2

#: Failures that are not the version's.
UNCOUNTED = (
    reasons.Reason.STREAM_MOVED,
    reasons.Reason.TEXT_LOST,
    reasons.Reason.UPSTREAM_LEAVING,
    reasons.Reason.UPSTREAM_REFUSED,
    reasons.Reason.UPSTREAM_UNREACHABLE,
)
#: Failures that are the version's only if its upstream is alive.
EXAMINED = (
    reasons.Reason.UPSTREAM_BROKEN,
    reasons.Reason.UPSTREAM_TIMEOUT,
)
#: Time after the first token after which a running attempt's gap counts.
GAP_WAIT = 2.0
LEAST_TOKENS = 4


@dataclasses.dataclass(kw_only=True, eq=False)
class Watched:
    """One running attempt that counts for a move."""

    plan: moves.Plan
    series: evidence.Series
    first_counted: bool = False
    gap_counted: bool = False


class HostTallies:
    """The latest tallies of one host, kept up by what changed."""

    def __init__(self) -> None:
        self.incarnation = 0
        self.count = 0
        self.tallies: evidence.Tallies = {}

    def take(self, reply: evidence_pb2.CollectReply) -> None:
        """Take in a host's answer; an older one changes nothing."""
        if reply.incarnation != self.incarnation:
            self.incarnation = reply.incarnation
            self.tallies = {}
        elif reply.count < self.count:
            return
        self.count = reply.count
        self.tallies.update(load_tallies(reply.tallies))


class Observations:
    """Counts first attempts of a move on the side that chance gave them.

    ``notify`` is called with a plan when its new version has failed.
    """

    def __init__(self, *, host, notify: Callable[[moves.Plan], None]) -> None:
        self._host = host
        self._notify = notify
        self._running: dict[attempts.Attempt, Watched] = {}
        self._tallies: evidence.Tallies = {}
        self._changed: dict[evidence.Series, int] = {}
        self._count = 0
        self._old_health: dict[str, evidence.BaselineHealth] = {}
        self._examinations: set[asyncio.Task] = set()
        signals.attempt_started.connect(self._take_start, sender=host)
        signals.attempt_finished.connect(self._take_end, sender=host)

    @property
    def tallies(self) -> evidence.Tallies:
        """Everything that this host has counted."""
        return self._tallies

    @property
    def count(self) -> int:
        """Number that rises with each change of a tally."""
        return self._count

    def select(self, move: str) -> evidence.Tallies:
        """Return the tallies of one move."""
        return select_move(self._tallies, move)

    def keep_only(self, open_moves: set[str]) -> None:
        """Forget the tallies of other moves."""
        for series in drop_others(self._tallies, open_moves):
            del self._changed[series]

    def answer(
        self, *, since: int, incarnation: int
    ) -> evidence_pb2.CollectReply:
        """Return what changed since a count of this incarnation."""
        if incarnation != self._host.incarnation:
            since = 0
        changed = {
            series: self._tallies[series]
            for series, count in self._changed.items()
            if count > since
        }
        return evidence_pb2.CollectReply(
            incarnation=self._host.incarnation,
            count=self._count,
            tallies=dump_tallies(changed),
        )

    def look_at_running(self) -> None:
        """Count the latencies that running attempts show already."""
        now = time.monotonic()
        for attempt, watched in self._running.items():
            self._count_first_token(attempt, watched)
            since = now - attempt.first_token_at
            if attempt.first_token_at and since > GAP_WAIT:
                self._count_gap(attempt, watched, since)

    def _take_start(self, host, *, attempt: attempts.Attempt) -> None:
        if attempt.number or not attempt.version:
            return
        plan = self._host.moves.find_plan(attempt.contract.route)
        if plan is None or not self._host.versions.compares(
            attempt.contract, plan
        ):
            return
        step = self._find_step(plan)
        if step is None:
            return
        new = self._host.moves.takes_new(plan, attempt.contract)
        if attempt.version != (plan.new if new else plan.old):
            return
        series = evidence.Series(
            move=plan.move,
            step=step,
            workspace=attempt.contract.workspace,
            new=new,
        )
        self._running[attempt] = Watched(plan=plan, series=series)

    def _find_step(self, plan: moves.Plan) -> int | None:
        """Return the step under which an attempt counts, if it does."""
        agreed = self._host.moves.find_agreed(plan)
        if agreed is None:
            return None
        if agreed.state is moves.State.RUNNING:
            return agreed.step
        if self._host.moves.is_rechecked(plan):
            return plan.recheck_step
        return None

    def _take_end(self, host, *, attempt: attempts.Attempt) -> None:
        watched = self._running.pop(attempt, None)
        if watched is None:
            return
        self._count_first_token(attempt, watched)
        if attempt.tokens >= LEAST_TOKENS:
            since = attempt.ended_at - attempt.first_token_at
            self._count_gap(attempt, watched, since)
        failure = attempt.failure
        if failure is None:
            if attempt.tokens:
                self._count_outcome(watched, failed=False)
            return
        if failure.reason in UNCOUNTED:
            return
        if failure.reason not in EXAMINED:
            self._count_outcome(watched, failed=True)
            return
        task = asyncio.create_task(self._examine(attempt, watched))
        self._examinations.add(task)
        task.add_done_callback(self._examinations.discard)

    async def _examine(
        self, attempt: attempts.Attempt, watched: Watched
    ) -> None:
        health = await self._host.quarantines.check_upstream(attempt.upstream)
        if health is healths.Health.ALIVE:
            self._count_outcome(watched, failed=True)

    def _count_outcome(self, watched: Watched, *, failed: bool) -> None:
        health = self._old_health.setdefault(
            watched.plan.move, evidence.BaselineHealth()
        )
        comparable = health.comparable
        if not watched.series.new:
            health.record_outcome(failed=failed)
        if not comparable:
            return
        self._touch(watched.series).record_outcome(failed=failed)
        if failed and watched.series.new:
            self._notify(watched.plan)

    def _count_first_token(
        self, attempt: attempts.Attempt, watched: Watched
    ) -> None:
        if watched.first_counted or not attempt.first_token_at:
            return
        watched.first_counted = True
        self._touch(watched.series).record_first_token(
            attempt.first_token_at - attempt.started_at
        )

    def _count_gap(
        self, attempt: attempts.Attempt, watched: Watched, since: float
    ) -> None:
        if watched.gap_counted:
            return
        watched.gap_counted = True
        self._touch(watched.series).record_gap(
            since / max(1, attempt.tokens - 1)
        )

    def _touch(self, series: evidence.Series) -> evidence.Tally:
        self._count += 1
        self._changed[series] = self._count
        return self._tallies.setdefault(series, evidence.Tally())


def select_move(tallies: evidence.Tallies, move: str) -> evidence.Tallies:
    """Return the tallies of one move."""
    return {
        series: tally
        for series, tally in tallies.items()
        if series.move == move
    }


def drop_others(
    tallies: evidence.Tallies, open_moves: set[str]
) -> list[evidence.Series]:
    """Drop the tallies of other moves; return their series."""
    dropped = [it for it in tallies if it.move not in open_moves]
    for series in dropped:
        del tallies[series]
    return dropped


def dump_tallies(
    tallies: evidence.Tallies,
) -> list[evidence_pb2.VersionTally]:
    """Return tallies as messages."""
    return [
        evidence_pb2.VersionTally(
            move=series.move,
            step=series.step,
            workspace=series.workspace,
            new=series.new,
            counts=tally.dump(),
        )
        for series, tally in tallies.items()
    ]


def load_tallies(messages) -> evidence.Tallies:
    """Read tallies from messages."""
    return {
        evidence.Series(
            move=message.move,
            step=message.step,
            workspace=message.workspace,
            new=message.new,
        ): evidence.load_tally(list(message.counts))
        for message in messages
    }
