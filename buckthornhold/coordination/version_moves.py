"""Moves of a service to another version by the time that an operator sets.

Only part of the requests may reach a version until its time comes, as it may
still turn out bad. So it gets a small share that is chosen by the request's
id, the evidence of both versions is compared, and shortly before the time the
requests follow that would outlast the old version. What follows from the
evidence and the clock is decided here, without a network.
"""

import dataclasses
import enum
import math

from buckthornhold.coordination import evidence
from buckthornhold.coordination import moves

#: Part of the exposure that is allowed which the trial uses; the rest is for
#: the requests that follow before the time is up.
TRIAL_EXPOSURE_SHARE = 0.36
#: The step under which a trial's evidence is counted: its plan's greatest.
TRIAL_STEP = 1
#: Attempts on the new version without which it isn't judged good.
MIN_ATTEMPTS = 8
#: A route is judged by itself from so many attempts on the new version.
MIN_ROUTE_ATTEMPTS = 6
#: A version that fails so much more often than the old one isn't good, also
#: where that is too little to withdraw it at once.
MAX_FAILURE_RATE_EXCESS = 0.12
#: Standard deviations that the new version's share may lie above the old
#: one's by chance, which matters where the old one fails often, too.
FAILURE_RATE_SIGMAS = 2.0
#: Failures of the new version below which that excess says nothing.
MIN_FAILURES = 2
#: A version isn't good whose latencies rank behind the old one's, each a bin
#: longer, by more standard deviations than this; of so many attempts at least.
LATENCY_SIGMAS = 3.0
MIN_LATENCY_ATTEMPTS = 4
#: How long before its time a version is judged, in seconds; the longest
#: streams take about as long. No more than a part of the move's time.
SWITCH_LEAD_SECONDS = 4.0
MAX_SWITCH_LEAD_SHARE = 0.3
#: How long before its time a move is told as done, in seconds: a write to
#: the store takes milliseconds, or longer where the store is slow.
DONE_LEAD_SECONDS = 0.3


class State(enum.StrEnum):
    """Where a move of a service stands."""

    TRIAL = "trial"
    SWITCHING = "switching"
    DONE = "done"
    TAKEN_BACK = "taken_back"


#: For how long after its end a move still decides where requests go, in
#: seconds: the old version's upstreams end at once, and later ones may have
#: any version.
DONE_RETENTION_SECONDS = 10.0
#: States that a move does not leave.
FINAL_STATES = (State.DONE, State.TAKEN_BACK)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """An operator's order to move a service to a version.

    ``number`` is higher for a later order; ``seconds`` is the time that the
    move may take.
    """

    service: str
    version: str
    seconds: float
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Progress:
    """How far a move is, as the store has agreed to it.

    ``begun`` is in seconds since the epoch.
    """

    order: Order
    begun: float
    state: State = State.TRIAL
    reason: str = ""

    @property
    def deadline(self) -> float:
        """When the move is to be over, in seconds since the epoch."""
        return self.begun + self.order.seconds

    @property
    def done_at(self) -> float:
        """When the move is told as done, in seconds since the epoch."""
        return self.deadline - DONE_LEAD_SECONDS

    @property
    def switch_at(self) -> float:
        """When the version is judged, in seconds since the epoch."""
        return self.deadline - min(
            SWITCH_LEAD_SECONDS, MAX_SWITCH_LEAD_SHARE * self.order.seconds
        )

    def find_next_transition(self) -> float | None:
        """Return when the clock alone takes the move further, if it does.

        In seconds since the epoch.
        """
        if self.state is State.TRIAL:
            return self.switch_at
        return self.done_at if self.state is State.SWITCHING else None

    def is_expired(self, now: float) -> bool:
        """Tell whether the move is done and has nothing to say any more."""
        done = self.state is State.DONE
        return done and now >= self.deadline + DONE_RETENTION_SECONDS

    def replace(self, **changes) -> "Progress":
        """Return the progress with some fields changed."""
        return dataclasses.replace(self, **changes)


def make_plan(progress: Progress, *, exposure: float) -> moves.Plan:
    """Return the plan by which a trial's evidence is compared.

    ``exposure`` is the part of a service's requests that a bad version may
    get during its move.
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
    """Return the name under which an order's evidence is counted."""
    return f"{order.service}/{order.number}"


def decide(
    progress: Progress,
    tallies: evidence.Tallies,
    *,
    now: float,
    exposure: float,
) -> Progress:
    """Return how far a move is, given the fleet's merged evidence.

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
    alarm = moves.find_regression(plan, tallies, single_host=False)
    if alarm:
        return progress.replace(state=State.TAKEN_BACK, reason=alarm)
    if progress.state is State.TRIAL and now >= progress.switch_at:
        doubt = find_trial_failure(tallies)
        if doubt:
            return progress.replace(state=State.TAKEN_BACK, reason=doubt)
        progress = progress.replace(
            state=State.SWITCHING, reason="judged good in its trial"
        )
    if progress.state is State.SWITCHING and now >= progress.done_at:
        return progress.replace(state=State.DONE)
    return progress


def find_trial_failure(tallies: evidence.Tallies) -> str:
    """Return why a trial does not show that a version is good, or nothing."""
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
    """Return at what the new version is slower than the old, or nothing."""
    for what, bins in (
        ("time to first event", "first_tokens"),
        ("time between events", "gaps"),
    ):
        total = evidence.RankSum()
        for name, (old, new) in by_route.items():
            ranks = evidence.compute_rank_sum(
                getattr(old, bins), getattr(new, bins)
            )
            if _is_significantly_slower(ranks):
                return f"{what} of {ranks.count} attempts on {name}"
            total = total.add(ranks)
        if _is_significantly_slower(total):
            return f"{what} of {total.count} attempts"
    return ""


def _is_significantly_slower(ranks: evidence.RankSum) -> bool:
    if ranks.count < MIN_LATENCY_ATTEMPTS:
        return False
    return ranks.excess > LATENCY_SIGMAS * math.sqrt(ranks.variance)


def _has_excess_failures(old: evidence.Tally, new: evidence.Tally) -> bool:
    if new.failures < MIN_FAILURES:
        return False
    usual = old.failures / max(1, old.attempts)
    spread = FAILURE_RATE_SIGMAS * math.sqrt(
        usual * (1 - usual) / new.attempts
    )
    return (
        new.failures / new.attempts > usual + MAX_FAILURE_RATE_EXCESS + spread
    )


def find_share(
    progress: Progress | None,
    *,
    now: float,
    duration_seconds: float,
    exposure: float,
) -> float:
    """Return the new version's share of requests that last so long.

    ``lasts`` is in seconds. Without progress the order is known alone.
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
