"""Usage floors: since which window the store can't have lost a total.

A store that is restored from a copy may lack the total of a window that was
reported. Hosts that live on know it (``usage_totals``). If all of them have
ended meanwhile, nothing tells such a window from one that is still due. The
first holder of the duty in an era therefore stores the window that is current
then: it can't have been reported in an earlier era, nor can a later one.
"""

from collections.abc import Callable
import math

import pydantic

from buckthornhold import reasons
from buckthornhold import stores

KEY = "usage-floor"


class Floor(pydantic.BaseModel):
    """The first window whose total belongs to an era."""

    era: int
    window: int


class UsageFloor:
    """Reads the floor of the current era; writes it if there is none.

    ``find_current_window`` returns the number of the current window.
    """

    def __init__(
        self,
        *,
        store: stores.Store,
        find_current_window: Callable[[], int],
        logger,
    ) -> None:
        self._store = store
        self._find_current_window = find_current_window
        self._logger = logger
        self._floor: Floor | None = None

    @property
    def window(self) -> float | None:
        """The first window that may be summed up, None if not known yet.

        A store without eras loses nothing.
        """
        if not self._store.eras.numbered:
            return -math.inf
        if self._floor is None or self._floor.era != self._store.eras.current:
            return None
        return self._floor.window

    async def update(self) -> bool:
        """Read or write the current era's floor; return whether it is known.

        Makes no call if it is. Only the holder of the duty may call it.
        """
        if self.window is not None:
            return True
        entry = await self._store.get(KEY)
        if isinstance(entry, reasons.Failure):
            return False
        # The era may have changed in this call.
        era = self._store.eras.current
        self._floor = self._load(entry)
        if self._floor is None or self._floor.era != era:
            await self._write(era, entry)
        return self.window is not None

    async def _write(self, era: int, entry: stores.Entry | None) -> None:
        floor = Floor(era=era, window=self._find_current_window())
        written = await self._store.put(
            KEY,
            floor.model_dump_json(),
            expect=entry.version if entry else stores.MUST_NOT_EXIST,
        )
        logger = self._logger.bind(step="usage floor", peer=KEY)
        if isinstance(written, reasons.Failure):
            logger.bind(reason=written.reason.value).warning(written.detail)
            return
        self._floor = floor
        logger.info(
            f"totals of window {floor.window} and later ones belong to era "
            f"{era}"
        )

    def _load(self, entry: stores.Entry | None) -> Floor | None:
        if entry is None:
            return None
        try:
            return Floor.model_validate_json(entry.value)
        except ValueError as error:
            self._logger.bind(step="usage floor", peer=KEY).error(
                f"invalid floor of version {entry.version}, replaced: {error}"
            )
            return None
