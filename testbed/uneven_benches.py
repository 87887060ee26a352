"""Benches of hosts that choose among uneven upstreams, in simulated time.

Hosts see each other's loads 0.5 to 2 s late. The routers are those of
``relay_routers`` (``today``), those of ``paced_routers`` (``paced``), or one
that knows the state of every upstream (``all``).
"""

import abc
import collections
import dataclasses
import random
import statistics
from unittest import mock

from buckthornhold import engine_speeds
from buckthornhold import paced_routers
from buckthornhold import relay_routers
from buckthornhold import relay_upstreams
from buckthornhold import upstream_directories
from buckthornhold.coordination import pause_detectors
from buckthornhold.scheduling import paces
from testbed import queueing_models

#: The busiest engine's utilisation over the mean, at most.
BUSIEST_BOUND = 1.15
UNEVEN_PACES = (0.6, 1.0, 1.6)
EQUAL_PACES = (1.0,)
TICK_SECONDS = 0.125
TICKS_PER_SUMMARY = 4
#: Age of the other hosts' loads, in summaries.
MAX_LAG_SUMMARIES = 4
SUMMARIES_PER_UPDATE = 4
ZONES = "aabc"
SERVICE = "s"
WARM_UP_SECONDS = 20.0
RUN_SECONDS = 30.0
#: Requests a second for each unit of capacity; a fifth of what engines can read
#: and decode.
ENGINE_RATE = 1.2
ENGINE_SLOTS = 32
PREFIX_COUNT = 240
SHARED_TOKENS = 1500
CACHE_TOKENS = 24_000
PLAIN_SLOTS = 6
PLAIN_RATE = 120.0
PLAIN_SECONDS = 0.045
#: A call that was refused as full is sent again after this time.
REFUSED_PAUSE_SECONDS = 0.05
TRIP_SECONDS = 0.002


@dataclasses.dataclass(kw_only=True)
class Report:
    """What is known of one upstream at one time."""

    requests: int = 0
    tokens: int = 0
    weight: float = 0.0
    total: float = 0.0


class Host:
    """One host: its view of the upstreams, and its router."""

    def __init__(self, bench, number: int, kind: str) -> None:
        self.number = number
        self.zone = ZONES[number % len(ZONES)]
        self.lag = 1 + number % MAX_LAG_SUMMARIES
        self.speeds = engine_speeds.EngineSpeeds(clock=bench.read_clock)
        self.paces = paces.JointPaces(clock=bench.read_clock)
        self.upstreams = [
            relay_upstreams.RelayUpstream(record=it) for it in bench.records
        ]
        self.reported: collections.deque = collections.deque(
            maxlen=MAX_LAG_SUMMARIES + 1
        )
        self._applied = 0
        draw = random.Random(bench.draw.random())
        is_plain = bench.is_plain
        if kind != "paced":
            self.router = (
                relay_routers.LeastLoadedRouter(zone=self.zone)
                if is_plain
                else relay_routers.EngineRouter(
                    zone=self.zone, speeds=self.speeds
                )
            )
        elif is_plain:
            self.router = paced_routers.SpreadingRouter(
                zone=self.zone,
                count_hosts=lambda: bench.zone_hosts,
                clock=bench.read_clock,
                draw=draw,
            )
        else:
            self.router = paced_routers.PacedEngineRouter(
                zone=self.zone,
                speeds=self.speeds,
                joint_paces=self.paces,
                clock=bench.read_clock,
                draw=draw,
            )

    def report(self) -> list[Report]:
        """Return what this host's summary says."""
        reports = []
        seen = dict(self.paces.list_own())
        for upstream in self.upstreams:
            weight, total = seen.get(upstream.key, paces.NONE)
            reports.append(
                Report(
                    requests=upstream.in_flight,
                    tokens=upstream.waiting_tokens,
                    weight=weight,
                    total=total,
                )
            )
        return reports

    def apply(self, view: list[Report], own: list[Report], at, age) -> None:
        """Apply the sum of all hosts' reports less the own one."""
        others = {}
        for upstream, all_, mine in zip(
            self.upstreams, view, own, strict=True
        ):
            tokens = max(0, all_.tokens - mine.tokens)
            upstream.set_remote_load(
                max(0, all_.requests - mine.requests),
                [(tokens, at)] if tokens else [],
            )
            others[upstream.key] = (
                max(0.0, all_.weight - mine.weight),
                all_.total - mine.total,
            )
        self.paces.set_others(others, age=age)
        self._applied += 1
        if not self._applied % SUMMARIES_PER_UPDATE:
            self.paces.update(SERVICE, [it.key for it in self.upstreams])


