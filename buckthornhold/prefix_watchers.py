"""Prefix watchers: read the store's entries below a prefix and watch them."""

import asyncio
from collections.abc import Callable
import time

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold import tasks
from buckthornhold.coordination import era_watches
from buckthornhold.coordination import store_eras

#: Wait after a failed read. A change must be active about two seconds after
#: the store accepted it, also on a host whose last call failed.
RETRY_SECONDS = 0.4


class PrefixWatcher(tasks.PeriodicService):
    """Reads all entries below a prefix, then watches for changes.

    ``apply_snapshot`` is called with all entries after each read,
    ``apply_change`` with the changes that a watch returned. ``notify`` is
    called with False when the store stops answering and with True when it
    answers again. One watch waits up to ``watch_seconds``, which bounds the
    time for which a dead connection hides changes. After a watch that
    returned changes, the next begins ``read_batch_seconds()`` later, so that
    many changes need few calls. Once the entries were read, the store is only
    called while ``should_read()`` is True. ``record_answer`` is called after
    each answer of the store. When the store was restored, all entries are
    read again.
    """

    def __init__(
        self,
        *,
        store: stores.Store,
        prefix: str,
        watch_seconds: float,
        apply_snapshot: Callable[[stores.Change], None],
        apply_change: Callable[[stores.Change], None],
        logger,
        counters,
        notify: Callable[[bool], None] = lambda reached: None,
        read_batch_seconds: Callable[[], float] = lambda: 0.0,
        should_read: Callable[[], bool] = lambda: True,
        record_answer: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(
            interval=RETRY_SECONDS, logger=logger, counters=counters
        )
        self._store = store
        self._prefix = prefix
        self._watch_seconds = watch_seconds
        self._apply_snapshot = apply_snapshot
        self._apply_change = apply_change
        self._notify = notify
        self._read_batch_seconds = read_batch_seconds
        self._should_read = should_read
        self._record_answer = record_answer
        self._loaded = False
        self._reached = True
        self._last_answer_at = time.monotonic()
        self._watch = era_watches.EraWatch(
            store=store,
            order=store_eras.Order.WATCHERS,
            name=f"watch {prefix}",
        )

    @property
    def reached(self) -> bool:
        """Whether the store answered the last call."""
        return self._reached

    async def run_once(self) -> None:
        """Read all entries, then watch until a call fails."""
        if self._loaded and not self._should_read():
            return
        listed = await self._store.list_entries(self._prefix)
        if isinstance(listed, reasons.Failure):
            self._record_result(listed)
            return
        self._record_result(None)
        self._apply_snapshot(listed)
        self._record_answer()
        self._loaded = True
        revision = listed.revision
        while not self.should_stop and self._should_read():
            change = await self._watch.watch(
                self._prefix, after=revision, timeout=self._watch_seconds
            )
            if isinstance(change, reasons.Failure):
                self._handle_watch_failure(change)
                return
            self._last_answer_at = time.monotonic()
            self._record_answer()
            revision = max(revision, change.revision)
            if change.entries or change.deleted:
                self._apply_change(change)
                await asyncio.sleep(self._read_batch_seconds())

    def _handle_watch_failure(self, failure: reasons.Failure) -> None:
        """Start over with a read, without waiting for the interval.

        The store ends a watch itself if it no longer has the changes since
        the watch's revision.
        """
        if failure.reason is reasons.Reason.STORE_HISTORY_GONE:
            self._logger.bind(step="watch", peer=failure.peer).info(
                f"history of {self._prefix} is no longer available, re-reading"
            )
        else:
            self._record_result(failure)
        self.wake()

    def _record_result(self, failure: reasons.Failure | None) -> None:
        reached = failure is None
        silence = time.monotonic() - self._last_answer_at
        if reached:
            self._last_answer_at = time.monotonic()
        if reached is self._reached:
            return
        self._reached = reached
        logger = self._logger.bind(step="store", peer=self._prefix)
        if reached:
            logger.info(f"store answers again after {silence:.1f} s")
        else:
            logger.bind(reason=failure.reason.value).warning(
                f"store has not answered for {silence:.1f} s: {failure.detail}"
            )
        self._notify(reached)
