"""Directories: which upstreams there are, as the store lists them.

Upstreams register themselves, and lapse when the store does not hear of
them. After an outage of the store those that still run are back soon, so an
entry that is missing then is kept for that time.
"""

from collections.abc import Callable
import dataclasses
import json
import math
import time

from buckthornhold import stores
from buckthornhold.coordination import broadcasts

TOPIC = "directory"
#: Upstreams write about once a second each, and every host sees all of it.
#: A host of a fleet of up to BATCH_HOSTS gathers news for so long before it
#: asks for more, in seconds; leaving ones have two seconds and more.
MIN_BATCH_SECONDS = 0.4
MIN_BATCH_HOSTS = 12
#: Hosts of larger fleets gather them for longer, so that all ask the store
#: about as often together, up to this: an upstream that leaves is to get
#: nothing two seconds later.
MAX_BATCH_SECONDS = 1.2
#: Upstreams write so often that a host which sees nothing for so long after
#: it asked for more, in seconds, asks the others.
QUIET_MARGIN_SECONDS = 0.6


def compute_batch_seconds(host_count: int) -> float:
    """Return for how long a host of a fleet gathers news, in seconds."""
    longer = MIN_BATCH_SECONDS * max(1.0, host_count / MIN_BATCH_HOSTS)
    return min(MAX_BATCH_SECONDS, longer)


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamRecord:
    """One upstream as it describes itself.

    ``started_at`` tells two processes under one name apart. ``slots`` is how
    many requests it runs at once, ``warm_up`` for how long it is still slow,
    ``leaves_in`` how long it still serves if that is known; in seconds.
    """

    name: str
    service: str
    address: str
    zone: str
    version: str = ""
    slots: int = 1
    started_at: int = 0
    leaving: bool = False
    leaves_in_seconds: float | None = None
    warm_up_seconds: float = 0.0
    reclaimable: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """What tells this process from all others."""
        return (self.name, self.started_at)


@dataclasses.dataclass(kw_only=True)
class _Entry:
    revision: int
    text: str
    record: UpstreamRecord | None
    #: When a missing entry is dropped, on the monotonic clock.
    remove_at: float | None = None


