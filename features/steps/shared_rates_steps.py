"""Steps on rates that hosts share by demand, without a network."""

import random

import behave

from buckthornhold import limit_uses
from buckthornhold import quotas
from buckthornhold import routes
from buckthornhold import summary_aggregates
from buckthornhold.peers import summaries_pb2
from buckthornhold.scheduling import limits
from measurements import shared_limits

TICK_SECONDS = 0.05
WINDOW_SECONDS = 8.0


def play(context, **options):
    plan = {
        "way": "shared",
        "hot_seconds": 8.0,
        "fault": "none",
        "returns": True,
        **options,
    }
    context.report = shared_limits.Play(shared_limits.Plan(**plan)).run()
    print(context.report)


@behave.when(
    "shared rates: {hosts:d} hosts get {factor:g} times the rate, fault "
    '"{fault}", seed {seed:d}'
)
def play_shared(context, hosts, factor, fault, seed):
    play(context, hosts=hosts, factor=factor, fault=fault, seed=seed)


@behave.when(
    "shared rates: {hosts:d} hosts with levels get {factor:g} times the "
    "rate, seed {seed:d}"
)
def play_levels(context, hosts, factor, seed):
    play(context, way="today", hosts=hosts, factor=factor, seed=seed)


@behave.when(
    "shared rates: {hosts:d} hosts, every third of an earlier build, get "
    "{factor:g} times the rate"
)
def play_mixed(context, hosts, factor):
    play(context, hosts=hosts, factor=factor, seed=1, fault="mixed")


@behave.when(
    "shared rates: {hosts:d} hosts get 0.55 of {rate:g} units a second, "
    "seed {seed:d}"
)
def play_calm(context, hosts, rate, seed):
    factor = shared_limits.CALM_SHARE
    play(context, hosts=hosts, factor=factor, seed=seed, rate=rate, calm=True)


@behave.then("shared rates: less than {part:g} of the requests are refused")
def check_calm(context, part):
    assert context.report["calm_refused"] < part


@behave.then(
    "shared rates: no refused request waits longer than {seconds:g} seconds"
)
def check_longest_wait(context, seconds):
    assert context.report["longest_wait"] <= seconds


@behave.then("shared rates: no window is over the bound")
def check_bound(context):
    assert not context.report["over_bound"]


@behave.then("shared rates: a window is over the bound")
def check_over(context):
    assert context.report["over_bound"]


@behave.then("shared rates: windows of the surge admit {part:g} of the limit")
@behave.then("shared rates: {part:g} of the requested units are admitted")
def check_least(context, part):
    assert context.report["least"] >= part


@behave.then("shared rates: small calls are admitted nearly always")
def check_small(context):
    assert context.report["by_size"][200] >= 0.95


@behave.then(
    "shared rates: large requests are admitted like others of their urgency"
)
def check_large(context):
    sizes = context.report["by_size"]
    # Some dozens of the largest requests are sent, so chance counts.
    assert sizes[30_000] >= sizes[9250] / 4, sizes


@behave.when(
    "shared rates: urgencies 0, 1 and 2 request {first:g}, {second:g} and "
    "{third:g} units a second of {rate:g}"
)
def divide(context, first, second, third, rate):
    context.shares = limits.divide_rate(
        rate, {0: first, 1: second, 2: third}, small_rate=0.2 * rate
    )


@behave.then(
    "shared rates: their parts are {first:g}, {second:g} and {third:g}"
)
def check_parts(context, first, second, third):
    for urgency, part in enumerate((first, second, third)):
        assert abs(context.shares[urgency] - part) < 0.01, context.shares


@behave.when(
    "shared rates: urgency 0 requests {large:g} and small ones {small:g} "
    "units a second of {rate:g}"
)
def divide_small(context, large, small, rate):
    context.shares = limits.divide_rate(
        rate, {0: large, limits.SMALL: small}, small_rate=0.2 * rate
    )


@behave.then("shared rates: all small ones are admitted")
def check_small_share(context):
    assert context.shares[limits.SMALL] == 1.0
    assert 0.1 < context.shares[0] < 0.2


@behave.given("shared rates: a host alone, {rate:g} units a second")
def make_host(context, rate):
    context.now = 1000.0
    context.workspace = routes.Workspace(name="w", rate=rate, burst=rate)
    context.host = quotas.Quotas(
        window_seconds=WINDOW_SECONDS,
        clock=lambda: context.now,
        shared=True,
        overage=0.1,
        draw=random.Random(1),
    )
    context.admitted, context.waits, context.tally = [], [], {}
    # The first seconds of a process are limited: what ran before is unknown.
    context.now += 2 * WINDOW_SECONDS