class Bench(abc.ABC):
    """Hosts before upstreams, in simulated time."""

    def __init__(self, *, hosts: int, kind: str, seed: int) -> None:
        random.seed(seed)
        self.kind = kind
        self.draw = random.Random(seed)
        self.timeline = queueing_models.Timeline()
        self.records: list[upstream_directories.UpstreamRecord] = []
        self.times: list[float] = []
        self.zone_hosts = collections.Counter(
            ZONES[number % len(ZONES)] for number in range(hosts)
        )
        self._views: collections.deque = collections.deque(
            maxlen=MAX_LAG_SUMMARIES * TICKS_PER_SUMMARY + 1
        )
        self._ticks = 0
        self.make_upstreams()
        self.hosts = [Host(self, number, kind) for number in range(hosts)]
        self._totals = [Report() for _ in self.records]

    is_plain = False
    slots = 0

    @abc.abstractmethod
    def make_upstreams(self) -> None:
        """Create the upstreams and their records."""

    @abc.abstractmethod
    def arrive(self) -> None:
        """Send one request, and plan the next one."""

    @abc.abstractmethod
    def summarize(self) -> dict:
        """Return the figures of the run."""

    def read_clock(self) -> float:
        """Return the simulated time."""
        return self.timeline.now

    def add_record(self, number: int) -> None:
        """Add the record of an upstream."""
        self.records.append(
            upstream_directories.UpstreamRecord(
                name=f"u{number}",
                service=SERVICE,
                address="",
                zone=ZONES[number % len(ZONES)],
                slots=self.slots,
            )
        )

    def run(self, seconds: float) -> None:
        """Warm up, then run for so long."""
        with mock.patch.object(
            pause_detectors, "read_boot_clock", self.read_clock
        ):
            self.timeline.plan(0, self._exchange)
            self.timeline.plan(0, self.arrive)
            self.timeline.run(WARM_UP_SECONDS)
            self.start_measuring()
            self.timeline.run(seconds)

    def start_measuring(self) -> None:
        """Drop what was measured so far."""
        self.times.clear()

    def _exchange(self) -> None:
        """Let a quarter of the hosts report and read late sums."""
        self._ticks += 1
        now = self.timeline.now
        for host in self.hosts:
            if (host.number + self._ticks) % TICKS_PER_SUMMARY:
                continue
            mine = host.report()
            old = host.reported[-1] if host.reported else None
            for number, total in enumerate(self._totals):
                total.requests += mine[number].requests
                total.tokens += mine[number].tokens
                total.weight += mine[number].weight
                total.total += mine[number].total
                if old:
                    total.requests -= old[number].requests
                    total.tokens -= old[number].tokens
                    total.weight -= old[number].weight
                    total.total -= old[number].total
            host.reported.append(mine)
        self._views.append([dataclasses.replace(it) for it in self._totals])
        for host in self.hosts:
            if (host.number + self._ticks) % TICKS_PER_SUMMARY:
                continue
            ticks = host.lag * TICKS_PER_SUMMARY
            if len(self._views) <= ticks or len(host.reported) <= host.lag:
                continue
            age = host.lag * TICKS_PER_SUMMARY * TICK_SECONDS
            host.apply(
                self._views[-1 - ticks],
                host.reported[-1 - host.lag],
                now - age,
                age,
            )
        self.timeline.plan(TICK_SECONDS, self._exchange)


