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
TRIAL_PART = 0.36
#: The step under which a trial's evidence is counted: its plan's greatest.
TRIAL_STEP = 1
#: Attempts on the new version without which it isn't judged good.
LEAST_ATTEMPTS = 8
#: A route is judged by itself from so many attempts on the new version.
LEAST_ROUTE_ATTEMPTS = 6
#: A version that fails so much more often than the old one isn't good, also
#: where that is too little to withdraw it at once.
WORST_EXCESS = 0.12
#: Standard deviations that the new version's share may lie above the old
#: one's by chance, which matters where the old one fails often, too.
SPREADS = 2.0
#: Failures of the new version below which that excess says nothing.
LEAST_FAILURES = 2
#: A version isn't good whose latencies rank behind the old one's, each a bin
#: longer, by more standard deviations than this; of so many attempts at least.
SLOW_SPREADS = 3.0
LEAST_SLOW_ATTEMPTS = 4
#: How long before its time a version is judged, in seconds; the longest
#: streams take about as long. No more than a part of the move's time.
SWITCH_SECONDS = 4.0
SWITCH_PART = 0.3
#: How long before its time a move is told as done, in seconds: a write to
#: the store takes milliseconds, or longer where the store is slow.
DONE_SECONDS = 0.3


class State(enum.StrEnum):
    """Where a move of a service stands."""

    TRIAL = "trial"
    SWITCHING = "switching"
    DONE = "done"
    TAKEN_BACK = "taken_back"


#: For how long after its end a move still decides where requests go, in
#: seconds: the old version's upstreams end at once, and later ones may have
#: any version.
DONE_LASTS_SECONDS = 10.0
#: States that a move does not leave.
ENDED = (State.DONE, State.TAKEN_BACK)


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
    def by(self) -> float:
        """When the move is to be over, in seconds since the epoch."""
        return self.begun + self.order.seconds

    @property
    def done_at(self) -> float:
        """When the move is told as done, in seconds since the epoch."""
        return self.by - DONE_SECONDS

    @property
    def switch_at(self) -> float:
        """When the version is judged, in seconds since the epoch."""
        return self.by - min(SWITCH_SECONDS, SWITCH_PART * self.order.seconds)

    def find_next_time(self) -> float | None:
        """Return when the clock alone takes the move further, if it does.

        In seconds since the epoch.
        """
        if self.state is State.TRIAL:
            return self.switch_at
        return self.done_at if self.state is State.SWITCHING else None

    def is_past(self, now: float) -> bool:
        """Tell whether the move is done and has nothing to say any more."""
        done = self.state is State.DONE
        return done and now >= self.by + DONE_LASTS_SECONDS

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
        move=make_name(order),
        model=order.service,
        old="the old version",
        new=order.version,
        share=exposure * TRIAL_PART,
        deadline=progress.by,
        grouped_by="route",
    )


def make_name(order: Order) -> str:
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
    if progress.state in ENDED:
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
        doubt = find_doubt(tallies)
        if doubt:
            return progress.replace(state=State.TAKEN_BACK, reason=doubt)
        progress = progress.replace(
            state=State.SWITCHING, reason="judged good in its trial"
        )
    if progress.state is State.SWITCHING and now >= progress.done_at:
        return progress.replace(state=State.DONE)
    return progress


def find_doubt(tallies: evidence.Tallies) -> str:
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
    if new.attempts < LEAST_ATTEMPTS:
        return f"{new.attempts} of {LEAST_ATTEMPTS} attempts by its time"
    for name, (route_old, route_new) in by_route.items():
        if route_new.attempts < LEAST_ROUTE_ATTEMPTS:
            continue
        if _fails_more(route_old, route_new):
            return (
                f"{route_new.failures} of {route_new.attempts} attempts "
                f"failed on {name}"
            )
    if _fails_more(old, new):
        return f"{new.failures} of {new.attempts} attempts failed"
    return _find_slowness(by_route)


def _find_slowness(
    by_route: dict[str, list[evidence.Tally]],
) -> str:
    """Return at what the new version is slower than the old, or nothing."""
    for what, bins in (
        ("time to first event", "first_tokens"),
        ("time between events", "gaps"),
    ):
        total = evidence.Ranks()
        for name, (old, new) in by_route.items():
            ranks = evidence.rank_bins(getattr(old, bins), getattr(new, bins))
            if _are_slow(ranks):
                return f"{what} of {ranks.count} attempts on {name}"
            total = total.add(ranks)
        if _are_slow(total):
            return f"{what} of {total.count} attempts"
    return ""


def _are_slow(ranks: evidence.Ranks) -> bool:
    if ranks.count < LEAST_SLOW_ATTEMPTS:
        return False
    return ranks.excess > SLOW_SPREADS * math.sqrt(ranks.variance)


def _fails_more(old: evidence.Tally, new: evidence.Tally) -> bool:
    if new.failures < LEAST_FAILURES:
        return False
    usual = old.failures / max(1, old.attempts)
    spread = SPREADS * math.sqrt(usual * (1 - usual) / new.attempts)
    return new.failures / new.attempts > usual + WORST_EXCESS + spread


def find_share(
    progress: Progress | None,
    *,
    now: float,
    lasts: float,
    exposure: float,
) -> float:
    """Return the new version's share of requests that last so long.

    ``lasts`` is in seconds. Without progress the order is known alone.
    """
    if progress is None or progress.state is State.TAKEN_BACK:
        return 0.0
    if progress.state is State.DONE:
        return 1.0
    if progress.state is State.SWITCHING and now + lasts >= progress.done_at:
        return 1.0
    return exposure * TRIAL_PART
