"""Moves of a relayed service to another version by an operator's deadline.

Only a limited share of the requests may reach the new version before the
deadline, as it may turn out bad. A move starts with a trial: a small share,
selected by a hash of the request id, goes to the new version and the evidence
of both versions is compared. Shortly before the deadline, requests that would
outlast the old version switch over. This module only decides, from the
evidence and the clock, without I/O.
"""

import dataclasses
import enum
import math

from buckthornhold.coordination import evidence
from buckthornhold.coordination import moves

#: Share of the allowed exposure that the trial uses. The rest is reserved for
#: the requests that switch over before the deadline.
TRIAL_EXPOSURE_SHARE = 0.36
#: Step number of a trial's evidence: the step with the plan's full share.
TRIAL_STEP = 1
#: Attempts that the new version needs to pass its trial.
MIN_ATTEMPTS = 8
#: Attempts on the new version from which a route is tested separately.
MIN_ROUTE_ATTEMPTS = 6
#: A version whose failure rate exceeds the old one's by more than this fails
#: its trial, even where the evidence doesn't suffice to withdraw it at once.
MAX_FAILURE_RATE_EXCESS = 0.12
#: Standard deviations of chance variation allowed on top of that excess; they
#: matter where the old version fails often, too.
FAILURE_RATE_SIGMAS = 2.0
#: Failures of the new version below which the excess isn't tested.
MIN_FAILURES = 2
#: A version fails its trial if its latencies rank above the old version's,
#: those shifted up by one bin, by more than this many standard deviations.
#: Tested from ``MIN_LATENCY_ATTEMPTS`` on.
LATENCY_SIGMAS = 3.0
MIN_LATENCY_ATTEMPTS = 4
#: Time before the deadline at which the trial is judged; the longest streams
#: take about as long. Limited to a share of the move's duration.
SWITCH_LEAD_SECONDS = 4.0
MAX_SWITCH_LEAD_SHARE = 0.3
#: Time before the deadline at which a move becomes done. It leaves room for
#: the write to the store, which takes milliseconds, or longer if it is slow.
DONE_LEAD_SECONDS = 0.3


class State(enum.StrEnum):
    """State of a move of a service."""

    TRIAL = "trial"
    SWITCHING = "switching"
    DONE = "done"
    TAKEN_BACK = "taken_back"


#: Time after its deadline for which a done move still selects the version.
#: The old version's upstreams end at once; later ones may have any version.
DONE_RETENTION_SECONDS = 10.0
#: States that a move does not leave.
FINAL_STATES = (State.DONE, State.TAKEN_BACK)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """An operator's order to move a service to a version.

    ``number`` rises with each order. ``seconds`` is the time from the begin
    of the move to its deadline.
    """

    service: str
    version: str
    seconds: float
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Progress:
    """Progress of a move as committed to the store.

    ``begun`` is in seconds since the epoch.
    """

    order: Order
    begun: float
    state: State = State.TRIAL
    reason: str = ""

    @property
    def is_final(self) -> bool:
        """Whether the move has ended."""
        return self.state in FINAL_STATES

    @property
    def deadline(self) -> float:
        """Deadline of the move, in seconds since the epoch."""
        return self.begun + self.order.seconds

    @property
    def done_at(self) -> float:
        """Time at which the move becomes done, in seconds since the epoch."""
        return self.deadline - DONE_LEAD_SECONDS

    @property
    def switch_at(self) -> float:
        """Time at which the trial is judged, in seconds since the epoch."""
        return self.deadline - min(
            SWITCH_LEAD_SECONDS, MAX_SWITCH_LEAD_SHARE * self.order.seconds
        )

    def find_next_transition(self) -> float | None:
        """Return the time of the next transition that the clock triggers.

        In seconds since the epoch; None if no such transition is left.
        """
        if self.state is State.TRIAL:
            return self.switch_at
        return self.done_at if self.state is State.SWITCHING else None

    def is_expired(self, now: float) -> bool:
        """Tell whether the move is done and its retention has passed."""
        done = self.state is State.DONE
        return done and now >= self.deadline + DONE_RETENTION_SECONDS

    def removes(self, version: str, now: float) -> bool:
        """Tell whether the end of the move removes a version's upstreams.

        A done move removes all but the new version's, one that was taken back
        the new version's. Before its end it isn't known which will go.
        """
        if now >= self.deadline + DONE_RETENTION_SECONDS:
            return False
        if self.state is State.DONE:
            return version != self.order.version
        return self.state is State.TAKEN_BACK and version == self.order.version

    def replace(self, **changes) -> "Progress":
        """Return the progress with some fields changed."""
        return dataclasses.replace(self, **changes)


