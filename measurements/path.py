"""What the way through an entry host costs.

Nine entry hosts in three zones, the platform and 12 upstreams run as
separate processes. Latencies are taken in turn against the upstream itself,
a plain aiohttp baseline and an entry host. The baseline passes streams on
chunk by chunk, and once more event by event. Rates per core are requests and
tokens over the processor time that the measured process used meanwhile.
Run as ``python -m measurements.path``; prints JSON.
"""

import argparse
import asyncio
import dataclasses
import itertools
import json
import random
import statistics
import time

import aiohttp
from hdrh import histogram

from testbed import callers
from testbed import fleets
from testbed import machines

LONGEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
ENGINE_OPTIONS = {
    "step_base": 0.002,
    "step_per_running": 0.0,
    "max_running": 256,
}
#: A place behind the fleet's own machines on its loopback network.
BASELINE_HOST = 240
BASELINE_PORT = 7300


@dataclasses.dataclass(frozen=True, kw_only=True)
class Way:
    """One way to the same upstream."""

    name: str
    call_url: str
    stream_url: str
    machine: machines.Machine | None


class Requests:
    """Makes short calls and streams over the ways that are compared."""

    def __init__(self, session: aiohttp.ClientSession, seed: int) -> None:
        self._session = session
        self._numbers = itertools.count()
        self._prefix = f"{random.Random(seed).getrandbits(32):08x}"

    async def call(self, way: Way) -> None:
        """Make one short call."""
        async with self._session.post(
            way.call_url,
            json={"heat": 7},
            headers={"X-Request-Id": self._make_id()},
        ) as answer:
            await answer.read()
            assert answer.status == 200, answer

    async def stream(self, way: Way, tokens: int) -> float:
        """Make one stream and return the time to its first bytes."""
        request_id = self._make_id()
        started = time.perf_counter()
        first = 0.0
        async with self._session.post(
            way.stream_url,
            json=self._make_stream_body(way, request_id, tokens),
            headers={"X-Request-Id": request_id, "X-Workspace": "booth"},
        ) as answer:
            assert answer.status == 200, await answer.text()
            async for _ in answer.content.iter_any():
                first = first or time.perf_counter() - started
        return first

    def _make_id(self) -> str:
        return f"{self._prefix}-{next(self._numbers)}"

    def _make_stream_body(self, way: Way, request_id: str, tokens: int):
        if way.name == "entry":
            return {
                "model": "race-desk-llm",
                "messages": [{"role": "user", "content": "hello"}],
                "max_tokens": tokens,
                "stream": True,
            }
        return {
            "request_id": request_id,
            "attempt": f"{request_id}/0",
            "model": "race-desk-llm",
            "version": "v1",
            "workspace": "booth",
            "prompt": "user: hello",
            "max_tokens": tokens,
            "priority": 0,
            "emitted": [],
        }


def make_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of microseconds."""
    return histogram.HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)


def describe(found: histogram.HdrHistogram) -> dict[str, float]:
    """Return count, p50 and p99 in milliseconds."""
    return {
        "count": found.get_total_count(),
        "p50_ms": found.get_value_at_percentile(50) / 1000,
        "p99_ms": found.get_value_at_percentile(99) / 1000,
    }


async def measure_latency(
    requests: Requests, ways: list[Way], *, count: int, tokens: int
) -> dict:
    """Take the latency of calls and of first tokens, way by way in turn."""
    calls = {way.name: make_histogram() for way in ways}
    firsts = {way.name: make_histogram() for way in ways}
    for way in ways * 5:
        await requests.call(way)
        await requests.stream(way, 1)
    for _ in range(count):
        for way in ways:
            started = time.perf_counter()
            await requests.call(way)
            seconds = time.perf_counter() - started
            calls[way.name].record_value(round(seconds * 1e6))
    for _ in range(count // 4):
        for way in ways:
            first = await requests.stream(way, tokens)
            firsts[way.name].record_value(round(first * 1e6))
    return {
        "calls": {name: describe(found) for name, found in calls.items()},
        "first_tokens": {
            name: describe(found) for name, found in firsts.items()
        },
    }


async def measure_rate(
    requests: Requests, way: Way, *, callers_at_once: int, seconds: float
) -> dict:
    """Return calls per second of processor time of a way's process."""
    done = 0
    give_up_at = time.monotonic() + seconds

    async def work():
        nonlocal done
        while time.monotonic() < give_up_at:
            await requests.call(way)
            done += 1

    before = way.machine.measure_cpu()
    started = time.monotonic()
    await asyncio.gather(*[work() for _ in range(callers_at_once)])
    used = way.machine.measure_cpu() - before
    return {
        "calls": done,
        "wall_s": round(time.monotonic() - started, 3),
        "cpu_s": round(used, 3),
        "calls_per_core_s": round(done / used),
    }


async def measure_tokens(
    requests: Requests, way: Way, *, callers_at_once: int, tokens: int
) -> dict:
    """Return tokens per second of processor time of a way's process."""
    before = way.machine.measure_cpu()
    started = time.monotonic()
    await asyncio.gather(
        *[requests.stream(way, tokens) for _ in range(callers_at_once)]
    )
    used = way.machine.measure_cpu() - before
    count = callers_at_once * tokens
    return {
        "tokens": count,
        "wall_s": round(time.monotonic() - started, 3),
        "cpu_s": round(used, 3),
        "tokens_per_core_s": round(count / used),
    }


