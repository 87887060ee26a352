"""How long it takes until all entry hosts know that an upstream leaves.

Run as ``python -m measurements.departures --seed N``. Upstreams that do not
run are listed and get notices one after the other, at moments drawn by the
seed. The platform's list lags by 1 s, which is in the figures; settings are
the defaults. Prints JSON.
"""

import argparse
import json
import random
import statistics
import time

from measurements import listed_slopes
from testbed import fleets
from testbed import machines

#: Seconds left that each notice gives.
NOTICE = 30.0
POLL_SECONDS = 0.01
#: What the departures of one wave would share is apart by this, in seconds.
LEAST_PAUSE = 0.5


def list_upstreams(fleet: fleets.Fleet, count: int) -> list[str]:
    """List upstreams that do not run, and wait until all hosts know them."""
    records = [listed_slopes.make_record(number) for number in range(count)]
    for record in records:
        fleet.list_host(record)
    machines.wait_until(
        lambda: all(
            len(entry.operate("GET", "/status").json()["upstreams"]) >= count
            for entry in fleet.entries
        ),
        what="all hosts know all listed upstreams",
    )
    return [record["host"] for record in records]


def knows(entry: machines.EntryMachine, name: str) -> bool:
    """Tell whether an entry host knows that an upstream leaves."""
    listed = entry.operate("GET", "/status").json()["upstreams"]
    return any(it["leaving"] for it in listed if it["host"] == name)


def time_notice(fleet: fleets.Fleet, name: str) -> tuple[float, float]:
    """Give a notice; return when the first and all hosts knew, in s."""
    body = {"host": name, "seconds_left": NOTICE}
    machines.call("POST", fleet.platform.address, "/notices", body)
    began = time.monotonic()
    unaware = list(fleet.entries)
    first = 0.0
    while unaware:
        unaware = [entry for entry in unaware if not knows(entry, name)]
        if not first and len(unaware) < len(fleet.entries):
            first = time.monotonic() - began
        time.sleep(POLL_SECONDS)
    return first, time.monotonic() - began


def describe(seconds: list[float]) -> dict:
    """Return the distribution of times, in ms."""
    parts = statistics.quantiles(seconds, n=20, method="inclusive")
    return {
        "least": round(min(seconds) * 1000),
        "p50": round(statistics.median(seconds) * 1000),
        "p95": round(parts[-1] * 1000),
        "most": round(max(seconds) * 1000),
    }


def measure(seed: int, notices: int, entries_per_zone: int) -> dict:
    """Return the distribution over a fleet's notices."""
    draw = random.Random(seed)
    fleet = fleets.Fleet(
        entries_per_zone=entries_per_zone,
        engines_per_zone=0,
        services_per_zone=0,
    )
    try:
        fleet.start()
        times = []
        for name in list_upstreams(fleet, notices):
            time.sleep(LEAST_PAUSE + draw.random())
            times.append(time_notice(fleet, name))
    finally:
        fleet.stop()
    return {
        "seed": seed,
        "notices": notices,
        "hosts": 3 * entries_per_zone,
        "first_knows_ms": describe([first for first, _ in times]),
        "all_know_ms": describe([last for _, last in times]),
        "beyond_2_s": sum(last > 2.0 for _, last in times),
    }


def main() -> None:
    """Print the figures as JSON."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--notices", type=int, default=60)
    parser.add_argument("--entries-per-zone", type=int, default=1)
    arguments = parser.parse_args()
    found = measure(
        arguments.seed, arguments.notices, arguments.entries_per_zone
    )
    print(json.dumps(found))


if __name__ == "__main__":
    main()
