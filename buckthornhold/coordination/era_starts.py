"""Era starts: the time by which the store's current era had begun.

A store that is restored from a copy lacks what was written last. Processes
that live on know it and write it again. One that starts later can't tell what
the store has lost from what was never there, unless it is younger than the
era. The first process that asks therefore stores the time.
"""

from collections.abc import Callable
import math

import pydantic

from buckthornhold import reasons
from buckthornhold import stores

KEY = "era-start"


class _Mark(pydantic.BaseModel):
    """The stored time, in seconds since the epoch."""

    era: int
    time: float


class EraStart:
    """Reads the time from the store; writes the current one if it has none.

    ``read_time`` returns seconds since the epoch.
    """

    def __init__(
        self, *, store: stores.Store, read_time: Callable[[], float], logger
    ) -> None:
        self._store = store
        self._read_time = read_time
        self._logger = logger
        self._mark: _Mark | None = None
        self._unseen_before = -math.inf

    @property
    def time(self) -> float | None:
        """When the current era had begun at the latest, None if not known.

        In seconds since the epoch; the first era has always been.
        """
        era = self._store.eras.current
        if not era:
            return -math.inf
        if self._mark is None or self._mark.era != era:
            return None
        return self._mark.time

    @property
    def unseen_before(self) -> float:
        """What the store lost before this time is not known to this process.

        Set by the first ``update`` of a process that started after the store
        was restored.
        """
        return self._unseen_before

    async def update(self) -> bool:
        """Read or write the time; return whether it is known.

        Makes no call if it is.
        """
        if self.time is None:
            await self._load()
        if self.time is None:
            return False
        if self._store.eras.first and self._unseen_before == -math.inf:
            self._unseen_before = self.time
        return True

    async def _load(self) -> None:
        entry = await self._store.get(KEY)
        if isinstance(entry, reasons.Failure):
            return
        self._mark = self._parse(entry)
        # Read after the call, in which it may have changed.
        era = self._store.eras.current
        if self._mark is None or self._mark.era != era:
            await self._write(era, entry)

    async def _write(self, era: int, entry: stores.Entry | None) -> None:
        mark = _Mark(era=era, time=self._read_time())
        written = await self._store.put(
            KEY,
            mark.model_dump_json(),
            expect=entry.version if entry else stores.MUST_NOT_EXIST,
        )
        logger = self._logger.bind(step="era start", peer=KEY)
        if isinstance(written, reasons.Failure):
            logger.bind(reason=written.reason.value).warning(written.detail)
            return
        self._mark = mark
        logger.info(f"era {era} began at {mark.time:.1f} or before")

    def _parse(self, entry: stores.Entry | None) -> _Mark | None:
        if entry is None:
            return None
        try:
            return _Mark.model_validate_json(entry.value)
        except ValueError as error:
            self._logger.bind(step="era start", peer=KEY).error(
                f"invalid value of version {entry.version}, replaced: {error}"
            )
            return None
