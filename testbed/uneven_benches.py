"""Benches of hosts that choose among uneven upstreams, in simulated time.

Hosts see each other's loads 0.5 to 2 s late. The routers are those of
``relay_routers`` (``today``), those of ``paced_routers`` (``paced``; with
``scheduling.prefix_savings`` ``saving``), or one that knows the state of
every upstream (``all``).
"""

import abc
import collections
import dataclasses
import random
from unittest import mock

from buckthornhold import engine_speeds
from buckthornhold import paced_routers
from buckthornhold import relay_routers
from buckthornhold import relay_upstreams
from buckthornhold import upstream_directories
from buckthornhold.coordination import pause_detectors
from buckthornhold.scheduling import paces
from testbed import queueing_models

TICK_SECONDS = 0.125
TICKS_PER_SUMMARY = 4
#: Age of the other hosts' loads, in summaries.
MAX_LAG_SUMMARIES = 4
SUMMARIES_PER_UPDATE = 4
ZONES = "aabc"
SERVICE = "s"
#: Tokens that an engine holds: a tenth of all shared prefixes.
CACHE_TOKENS = 24_000
WARM_UP_SECONDS = 20.0
RUN_SECONDS = 30.0


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
        if kind not in ("paced", "saving"):
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
                savings=bench.make_savings() if kind == "saving" else None,
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

    def make_savings(self) -> paced_routers.PrefixSavings:
        """Return what a host knows of prefixes, nothing yet."""
        return paced_routers.PrefixSavings(
            count_hosts=lambda: sum(self.zone_hosts.values()),
            find_cache_tokens=lambda service: CACHE_TOKENS,
            clock=self.read_clock,
        )

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
