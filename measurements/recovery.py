"""What entry hosts and the store spend while a fleet recovers.

A zone's entry hosts are killed at once and unlisted, later as many start
anew at once; then two regions lose each other and find each other again.
Prints JSON: for each phase its length, and of each figure the mean and the
greatest of the samples: a host's control bytes, messages and processor,
and the store's calls, all by second. ``settled`` is how long after the
phase's start all hosts that can saw all others as they are; None if they
did not within the phase.
"""

import argparse
import itertools
import json
import statistics
import sys
import time

from measurements import fleet_slopes
from testbed import fleets

ZONES = tuple(f"zone-{number}" for number in range(5))
#: Zones of the first region.
REGION_ZONES = 3
SETTLE_SECONDS = 20.0
SAMPLE_SECONDS = 2.0


class Recorder:
    """Samples a fleet in one phase after the other."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self.phases: list[dict] = []

    def run(self, name: str, entries: list, seconds: float, begin, settled):
        """Begin a phase, sample some hosts in it and note the figures.

        ``settled`` tells whether the fleet has found its state again.
        """
        settled_after = None
        samples = []
        before = self._read(entries)
        begin()
        started = time.monotonic()
        while time.monotonic() - started < seconds:
            time.sleep(SAMPLE_SECONDS)
            after = self._read(entries)
            samples.append(self._compare(before, after))
            before = after
            if settled_after is None and settled():
                settled_after = round(time.monotonic() - started, 1)
        figures = {
            key: {
                "mean": round(statistics.mean(values), 4),
                "most": round(max(values), 4),
            }
            for key in samples[0]
            for values in [[it[key] for it in samples]]
        }
        phase = {
            "phase": name,
            "hosts": len(entries),
            "seconds": seconds,
            "settled": settled_after,
            **figures,
        }
        self.phases.append(phase)
        print(json.dumps(phase), file=sys.stderr, flush=True)

    def _read(self, entries) -> dict:
        return {
            "time": time.monotonic(),
            "meter": self._fleet.platform.get("/meter"),
            "bytes": [fleet_slopes.read_bytes(it) for it in entries],
            "messages": [read_messages(it) for it in entries],
            "cpu": [it.measure_cpu() for it in entries],
        }

    def _compare(self, before: dict, after: dict) -> dict:
        seconds = after["time"] - before["time"]
        found = {
            f"store_{kind}": (count - before["meter"][kind]) / seconds
            for kind, count in after["meter"].items()
        }
        for name in ("bytes", "messages", "cpu"):
            rates = [
                (last - first) / seconds
                for first, last in zip(before[name], after[name], strict=True)
            ]
            found[name] = statistics.mean(rates)
            found[f"{name}_most"] = max(rates)
        return found


def read_messages(entry) -> int:
    """Return the messages that a host has sent and received."""
    totals = entry.operate("GET", "/traffic").json()
    return sum(
        counts.get("sent_messages", 0) + counts.get("received_messages", 0)
        for counts in totals.values()
    )


def list_live(entry) -> set[str]:
    """Return the other hosts that a host holds for live."""
    members = entry.operate("GET", "/members").json()["members"]
    return {
        it["host"]
        for it in members
        if it["state"] == "ready" and it["doubt"] == "none"
    }


def sees_exactly(groups: list[list]) -> bool:
    """Tell whether all hosts of each group hold just one another live."""
    for group in groups:
        names = {it.name for it in group}
        for entry in group:
            if list_live(entry) != names - {entry.name}:
                return False
    return True


def measure(per_zone: int, seconds: float, cut_seconds: float) -> list[dict]:
    """Return the figures of all phases."""
    fleet = fleets.Fleet(
        zones=ZONES,
        entries_per_zone=per_zone,
        engines_per_zone=0,
        services_per_zone=0,
        relays=True,
    )
    try:
        fleet.start()
        time.sleep(SETTLE_SECONDS)
        recorder = Recorder(fleet)
        everyone = list(fleet.entries)
        lost = [it for it in everyone if it.zone == ZONES[-1]]
        kept = [it for it in everyone if it.zone != ZONES[-1]]
        first = [it for it in everyone if it.zone in ZONES[:REGION_ZONES]]
        second = [it for it in everyone if it.zone in ZONES[REGION_ZONES:]]
        links = list(
            itertools.product(ZONES[:REGION_ZONES], ZONES[REGION_ZONES:])
        )

        def lose() -> None:
            for entry in lost:
                entry.kill()
            for entry in lost:
                fleet.unlist_host(entry)

        for name, entries, length, begin, groups in (
            ("at rest", everyone, seconds, lambda: None, [everyone]),
            ("zone killed", kept, seconds, lose, [kept]),
            (
                "zone replaced",
                kept,
                seconds,
                lambda: fleet.start_again(lost),
                [everyone],
            ),
            (
                "regions cut",
                everyone,
                cut_seconds,
                lambda: fleet.cut(*links),
                [first, second],
            ),
            ("regions healed", everyone, seconds, fleet.heal, [everyone]),
        ):
            recorder.run(
                name,
                entries,
                length,
                begin,
                lambda groups=groups: sees_exactly(groups),
            )
        return recorder.phases
    finally:
        fleet.stop()


def main() -> None:
    """Print the figures as JSON."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--per-zone", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--cut-seconds", type=float, default=120.0)
    arguments = parser.parse_args()
    phases = measure(
        arguments.per_zone, arguments.seconds, arguments.cut_seconds
    )
    print(json.dumps({"phases": phases}, indent=1))


if __name__ == "__main__":
    main()
