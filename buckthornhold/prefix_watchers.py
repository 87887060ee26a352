"""Followers: what stands below a prefix of the store, read and watched."""

import asyncio
from collections.abc import Callable
import time

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold import tasks

#: Wait after a failed read, in seconds. A change must be in force about two
#: seconds after the store took it, also by a host that was just turned away.
RETRY_SECONDS = 0.4


class PrefixWatcher(tasks.PeriodicService):
    """Reads all entries below a prefix, then watches for changes.

    ``take_all`` is called with all entries after each reading, ``take_news``
    with what a watch saw. ``notify`` is called with False when the store
    does not answer and with True when it does again. One watch waits up to
    ``watch_seconds``, which bounds how long a connection that went silent
    hides changes. After one that saw something the next begins as many
    seconds later as ``read_batch_seconds`` returns, so that many changes cost
    few calls.
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
        self._reached = True
        self._last_answer_at = time.monotonic()

    @property
    def reached(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._reached

    async def run_once(self) -> None:
        """Read all entries, then watch until a call fails."""
        listed = await self._store.list_entries(self._prefix)
        if isinstance(listed, reasons.Failure):
            self._record_result(listed)
            return
        self._record_result(None)
        self._apply_snapshot(listed)
        revision = listed.revision
        while not self.should_stop:
            change = await self._store.watch(
                self._prefix, after=revision, timeout=self._watch_seconds
            )
            if isinstance(change, reasons.Failure):
                self._handle_watch_failure(change)
                return
            self._last_answer_at = time.monotonic()
            revision = max(revision, change.revision)
            if change.entries or change.deleted:
                self._apply_change(change)
                await asyncio.sleep(self._read_batch_seconds())

    def _handle_watch_failure(self, failure: reasons.Failure) -> None:
        """Read again, at once if the store itself ended the watch."""
        if failure.reason is reasons.Reason.STORE_HISTORY_GONE:
            self._logger.bind(step="watch", peer=failure.peer).info(
                f"the history of {self._prefix} is gone, reading it again"
            )
        else:
            self._record_result(failure)
        self.wake()

    def _record_result(self, failure: reasons.Failure | None) -> None:
        reached = failure is None
        silent = time.monotonic() - self._last_answer_at
        if reached:
            self._last_answer_at = time.monotonic()
        if reached is self._reached:
            return
        self._reached = reached
        logger = self._logger.bind(step="store", peer=self._prefix)
        if reached:
            logger.info(f"the store answers again, after {silent:.1f} s")
        else:
            logger.bind(reason=failure.reason.value).warning(
                f"the store does not answer, since {silent:.1f} s: "
                f"{failure.detail}"
            )
        self._notify(reached)
