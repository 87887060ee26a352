"""Steps for seeded runs on uneven upstreams, without a network."""

import collections

import behave

from buckthornhold import counters
from buckthornhold import engine_speeds
from buckthornhold import paced_routers
from buckthornhold import relay_routers
from buckthornhold import relay_upstreams
from buckthornhold import summary_aggregates
from buckthornhold import upstream_directories
from buckthornhold.peers import summaries_pb2
from buckthornhold.scheduling import paces
from buckthornhold.scheduling import prefix_homes
from testbed import uneven_loads

SECONDS = 60.0
ENGINES = [(f"e{number}", 1) for number in range(9)]


@behave.given(
    "uneven: 36 engines of paces 0.6, 1.0 and 1.6 and {hosts:d} hosts, "
    "seed {seed:d}"
)
def set_engines(context, hosts, seed):
    context.options = {"hosts": hosts, "seed": seed}


@behave.given(
    "uneven: {count:d} plain upstreams and {hosts:d} hosts, seed {seed:d}"
)
def set_plain(context, count, hosts, seed):
    context.options = {"hosts": hosts, "seed": seed, "upstreams": count}


@behave.when(
    "uneven: {rate:g} requests a second arrive for each unit of capacity for "
    "{seconds:g} seconds"
)
def play_engines(context, rate, seconds):
    play(context, ("paced",), rate, seconds)


@behave.when(
    "uneven: {rate:g} requests a second arrive for each unit of capacity, "
    "also with complete knowledge"
)
def play_and_compare(context, rate):
    play(context, ("paced", "all"), rate, SECONDS)


def play(context, kinds, rate, seconds):
    context.figures = {}
    for kind in kinds:
        bench = uneven_loads.EngineBench(
            engines=36,
            pace_factors=uneven_loads.UNEVEN_PACES,
            rate=rate,
            kind=kind,
            **context.options,
        )
        bench.run(seconds)
        context.figures[kind] = bench.summarize()


@behave.when("uneven: calls arrive for {seconds:g} seconds")
def play_calls(context, seconds):
    context.figures = {}
    for kind in ("paced", "today"):
        bench = uneven_loads.PlainBench(kind=kind, **context.options)
        bench.run(seconds)
        context.figures[kind] = bench.summarize()


@behave.then(
    "uneven: the busiest engine is used at most {bound:g} times the mean"
)
def check_busiest(context, bound):
    assert context.figures["paced"]["busiest"] <= bound, context.figures


@behave.then(
    "uneven: p99 of the first event is at most {bound:g} times the least"
)
def check_first_event(context, bound):
    figures = context.figures
    assert figures["paced"]["p99"] <= bound * figures["all"]["p99"], figures


@behave.then("uneven: at most half as many are refused as by today's router")
def check_refused(context):
    figures = context.figures
    refused = figures["paced"]["refused"]
    assert refused <= figures["today"]["refused"] / 2, figures


def make_summary(number):
    summary = summaries_pb2.Summary(host=f"h{number}", incarnation=1)
    summary.loads.add(
        upstream="e", requests=1, pace_weight=100 * number, pace_sum=-number
    )
    return summary


@behave.given("uneven: summaries of 3 hosts with observations of an engine")
def make_summaries(context):
    context.parts = [make_summary(number) for number in (1, 2, 3)]
    context.total = summary_aggregates.aggregate_summaries(
        "sum",
        context.parts[0],
        fresh=context.parts[1:],
        known=[],
        increases=collections.Counter(),
        time_of_day=0.0,
    )


@behave.then(
    "uneven: the aggregate less one host holds those of the other two"
)
def check_subtracted(context):
    summary_aggregates.subtract_summary(context.total, context.parts[0])
    load = context.total.loads[0]
    assert (load.pace_weight, load.pace_sum) == (500, -5), load


@behave.then("uneven: an aggregate of a build without paces holds none")
def check_old_build(context):
    total = summaries_pb2.Summary(host="sum", hosts=3)
    total.loads.add(upstream="e", requests=3)
    summary_aggregates.subtract_summary(total, context.parts[0])
    assert (total.loads[0].pace_weight, total.loads[0].pace_sum) == (0, 0)


class PaceBench:
    """Paces of engines that are observed twice a second."""

    def __init__(self):
        self.now = 0.0
        self.paces = paces.JointPaces(clock=lambda: self.now)
        self.judgements = []

    def observe(self, seconds, slow=()):
        for _ in range(int(2 * seconds)):
            self.now += 0.5
            for engine in ENGINES:
                ratio = 2.5 if engine in slow else 1.0
                self.paces.learn(engine, seconds=ratio, expected=1.0)
            self.judgements += self.paces.update("s", ENGINES)


