"""What one more entry host costs: store calls, bytes, processor, memory.

Runs fleets of several sizes at rest and, with changes of the rules at a
stated rate, and fits a line through each figure over the sizes.
"""

import argparse
import json
import math
import statistics
import time

from measurements import agreement
from testbed import fleets
from testbed import machines

#: Time for the news of a fleet's start to have been told, and for each host.
SETTLE_SECONDS = 6.0
SETTLE_SECONDS_PER_HOST = 0.6
BYTES_PER_KB = 1024


def fit_line(points: list[tuple[float, float]]) -> dict:
    """Return slope, intercept and residual standard error of a line."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    residuals = [
        value - line.slope * size - line.intercept for size, value in points
    ]
    error = None
    if len(points) > 2:
        squares = sum(it * it for it in residuals)
        error = math.sqrt(squares / (len(points) - 2))
    return {
        "slope_per_host": line.slope,
        "intercept": line.intercept,
        "residual_standard_error": error,
    }


def read_bytes(entry: machines.EntryMachine) -> int:
    """Return the bytes of messages that a host has sent and received."""
    totals = entry.operate("GET", "/traffic").json()
    return sum(
        counts.get("sent_bytes", 0) + counts.get("received_bytes", 0)
        for counts in totals.values()
    )


def read_all(fleet: fleets.Fleet) -> dict:
    """Return the fleet's totals at this moment."""
    return {
        "time": time.monotonic(),
        "meter": fleet.platform.get("/meter"),
        "bytes": [read_bytes(entry) for entry in fleet.entries],
        "cpu": [entry.measure_cpu() for entry in fleet.entries],
    }


def compare(fleet: fleets.Fleet, before: dict, after: dict) -> dict:
    """Return the rates between two readings."""
    seconds = after["time"] - before["time"]

    def rates(name: str) -> list[float]:
        return [
            (last - first) / seconds
            for first, last in zip(before[name], after[name], strict=True)
        ]

    memory = [entry.measure_memory() for entry in fleet.entries]
    result = {
        f"store_{kind}_per_second": (count - before["meter"][kind]) / seconds
        for kind, count in after["meter"].items()
    }
    result["control_bytes_per_second_per_host"] = statistics.mean(
        rates("bytes")
    )
    result["control_bytes_per_second_most"] = max(rates("bytes"))
    result["cpu_share_per_host"] = statistics.mean(rates("cpu"))
    result["cpu_share_most"] = max(rates("cpu"))
    result["memory_mb_per_host"] = statistics.mean(memory) / BYTES_PER_KB
    result["memory_mb_most"] = max(memory) / BYTES_PER_KB
    return result


def measure_fleet(size: int, zones: int, seconds: float, changes: int) -> dict:
    """Return the figures of one fleet at rest and with changes."""
    fleet = fleets.Fleet(
        zones=tuple(f"zone-{number}" for number in range(zones)),
        entries_per_zone=size // zones,
        engines_per_zone=0,
        services_per_zone=0,
    )
    try:
        fleet.start()
        time.sleep(SETTLE_SECONDS + SETTLE_SECONDS_PER_HOST * size)
        first = read_all(fleet)
        time.sleep(seconds)
        second = read_all(fleet)
        for number in range(changes):
            entry = fleet.entries[number % len(fleet.entries)]
            revision, _ = agreement.change_rule(entry, number)
            agreement.wait_in_force(fleet.entries, revision)
        time.sleep(max(0.0, second["time"] + seconds - time.monotonic()))
        third = read_all(fleet)
        return {
            "hosts": size,
            "at_rest": compare(fleet, first, second),
            "with_changes": {
                "changes_per_second": changes
                / (third["time"] - second["time"]),
                **compare(fleet, second, third),
            },
        }
    finally:
        fleet.stop()


def main() -> None:
    """Print the figures and their slopes as JSON."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=[9, 18, 36])
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--changes", type=int, default=5)
    arguments = parser.parse_args()
    found = [
        measure_fleet(
            size, arguments.zones, arguments.seconds, arguments.changes
        )
        for size in arguments.sizes
    ]
    slopes = {
        load: {
            name: fit_line([(it["hosts"], it[load][name]) for it in found])
            for name in found[0][load]
        }
        for load in ("at_rest", "with_changes")
    }
    print(json.dumps({"fleets": found, "slopes": slopes}, indent=2))


if __name__ == "__main__":
    main()
