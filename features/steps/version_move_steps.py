"""Steps for moves of relayed services, simulated without a network."""

import dataclasses
import random

import behave

from buckthornhold.coordination import evidence
from buckthornhold.coordination import version_moves

SEED = 17
EXPOSURE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_SECONDS = 5.0
ROUTES = ("ruling", "query", "commentary")
#: Percentage of the requests per route, and their duration.
ROUTE_PERCENTAGES = (43, 47, 10)
DURATION_SECONDS = {"ruling": 0.72, "query": 0.46, "commentary": 2.45}
FIRST_EVENT_SECONDS = 0.15
SLOW_FACTOR = 8
#: Time between events, and the factor by which a slow version exceeds it.
GAP_SECONDS = 0.04
GAP_FACTOR = 4
SLOW_FAULTS = ("is 8 times as slow", "makes tokens 4 times as slowly")
STEP_SECONDS = 0.05
#: Steps by which the evidence of other hosts lags behind.
LAG_STEPS = 10


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """One simulated request: send time, version and outcome."""

    at: float
    new: bool
    failed: bool
    seconds: float


def is_bad(fault, route, now, seconds):
    """Tell whether v2 is faulty on a route at a time of the move."""
    if fault == "fails half on one route":
        return route == "ruling"
    if fault == "fails half from 5 s on":
        return now >= 5.0
    if fault == "fails half at the end":
        return now >= seconds - 1.0
    return fault not in ("is good", "both")


@behave.given(
    "moves: a service with {rate:g} requests/s, ordered to v2 within "
    "{seconds:g} s"
)
def order_move(context, rate, seconds):
    context.rate = rate
    order = version_moves.Order(
        service="models", version="v2", seconds=seconds, number=7
    )
    context.progress = version_moves.Progress(order=order, begun=0.0)
    context.sent = []
    context.done_at = None


def run_request(context, draw, fault, route, new, now):
    """Record the outcome of one request and return the request."""
    seconds = context.progress.order.seconds
    bad = new and is_bad(fault, route, now, seconds)
    slow = fault in SLOW_FAULTS
    fails = (bad and not slow) or fault == "both"
    failed = fails and draw.random() < 0.5
    first = FIRST_EVENT_SECONDS * draw.uniform(0.5, 1.5)
    gap = GAP_SECONDS * draw.uniform(0.5, 2.0)
    if bad and fault == "is 8 times as slow":
        first *= SLOW_FACTOR
    if bad and fault == "makes tokens 4 times as slowly":
        gap *= GAP_FACTOR
    tally = context.tallies.setdefault(
        evidence.Series(
            move=version_moves.make_move_id(context.progress.order),
            step=version_moves.TRIAL_STEP,
            workspace=route,
            new=new,
        ),
        evidence.Tally(),
    )
    if context.progress.state is version_moves.State.TRIAL:
        tally.record_outcome(failed=failed)
        if not failed:
            tally.record_first_token(first)
            tally.record_gap(gap)
    return SentRequest(
        now, new, failed or (bad and slow), DURATION_SECONDS[route]
    )


def pass_time(context, fault):
    draw = random.Random(SEED)
    context.tallies = {}
    context.fault = fault
    seconds = context.progress.order.seconds
    delayed = []
    for step in range(round((seconds + 8.0) / STEP_SECONDS)):
        now = step * STEP_SECONDS
        expected = context.rate * STEP_SECONDS
        count = int(expected) + (draw.random() < expected % 1)
        for _ in range(count):
            route = draw.choices(ROUTES, ROUTE_PERCENTAGES)[0]
            share = version_moves.find_share(
                context.progress,
                now=now,
                duration_seconds=DURATION_SECONDS[route],
                exposure=EXPOSURE,
            )
            new = draw.random() < share
            context.sent.append(
                run_request(context, draw, fault, route, new, now)
            )
        delayed.append(
            {key: copy(tally) for key, tally in context.tallies.items()}
        )
        if len(delayed) <= LAG_STEPS:
            continue
        following = version_moves.decide(
            context.progress, delayed.pop(0), now=now, exposure=EXPOSURE
        )
        if following.state is not context.progress.state:
            print(f"{now:.2f} s: {following.state} {following.reason}")
        context.progress = following
        if following.state is version_moves.State.DONE:
            context.done_at = context.done_at or now
        if following.state in version_moves.FINAL_STATES:
            context.ended_at = getattr(context, "ended_at", now)


def copy(tally):
    return evidence.load_tally(tally.dump())


@behave.when("moves: v2 {fault} and the time passes")
def pass_time_with(context, fault):
    pass_time(context, fault)


@behave.when("moves: both versions fail half and the time passes")
def pass_time_in_outage(context):
    pass_time(context, "both")


@behave.then("moves: the move is {state:w} by its deadline")
def check_state(context, state):
    assert context.progress.state.value == state, context.progress
    assert context.ended_at <= context.progress.order.seconds


@behave.then(
    "moves: at most {share:g} of the requests and {slack:d} more reached a "
    "bad version"
)
def check_exposure(context, share, slack):
    if context.fault == "is good":
        return
    seconds = context.progress.order.seconds
    within = [request for request in context.sent if request.at < seconds]
    new = sum(request.new for request in within)
    print(f"{new} of {len(within)} on v2")
    assert new <= share * len(within) + slack, (new, len(within))


@behave.then(
    "moves: a bad version got no request {seconds:g} s after its {count:d}th "
    "bad answer"
)
def check_withdrawn(context, seconds, count):
    bad = [
        request for request in context.sent if request.new and request.failed
    ]
    if len(bad) < count or context.fault == "fails half at the end":
        return
    late = [
        request
        for request in context.sent
        if request.new and request.at > bad[count - 1].at + seconds
    ]
    assert not late, len(late)


@behave.then("moves: no stream was running on v1 when the move was done")
def check_no_cut(context):
    cut = [
        request
        for request in context.sent
        if not request.new
        and request.at < context.done_at < request.at + request.seconds
    ]
    assert not cut, (context.done_at, len(cut), cut[:3])


@behave.then('moves: the reason names "{text}"')
def check_reason(context, text):
    assert text in context.progress.reason, context.progress


@behave.then(
    "moves: in state {state:w} the next transition is due at {moment} s"
)
def check_next_transition(context, state, moment):
    progress = context.progress.replace(state=version_moves.State(state))
    found = progress.find_next_transition()
    if moment == "-":
        assert found is None, found
    else:
        assert abs(found - float(moment)) < 1e-6, found


@behave.then(
    "moves: the move selects the version until {moment:g} s and no longer"
)
def check_expired(context, moment):
    assert not context.progress.is_expired(moment - 0.1)
    assert context.progress.is_expired(moment)
