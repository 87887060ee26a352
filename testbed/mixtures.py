"""Mixtures: seeded faults that also take and crash engines."""

from testbed import faults
from testbed import machines
from testbed import stream_histories

KINDS = (
    *faults.KINDS,
    "crash engine",
    "reclaim engine",
    "reclaim host",
)
#: Time from an announcement to the kill, in seconds.
NOTICE = 3.0


class MixedRunner(faults.FaultRunner):
    """Brings faults over entry hosts, engines, services and the platform.

    A reclaimed machine is given notice and killed when the fault ends; a new
    incarnation comes in its place.
    """

    def __init__(
        self, *, recorder: stream_histories.Recorder, **kwargs
    ) -> None:
        super().__init__(**kwargs)
        self._recorder = recorder

    def _find_engine(self, fault: faults.Fault) -> machines.StandInMachine:
        engines = self._fleet.engines
        return engines[fault.target % len(engines)]

    def _begin(self, fault: faults.Fault) -> None:
        super()._begin(fault)
        engine = self._find_engine(fault)
        if fault.kind == "crash engine":
            self._kill(engine)
        if fault.kind == "reclaim engine":
            self._recorder.record_event("notice", engine)
            self._fleet.give_notice(engine, NOTICE)
            engine.set_faults(leaving=True)
        if fault.kind == "reclaim host":
            entry = self._find_entry(fault)
            self._fleet.give_notice(entry, NOTICE)
            entry.terminate()

    def _end(self, fault: faults.Fault) -> None:
        super()._end(fault)
        engine = self._find_engine(fault)
        if fault.kind == "crash engine":
            self._fleet.restart_engine(engine)
        if fault.kind == "reclaim engine":
            self._kill(engine)
            self._fleet.restart_engine(engine)
        if fault.kind == "reclaim host":
            entry = self._find_entry(fault)
            if entry.running:
                entry.kill()
            self._fleet.start_entry(entry)

    def _kill(self, machine: machines.StandInMachine) -> None:
        self._recorder.record_event("kill", machine)
        machine.kill()
