"""Processor time of routing and admission by the number of upstreams.

Prints JSON: microseconds a request with a prompt of 4,000 tokens, on one
entry host that knows a load report of each upstream. ``route`` is the choice
of version and upstream, ``admit`` the decision whether there is room, in the
midst of requests that start and end; ``changed`` is ``route`` just behind a
change of the host list. With ``--profile`` it prints where the time goes.
"""

import argparse
import asyncio
import collections
import cProfile
import json
import pstats
import time

from buckthornhold import reasons
from buckthornhold import signals
from testbed import offline_hosts

PROMPT_TOKENS = 4000
HOST_COUNT = 390
#: Requests that are in flight at once.
IN_FLIGHT = 20
CHANGES = 20
MICROSECONDS = 1_000_000
PROFILE_LINES = 25


async def drive(
    front: offline_hosts.OfflineEntryHost, rounds: int
) -> dict[str, float]:
    """Return the microseconds of each step, a request."""
    spent = collections.Counter()
    flying = collections.deque()
    taken = 0
    for _ in range(rounds):
        contract = front.make_contract(PROMPT_TOKENS)
        before = time.process_time()
        attempt = front.plan_attempt(contract)
        planned = time.process_time()
        place = front.admit(attempt)
        admitted = time.process_time()
        spent["route"] += planned - before
        spent["admit"] += admitted - planned
        if isinstance(place, reasons.Failure):
            continue
        taken += 1
        signals.attempt_started.send(front, attempt=attempt)
        attempt.upstream.in_flight += 1
        flying.append((attempt, place))
        await front.await_load_reports()
        if len(flying) > IN_FLIGHT:
            finish(front, *flying.popleft())
    while flying:
        finish(front, *flying.popleft())
    found = {
        name: round(seconds / rounds * MICROSECONDS, 1)
        for name, seconds in spent.items()
    }
    return {**found, "taken": taken}


def finish(front: offline_hosts.OfflineEntryHost, attempt, place) -> None:
    """End a request."""
    front.admission_policy.record_first_token(place)
    front.admission_policy.release(place)
    attempt.upstream.in_flight -= 1
    signals.attempt_finished.send(front, attempt=attempt)


async def measure_changed(
    front: offline_hosts.OfflineEntryHost, engine_count: int
) -> float:
    """Return the microseconds of a choice behind a change of the list."""
    spent = 0.0
    for number in range(CHANGES):
        front.apply_generated_hosts(
            engine_count=engine_count - number % 2, host_count=HOST_COUNT
        )
        contract = front.make_contract(PROMPT_TOKENS)
        before = time.process_time()
        front.plan_attempt(contract)
        spent += time.process_time() - before
    return round(spent / CHANGES * MICROSECONDS, 1)


async def measure_size(
    engine_count: int, router: str, rounds: int, profiler
) -> dict:
    """Measure one router before so many engines."""
    front = await offline_hosts.make_host(
        engine_count=engine_count, host_count=HOST_COUNT, router=router
    )
    try:
        await drive(front, rounds // 10)
        if profiler is not None:
            profiler.enable()
        row = await drive(front, rounds)
        if profiler is not None:
            profiler.disable()
        changed = await measure_changed(front, engine_count)
    finally:
        await front.on_shutdown()
    return {
        "engines": engine_count,
        "router": router,
        **row,
        "changed": changed,
    }


async def main() -> None:
    """Measure at several sizes and print the figures."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument(
        "--engines", type=int, nargs="*", default=[9, 60, 600, 2400]
    )
    parser.add_argument("--routers", nargs="*", default=["prefix", "earliest"])
    parser.add_argument("--rounds", type=int, default=300)
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    profiler = cProfile.Profile() if arguments.profile else None
    rows = [
        await measure_size(count, router, arguments.rounds, profiler)
        for count in arguments.engines
        for router in arguments.routers
    ]
    print(json.dumps({"rows": rows}, indent=1))
    if profiler is not None:
        stats = pstats.Stats(profiler)
        stats.sort_stats("tottime").print_stats(PROFILE_LINES)


if __name__ == "__main__":
    asyncio.run(main())
