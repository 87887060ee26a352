"""Upstream calls and times of repeated reads, shared and not.

Run as ``python -m measurements.shared_reads``. Stock lookups of ten cards,
the first ones asked for the most, come as a Poisson process to three entry
hosts; each takes the plain service ``--slow`` seconds. Prints JSON: figures
by rule and seed, and mean and standard deviation.
"""

import argparse
import asyncio
import json
import pathlib
import random
import statistics
import time
import uuid

import aiohttp

from testbed import callers
from testbed import fleets

RULES = {
    "not shared": "repeat=yes",
    "shared": "repeat=yes shared=yes",
    "fresh=0.2s": "repeat=yes shared=yes fresh=0.2s",
}
LINE = "call service=entries-app operation=stock {words}  # asked by: A. K.\n"
CARDS = 10
SETTLE_SECONDS = 1.0


async def send_all(
    fleet: fleets.Fleet, *, rate: float, seconds: float, seed: int
) -> list[callers.CallResult]:
    """Send lookups at a rate and return what the callers saw."""
    draw = random.Random(seed)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        started = time.monotonic()
        tasks = []
        at = draw.expovariate(rate)
        while at < seconds:
            await asyncio.sleep(max(0.0, started + at - time.monotonic()))
            card = draw.choices(range(CARDS), weights=range(CARDS, 0, -1))[0]
            call = callers.call_service(
                session,
                draw.choice(fleet.entries).address,
                "stock",
                request_id=uuid.uuid4().hex,
                body={"key": f"card-{card}"},
                headers={"X-Workspace": "shops"},
            )
            tasks.append(asyncio.create_task(call))
            at += draw.expovariate(rate)
        return await asyncio.gather(*tasks)


def run(name: str, *, slow: float, rate: float, seconds: float, seed: int):
    """Run one rule with one seed; return its figures."""
    fleet = fleets.Fleet()
    try:
        fleet.start()
        text = pathlib.Path("testbed/fleet.rules").read_text()
        fleet.apply_rules(text + LINE.format(words=RULES[name]))
        time.sleep(SETTLE_SECONDS)
        for service in fleet.services:
            service.set_faults(slow=slow)
        results = asyncio.run(
            send_all(fleet, rate=rate, seconds=seconds, seed=seed)
        )
        executions = len(fleet.list_executions())
    finally:
        fleet.stop()
    times = statistics.quantiles([it.seconds for it in results], n=100)
    return {
        "lookups": len(results),
        "answered": sum(it.status == 200 for it in results),
        "upstream_calls_part": round(executions / len(results), 3),
        "p50": round(times[49], 4),
        "p99": round(times[98], 4),
    }


def spread(found: list[dict]) -> dict:
    """Return mean and standard deviation of each figure."""
    return {
        key: [
            round(statistics.fmean(it[key] for it in found), 4),
            round(statistics.stdev(it[key] for it in found), 4),
        ]
        for key in found[0]
    }


def main() -> None:
    """Measure all rules and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--slow", type=float, default=0.05)
    options = parser.parse_args()
    found = {name: [] for name in RULES}
    for seed in range(1, options.seeds + 1):
        for name, rows in found.items():
            figures = run(
                name,
                slow=options.slow,
                rate=options.rate,
                seconds=options.seconds,
                seed=seed,
            )
            rows.append(figures)
    means = {name: spread(rows) for name, rows in found.items()}
    print(json.dumps({"mean_and_spread": means, "runs": found}, indent=1))


if __name__ == "__main__":
    main()