class UpstreamDirectory:
    """The entries of upstreams, and which of them may be sent to.

    ``decode`` reads an entry's text; it raises ValueError for one that names
    no upstream to use, as others may write there, too. ``notify`` is called
    after each change. ``return_time`` is the time in seconds in which lapsed
    entries return after an outage. ``count_hosts`` tells how many hosts the
    fleet has.
    """

    def __init__(
        self,
        *,
        prefix: str,
        decode: Callable[[str, str], UpstreamRecord],
        return_seconds: float,
        logger,
        notify: Callable[[], None] = lambda: None,
        clock: Callable[[], float] = time.monotonic,
        count_hosts: Callable[[], int] = lambda: 1,
    ) -> None:
        self._prefix = prefix
        self._count_hosts = count_hosts
        self._decode = decode
        self._return_seconds = return_seconds
        self._logger = logger
        self._notify = notify
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._revision = 0
        self._loaded = False
        self._store_down = False
        self._updated_at = -math.inf
        self._store_back_at = -return_seconds

    @property
    def loaded(self) -> bool:
        """Whether the entries were read at least once."""
        return self._loaded

    @property
    def revision(self) -> int:
        """The store's revision up to which changes are known."""
        return self._revision

    @property
    def should_ask_peers(self) -> bool:
        """Whether the store may tell this host less than the others."""
        quiet = self.batch_seconds + QUIET_MARGIN_SECONDS
        return self._store_down or self._clock() - self._updated_at > quiet

    @property
    def batch_seconds(self) -> float:
        """For how long news are gathered before more are asked for."""
        return compute_batch_seconds(self._count_hosts())

    def list_records(self) -> list[UpstreamRecord]:
        """Return the upstreams that are listed, leaving ones included."""
        self._remove_expired()
        return [it.record for it in self._entries.values() if it.record]

    def register_topic(self, broadcast: broadcasts.Broadcasts) -> None:
        """Have hosts that are behind pull the entries from this one."""
        broadcast.add_topic(
            TOPIC,
            read=self._make_document,
            read_version=lambda: self._revision,
            apply=self._apply_document,
            should_pull=lambda: self.should_ask_peers,
        )

    def set_store_reached(self, reached: bool) -> None:
        """Learn that the store went away or is back."""
        self._store_down = not reached
        if reached:
            self._store_back_at = self._clock()

    def apply_snapshot(self, change: stores.Change) -> None:
        """Take in a reading of all entries."""
        self._updated_at = self._clock()
        listed = {self._strip_prefix(it.key): it for it in change.entries}
        for name, entry in self._entries.items():
            if name not in listed and entry.revision <= change.revision:
                self._schedule_removal(name, entry)
        self._loaded = True
        self._apply_entries(change)

    def apply_change(self, change: stores.Change) -> None:
        """Take in what a watch saw."""
        self._updated_at = self._clock()
        for key in change.deleted:
            entry = self._entries.get(self._strip_prefix(key))
            if entry is not None:
                self._schedule_removal(self._strip_prefix(key), entry)
        self._apply_entries(change)

    def _apply_entries(self, change: stores.Change) -> None:
        for item in change.entries:
            self._apply_entry(
                self._strip_prefix(item.key), item.value, item.version
            )
        if change.entries or change.deleted:
            latest = max((it.version for it in change.entries), default=0)
            if change.deleted:
                latest = change.revision
            self._revision = max(self._revision, latest)
        self._remove_expired()
        self._notify()

    def _apply_entry(self, name: str, text: str, revision: int) -> None:
        entry = self._entries.get(name)
        if entry is not None and revision <= entry.revision:
            if revision == entry.revision:
                entry.remove_at = None
            return
        try:
            record = self._decode(name, text)
        except ValueError as error:
            record = None
            self._logger.bind(step="directory", peer=name).warning(
                f"the entry of revision {revision} names no upstream to use: "
                f"{' '.join(str(error).split())[:200]}"
            )
        before = entry.record if entry is not None else None
        self._entries[name] = _Entry(
            revision=revision, text=text, record=record
        )
        self._log_change(name, before, record, revision)

    def _log_change(self, name, before, record, revision) -> None:
        logger = self._logger.bind(step="directory", peer=name)
        if record is None:
            return
        if before is None or before.key != record.key:
            what = "is listed"
        elif record.leaving and not before.leaving:
            what = "is leaving"
        else:
            return
        logger.info(
            f"{record.service} in {record.zone} {what}, revision {revision}"
        )

    def _schedule_removal(self, name: str, entry: _Entry) -> None:
        """Drop an entry now, or once it had the time to return."""
        now = self._clock()
        if entry.remove_at is not None:
            return
        entry.remove_at = now
        if (
            not self._store_down
            and now < self._store_back_at + self._return_seconds
        ):
            entry.remove_at = self._store_back_at + self._return_seconds
        if entry.record is not None:
            self._logger.bind(step="directory", peer=name).info(
                "is no longer listed, will be removed in "
                f"{entry.remove_at - now:.1f} s"
            )

    def _remove_expired(self) -> None:
        now = self._clock()
        gone = [
            name
            for name, entry in self._entries.items()
            if entry.remove_at is not None and entry.remove_at <= now
        ]
        for name in gone:
            del self._entries[name]

    def _make_document(self) -> broadcasts.Document:
        self._remove_expired()
        entries = {
            name: [entry.revision, entry.text]
            for name, entry in self._entries.items()
        }
        return broadcasts.Document(
            topic=TOPIC, version=self._revision, body=json.dumps(entries)
        )

    def _apply_document(self, document: broadcasts.Document) -> bool:
        if document.version <= self._revision:
            return False
        entries = tuple(
            stores.Entry(key=self._prefix + name, value=text, version=revision)
            for name, (revision, text) in json.loads(document.body).items()
        )
        news_at = self._updated_at
        self.apply_snapshot(
            stores.Change(revision=document.version, entries=entries)
        )
        # That came from another host: the store is as silent as before.
        self._updated_at = news_at
        self._revision = max(self._revision, document.version)
        return True

    def _strip_prefix(self, key: str) -> str:
        return key.removeprefix(self._prefix)
