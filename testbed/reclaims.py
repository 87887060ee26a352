"""Reclaims: waves that take machines away, with and without a notice."""

from collections.abc import Callable
import dataclasses
import threading
import time

from testbed import fleets
from testbed import machines


@dataclasses.dataclass(frozen=True)
class Wave:
    """Machines reclaimed together, ``start`` seconds after the beginning.

    They are killed when the ``notice`` is over, in seconds. A wave that is
    not announced on the platform's list is known to the engines, and entry
    hosts are asked to stop.
    """

    start: float
    machines: list[machines.Machine]
    notice: float
    announced: bool = True


class Reclaims:
    """Runs waves of reclaims in the background until it is stopped.

    ``record`` is told ``notice`` and ``kill``, each before it happens.
    """

    def __init__(
        self,
        *,
        fleet: fleets.Fleet,
        waves: list[Wave],
        record: Callable[[str, machines.Machine], None] | None = None,
    ) -> None:
        self._fleet = fleet
        self._waves = waves
        self._record = record or (lambda event, machine: None)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> "Reclaims":
        self.start()
        return self

    def __exit__(self, *exc_info) -> None:
        self._stopped.set()
        self._thread.join()

    def start(self) -> None:
        """Begin the waves."""
        self._thread.start()

    def wait(self) -> None:
        """Wait for the end of all waves."""
        self._thread.join()

    def _run(self) -> None:
        began = time.monotonic()
        acts = []
        for wave in self._waves:
            if wave.notice > 0:
                acts.append((wave.start, _announce, wave))
            acts.append((wave.start + wave.notice, _kill, wave))
        for at, act, wave in sorted(acts, key=lambda it: it[0]):
            wait = max(0.0, began + at - time.monotonic())
            if self._stopped.wait(wait):
                return
            act(self._fleet, wave, self._record)


def _announce(fleet: fleets.Fleet, wave: Wave, record) -> None:
    for machine in wave.machines:
        record("notice", machine)
        if wave.announced:
            fleet.give_notice(machine, wave.notice)
        elif machine in fleet.entries:
            machine.terminate()
        if machine in fleet.engines:
            machine.set_faults(leaving=True)


def _kill(fleet: fleets.Fleet, wave: Wave, record) -> None:
    for machine in wave.machines:
        if machine.running:
            record("kill", machine)
            machine.kill()
