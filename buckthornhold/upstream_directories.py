"""Upstream directories: the upstreams that are registered in the store.

Upstreams register themselves, and their entries expire unless they renew
them. After an outage of the store, upstreams that still run register again,
so missing entries are kept for a grace period.
"""

from collections.abc import Callable
import dataclasses
import json
import math
import time

from buckthornhold import stores
from buckthornhold import watch_batches
from buckthornhold.coordination import broadcasts
from buckthornhold.coordination import store_eras

TOPIC = "directory"
#: Upstreams write so often that a host asks its peers when a watch has
#: returned nothing for this long.
QUIET_MARGIN_SECONDS = 0.6
#: How long the revision of a removed entry is kept: a peer's document may
#: still list the entry.
REMOVED_RETENTION_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamRecord:
    """An upstream's own description of itself.

    ``started_at`` distinguishes processes of the same name. ``slots`` is the
    number of requests that it runs at once, ``warm_up_seconds`` the time for
    which it is still slow, and ``leaves_in_seconds`` the time for which it
    still serves, if known.
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
        """Identifies the process."""
        return (self.name, self.started_at)

    def is_same(self, former: "UpstreamRecord") -> bool:
        """Tell whether both say the same but for times that are running.

        A warm-up time that grew is news: the upstream is cold again, though
        its entries may not have said in between that it was warm.
        """
        return (
            self.warm_up_seconds <= former.warm_up_seconds
            and self._without_times() == former._without_times()
        )

    def _without_times(self) -> "UpstreamRecord":
        return dataclasses.replace(
            self,
            leaves_in_seconds=None,
            warm_up_seconds=float(self.warm_up_seconds > 0),
        )


@dataclasses.dataclass(kw_only=True)
class _Entry:
    """An entry of the store; ``record`` is None if its text is invalid."""

    revision: int
    text: str
    record: UpstreamRecord | None
    #: When a missing entry is removed, on the monotonic clock.
    remove_at: float | None = None

    def is_of_earlier_era(self, revision: int) -> bool:
        """Tell whether a revision is of a later era of the store."""
        return store_eras.find_era(revision) > store_eras.find_era(
            self.revision
        )


def _keep_newer(
    known: UpstreamRecord | None, stored: UpstreamRecord | None
) -> UpstreamRecord | None:
    """Return a restored store's record, or what is known to be newer.

    The copy may contain an earlier process of the name, or the process before
    it announced that it leaves.
    """
    if known is None or stored is None:
        return stored
    if known.started_at > stored.started_at:
        return known
    if known.leaving and known.key == stored.key and not stored.leaving:
        return dataclasses.replace(
            stored, leaving=True, leaves_in_seconds=known.leaves_in_seconds
        )
    return stored


class UpstreamDirectory:
    """Holds the entries of upstreams and keeps them up to date.

    ``decode`` parses an entry's text; it raises ValueError for an entry that
    describes no valid upstream, as others may write below the prefix, too.
    ``notify`` is called after each change. ``return_seconds`` is the grace
    period in which expired entries return after an outage. ``count_hosts``
    returns the number of hosts in the fleet.
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
        #: Each removed entry, and when it was removed.
        self._removed: dict[str, tuple[_Entry, float]] = {}
        self._revision = 0
        self._version = 0
        #: Whether the list changed since the version was set.
        self._changed = False
        self._loaded = False
        self._store_down = False
        self._generation = 0
        #: When the next missing entry may have to be removed.
        self._next_removal_at = math.inf
        self._updated_at = -math.inf
        self._store_back_at = -return_seconds

    @property
    def loaded(self) -> bool:
        """Whether the entries have been read at least once."""
        return self._loaded

    @property
    def version(self) -> int:
        """The store's revision at which the list of upstreams changed last.

        Upstreams renew their entries all the time; that changes no list.
        """
        return self._version

    @property
    def generation(self) -> int:
        """Number that rises whenever ``list_records`` may have changed."""
        if self._next_removal_at <= self._clock():
            self._remove_expired()
        return self._generation

    @property
    def should_ask_peers(self) -> bool:
        """Whether peers may have newer entries than this host.

        This is assumed while the store is down or its watch returns nothing.
        """
        max_quiet = self.batch_seconds + QUIET_MARGIN_SECONDS
        return self._store_down or self._clock() - self._updated_at > max_quiet

    @property
    def batch_seconds(self) -> float:
        """Wait between two watches, so that one returns several changes."""
        return watch_batches.compute_batch_seconds(self._count_hosts())

    def list_records(self) -> list[UpstreamRecord]:
        """Return the upstreams that are listed, including leaving ones."""
        self._remove_expired()
        return [
            entry.record for entry in self._entries.values() if entry.record
        ]

    def register_topic(self, broadcast: broadcasts.Broadcasts) -> None:
        """Let hosts with an older list pull the entries from this one."""
        broadcast.add_topic(
            TOPIC,
            read=self._make_document,
            read_version=lambda: self._version,
            apply=self._apply_document,
            should_pull=lambda: self.should_ask_peers,
        )

    def set_store_reached(self, reached: bool) -> None:
        """Record whether the store can be reached."""
        self._store_down = not reached
        if reached:
            self._store_back_at = self._clock()

    def begin_era(self, change: store_eras.EraChange) -> None:
        """Give upstreams time to write what a restored store has lost.

        The next list has a version of the new era, so that lists of hosts
        that haven't seen it are older.
        """
        self._store_back_at = self._clock()
        self._changed = True

    def apply_snapshot(self, change: stores.Change) -> None:
        """Apply all entries that the store has at a revision."""
        self._updated_at = self._clock()
        for item in change.entries:
            entry = self._entries.get(self._strip_prefix(item.key))
            if entry is not None and entry.revision == item.version:
                entry.remove_at = None
        self._apply_listing(change)

    def _apply_listing(self, change: stores.Change) -> None:
        """Apply all entries at a revision, from the store or a peer."""
        listed = {
            self._strip_prefix(item.key): item for item in change.entries
        }
        for name, entry in self._entries.items():
            if name not in listed and entry.revision <= change.revision:
                self._schedule_removal(name, entry)
        self._loaded = True
        self._apply_entries(change)

    def apply_change(self, change: stores.Change) -> None:
        """Apply the changes that a watch returned."""
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
            latest = max(
                (entry.version for entry in change.entries), default=0
            )
            if change.deleted:
                latest = change.revision
            self._revision = max(self._revision, latest)
        self._generation += 1
        self._remove_expired()
        self._update_version()
        self._notify()

    def _update_version(self) -> None:
        """Give a changed list the revision that the store has now.

        A list that changes without the store, at the end of a grace period,
        waits for the next revision: versions must not run ahead of it.
        """
        if self._changed and self._revision > self._version:
            self._version = self._revision
            self._changed = False

    def _apply_entry(self, name: str, text: str, revision: int) -> None:
        entry = self._entries.get(name)
        if entry is not None and revision <= entry.revision:
            return
        removed, _ = self._removed.get(name, (None, 0.0))
        if removed is not None and revision <= removed.revision:
            return
        try:
            record = self._decode(name, text)
        except ValueError as error:
            record = None
            self._logger.bind(step="directory", peer=name).warning(
                f"the entry of revision {revision} is not a valid upstream: "
                f"{' '.join(str(error).split())[:200]}"
            )
        previous = entry.record if entry is not None else None
        former = entry or removed
        if former is not None and former.is_of_earlier_era(revision):
            record = _keep_newer(former.record, record)
        self._entries[name] = _Entry(
            revision=revision, text=text, record=record
        )
        if record is not None or previous is not None:
            self._changed |= (
                record is None
                or previous is None
                or not record.is_same(previous)
            )
        self._log_change(name, previous, record, revision)

    def _log_change(self, name, previous, record, revision) -> None:
        logger = self._logger.bind(step="directory", peer=name)
        if record is None:
            return
        if previous is None or previous.key != record.key:
            what = "is listed"
        elif record.leaving and not previous.leaving:
            what = "is leaving"
        else:
            return
        logger.info(
            f"{record.service} in {record.zone} {what}, version "
            f"{record.version}, revision {revision}"
        )

    def _schedule_removal(self, name: str, entry: _Entry) -> None:
        """Remove a missing entry now, or after the grace period."""
        now = self._clock()
        if entry.remove_at is not None:
            return
        entry.remove_at = now
        if (
            not self._store_down
            and now < self._store_back_at + self._return_seconds
        ):
            entry.remove_at = self._store_back_at + self._return_seconds
        self._next_removal_at = min(self._next_removal_at, entry.remove_at)
        if entry.record is not None:
            self._logger.bind(step="directory", peer=name).info(
                "is no longer listed, will be removed in "
                f"{entry.remove_at - now:.1f} s"
            )

    def _remove_expired(self) -> None:
        now = self._clock()
        expired = [
            name
            for name, entry in self._entries.items()
            if entry.remove_at is not None and entry.remove_at <= now
        ]
        for name in expired:
            entry = self._entries.pop(name)
            self._removed[name] = (entry, now)
            self._changed |= entry.record is not None
        self._generation += len(expired)
        self._next_removal_at = min(
            (
                entry.remove_at
                for entry in self._entries.values()
                if entry.remove_at is not None
            ),
            default=math.inf,
        )
        for name, (_, removed_at) in list(self._removed.items()):
            if removed_at < now - REMOVED_RETENTION_SECONDS:
                del self._removed[name]

    def _make_document(self) -> broadcasts.Document:
        self._remove_expired()
        entries = {
            name: [entry.revision, entry.text]
            for name, entry in self._entries.items()
        }
        return broadcasts.Document(
            topic=TOPIC, version=self._version, body=json.dumps(entries)
        )

    def _apply_document(self, document: broadcasts.Document) -> bool:
        if document.version <= self._version:
            return False
        entries = tuple(
            stores.Entry(key=self._prefix + name, value=text, version=revision)
            for name, (revision, text) in json.loads(document.body).items()
        )
        self._apply_listing(
            stores.Change(revision=document.version, entries=entries)
        )
        self._revision = max(self._revision, document.version)
        self._version = max(self._version, document.version)
        self._changed = False
        return True

    def _strip_prefix(self, key: str) -> str:
        return key.removeprefix(self._prefix)
