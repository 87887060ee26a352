"""Executions per request and honest words under a mixture of faults.

Entry hosts, services, the platform and the network between zones run as
separate processes. Seeded kills, freezes, cuts, outages and lost answers go
on while callers pay and repeat through any host. The history is checked for
what must always hold. Run as ``python -m measurements.at_most_once``; prints
JSON.
"""

import argparse
import asyncio
import json

from testbed import faults
from testbed import fleets
from testbed import histories
from testbed import payments

RULES = (
    "call service=entries-app operation=pay repeat=no deadline=2s"
    "  # asked by: a measurement\n"
)
SETTINGS = {
    "claim_timeout": 1.0,
    "claim_peer_timeout": 0.5,
    "platform_timeout": 1.0,
}


def measure(
    *, seed: int, requests: int, seconds: float, path: str = ""
) -> dict:
    """Run one mixture and return its figures."""
    fleet = fleets.Fleet(engines_per_zone=0, relays=True, settings=SETTINGS)
    try:
        fleet.start()
        fleet.apply_rules(RULES)
        return _run(fleet, seed, requests, seconds, path)
    finally:
        fleet.stop()


def _run(fleet, seed, requests, seconds, path) -> dict:
    payers = payments.Payers(
        addresses=[entry.address for entry in fleet.entries], seed=seed
    )
    planned = faults.plan_faults(
        seed=seed, seconds=seconds, targets=len(fleet.entries)
    )
    runner = faults.FaultRunner(fleet=fleet, faults=planned)
    with runner:
        asyncio.run(payers.run(requests=requests, seconds=seconds))
    asyncio.run(payers.settle())
    writes = fleet.platform.get("/history")
    events = [
        *payers.events,
        *payments.list_executions(fleet.list_executions()),
        *payments.list_writes(writes),
    ]
    if path:
        histories.save_history(events, path)
        events = histories.load_history(path)
    verdict = histories.check_history(events)
    claim_writes = [it for it in writes if it["key"].startswith("claims/")]
    return {
        "seed": seed,
        "faults": dict(runner.counts),
        "fault_errors": runner.errors,
        "requests": verdict.requests,
        "sendings": verdict.sendings,
        "executions": verdict.executions,
        "violations": verdict.violations,
        "final_words": verdict.final_words,
        "unknown_share": round(verdict.unknown_share, 4),
        "claim_writes": len(claim_writes),
        "claim_writes_per_request": round(
            len(claim_writes) / verdict.requests, 3
        ),
    }


def main() -> None:
    """Print one mixture's figures for each seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, nargs="+", default=[1])
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--history", default="", metavar="FILE")
    arguments = parser.parse_args()
    for seed in arguments.seed:
        figures = measure(
            seed=seed,
            requests=arguments.requests,
            seconds=arguments.seconds,
            path=arguments.history,
        )
        print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
