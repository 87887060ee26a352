"""Era watches: watches that end when the store is restored."""

import asyncio

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold.coordination import store_eras


class EraWatch:
    """Makes one watch at a time, which a new era of the store ends."""

    def __init__(
        self, *, store: stores.Store, order: store_eras.Order, name: str
    ) -> None:
        self._store = store
        self._pending: asyncio.Task | None = None
        store.eras.add_part(order, name, self._begin_era)

    async def watch(
        self, prefix: str, *, after: int, timeout: float
    ) -> stores.Change | reasons.Failure:
        """Watch until a change, a failure or a new era of the store."""
        task = asyncio.ensure_future(
            self._store.watch(prefix, after=after, timeout=timeout)
        )
        self._pending = task
        try:
            return await task
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            return reasons.Failure(
                reason=reasons.Reason.STORE_HISTORY_GONE,
                step="watch",
                detail="the store was restored from a copy",
            )
        finally:
            self._pending = None

    def _begin_era(self, change: store_eras.EraChange) -> None:
        """End a watch from a revision that names another state by now."""
        if self._pending is not None:
            self._pending.cancel()
