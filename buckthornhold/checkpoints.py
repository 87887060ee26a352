"""Checkpoints: the counted usage in the store, for hosts that start.

If all hosts are killed at once, their counts of requests are lost from
memory. The leader therefore writes the counts to the store every second.
"""

import base64

import pydantic

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold import tasks

KEY = "recovery"
#: Interval between two writes: the counts that a kill of all hosts may lose.
WRITE_INTERVAL_SECONDS = 1.0
#: A host serves without the checkpoint after this many failed reads.
MAX_READ_ATTEMPTS = 2


class Checkpoint(pydantic.BaseModel, frozen=True):
    """The stored counts; ``time`` is in seconds since the epoch.

    ``counts`` are the messages of ``export_counts`` of the host's summaries,
    encoded as base64.
    """

    time: pydantic.FiniteFloat
    counts: list[str]


class Checkpoints(tasks.PeriodicService):
    """Reads the checkpoint once at the start; the leader writes it."""

    def __init__(self, *, host) -> None:
        super().__init__(
            interval=WRITE_INTERVAL_SECONDS,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._read_attempts = 0
        self._loaded = False

    @property
    def ready(self) -> bool:
        """Whether the checkpoint was read or reading it has failed."""
        return self._loaded or self._read_attempts >= MAX_READ_ATTEMPTS

    async def run_once(self) -> None:
        """Read the checkpoint if it was not read; write it as the leader."""
        if not self._loaded:
            await self._restore()
        if self._host.duty.held:
            await self._write()

    async def _write(self) -> None:
        counts = self._host.summaries.export_counts()
        checkpoint = Checkpoint(
            time=self._host.summaries.read_time_of_day(),
            counts=[base64.b64encode(count).decode() for count in counts],
        )
        result = await self._host.store.put(
            KEY, checkpoint.model_dump_json(), expect=None
        )
        if isinstance(result, reasons.Failure):
            self._logger.bind(
                step="recovery", reason=result.reason.value
            ).debug(result.detail)

    async def _restore(self) -> None:
        self._read_attempts += 1
        entry = await self._host.store.get(KEY)
        if isinstance(entry, reasons.Failure):
            self._logger.bind(
                step="recovery", reason=entry.reason.value
            ).warning(f"reading the checkpoint failed: {entry.detail}")
            return
        self._loaded = True
        if not isinstance(entry, stores.Entry):
            return
        try:
            checkpoint = Checkpoint.model_validate_json(entry.value)
            counts = [base64.b64decode(count) for count in checkpoint.counts]
        except ValueError as error:
            self._logger.bind(step="recovery", peer=KEY).error(
                f"invalid checkpoint of version {entry.version}: {error}"
            )
            return
        age = self._host.summaries.read_time_of_day() - checkpoint.time
        self._host.summaries.restore_counts(counts)
        self._logger.bind(step="recovery").info(
            f"restored the counts of {len(counts)} processes, {age:.1f} s old"
        )
