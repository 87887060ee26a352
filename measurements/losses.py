"""Membership over links that lose part of what is sent.

Six entry hosts in three zones run with each share of loss; then one is
killed. Counts the doubts, how long running hosts were seen gone, and the
time until all others see the killed one gone.
"""

import argparse
import json
import time

from testbed import absences
from testbed import fleets
from testbed import machines

SETTLE_SECONDS = 2.0


def measure(share: float, seconds: float) -> dict:
    """Return the figures of one share of loss."""
    fleet = fleets.Fleet(
        entries_per_zone=2,
        engines_per_zone=0,
        services_per_zone=0,
        relays=True,
    )
    try:
        fleet.start()
        time.sleep(SETTLE_SECONDS)
        starts = {it.name: len(it.log) for it in fleet.entries}
        fleet.network.set_faults(loss=share)
        time.sleep(seconds)
        logs = {it.name: it.log[starts[it.name] :] for it in fleet.entries}
        found = absences.list_absences(logs)
        victim = fleet.entries[1]
        victim.kill()
        killed_at = time.monotonic()
        machines.wait_until(lambda: is_gone(fleet, victim), timeout=60.0)
        return {
            "loss": share,
            "doubts": absences.count_doubts(logs),
            "seen_gone": len(found),
            "longest_gone_s": round(max(found, default=0.0), 2),
            "detected_s": round(time.monotonic() - killed_at, 2),
        }
    finally:
        fleet.stop()


def is_gone(fleet: fleets.Fleet, victim: machines.EntryMachine) -> bool:
    """Tell whether all running hosts see a host gone."""
    for entry in fleet.entries:
        if entry is victim:
            continue
        known = entry.operate("GET", "/members").json()["members"]
        states = {it["host"]: it["state"] for it in known}
        if states.get(victim.name) != "gone":
            return False
    return True


def main() -> None:
    """Print the figures of each share as JSON."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument(
        "--shares", type=float, nargs="+", default=[0.0, 0.1, 0.2, 0.3, 0.5]
    )
    parser.add_argument("--seconds", type=float, default=30.0)
    arguments = parser.parse_args()
    for share in arguments.shares:
        print(json.dumps(measure(share, arguments.seconds)), flush=True)


if __name__ == "__main__":
    main()
