"""Seeded mixtures of faults over a fleet of processes."""

import collections
import dataclasses
import random
import threading
import time

from testbed import fleets
from testbed import machines

KINDS = (
    "kill host",
    "freeze host",
    "cut zone",
    "store down",
    "store loses answers",
    "service loses answers",
    "slow services",
)
#: How long faults last, in seconds, and pauses between their beginnings.
LENGTHS = (0.5, 3.0)
PAUSES = (0.3, 1.5)
STEP_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault; ``start`` and ``length`` are in seconds."""

    kind: str
    start: float
    length: float
    target: int


def plan_faults(
    *,
    seed: int,
    seconds: float,
    targets: int,
    kinds: tuple[str, ...] = KINDS,
) -> list[Fault]:
    """Return faults that begin within ``seconds``; they may overlap."""
    rng = random.Random(f"faults {seed}")
    faults = []
    start = rng.uniform(*PAUSES)
    while start < seconds:
        faults.append(
            Fault(
                kind=rng.choice(kinds),
                start=start,
                length=rng.uniform(*LENGTHS),
                target=rng.randrange(targets),
            )
        )
        start += rng.uniform(*PAUSES)
    return faults


class FaultRunner:
    """Brings planned faults over a fleet, in a thread of its own.

    A fault of a kind and target that is on already is left out. At the end
    of the block every fault is mended.
    """

    def __init__(self, *, fleet: fleets.Fleet, faults: list[Fault]) -> None:
        self._fleet = fleet
        self._waiting = collections.deque(faults)
        self._on: list[tuple[float, Fault]] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.counts: collections.Counter[str] = collections.Counter()
        self.errors: list[str] = []

    def __enter__(self) -> "FaultRunner":
        self._thread.start()
        return self

    def __exit__(self, *exc_info) -> None:
        self._stopped.set()
        self._thread.join()
        for _, fault in self._on:
            self._end(fault)
        self._fleet.reset_faults()
        self._fleet.wait_ready()

    def _run(self) -> None:
        started = time.monotonic()
        while not self._stopped.wait(STEP_SECONDS):
            now = time.monotonic() - started
            try:
                self._step(now)
            except Exception as error:
                self.errors.append(repr(error))

    def _step(self, now: float) -> None:
        for until, fault in list(self._on):
            if until <= now:
                self._on.remove((until, fault))
                self._end(fault)
        while self._waiting and self._waiting[0].start <= now:
            fault = self._waiting.popleft()
            if self._is_on(fault):
                continue
            self._on.append((now + fault.length, fault))
            self.counts[fault.kind] += 1
            self._begin(fault)

    def _is_on(self, fault: Fault) -> bool:
        """Tell whether the fault would meet one that it can't go with."""
        for _, other in self._on:
            if "host" in fault.kind and "host" in other.kind:
                return True
            if "engine" in fault.kind and "engine" in other.kind:
                return True
            if fault.kind == other.kind:
                return True
        return False

    def _find_entry(self, fault: Fault) -> machines.EntryMachine:
        entries = self._fleet.entries
        return entries[fault.target % len(entries)]

    def _begin(self, fault: Fault) -> None:
        fleet = self._fleet
        entry = self._find_entry(fault)
        if fault.kind == "kill host":
            entry.kill()
        if fault.kind == "freeze host":
            entry.freeze()
        if fault.kind == "cut zone":
            fleet.cut_off(fleet.zones[fault.target % len(fleet.zones)])
        if fault.kind == "store down":
            fleet.platform.set_faults(store_down=True)
        if fault.kind == "store loses answers":
            fleet.platform.set_faults(lose_answers=5)
        if fault.kind == "service loses answers":
            service = fleet.services[fault.target % len(fleet.services)]
            service.set_faults(drop_after=2)
        if fault.kind == "slow services":
            for service in fleet.services:
                service.set_faults(slow=0.3)

    def _end(self, fault: Fault) -> None:
        fleet = self._fleet
        entry = self._find_entry(fault)
        if fault.kind == "kill host":
            fleet.start_entry(entry)
        if fault.kind == "freeze host":
            entry.thaw()
        if fault.kind == "cut zone":
            fleet.heal()
        if fault.kind == "store down":
            fleet.platform.set_faults(store_down=False)
        if fault.kind == "store loses answers":
            fleet.platform.set_faults(lose_answers=0)
        if fault.kind == "slow services":
            for service in fleet.services:
                service.set_faults(slow=0.0)