async def check_every_entry(
    session: aiohttp.ClientSession, fleet: fleets.Fleet
) -> dict:
    """Send a stream and a call through each entry host."""
    whole = 0
    answered = 0
    for number, entry in enumerate(fleet.entries):
        chat = await callers.stream_chat(
            session,
            entry.address,
            request_id=f"each-{number}",
            prompt=f"hello {number}",
        )
        whole += chat.whole
        result = await callers.call_service(
            session,
            entry.address,
            "pay",
            request_id=f"each-call-{number}",
            body={"runner": number},
        )
        answered += result.status == 200 and result.body["run"] == 1
    return {
        "entries": len(fleet.entries),
        "streams_whole": whole,
        "calls_run_once": answered,
    }


def start_baseline(fleet: fleets.Fleet) -> machines.StandInMachine:
    """Start the baseline in front of the first engine and service."""
    ip = f"{fleet.platform.ip.rpartition('.')[0]}.{BASELINE_HOST}"
    baseline = machines.StandInMachine(
        name="baseline",
        zone="zone-a",
        ip=ip,
        port=BASELINE_PORT,
        log_path=fleet.folder / "baseline.log",
    )
    baseline.start(
        "measurements.baselines",
        "--address",
        baseline.address,
        "--engine",
        fleet.engines[0].address,
        "--service",
        fleet.services[0].address,
    )
    machines.wait_until(
        lambda: machines.call("GET", baseline.address, "/").status == 404
    )
    return baseline


def make_ways(
    fleet: fleets.Fleet, baseline: machines.StandInMachine
) -> list[Way]:
    """Return the ways that are compared."""
    entry = fleet.entries[0]
    return [
        Way(
            name="direct",
            call_url=f"http://{fleet.services[0].address}/call/heat-lookup",
            stream_url=f"http://{fleet.engines[0].address}/v1/generate",
            machine=fleet.services[0],
        ),
        Way(
            name="baseline",
            call_url=f"http://{baseline.address}/call/heat-lookup",
            stream_url=f"http://{baseline.address}/v1/generate",
            machine=baseline,
        ),
        Way(
            name="baseline_events",
            call_url=f"http://{baseline.address}/call/heat-lookup",
            stream_url=f"http://{baseline.address}/events",
            machine=baseline,
        ),
        Way(
            name="entry",
            call_url=(
                f"http://{entry.address}/services/entries-app/heat-lookup"
            ),
            stream_url=f"http://{entry.address}/v1/chat/completions",
            machine=entry,
        ),
    ]


async def measure(fleet, ways, arguments) -> dict:
    """Run all parts in turn."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        requests = Requests(session, arguments.seed)
        result = {"each_entry": await check_every_entry(session, fleet)}
        result["latency"] = await measure_latency(
            requests, ways, count=arguments.count, tokens=arguments.tokens
        )
        result["rates"] = []
        result["tokens"] = []
        for _ in range(arguments.rounds):
            for way in ways[1:]:
                if way.name != "baseline_events":
                    rate = await measure_rate(
                        requests,
                        way,
                        callers_at_once=arguments.callers,
                        seconds=arguments.seconds,
                    )
                    result["rates"].append({"way": way.name, **rate})
                for count in arguments.stream_callers:
                    rate = await measure_tokens(
                        requests,
                        way,
                        callers_at_once=count,
                        tokens=arguments.stream_tokens,
                    )
                    row = {"way": way.name, "callers": count, **rate}
                    result["tokens"].append(row)
    result["medians"] = {
        "calls_per_core_s": _find_medians(result["rates"]),
        **{
            f"tokens_per_core_s of {count} callers": _find_medians(
                [it for it in result["tokens"] if it["callers"] == count]
            )
            for count in arguments.stream_callers
        },
    }
    latency = result["latency"]["calls"]
    result["added_p50_ms"] = round(
        latency["entry"]["p50_ms"] - latency["direct"]["p50_ms"], 3
    )
    result["added_p99_ms"] = round(
        latency["entry"]["p99_ms"] - latency["direct"]["p99_ms"], 3
    )
    return result


def _find_medians(rows: list[dict]) -> dict[str, float]:
    """Return each way's median rate, and the entry host's share of others."""
    rates: dict[str, list[float]] = {}
    for row in rows:
        key = next(it for it in row if it.endswith("_per_core_s"))
        rates.setdefault(row["way"], []).append(row[key])
    medians = {way: statistics.median(it) for way, it in rates.items()}
    shares = {
        f"entry_over_{way}": round(medians["entry"] / median, 3)
        for way, median in medians.items()
        if way != "entry"
    }
    return {**medians, **shares}


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=400)
    parser.add_argument("--tokens", type=int, default=4)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--stream-tokens", type=int, default=300)
    parser.add_argument(
        "--stream-callers", type=int, nargs="+", default=[16, 96]
    )
    parser.add_argument("--entries-per-zone", type=int, default=3)
    arguments = parser.parse_args()
    fleet = fleets.Fleet(
        entries_per_zone=arguments.entries_per_zone,
        engines_per_zone=3,
        services_per_zone=1,
        engine_options=ENGINE_OPTIONS,
    )
    baseline = None
    try:
        fleet.start()
        idle = [entry.measure_memory() for entry in fleet.entries]
        baseline = start_baseline(fleet)
        ways = make_ways(fleet, baseline)
        result = asyncio.run(measure(fleet, ways, arguments))
        result["idle_memory_kb"] = idle
        result["arguments"] = vars(arguments)
        print(json.dumps(result, indent=2))
    finally:
        if baseline is not None:
            baseline.kill()
        fleet.stop()


if __name__ == "__main__":
    main()