class EngineBench(Bench):
    """Engines that read prompts with shared prefixes."""

    slots = ENGINE_SLOTS

    def __init__(
        self, *, engines, pace_factors, rate=ENGINE_RATE, noisy=True, **options
    ):
        self._count = engines
        self._rate_per_pace = rate
        self._pace_factors = pace_factors
        self._noisy = noisy
        self._weights = [1 / (it + 1) ** 0.7 for it in range(PREFIX_COUNT)]
        super().__init__(**options)

    def make_upstreams(self):
        """Create the engines."""
        self.engines = []
        for number in range(self._count):
            factors = self._pace_factors
            self.add_record(number)
            self.engines.append(
                queueing_models.ModelEngine(
                    timeline=self.timeline,
                    pace=factors[number % len(factors)],
                    slots=ENGINE_SLOTS,
                    cache_tokens=CACHE_TOKENS,
                    noise=random.Random(number) if self._noisy else None,
                )
            )
        self._rate = self._rate_per_pace * sum(
            1 / it.pace for it in self.engines
        )

    def start_measuring(self):
        """Drop what was measured so far."""
        super().start_measuring()
        for engine in self.engines:
            engine.work_seconds = 0.0
            engine.read_again_tokens = 0
            engine.request_count = 0

    def arrive(self):
        """Send one request to an engine."""
        self.timeline.plan(self.draw.expovariate(self._rate), self.arrive)
        host = self.draw.choice(self.hosts)
        workload = relay_routers.Workload(
            prefix=f"p{self.draw.choices(range(PREFIX_COUNT), self._weights)}",
            shared_tokens=SHARED_TOKENS,
            own_tokens=min(8000, int(self.draw.lognormvariate(6.9, 0.9))),
            output_tokens=self.draw.randrange(50, 250),
        )
        if self.kind == "all":
            number = self.choose_knowing(workload)
            upstream = host.upstreams[number]
        else:
            upstream = host.router.choose(host.upstreams, workload)
            number = host.upstreams.index(upstream)
        estimate = host.router.estimate(upstream, workload)
        upstream.in_flight += 1
        upstream.waiting_tokens += workload.prompt_tokens

        def take_first(seconds: float) -> None:
            self.times.append(seconds)
            upstream.waiting_tokens -= workload.prompt_tokens
            host.router.learn_first_event(upstream, estimate, seconds)

        def take_end(interval: float) -> None:
            host.router.learn_interval(upstream, interval)
            speed = host.speeds.find_service(SERVICE)
            speed.learn_interval(interval, upstream.load)
            upstream.in_flight -= 1

        self.engines[number].send(
            queueing_models.ModelRequest(
                prefix=workload.prefix,
                shared_tokens=workload.shared_tokens,
                own_tokens=workload.own_tokens,
                output_tokens=workload.output_tokens,
                on_first_event=take_first,
                on_end=take_end,
            )
        )

    def choose_knowing(self, workload) -> int:
        """Return the engine of the earliest first event within the bound.

        Only engines whose utilisation doesn't exceed the bound are used. The
        pace of the moment isn't, as it changes until then.
        """
        mean = sum(it.work_seconds for it in self.engines) / sum(
            1 / it.pace for it in self.engines
        )
        limit = BUSIEST_BOUND * mean

        def estimate(number: int) -> float:
            engine = self.engines[number]
            tokens = engine.unread_tokens + workload.own_tokens
            if not engine.holds(workload.prefix):
                tokens += workload.shared_tokens
            step = (
                queueing_models.STEP_SECONDS
                + engine.in_flight * queueing_models.RUNNING_SECONDS
            )
            steps = 1 + tokens / queueing_models.CHUNK_TOKENS
            seconds = steps * step + tokens * queueing_models.TOKEN_SECONDS
            seconds += (engine.in_flight >= engine.slots) * 1.0
            return seconds * engine.pace

        return min(
            (
                number
                for number, engine in enumerate(self.engines)
                if engine.work_seconds * engine.pace <= limit
            ),
            key=estimate,
        )

    def summarize(self) -> dict:
        """Return the figures of the run."""
        work = [it.work_seconds * it.pace for it in self.engines]
        mean = sum(it.work_seconds for it in self.engines) / sum(
            1 / it.pace for it in self.engines
        )
        read_again = sum(it.read_again_tokens for it in self.engines)
        count = sum(it.request_count for it in self.engines)
        return {
            "busiest": round(max(work) / mean, 3),
            **summarize_times(self.times),
            "read_again": round(read_again / count),
        }


class PlainBench(Bench):
    """Few plain upstreams and short calls."""

    is_plain = True
    slots = PLAIN_SLOTS

    def __init__(self, *, upstreams, **options):
        self._count = upstreams
        super().__init__(**options)

    def make_upstreams(self):
        """Create the upstreams."""
        self.services = []
        for number in range(self._count):
            self.add_record(number)
            self.services.append(
                queueing_models.ModelService(
                    timeline=self.timeline, slots=PLAIN_SLOTS
                )
            )

    def start_measuring(self):
        """Drop what was measured so far."""
        super().start_measuring()
        for service in self.services:
            service.refused_count = service.request_count = 0

    def arrive(self):
        """Send one call."""
        self.timeline.plan(self.draw.expovariate(PLAIN_RATE), self.arrive)
        # A tenth takes about three times as long.
        seconds = (
            PLAIN_SECONDS
            * self.draw.choices(
                (self.draw.uniform(0.6, 1.0), self.draw.uniform(2.0, 3.6)),
                (0.9, 0.1),
            )[0]
        )
        self.attempt(
            self.draw.choice(self.hosts), seconds, self.timeline.now, set()
        )

    def attempt(self, host, seconds, started, tried) -> None:
        """Send a call, and again elsewhere if it is refused."""
        untried = [it for it in host.upstreams if it.name not in tried]
        if self.kind == "all":
            number = min(
                range(len(self.services)),
                key=lambda it: self.services[it].in_flight,
            )
            upstream = host.upstreams[number]
        else:
            upstream = host.router.choose(untried, relay_routers.Workload())
            number = host.upstreams.index(upstream)
        trip = TRIP_SECONDS * (upstream.record.zone != host.zone)
        upstream.in_flight += 1

        def end() -> None:
            upstream.in_flight -= 1
            self.times.append(self.timeline.now - started + trip)

        if self.services[number].send(seconds, end):
            return
        upstream.in_flight -= 1
        tried.add(upstream.name)
        pause = trip
        if len(tried) == len(host.upstreams):
            tried.clear()
            pause += REFUSED_PAUSE_SECONDS
        self.timeline.plan(
            pause, lambda: self.attempt(host, seconds, started, tried)
        )

    def summarize(self) -> dict:
        """Return the figures of the run."""
        return {
            **summarize_times(self.times),
            "refused": sum(it.refused_count for it in self.services),
            "calls": [it.request_count for it in self.services],
        }


def summarize_times(times: list[float]) -> dict:
    """Return the number of times and their quantiles."""
    parts = statistics.quantiles(times, n=100)
    return {
        "count": len(times),
        "p50": round(parts[49], 3),
        "p99": round(parts[98], 3),
    }
