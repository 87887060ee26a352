"""Streams under waves of reclaims, by history of callers and engines.

Run as ``python -m measurements.waves --seed N [--wave NAME ...]``. Each wave
has a fleet of its own with 3 entry hosts and 9 engines in 3 zones, and
callers that come back when they are told to or their connection breaks.
"""

import argparse
import asyncio
import json
import pathlib
import random
import tempfile
import time
import uuid

import aiohttp
from hdrh import histogram

from testbed import callers
from testbed import fleets
from testbed import reclaims
from testbed import stream_histories

ZONES = ("zone-a", "zone-b", "zone-c")
ENGINES_PER_ZONE = 3
CALLERS = 36
RUN_SECONDS = 9.0
FIRST_WAVE = 2.5
NOTICE = 3.0
LONGEST_GAP_US = 60_000_000
SETTINGS = {"host_list_interval": 0.5}
ENGINE_OPTIONS = {"step_base": 0.012}
PERCENTILES = (50, 95, 99)


def plan_waves(name: str, fleet, draw: random.Random) -> list[reclaims.Wave]:
    """Return the waves of a name, drawn by the seed."""
    engines = draw.sample(fleet.engines, len(fleet.engines))
    zone = draw.choice(ZONES)
    local = [it for it in fleet.engines if it.zone == zone]
    entries = [it for it in fleet.entries if it.zone == zone]
    third = len(engines) // 3
    wave = reclaims.Wave
    return {
        "none": [],
        "third": [wave(FIRST_WAVE, engines[:third], NOTICE)],
        "71-percent": [
            wave(FIRST_WAVE, engines[: round(0.71 * len(engines))], NOTICE)
        ],
        "zone": [wave(FIRST_WAVE, local, NOTICE)],
        "two-in-a-row": [
            wave(FIRST_WAVE, engines[:third], NOTICE),
            wave(FIRST_WAVE + 2.0, engines[third : 2 * third], NOTICE),
        ],
        "zone-with-entry": [wave(FIRST_WAVE, [*entries, *local], NOTICE)],
        "unannounced-third": [wave(FIRST_WAVE, engines[:third], 0.0)],
        "unannounced-entry": [wave(FIRST_WAVE, entries, 0.0)],
        "unannounced-zone": [wave(FIRST_WAVE, [*entries, *local], 0.0)],
    }[name]


NAMES = (
    "none",
    "third",
    "71-percent",
    "zone",
    "two-in-a-row",
    "zone-with-entry",
    "unannounced-third",
    "unannounced-entry",
    "unannounced-zone",
)


async def run_caller(session, addresses, draw, recorder, until) -> list:
    """Send one request after the other; return what was seen."""
    chats = []
    while time.monotonic() < until:
        length = draw.choice((10, 10, 10, 400, 1500))
        start = draw.randrange(len(addresses))
        chat = await callers.follow_chat(
            session,
            addresses[start:] + addresses[:start],
            request_id=uuid.UUID(int=draw.getrandbits(128)).hex,
            prompt=f"{draw.random()} " + "rule " * length,
            max_tokens=draw.randrange(40, 240),
            give_up_after=30.0,
        )
        recorder.record_chat(chat)
        chats.append(chat)
    return chats


async def run_callers(fleet, seed: int, recorder) -> list:
    """Run all callers until the time is over; return what they saw."""
    addresses = [entry.address for entry in fleet.entries]
    until = time.monotonic() + RUN_SECONDS
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        runs = await asyncio.gather(
            *[
                run_caller(
                    session,
                    addresses,
                    random.Random(f"{seed}/{number}"),
                    recorder,
                    until,
                )
                for number in range(CALLERS)
            ]
        )
    return [chat for run in runs for chat in run]


def describe_gaps(chats: list) -> dict:
    """Return percentiles of the gaps between tokens, in ms."""
    every = histogram.HdrHistogram(1, LONGEST_GAP_US, 3)
    longest = histogram.HdrHistogram(1, LONGEST_GAP_US, 3)
    for chat in chats:
        for gap in chat.gaps:
            every.record_value(max(1, round(gap * 1e6)))
        if chat.gaps:
            longest.record_value(max(1, round(max(chat.gaps) * 1e6)))
    return {
        name: {
            f"p{percent}": recorded.get_value_at_percentile(percent) / 1000
            for percent in PERCENTILES
        }
        | {"max": recorded.get_max_value() / 1000}
        for name, recorded in (("each", every), ("longest", longest))
    }


def sum_counters(fleet) -> dict:
    """Return the sums of the streams' and handovers' counters."""
    sums: dict[str, int] = {}
    for entry in fleet.entries:
        if not entry.running:
            continue
        for name, count in entry.operate("GET", "/counters").json().items():
            if count and ("streams." in name or "handovers." in name):
                sums[name] = sums.get(name, 0) + count
    return sums


def measure(name: str, seed: int, *, sampled: bool = True) -> dict:
    """Run one wave and return its figures."""
    fleet = fleets.Fleet(
        zones=ZONES,
        engines_per_zone=ENGINES_PER_ZONE,
        services_per_zone=0,
        settings=SETTINGS,
        engine_options={**ENGINE_OPTIONS, "sampled": sampled},
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "history.jsonl"
        recorder = stream_histories.Recorder(path=path, fleet=fleet)
        try:
            fleet.start()
            waves = plan_waves(name, fleet, random.Random(f"{seed}/{name}"))
            with reclaims.Reclaims(
                fleet=fleet, waves=waves, record=recorder.record_event
            ):
                chats = asyncio.run(run_callers(fleet, seed, recorder))
            for engine in fleet.engines:
                recorder.record_engine(engine)
            counters = sum_counters(fleet)
        finally:
            fleet.stop()
        found = stream_histories.check(stream_histories.read(path))
    return {
        "wave": name,
        "seed": seed,
        "sampled": sampled,
        **found,
        "gaps_ms": describe_gaps(chats),
        "counters": counters,
    }


def main() -> None:
    """Measure the waves that are asked for, and print JSON lines."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--wave", choices=NAMES, action="append")
    parser.add_argument(
        "--repeatable",
        action="store_true",
        help="engines give the same text for the same prompt",
    )
    arguments = parser.parse_args()
    sampled = not arguments.repeatable
    for seed in arguments.seed or [1]:
        for name in arguments.wave or NAMES:
            figures = measure(name, seed, sampled=sampled)
            print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
