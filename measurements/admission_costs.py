"""CPU time of admission and routing by the number of engines.

Prints JSON: microseconds for each decision on a prompt of 4,000 tokens,
and for the digests of its blocks.
"""

import asyncio
import json
import time

from buckthornhold import prompt_prefixes
from buckthornhold import routers
from testbed import admission_benches

ENGINE_COUNTS = (3, 60, 600)
HOST_COUNT = 390
PROMPT_TOKENS = 4000
ROUNDS = 300
MICROSECONDS = 1_000_000


def measure(decide) -> float:
    """Return the CPU time of a decision, in microseconds."""
    started = time.process_time()
    for _ in range(ROUNDS):
        decide()
    return round((time.process_time() - started) / ROUNDS * MICROSECONDS, 1)


async def measure_engines(engine_count: int) -> dict:
    """Measure all decisions with a number of engines."""
    bench = admission_benches.AdmissionBench(
        engine_count=engine_count, host_count=HOST_COUNT
    )
    await bench.load_reports()
    attempt = bench.make_attempt(PROMPT_TOKENS)
    row = {
        "engines": engine_count,
        "admission": measure(lambda: bench.admit(attempt)),
    }
    for name in ("prefix", "earliest"):
        router = routers.make_router(name, loads=bench.load_tracker)
        row[name] = measure(
            lambda router=router: router.choose(
                bench.engines, attempt.contract
            )
        )
    return row


async def main() -> None:
    """Measure with several numbers of engines and print the results."""
    prompt = "abcdefgh" * (
        PROMPT_TOKENS * prompt_prefixes.CHARS_PER_TOKEN // 8
    )
    results = {
        "rows": [await measure_engines(count) for count in ENGINE_COUNTS],
        "digests": measure(lambda: prompt_prefixes.list_blocks(prompt)),
    }
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    asyncio.run(main())
