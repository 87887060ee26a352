"""Revisions of a replicated document, with monotonically rising numbers."""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import uuid

import mode

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold.coordination import era_watches
from buckthornhold.coordination import store_eras

#: Number of recent change ids that each revision contains.
MAX_RECENT_CHANGES = 128
#: Watches without a change after which the key is read again.
MAX_IDLE_WATCHES = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Revision:
    """One accepted state of the document.

    ``change_id`` identifies the change that created it. ``time`` is in
    seconds since the epoch on the accepting host's clock. ``recent`` holds
    the numbers and change ids of the latest revisions, including this one.
    """

    number: int
    change_id: str
    text: str
    who: str
    time: float
    recent: tuple[tuple[int, str], ...] = ()

    def find_change(self, change_id: str) -> int | None:
        """Return the number of the recent revision that a change created."""
        for number, known in self.recent:
            if known == change_id:
                return number
        return None

    def find_common_ancestor(self, other: "Revision") -> int:
        """Return the number of the newest revision that both descend from."""
        common = set(self.recent) & set(other.recent)
        return max((number for number, _ in common), default=0)

    def descends_from(self, other: "Revision") -> bool:
        """Tell whether this is ``other`` or descends from it.

        Also true if ``recent`` doesn't reach back far enough to decide.
        """
        if other.number == 0 or not self.recent:
            return True
        if self.recent[0][0] > other.number:
            return True
        return (other.number, other.change_id) in self.recent


NO_REVISION = Revision(number=0, change_id="", text="", who="", time=0.0)


def dump_revision(revision: Revision) -> str:
    """Return a revision as JSON."""
    return json.dumps(dataclasses.asdict(revision))


def load_revision(text: str) -> Revision:
    """Parse a revision from JSON."""
    values = json.loads(text)
    recent = tuple(
        (number, change_id) for number, change_id in values.pop("recent", ())
    )
    return Revision(recent=recent, **values)


def load_entry(entry: stores.Entry | None) -> Revision:
    """Parse the revision in an entry of the store."""
    return NO_REVISION if entry is None else load_revision(entry.value)


def make_change_id(number: int) -> str:
    """Return a new change id, prefixed with the current revision's number."""
    return f"{number}-{uuid.uuid4().hex[:16]}"


class Revisions(mode.Service):
    """Holds the newest known revision and watches the store for newer ones.

    ``adopt`` is called with each newer revision, never with an older one.
    ``is_watcher`` tells whether this process currently watches the store;
    others receive revisions through ``apply_if_newer``. ``publish`` is called
    after the store had a newer revision. The ``repair`` callback is awaited
    if the store's revision is older than the known one or doesn't descend
    from it. Needs only a store.
    """

    def __init__(
        self,
        *,
        store: stores.Store,
        prefix: str,
        watch_timeout: float,
        retry_interval: float,
        adopt: Callable[[Revision], None],
        is_watcher: Callable[[], bool] = lambda: True,
        publish: Callable[[], None] = lambda: None,
        logger,
        counters,
    ) -> None:
        super().__init__()
        self._store = store
        self._prefix = prefix
        self._watch_timeout = watch_timeout
        self._retry_interval = retry_interval
        self._adopt = adopt
        self._is_watcher = is_watcher
        self._publish = publish
        self._logger = logger
        self._counters = counters
        self._repair = None
        self._watch = era_watches.EraWatch(
            store=store, order=store_eras.Order.RULES, name=f"watch {prefix}"
        )
        self._current = NO_REVISION
        self._store_reached = False
        self._dump_cache = (NO_REVISION, dump_revision(NO_REVISION))

    @property
    def current(self) -> Revision:
        """The newest revision that this process knows."""
        return self._current

    @property
    def key(self) -> str:
        """The store's key of the current revision."""
        return f"{self._prefix}/current"

    @property
    def store_reached(self) -> bool:
        """Whether the store has answered since the process started."""
        return self._store_reached

    def set_repair(self, repair) -> None:
        """Set the callback for a store that lost revisions.

        ``repair(known, stored)`` is awaited with both revisions.
        """
        self._repair = repair

    def make_history_key(self, number: int) -> str:
        """Return the store's key of a replaced revision."""
        return f"{self._prefix}/history/{number:08}"

    def apply_if_newer(self, revision: Revision) -> bool:
        """Adopt a revision from any source if it is newer than the current."""
        if revision.number <= self._current.number:
            if revision.number < self._current.number:
                self._counters.count_event("revisions.older_ignored")
            return False
        self._current = revision
        self._adopt(revision)
        return True

    def dump_current(self) -> str:
        """Return the current revision as JSON."""
        if self._dump_cache[0] is not self._current:
            self._dump_cache = (self._current, dump_revision(self._current))
        return self._dump_cache[1]

    async def refresh(self) -> reasons.Failure | None:
        """Read the current revision from the store."""
        entry = await self._store.get(self.key)
        if isinstance(entry, reasons.Failure):
            return entry
        await self._apply_stored(load_entry(entry))
        return None

    async def _apply_stored(self, stored: Revision) -> None:
        self._store_reached = True
        known = self._current
        if self.apply_if_newer(stored):
            self._publish()
        if stored.descends_from(known) and stored.number >= known.number:
            return
        self._counters.count_event("revisions.store_went_back")
        self._logger.bind(step="read revision").error(
            f"the store holds revision {stored.number} {stored.change_id!r}, "
            f"which does not descend from known revision {known.number} "
            f"{known.change_id!r}"
        )
        if self._repair is not None:
            await self._repair(known, stored)

    @mode.Service.task
    async def _watch_store(self) -> None:
        while not self.should_stop:
            if not self._is_watcher():
                await self.sleep(self._retry_interval)
                continue
            try:
                failure = await self._read_and_watch()
            except Exception:
                self._counters.count_event("tasks.errors")
                self._logger.bind(step="watch").exception("watch failed")
                failure = True
            if failure is not None:
                await self.sleep(self._retry_interval)

    async def _read_and_watch(self) -> reasons.Failure | None:
        change = await self._store.list_entries(self.key)
        if isinstance(change, reasons.Failure):
            return change
        entry = change.entries[0] if change.entries else None
        await self._apply_stored(load_entry(entry))
        idle_watches = 0
        while idle_watches < MAX_IDLE_WATCHES and self._is_watcher():
            after = change.revision
            change = await self._watch.watch(
                self.key, after=after, timeout=self._watch_timeout
            )
            if _is_history_gone(change):
                return None
            if isinstance(change, reasons.Failure):
                return change
            if change.revision < after or change.deleted:
                return None
            for entry in change.entries:
                await self._apply_stored(load_entry(entry))
            idle_watches += not change.entries
            await asyncio.sleep(0)
        return None


def _is_history_gone(change) -> bool:
    """Tell whether a watch ended as the store no longer has its revision."""
    return (
        isinstance(change, reasons.Failure)
        and change.reason is reasons.Reason.STORE_HISTORY_GONE
    )
