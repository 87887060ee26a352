"""Loads of the benches: engines with prompts, and plain services."""

import random
import statistics

from buckthornhold import relay_routers
from testbed import queueing_models
from testbed import uneven_benches

#: The busiest engine's utilisation over the mean, at most.
BUSIEST_BOUND = 1.15
UNEVEN_PACES = (0.6, 1.0, 1.6)
EQUAL_PACES = (1.0,)
#: Requests a second for each unit of capacity: about a fifth of what engines
#: can read and decode.
ENGINE_RATE = 1.2
ENGINE_SLOTS = 32
PREFIX_COUNT = 240
SHARED_TOKENS = 1500
PLAIN_SLOTS = 6
PLAIN_RATE = 120.0
PLAIN_SECONDS = 0.045
#: A call that was refused as full is sent again after this time.
REFUSED_PAUSE_SECONDS = 0.05
TRIP_SECONDS = 0.002


class EngineBench(uneven_benches.Bench):
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
                    cache_tokens=uneven_benches.CACHE_TOKENS,
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
            speed = host.speeds.find_service(uneven_benches.SERVICE)
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


class PlainBench(uneven_benches.Bench):
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
