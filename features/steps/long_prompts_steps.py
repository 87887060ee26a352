"""Steps for long prompts of other hosts, without a network."""

import heapq
import itertools
import random

import behave

from buckthornhold import engine_speeds
from buckthornhold import relay_routers
from buckthornhold import relay_upstreams
from buckthornhold import upstream_directories
from testbed import boot_clocks

SERVICE = "s"
PREFIXES = [f"p{number}" for number in range(6)]
PREFIX_WEIGHTS = (8, 6, 4, 2, 1, 1)
SHARED_TOKENS = 1500
SHORT_TOKENS = 1200
LONG_TOKENS = 40_000
#: One prompt of so many is long.
LONG_EVERY = 30
#: Seconds in which an engine reads a token, the default of a new service.
TOKEN_SECONDS = engine_speeds.DEFAULT_FIRST_EVENT_SECONDS[1]
STREAM_SECONDS = 2.0
SUMMARY_SECONDS = 0.5


class Host:
    """One host's view of the engines, and its router."""

    def __init__(self, count):
        self.upstreams = [
            relay_upstreams.RelayUpstream(
                record=upstream_directories.UpstreamRecord(
                    name=f"e{number}",
                    service=SERVICE,
                    address="",
                    zone="a",
                    slots=16,
                )
            )
            for number in range(count)
        ]
        self.router = relay_routers.EngineRouter(
            zone="a", speeds=engine_speeds.EngineSpeeds()
        )
        self.reports = {}

    def report(self):
        return [(it.in_flight, it.waiting_tokens) for it in self.upstreams]

    def apply(self, sender, report, now):
        """Take another host's report."""
        self.reports[sender] = (report, now)
        for number, upstream in enumerate(self.upstreams):
            loads = [(it[number], at) for it, at in self.reports.values()]
            upstream.set_remote_load(
                sum(requests for (requests, _), _ in loads),
                [(tokens, at) for (_, tokens), at in loads if tokens],
            )


class LongPromptBench:
    """Hosts that send to engines which read one prompt after the other."""

    def __init__(self, hosts, engines, seed):
        self.now = 0.0
        self.draw = random.Random(seed)
        self.hosts = [Host(engines) for _ in range(hosts)]
        self.read_until = [0.0] * engines
        self.short_waits = []
        self._events = []
        self._order = itertools.count()
        for number in range(hosts):
            first = SUMMARY_SECONDS * number / hosts
            self.plan(first, lambda number=number: self.exchange(number))

    def plan(self, moment, act):
        heapq.heappush(self._events, (moment, next(self._order), act))

    def run(self, seconds, rate):
        random.seed(self.draw.random())
        ends_at = self.now + seconds
        self.plan(self.now, lambda: self.arrive(rate, ends_at))
        while self._events and self._events[0][0] < ends_at:
            self.now, _, act = heapq.heappop(self._events)
            act()

    def send_report(self, number):
        report = self.hosts[number].report()
        for other, host in enumerate(self.hosts):
            if other != number:
                host.apply(number, report, self.now)

    def exchange(self, number):
        self.send_report(number)
        self.plan(self.now + SUMMARY_SECONDS, lambda: self.exchange(number))

    def arrive(self, rate, ends_at):
        host = self.draw.choice(self.hosts)
        is_long = self.draw.randrange(LONG_EVERY) == 0
        work = relay_routers.Workload(
            prefix=self.draw.choices(PREFIXES, PREFIX_WEIGHTS)[0],
            shared_tokens=SHARED_TOKENS,
            own_tokens=LONG_TOKENS if is_long else SHORT_TOKENS,
        )
        engine = host.router.choose(host.upstreams, work)
        number = host.upstreams.index(engine)
        engine.in_flight += 1
        engine.waiting_tokens += work.prompt_tokens
        start = max(self.now, self.read_until[number])
        self.read_until[number] = start + work.own_tokens * TOKEN_SECONDS
        if is_long:
            self.send_report(self.hosts.index(host))
        else:
            self.short_waits.append(start - self.now)

        def begin():
            engine.waiting_tokens -= work.prompt_tokens

        def end():
            engine.in_flight -= 1

        self.plan(self.read_until[number], begin)
        self.plan(self.read_until[number] + STREAM_SECONDS, end)
        pause = self.draw.expovariate(rate)
        if self.now + pause < ends_at:
            self.plan(self.now + pause, lambda: self.arrive(rate, ends_at))


@behave.given(
    "long prompts: {hosts:d} hosts, {engines:d} engines, seed {seed:d}"
)
def make_bench(context, hosts, engines, seed):
    context.bench = LongPromptBench(hosts, engines, seed)
    boot_clocks.use_bench_clock(context, lambda: context.bench.now)


@behave.when(
    "long prompts: {rate:d} requests a second arrive for {seconds:d} seconds"
)
def run_load(context, rate, seconds):
    context.bench.run(seconds, rate)


@behave.then(
    "long prompts: at most {share:d}% of the short requests wait over "
    "{seconds:g} s"
)
def check_waits(context, share, seconds):
    waits = context.bench.short_waits
    late = sum(wait > seconds for wait in waits)
    print(f"{late} of {len(waits)} short requests wait over {seconds} s")
    assert late <= share / 100 * len(waits), (late, len(waits))


@behave.when(
    "long prompts: another host reports {tokens:d} waiting tokens of one "
    "engine"
)
def report_tokens(context, tokens):
    bench = context.bench
    host = bench.hosts[0]
    work = relay_routers.Workload(
        prefix=PREFIXES[0],
        shared_tokens=SHARED_TOKENS,
        own_tokens=SHORT_TOKENS,
    )
    context.work = work
    context.engine = host.router.choose(host.upstreams, work)
    report = [
        (0, tokens if upstream is context.engine else 0)
        for upstream in host.upstreams
    ]
    host.apply(1, report, bench.now)


@behave.then(
    "long prompts: the engine isn't chosen for its prefix within {seconds:g} s"
)
def check_avoided(context, seconds):
    bench = context.bench
    host = bench.hosts[0]
    for moment in (0.0, seconds / 2, seconds):
        bench.now = moment
        chosen = host.router.choose(host.upstreams, context.work)
        assert chosen is not context.engine, moment


@behave.then("long prompts: it is chosen {seconds:g} s after the report")
def check_chosen(context, seconds):
    context.bench.now = seconds
    host = context.bench.hosts[0]
    chosen = host.router.choose(host.upstreams, context.work)
    assert chosen is context.engine
