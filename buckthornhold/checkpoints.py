"""Recoveries: what hosts that start must know of those before them.

When all hosts are killed at once nobody is left who knows how many requests
were counted. The holder of the duties writes that into the store each second.
"""

import base64

import pydantic

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold import tasks

KEY = "recovery"
#: Time between two writings, in seconds: what a kill of all hosts may lose.
WRITE_INTERVAL_SECONDS = 1.0
#: A host that can't read the record serves without it after so many tries.
MAX_READ_ATTEMPTS = 2


class Checkpoint(pydantic.BaseModel, frozen=True):
    """What the store keeps; ``time`` is in seconds since the epoch.

    ``counts`` are messages as ``Summaries.export_counts`` makes them, as
    base64 text.
    """

    time: pydantic.FiniteFloat
    counts: list[str]


class Checkpoints(tasks.PeriodicService):
    """Reads the record once at the start; the holder keeps it."""

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
        """Whether the record was read, or can't be read now."""
        return self._loaded or self._read_attempts >= MAX_READ_ATTEMPTS

    async def run_once(self) -> None:
        """Read the record if that was not done, and write it if it is due."""
        if not self._loaded:
            await self._restore()
        if self._host.duty.held:
            await self._write()

    async def _write(self) -> None:
        counts = self._host.summaries.export_counts()
        record = Checkpoint(
            time=self._host.summaries.read_time_of_day(),
            counts=[base64.b64encode(it).decode() for it in counts],
        )
        result = await self._host.store.put(
            KEY, record.model_dump_json(), expect=None
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
            ).warning(f"the record can't be read: {entry.detail}")
            return
        self._loaded = True
        if not isinstance(entry, stores.Entry):
            return
        try:
            record = Checkpoint.model_validate_json(entry.value)
            counts = [base64.b64decode(it) for it in record.counts]
        except ValueError as error:
            self._logger.bind(step="recovery", peer=KEY).error(
                f"the record of version {entry.version} can't be read: {error}"
            )
            return
        age = self._host.summaries.read_time_of_day() - record.time
        self._host.summaries.restore_counts(counts)
        self._logger.bind(step="recovery").info(
            f"{len(counts)} processes had counted {age:.1f} s ago"
        )
