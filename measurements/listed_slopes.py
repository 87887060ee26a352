"""What one more listed upstream costs an entry host.

Lists upstreams that do not run, which costs the hosts the same as far as
they send them no work, and fits a line through each figure over their
number, with the list at rest and changing.
"""

import argparse
import json
import time

from measurements import fleet_slopes
from testbed import fleets
from testbed import machines

SETTLE_SECONDS = 8.0
CHANGE_INTERVAL_SECONDS = 2.0


def make_record(number: int) -> dict:
    """Return the record of a listed upstream."""
    return {
        "host": f"listed-engine-{number:04}",
        "kind": "engine",
        "zone": f"zone-{number % 3}",
        "host_class": "reclaimable",
        "address": f"127.254.{number // 250}.{1 + number % 250}:7100",
        "incarnation": 1,
        "serves": ["race-desk-llm@v1"],
    }


def change_list(fleet: fleets.Fleet, seconds: float) -> None:
    """List and unlist one upstream in turn for some time."""
    give_up_at = time.monotonic() + seconds
    number = 0
    while time.monotonic() < give_up_at:
        record = {**make_record(9999), "incarnation": 1 + number}
        fleet.list_host(record)
        number += 1
        time.sleep(CHANGE_INTERVAL_SECONDS)


def measure_fleet(listed: int, hosts: int, seconds: float) -> dict:
    """Return the figures of a fleet with so many listed upstreams."""
    fleet = fleets.Fleet(
        zones=("zone-0", "zone-1", "zone-2"),
        entries_per_zone=hosts // 3,
        engines_per_zone=0,
        services_per_zone=0,
    )
    try:
        fleet.start()
        for number in range(listed):
            fleet.list_host(make_record(number))
        machines.wait_until(
            lambda: all(
                len(entry.operate("GET", "/status").json()["upstreams"])
                >= listed
                for entry in fleet.entries
            ),
            what="all hosts know all listed upstreams",
        )
        time.sleep(SETTLE_SECONDS)
        first = fleet_slopes.read_all(fleet)
        time.sleep(seconds)
        second = fleet_slopes.read_all(fleet)
        change_list(fleet, seconds)
        third = fleet_slopes.read_all(fleet)
        return {
            "listed": listed,
            "at_rest": fleet_slopes.compare(fleet, first, second),
            "list_changes": fleet_slopes.compare(fleet, second, third),
        }
    finally:
        fleet.stop()


def main() -> None:
    """Print the figures and their slopes as JSON."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument(
        "--listed", type=int, nargs="*", default=[0, 200, 400, 600]
    )
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    found = [
        measure_fleet(listed, arguments.hosts, arguments.seconds)
        for listed in arguments.listed
    ]
    slopes = {
        load: {
            name: fleet_slopes.fit_line(
                [(it["listed"], it[load][name]) for it in found]
            )
            for name in found[0][load]
        }
        for load in ("at_rest", "list_changes")
    }
    print(json.dumps({"fleets": found, "slopes": slopes}, indent=2))


if __name__ == "__main__":
    main()
