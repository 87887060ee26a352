"""Rechecks: versions whose faults first show after their move is done.

A done move has no old version beside the new one to compare with. When a
host sees its answers turn worse than they were, all hosts send part of the
requests to the old version again for a while, so that the two are compared
as during the move, by the evidence of all. The news of it is a fact that
expires.
"""

import bisect
import collections
import time

from buckthornhold import attempts
from buckthornhold import observations
from buckthornhold import signals
from buckthornhold.coordination import evidence
from buckthornhold.coordination import facts
from buckthornhold.coordination import moves

#: First attempts that are compared with all before them.
RECENT_ATTEMPTS = 20
LEAST_RECENT_FAILURES = 3
#: Part of the earlier answers that were no slower than the usual ones.
USUAL_PART = 0.9
#: Part of the recent answers beyond the usual that makes a version slower.
SLOW_PART = 0.5
LEAST_HISTORY = 50
RECHECK_SECONDS = 30.0
#: The news is sent again when no more than this time of it is left.
RENEW_SECONDS = 20.0
PREFIX = "rechecks/"


class Latencies:
    """Tells whether recent latencies lie above the usual ones."""

    def __init__(self, *, edges: tuple[float, ...]) -> None:
        self._edges = edges
        self._history = [0] * (len(edges) + 1)
        self._recent: collections.deque[int] = collections.deque()

    @property
    def raised(self) -> bool:
        """Whether many are more than one bin above the usual ones."""
        total = sum(self._history)
        if total < LEAST_HISTORY:
            return False
        usual, below = 0, self._history[0]
        while below < USUAL_PART * total:
            usual += 1
            below += self._history[usual]
        slow = sum(place > usual + 1 for place in self._recent)
        return slow >= SLOW_PART * RECENT_ATTEMPTS

    def take(self, seconds: float) -> None:
        """Take in the latency of one attempt."""
        self._recent.append(bisect.bisect_left(self._edges, seconds))
        if len(self._recent) > RECENT_ATTEMPTS:
            self._history[self._recent.popleft()] += 1


class Record:
    """What this host has seen of a move's new version."""

    def __init__(self) -> None:
        self._failures: collections.deque[bool] = collections.deque(
            maxlen=RECENT_ATTEMPTS
        )
        self._first_tokens = Latencies(
            edges=evidence.FIRST_TOKEN_EDGES_SECONDS
        )
        self._gaps = Latencies(edges=evidence.GAP_EDGES_SECONDS)

    @property
    def raised(self) -> bool:
        """Whether the version has become worse than it was."""
        return (
            sum(self._failures) >= LEAST_RECENT_FAILURES
            or self._first_tokens.raised
            or self._gaps.raised
        )

    def take(self, attempt: attempts.Attempt) -> None:
        """Take in an attempt that has ended."""
        failure = attempt.failure
        if failure is None or failure.reason not in observations.UNCOUNTED:
            self._failures.append(failure is not None)
        if attempt.first_token_at:
            self._first_tokens.take(
                attempt.first_token_at - attempt.started_at
            )
        if attempt.tokens >= observations.LEAST_TOKENS:
            seconds = attempt.ended_at - attempt.first_token_at
            self._gaps.take(seconds / (attempt.tokens - 1))


class Rechecks:
    """Decides when the versions of a done move are compared again."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._records: dict[str, Record] = {}
        signals.attempt_finished.connect(self._take_end, sender=host)

    def is_on(self, plan: moves.Plan) -> bool:
        """Tell whether a done move's versions are compared now."""
        return self._find_time_left(plan) > 0

    def keep_only(self, known_moves: set[str]) -> None:
        """Forget the records of other moves."""
        for move in set(self._records) - known_moves:
            del self._records[move]

    def _find_time_left(self, plan: moves.Plan) -> float:
        fact = self._host.exchanges.known.find(f"{PREFIX}{plan.move}")
        return fact.expires - time.time() if fact else 0.0

    def _take_end(self, host, *, attempt: attempts.Attempt) -> None:
        plan = host.moves.find_plan(attempt.contract.route)
        if plan is None or attempt.number or attempt.version != plan.new:
            return
        record = self._records.setdefault(plan.move, Record())
        record.take(attempt)
        agreed = host.moves.find_agreed(plan)
        done = agreed is not None and agreed.state is moves.State.DONE
        if not done or not record.raised:
            return
        if not host.versions.compares(attempt.contract, plan):
            return
        left = self._find_time_left(plan)
        if left <= 0:
            host.counters.count_event("moves.rechecked")
            host.logger.bind(step="moves").warning(
                f"{plan.model}@{plan.new} worse than it was, compared with "
                f"{plan.old} again"
            )
        if left > RENEW_SECONDS:
            return
        expires = time.time() + RECHECK_SECONDS
        host.exchanges.publish(
            facts.Fact(
                key=f"{PREFIX}{plan.move}",
                rank=(int(expires),),
                value=host.settings.host,
                expires=expires,
            )
        )