@behave.given("uneven: paces of 9 engines, learned for 60 seconds")
def learn_paces(context):
    context.bench = PaceBench()
    context.bench.observe(60)


@behave.then(
    "uneven: an engine that is slow for half a second isn't judged slow"
)
def check_stretch(context):
    context.bench.observe(0.5, slow=ENGINES[:1])
    context.bench.observe(5)
    assert not context.bench.judgements


@behave.then(
    "uneven: an engine that stays slow is judged slow once, then normal"
)
def check_slow(context):
    context.bench.observe(60, slow=ENGINES[:1])
    assert [it.slow for it in context.bench.judgements] == [True]
    pace = context.bench.paces.find("s", ENGINES[0])
    assert 2.0 < pace < 2.6, pace
    context.bench.observe(120)
    assert [it.slow for it in context.bench.judgements] == [True, False]


@behave.then("uneven: a new engine has the median pace")
def check_new(context):
    bench = context.bench
    assert bench.paces.find("s", ("new", 1)) == 1.0
    bench.paces.learn(("new", 1), seconds=4.0, expected=1.0)
    bench.paces.update("s", [*ENGINES, ("new", 1)])
    assert bench.paces.find("s", ("new", 1)) < 1.8


@behave.when(
    "uneven: {rate:g} requests a second arrive for each unit of capacity, "
    "with and without savings"
)
def play_savings(context, rate):
    play(context, ("paced", "saving"), rate, SECONDS)


@behave.then("uneven: at most {share:g} of the tokens are read again")
def check_read_again(context, share):
    figures = context.figures
    limit = share * figures["paced"]["read_again"]
    assert figures["saving"]["read_again"] <= limit, figures


@behave.given("uneven: an engine for two is sent prefixes a, b and a again")
def send_prefixes(context):
    context.sent = prefix_homes.SentPrefixes()
    for prefix in "aba":
        context.sent.add("e", prefix, tokens=100, room=200.0)


@behave.when("uneven: prefix c is sent there")
def send_another(context):
    context.sent.add("e", "c", tokens=100, room=200.0)


@behave.then("uneven: it holds a and c and not b")
def check_held(context):
    held = [prefix for prefix in "abc" if context.sent.list_holders(prefix)]
    assert held == ["a", "c"], held


@behave.given("uneven: half of 100 requests share a prefix")
def count_demand(context):
    context.now = 0.0
    context.demands = prefix_homes.PrefixDemands(clock=lambda: context.now)
    for number in range(100):
        context.demands.add("hot" if number % 2 else f"p{number}")


@behave.then("uneven: it has several homes, and one 2 minutes later")
def check_homes(context):
    assert context.demands.count_homes("hot", 36) == prefix_homes.MAX_HOMES
    assert context.demands.count_homes("p0", 36) == 1
    context.now += 120.0
    for number in range(100):
        context.demands.add(f"q{number}")
    assert context.demands.count_homes("hot", 36) == 1


@behave.given(
    "uneven: a paced router that knows the homes of {count:d} engines"
)
def make_router(context, count):
    context.now = 0.0
    context.router = paced_routers.PacedEngineRouter(
        zone="a",
        speeds=engine_speeds.EngineSpeeds(),
        joint_paces=paces.JointPaces(clock=lambda: context.now),
        clock=lambda: context.now,
    )
    context.members = [make_engine(number) for number in range(count)]
    choose_for_prefixes(context)


def make_engine(number):
    record = upstream_directories.UpstreamRecord(
        name=f"e{number}", service="s", address="", zone="a", slots=8
    )
    return relay_upstreams.RelayUpstream(record=record)


def choose_for_prefixes(context):
    for number in range(200):
        work = relay_routers.Workload(
            prefix=f"p{number}", shared_tokens=900, own_tokens=90
        )
        chosen = context.router.choose(context.members, work)
        assert chosen in context.members, chosen.name


@behave.then("uneven: it never chooses an engine that another one replaced")
def check_replaced(context):
    for number, seconds in ((100, 0.0), (101, 3.0), (102, 3.0)):
        context.now += seconds
        context.members = [*context.members[1:], make_engine(number)]
        choose_for_prefixes(context)


@behave.then("uneven: the counters know the judgements of paces")
def check_counters(context):
    real = counters.Counters(address=None, prefix="")
    for name in ("paces.slow", "paces.normal"):
        real.count_event(name)