def request(context, *, returning=False):
    wait = context.host.admit(context.workspace, 1.0, returning=returning)
    sent, got = context.tally.get(returning, (0, 0))
    context.tally[returning] = (sent + 1, got + (not wait))
    if wait:
        context.waits.append(wait)
    else:
        context.admitted.append(context.now)
    return wait


@behave.when(
    "shared rates: {rate:g} units a second are requested for {seconds:g} "
    "seconds"
)
def request_rate(context, rate, seconds):
    for _ in range(int(rate * seconds)):
        request(context)
        context.now += 1 / rate


@behave.when(
    "shared rates: {rate:g} units a second, new and returning ones, are "
    "requested for {seconds:g} seconds"
)
def request_both(context, rate, seconds):
    for number in range(int(rate * seconds)):
        request(context, returning=number % 2 == 0)
        context.now += 1 / rate


@behave.when("shared rates: the limit is lowered to {rate:g} units a second")
def lower(context, rate):
    context.workspace = routes.Workspace(name="w", rate=rate, burst=rate)


@behave.when("shared rates: {count:d} times a unit is requested and refunded")
def refund(context, count):
    for _ in range(count):
        if not request(context):
            context.host.refund(context.workspace, 1.0)
        context.now += 1 / 1000


@behave.then(
    "shared rates: nothing was refused and nothing is reported as admitted"
)
def check_refunded(context):
    uses = context.host.publish_uses((context.workspace,))
    print(len(context.waits), "refused")
    assert uses["w"].admitted == 0.0, uses
    assert len(context.waits) < 20, len(context.waits)


@behave.then(
    "shared rates: the last {seconds:g} seconds admit {least:g} to {most:g} "
    "of the new limit"
)
def check_lowered(context, seconds, least, most):
    count = sum(at > context.now - seconds for at in context.admitted)
    workspace = context.workspace
    whole = workspace.rate + workspace.burst / WINDOW_SECONDS
    print(count, "of", whole * seconds)
    assert least <= count / (whole * seconds) <= most


@behave.then(
    "shared rates: the times to wait differ and are {least:g} to {most:g} "
    "seconds"
)
def check_waits(context, least, most):
    assert least <= min(context.waits) and max(context.waits) <= most
    assert len(set(context.waits)) > 0.5 * len(context.waits)


@behave.then(
    "shared rates: returning ones are admitted at least {factor:g} times as "
    "often"
)
def check_returning(context, factor):
    print(context.tally)
    (sent, got), (new_sent, new_got) = (
        context.tally[True],
        context.tally[False],
    )
    assert got / sent >= factor * new_got / new_sent


def make_summary(number, units, requested, small):
    summary = summaries_pb2.Summary(host=f"h{number}", incarnation=1)
    requested = {0: requested, limits.SMALL: small} if requested else {}
    use = limit_uses.Use(admitted=units, requested=requested)
    limit_uses.write_uses(summary, {"w": use})
    return summaries_pb2.Summary.FromString(summary.SerializeToString())


@behave.given(
    "shared rates: summaries of three hosts, one without requested units"
)
def make_summaries(context):
    context.rounds = [
        [
            make_summary(0, 10.0 * step, 100.0 * step, 5.0 * step),
            make_summary(1, 20.0 * step, 200.0 * step, 7.0 * step),
            make_summary(2, 30.0 * step, 0.0, 0.0),
        ]
        for step in (1, 2, 3)
    ]


@behave.when(
    "shared rates: a collector adds them up twice and one is subtracted"
)
def add_up(context):
    totals = summary_aggregates.RunningTotals()
    context.uses = []
    for parts in context.rounds:
        for part in parts:
            totals.add(part)
        total = summaries_pb2.Summary()
        summary_aggregates.add_totals(total, totals.increases)
        summary_aggregates.subtract_summary(total, parts[0])
        context.uses.append(limit_uses.read_uses(total).get("w"))


@behave.then("shared rates: the increases are those of the other hosts")
def check_increases(context):
    _, second, third = context.uses
    assert third.admitted - second.admitted == 50.0, context.uses
    for kind, units in ((0, 200.0), (limits.SMALL, 7.0)):
        change = third.requested[kind] - second.requested[kind]
        assert change == units, context.uses