def make_plan(progress: Progress, *, exposure: float) -> moves.Plan:
    """Return the plan with which a trial's evidence is tested.

    ``exposure`` is the share of a service's requests that may reach a bad
    version during its move.
    """
    order = progress.order
    return moves.Plan(
        move=make_move_id(order),
        model=order.service,
        old="the old version",
        new=order.version,
        share=exposure * TRIAL_EXPOSURE_SHARE,
        deadline=progress.deadline,
        grouped_by="route",
    )


def make_move_id(order: Order) -> str:
    """Return the move id under which an order's evidence is counted."""
    return f"{order.service}/{order.number}"


def decide(
    progress: Progress,
    tallies: evidence.Tallies,
    *,
    now: float,
    exposure: float,
) -> Progress:
    """Return a move's next progress, given the fleet's merged evidence.

    ``now`` is in seconds since the epoch.
    """
    if progress.state in FINAL_STATES:
        return progress
    plan = make_plan(progress, exposure=exposure)
    tallies = {
        series: tally
        for series, tally in tallies.items()
        if series.move == plan.move
    }
    regression = moves.find_regression(plan, tallies, single_host=False)
    if regression:
        return progress.replace(state=State.TAKEN_BACK, reason=regression)
    if progress.state is State.TRIAL and now >= progress.switch_at:
        failure = find_trial_failure(tallies)
        if failure:
            return progress.replace(state=State.TAKEN_BACK, reason=failure)
        progress = progress.replace(
            state=State.SWITCHING, reason="judged good in its trial"
        )
    if progress.state is State.SWITCHING and now >= progress.done_at:
        return progress.replace(state=State.DONE)
    return progress


def find_trial_failure(tallies: evidence.Tallies) -> str:
    """Return why a version fails its trial, or an empty string."""
    by_route: dict[str, list[evidence.Tally]] = {}
    for series, tally in tallies.items():
        pair = by_route.setdefault(
            series.workspace, [evidence.Tally(), evidence.Tally()]
        )
        pair[series.new].add(tally)
    old, new = evidence.Tally(), evidence.Tally()
    for route_old, route_new in by_route.values():
        old.add(route_old)
        new.add(route_new)
    if new.attempts < MIN_ATTEMPTS:
        return f"{new.attempts} of {MIN_ATTEMPTS} attempts by its time"
    for name, (route_old, route_new) in by_route.items():
        if route_new.attempts < MIN_ROUTE_ATTEMPTS:
            continue
        if _has_excess_failures(route_old, route_new):
            return (
                f"{route_new.failures} of {route_new.attempts} attempts "
                f"failed on {name}"
            )
    if _has_excess_failures(old, new):
        return f"{new.failures} of {new.attempts} attempts failed"
    return _find_latency_regression(by_route)


def _find_latency_regression(
    by_route: dict[str, list[evidence.Tally]],
) -> str:
    """Return which latency of the new version is worse, or an empty string."""
    for metric, bins in (
        ("time to first event", "first_tokens"),
        ("time between events", "gaps"),
    ):
        total = evidence.RankSum()
        for name, (old, new) in by_route.items():
            ranks = evidence.compute_rank_sum(
                getattr(old, bins), getattr(new, bins)
            )
            if _is_significantly_slower(ranks):
                return f"{metric} of {ranks.count} attempts on {name}"
            total = total.add(ranks)
        if _is_significantly_slower(total):
            return f"{metric} of {total.count} attempts"
    return ""


def _is_significantly_slower(ranks: evidence.RankSum) -> bool:
    if ranks.count < MIN_LATENCY_ATTEMPTS:
        return False
    return ranks.excess > LATENCY_SIGMAS * math.sqrt(ranks.variance)


def _has_excess_failures(old: evidence.Tally, new: evidence.Tally) -> bool:
    if new.failures < MIN_FAILURES:
        return False
    old_rate = old.failures / max(1, old.attempts)
    margin = FAILURE_RATE_SIGMAS * math.sqrt(
        old_rate * (1 - old_rate) / new.attempts
    )
    return (
        new.failures / new.attempts
        > old_rate + MAX_FAILURE_RATE_EXCESS + margin
    )


def find_share(
    progress: Progress | None,
    *,
    now: float,
    duration_seconds: float,
    exposure: float,
) -> float:
    """Return the new version's share of requests of an expected duration.

    ``progress`` is None while only the order is known.
    """
    if progress is None or progress.state is State.TAKEN_BACK:
        return 0.0
    if progress.state is State.DONE:
        return 1.0
    if (
        progress.state is State.SWITCHING
        and now + duration_seconds >= progress.done_at
    ):
        return 1.0
    return exposure * TRIAL_EXPOSURE_SHARE
