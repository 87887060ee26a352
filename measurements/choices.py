"""What a router's choices are worth before many engines, by many hosts.

Hosts that aren't started choose engines for requests whose prompts start
alike by Zipf's law. Engines keep the starts that they saw last and report
how many requests they run once a second. Prints JSON, for each seed: the
part of the requests whose engine knows their start, and how many requests
run on the chosen engine, its mean, 99th percentile and most.
"""

import argparse
import asyncio
import collections
import heapq
import itertools
import json
import random
import statistics

from buckthornhold import signals
from testbed import offline_hosts

HOST_COUNT = 39
ENGINE_COUNT = 60
REQUESTS = 6000
#: All hosts together.
RATE_PER_SECOND = 270.0
ANSWER_SECONDS = 2.2
FIRST_TOKEN_SECONDS = 0.3
#: Admission counts tokens, but refuses nothing.
PATIENCE_SECONDS = 1000.0
STARTS = 2000
KEPT_STARTS = 40
REPORT_SECONDS = 1.0
PROMPT_TOKENS = 600
PREFIX_CHARACTERS = 256


class Trial:
    """One run with one seed."""

    def __init__(
        self, held: list[offline_hosts.OfflineEntryHost], seed: int
    ) -> None:
        self._fronts = held
        self._random = random.Random(seed)
        self._running: collections.Counter[str] = collections.Counter()
        self._known: dict[str, collections.OrderedDict] = {}
        self._events: list[tuple] = []
        self._count = itertools.count()
        self._loads: list[int] = []
        self._hits = 0

    async def run(self) -> dict:
        """Send all requests and return what came of them."""
        weights = [1 / rank for rank in range(1, STARTS + 1)]
        starts = self._random.choices(range(STARTS), weights, k=REQUESTS)
        now = reported_at = 0.0
        for start in starts:
            now += self._random.expovariate(RATE_PER_SECOND)
            self._finish_until(now)
            if now - reported_at > REPORT_SECONDS:
                reported_at = now
                self._report()
            await self._send(start, now)
        self._finish_until(float("inf"))
        self._loads.sort()
        return {
            "known_share": round(self._hits / REQUESTS, 4),
            "running_mean": round(statistics.mean(self._loads), 2),
            "running_p99": self._loads[int(0.99 * len(self._loads))],
            "running_most": self._loads[-1],
        }

    async def _send(self, start: int, now: float) -> None:
        front = self._random.choice(self._fronts)
        prefix = f"{start:08}" * (PREFIX_CHARACTERS // 8)
        attempt = front.plan_attempt(
            front.make_contract(PROMPT_TOKENS, prefix=prefix)
        )
        place = front.admit(attempt)
        name = attempt.upstream.name
        known = self._known.setdefault(name, collections.OrderedDict())
        self._hits += start in known
        known[start] = None
        known.move_to_end(start)
        if len(known) > KEPT_STARTS:
            known.popitem(last=False)
        self._loads.append(self._running[name])
        self._running[name] += 1
        signals.attempt_started.send(front, attempt=attempt)
        attempt.upstream.in_flight += 1
        await front.await_load_reports()
        for seconds, step in (
            (FIRST_TOKEN_SECONDS, front.admission_policy.record_first_token),
            (ANSWER_SECONDS, front.admission_policy.release),
        ):
            end = now + seconds
            event = (end, next(self._count), front, attempt, place, step)
            heapq.heappush(self._events, event)

    def _finish_until(self, now: float) -> None:
        while self._events and self._events[0][0] <= now:
            _, _, front, attempt, place, step = heapq.heappop(self._events)
            step(place)
            if step != front.admission_policy.release:
                continue
            self._running[attempt.upstream.name] -= 1
            attempt.upstream.in_flight -= 1
            signals.attempt_finished.send(front, attempt=attempt)

    def _report(self) -> None:
        for front in self._fronts:
            for upstream in front.upstreams.list_all():
                upstream.engine.running = self._running[upstream.name]


async def measure(router: str, seed: int) -> dict:
    """Return the figures of one router and seed."""
    random.seed(seed)
    held = [
        await offline_hosts.make_host(
            engine_count=ENGINE_COUNT,
            host_count=HOST_COUNT,
            router=router,
            load_interval=0.0001,
            first_token_target=PATIENCE_SECONDS,
        )
        for _ in range(HOST_COUNT)
    ]
    try:
        return await Trial(held, seed).run()
    finally:
        for front in held:
            await front.on_shutdown()


async def main() -> None:
    """Measure all routers with all seeds and print the figures."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument(
        "--routers", nargs="*", default=["two_choices", "prefix", "earliest"]
    )
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2, 3])
    arguments = parser.parse_args()
    rows = [
        {"router": router, "seed": seed, **await measure(router, seed)}
        for router in arguments.routers
        for seed in arguments.seeds
    ]
    print(json.dumps({"rows": rows}, indent=1))


if __name__ == "__main__":
    asyncio.run(main())
