"""What one more known entry host costs an entry host, up to the size.

Runs one entry host beside stand-ins of all the others (peer_standins), at
rest, and fits a line through each figure over their number.
"""

import argparse
import json
import pathlib
import time

from measurements import fleet_slopes
from testbed import fleets
from testbed import machines

NETWORK = "127.253"
#: Channels that nobody uses are closed by then, and the news of all others
#: has been told as often as it is.
SETTLE_SECONDS = 30.0
SETTLE_SECONDS_PER_PEER = 0.6
BYTES_PER_KB = 1024


def measure_host(count: int, zones: int, seconds: float) -> dict:
    """Return the figures of one entry host that knows so many others."""
    fleet = fleets.Fleet(
        zones=("zone-0",),
        entries_per_zone=1,
        engines_per_zone=0,
        services_per_zone=0,
    )
    log_path = pathlib.Path(fleet.folder) / "peers.log"
    peers = machines.Machine(
        name="peers", zone="", ip=NETWORK, log_path=log_path
    )
    try:
        fleet.start()
        entry = fleet.entries[0]
        alone = entry.measure_memory()
        peers.start(
            "measurements.peer_standins",
            "--count",
            str(count),
            "--zones",
            str(zones),
            "--network",
            NETWORK,
            "--host",
            entry.name,
            "--address",
            entry.peer_address,
        )
        machines.wait_until(
            lambda: len(show_members(entry)["members"]) == count,
            timeout=120.0,
            what="the entry host knows all others",
        )
        time.sleep(SETTLE_SECONDS + SETTLE_SECONDS_PER_PEER * count)
        first = fleet_slopes.read_all(fleet)
        time.sleep(seconds)
        second = fleet_slopes.read_all(fleet)
        shown = show_members(entry)
        doubted = [it for it in shown["members"] if it["doubt"] != "none"]
        result = fleet_slopes.compare(fleet, first, second)
        return {
            "peers": count,
            "doubted": len(doubted),
            "open_links": shown["open_links"],
            "memory_mb_alone": alone / BYTES_PER_KB,
            **{
                name: value
                for name, value in result.items()
                if not name.endswith("_most")
            },
        }
    finally:
        if peers.running:
            peers.kill()
        fleet.stop()


def show_members(entry: machines.EntryMachine) -> dict:
    """Return what the entry host knows of others."""
    return entry.operate("GET", "/members").json()


def main() -> None:
    """Print the figures and their slopes as JSON."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument(
        "--peers", type=int, nargs="*", default=[8, 97, 194, 389]
    )
    parser.add_argument("--zones", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    found = [
        measure_host(count, arguments.zones, arguments.seconds)
        for count in arguments.peers
    ]
    slopes = {
        name: fleet_slopes.fit_line([(it["peers"], it[name]) for it in found])
        for name in found[0]
        if name != "peers"
    }
    print(json.dumps({"hosts": found, "slopes": slopes}, indent=2))


if __name__ == "__main__":
    main()
