"""Store writes per claim at rising rates.

Each of some processes writes its part of the shards against the platform's
stand-in, a process of its own; who writes a shard doesn't change its number
of writes. Each claim is taken and its outcome recorded. Run as ``python -m
measurements.claim_groups``; prints JSON, one line for each rate.
"""

import argparse
import asyncio
import concurrent.futures
import dataclasses
import json
import pathlib
import random
import tempfile
import time

from buckthornhold import clients
from buckthornhold import settings
from buckthornhold import stores
from buckthornhold.coordination import claim_records
from buckthornhold.coordination import claims
from testbed import fleets
from testbed import machines

ANSWER = b'{"service": "entries-app", "operation": "pay", "run": 1}'
OUTCOME = claim_records.make_answered_outcome(
    status=200, content_type="application/json", body=ANSWER, limit=2048
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Part:
    """What one process does: its share of a rate, on its part of the shards.

    ``number`` counts the parts from 0; ``rate`` is of all of them together.
    """

    platform: str
    rate: float
    seconds: float
    seed: int
    number: int
    parts: int


class Rate:
    """Claims at one rate, and how long each took."""

    def __init__(self, *, taker: claims.Claims, part: Part) -> None:
        self._claims = taker
        self._part = part
        self._rng = random.Random(part.seed + part.number)
        self.waits: list[float] = []
        self.failed = 0

    async def run(self, *, rate: float, seconds: float) -> None:
        """Take claims with exponential pauses between them."""
        running = []
        started = time.monotonic()
        due = started
        while due < started + seconds:
            due += self._rng.expovariate(rate)
            wait = due - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            running.append(asyncio.create_task(self._take()))
        await asyncio.gather(*running)

    def _draw_id(self) -> str:
        """Return a request id of a shard that this part writes."""
        shards = settings.DEFAULTS["claim_shards"]
        while True:
            request_id = f"{self._rng.getrandbits(128):032x}"
            shard = claims.choose_shard(request_id, shards)
            if shard % self._part.parts == self._part.number:
                return request_id

    async def _take(self) -> None:
        request_id = self._draw_id()
        claim = self._claims.make_claim(
            request_id, digest="d" * 32, seconds_left=10.0
        )
        started = time.monotonic()
        verdict = await self._claims.acquire(claim)
        self.waits.append(time.monotonic() - started)
        if not isinstance(verdict, claim_records.Decision):
            self.failed += 1
            return
        if (
            await self._claims.record_outcome(verdict.claim, OUTCOME)
            is not None
        ):
            self.failed += 1


def run_part(part: Part) -> dict:
    """Take one part's claims, in a process of its own."""
    return asyncio.run(_take_part(part))


async def _take_part(part: Part) -> dict:
    defaults = settings.DEFAULTS
    async with clients.make_session() as session:
        taker = claims.Claims(
            store=stores.HttpStore(
                session=session, address=part.platform, timeout=2.0
            ),
            host="measured",
            incarnation=1,
            shards=defaults["claim_shards"],
            retention=defaults["claim_retention"],
            write_rate=defaults["claim_write_rate"],
            timeout=10.0,
            peer_timeout=1.0,
            prefix=f"claims-{part.rate:g}",
        )
        run = Rate(taker=taker, part=part)
        cpu = time.process_time()
        await run.run(rate=part.rate / part.parts, seconds=part.seconds)
        return {
            "waits": run.waits,
            "failed": run.failed,
            "cpu": time.process_time() - cpu,
            "size": taker.size,
        }


def measure(platform: machines.StandInMachine, parts: list[Part]) -> dict:
    """Return one rate's figures."""
    before = platform.get("/meter")
    started = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(len(parts)) as pool:
        found = list(pool.map(run_part, parts))
    took = time.monotonic() - started
    after = platform.get("/meter")
    writes = after["writes"] - before["writes"]
    waits = sorted(wait for it in found for wait in it["waits"])
    cpu = sum(it["cpu"] for it in found)
    return {
        "processes": len(parts),
        "claims_per_second": round(len(waits) / took, 1),
        "claims": len(waits),
        "failed": sum(it["failed"] for it in found),
        "store_writes_per_second": round(writes / took, 1),
        "store_writes_per_claim": round(writes / len(waits), 3),
        "store_reads_per_claim": round(
            (after["reads"] - before["reads"]) / len(waits), 3
        ),
        "claim_ms_p50": round(waits[len(waits) // 2] * 1000, 1),
        "claim_ms_p99": round(waits[len(waits) * 99 // 100] * 1000, 1),
        "cpu_ms_per_claim": round(cpu * 1000 / len(waits), 3),
        "claims_in_memory": sum(it["size"] for it in found),
    }


def make_parts(platform: str, rate: float, arguments) -> list[Part]:
    """Return what each process is to do for one rate."""
    return [
        Part(
            platform=platform,
            rate=rate,
            seconds=arguments.seconds,
            seed=arguments.seed,
            number=number,
            parts=arguments.processes,
        )
        for number in range(arguments.processes)
    ]


def main() -> None:
    """Print the figures of each rate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--processes", type=int, default=1)
    parser.add_argument(
        "--rates",
        type=float,
        nargs="+",
        default=[5, 25, 100, 250, 540, 1000],
    )
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        platform = machines.StandInMachine(
            name="platform",
            zone="platform",
            ip=f"{fleets.make_prefix()}.1",
            port=fleets.PLATFORM_PORT,
            log_path=pathlib.Path(folder) / "platform.log",
        )
        platform.start(
            "buckthornhold.standins.platforms", "--address", platform.address
        )
        try:
            machines.wait_until(platform.is_up, what="the platform is up")
            for rate in arguments.rates:
                parts = make_parts(platform.address, rate, arguments)
                figures = measure(platform, parts)
                print(json.dumps({"rate": rate, **figures}), flush=True)
        finally:
            platform.kill()


if __name__ == "__main__":
    main()
