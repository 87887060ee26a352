"""Time until an accepted change is in force on all hosts.

Changes are made through hosts in turn; each host's log tells when it took
each revision. Counted is the time from the operator's request until the
revision is in force, for every change on every host.
"""

import argparse
import datetime
import json
import random
import time

from hdrh import histogram

from testbed import fleets
from testbed import machines

ADOPTED = "rules revision "
LOWEST_MS = 1
HIGHEST_MS = 600_000
DIGITS = 3
SETTLE_SECONDS = 3.0
IN_FORCE_TIMEOUT = 60.0


def propose(
    entry: machines.EntryMachine, rate: int
) -> tuple[machines.Reply, float]:
    """Propose one change; return the answer and the request's time."""
    held = entry.operate("GET", "/rules").json()
    line = f"limit workspace=w{rate % 50} rate={rate + 1}/s  # asked by: ann\n"
    lines = [
        it
        for it in held["text"].splitlines(keepends=True)
        if f"workspace=w{rate % 50} " not in it
    ]
    body = {"text": "".join([*lines, line]), "base": held["revision"]}
    started = time.time()
    return entry.operate("PUT", "/rules", body), started


def change_rule(entry: machines.EntryMachine, rate: int) -> tuple[int, float]:
    """Make one change; return its revision and the request's time."""
    reply, started = propose(entry, rate)
    assert reply.status == 200, reply
    return reply.json()["revision"], started


def read_adoptions(entry: machines.EntryMachine) -> dict[int, float]:
    """Return when the host took each revision, in epoch seconds."""
    adopted = {}
    for line in entry.log.splitlines():
        if ADOPTED not in line:
            continue
        event = json.loads(line)
        number = int(event["message"].removeprefix(ADOPTED).split()[0])
        moment = datetime.datetime.fromisoformat(event["time"])
        adopted.setdefault(number, moment.timestamp())
    return adopted


def find_in_force(adopted: dict[int, float], number: int) -> float | None:
    """Return when a revision or a newer one was first in force."""
    times = [at for it, at in adopted.items() if it >= number]
    return min(times, default=None)


def wait_in_force(entries: list, number: int) -> None:
    """Wait until every host has a revision or a newer one."""
    for entry in entries:
        machines.wait_until(
            lambda entry=entry: (
                entry.operate("GET", "/status").json()["revision"] >= number
            ),
            timeout=IN_FORCE_TIMEOUT,
            what=f"revision {number} on {entry.name}",
        )


def describe(changes: dict[int, float], entries: list) -> dict:
    """Return the figures of some changes over some hosts, in ms."""
    found = histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
    for entry in entries:
        adopted = read_adoptions(entry)
        for number, started in changes.items():
            at = find_in_force(adopted, number)
            found.record_value(max(1, round(1000 * (at - started))))
    return {
        "changes": len(changes),
        "samples": found.get_total_count(),
        "p50_ms": found.get_value_at_percentile(50),
        "p99_ms": found.get_value_at_percentile(99),
        "max_ms": found.get_max_value(),
    }


def measure_changes(fleet, count: int, chance: random.Random) -> dict:
    """Make changes one after the other and return their figures."""
    changes = {}
    for _ in range(count):
        entry = chance.choice(fleet.entries)
        number, started = change_rule(entry, chance.randrange(10**6))
        changes[number] = started
        wait_in_force(fleet.entries, number)
    return describe(changes, fleet.entries)


def measure_cuts(
    fleet, count: int, seconds: float, chance: random.Random
) -> dict:
    """Change while a zone is cut off; count from the healing on."""
    zone = fleet.zones[-1]
    inside = [it for it in fleet.entries if it.zone == zone]
    outside = [it for it in fleet.entries if it.zone != zone]
    changed, healed = {}, {}
    refused = []
    for _ in range(count):
        fleet.cut_off(zone)
        time.sleep(seconds)
        number, started = change_rule(outside[0], chance.randrange(10**6))
        wait_in_force(outside, number)
        reply, _ = propose(inside[0], chance.randrange(10**6))
        refused.append(reply.json()["error"]["ran"])
        fleet.heal()
        changed[number], healed[number] = started, time.time()
        wait_in_force(inside, number)
        time.sleep(SETTLE_SECONDS)
    return {
        "cut_seconds": seconds,
        "other_zones": describe(changed, outside),
        "zone_after_healing": describe(healed, inside),
        "changes_inside_told_as_run": refused,
    }


def main() -> None:
    """Print the figures as JSON."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes", type=int, default=40)
    parser.add_argument("--entries-per-zone", type=int, default=3)
    parser.add_argument("--slow", type=float, default=0.5, metavar="SECONDS")
    parser.add_argument("--cuts", type=int, default=5)
    parser.add_argument(
        "--cut-seconds", type=float, nargs="*", default=[2.0, 12.0]
    )
    arguments = parser.parse_args()
    chance = random.Random(arguments.seed)
    fleet = fleets.Fleet(
        entries_per_zone=arguments.entries_per_zone,
        engines_per_zone=0,
        services_per_zone=0,
        relays=True,
    )
    try:
        fleet.start()
        time.sleep(SETTLE_SECONDS)
        result = {"seed": arguments.seed}
        result["all_well"] = measure_changes(fleet, arguments.changes, chance)
        fleet.platform.set_faults(slow=arguments.slow)
        result[f"store_slow_{arguments.slow}_s"] = measure_changes(
            fleet, max(1, arguments.changes // 4), chance
        )
        fleet.reset_faults()
        result["cuts"] = [
            measure_cuts(fleet, arguments.cuts, seconds, chance)
            for seconds in arguments.cut_seconds
        ]
        print(json.dumps(result, indent=2))
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
