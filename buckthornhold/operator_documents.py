"""Operator documents: what the operator wrote, with versions and removals.

Hosts learn the documents from snapshots and changes of the store and from
each other. Peers may be behind, so a host also keeps the revision of the
store up to which its documents are complete: a document that is older and
missing there was removed, whoever still lists it.
"""

from collections.abc import Iterable
import dataclasses
import json

from buckthornhold import stores

#: Name under which a broadcast carries the complete revision. Builds that
#: know only documents read it as a document whose key means nothing.
COMPLETE_KEY = ""
#: Version of documents that were read while there were none, so that hosts
#: that have read nothing yet ask for them.
MIN_VERSION = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Update:
    """The documents that were added or replaced, and the removed keys."""

    entries: tuple[stores.Entry, ...] = ()
    removed: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.entries or self.removed)


class OperatorDocuments:
    """Holds the documents below a prefix but for one key, ``excluded``."""

    def __init__(self, *, excluded: str) -> None:
        self._excluded = excluded
        self._entries: dict[str, stores.Entry] = {}
        #: Store revision up to which all changes are applied.
        self._complete_revision = 0
        self._version = 0
        self._has_snapshot = False

    @property
    def version(self) -> int:
        """Number that rises with each change of the documents.

        It is 0 until they were read, and otherwise the store's revision of
        the latest change or a little more.
        """
        return self._version

    @property
    def entries(self) -> tuple[stores.Entry, ...]:
        """All documents."""
        return tuple(self._entries.values())

    def apply_snapshot(self, change: stores.Change) -> Update:
        """Apply all documents that the store has at a revision."""
        update = self._merge(change.entries, complete=change.revision)
        if update:
            self._raise_version(update, change.revision)
        if self._entries and not self._has_snapshot:
            # A peer may hold a document that was removed before this host
            # read the store for the first time. It asks for this host's
            # documents only if they have a higher version.
            self._version = max(self._version, change.revision)
        self._has_snapshot = True
        self._version = max(self._version, MIN_VERSION)
        return update

    def apply_change(self, change: stores.Change) -> Update:
        """Apply the changes since the last snapshot or change."""
        entries = self._take_newer(change.entries)
        removed = self._remove(
            key
            for key in change.deleted
            if key in self._entries
            and self._entries[key].version <= change.revision
        )
        self._complete_revision = max(self._complete_revision, change.revision)
        update = Update(entries=entries, removed=removed)
        if update:
            self._raise_version(update, change.revision)
        return update

    def apply_body(self, body: str, *, version: int) -> Update:
        """Apply a peer's documents of a version.

        Raises ValueError for a body that ``make_body`` can't have written.
        """
        listed, complete = _parse_body(body)
        entries = [
            entry
            for entry in listed
            if entry.key in self._entries
            or entry.version > self._complete_revision
        ]
        has_stale = len(entries) < len(listed)
        update = self._merge(entries, complete=complete)
        self._version = max(self._version, version)
        if has_stale:
            # The peer asks for these documents only if they are newer.
            self._version = max(version + 1, self._complete_revision)
        return update

    def make_body(self) -> str:
        """Return the documents as peers apply them."""
        body = {
            entry.key: [entry.version, entry.value]
            for entry in self._entries.values()
        }
        body[COMPLETE_KEY] = [self._version, str(self._complete_revision)]
        return json.dumps(body)

    def forget_revisions(self) -> None:
        """Forget all revisions, but keep the documents.

        For a store that was restored from a copy: any revision is newer then,
        and the next snapshot removes the documents that it doesn't have.
        """
        self._entries = {
            key: dataclasses.replace(entry, version=0)
            for key, entry in self._entries.items()
        }
        self._complete_revision = 0
        self._version = 0
        self._has_snapshot = False

    def _merge(
        self, entries: Iterable[stores.Entry], *, complete: int
    ) -> Update:
        """Apply documents that are complete up to a revision."""
        entries = tuple(entries)
        listed = {entry.key for entry in entries}
        removed = self._remove(
            key
            for key, entry in self._entries.items()
            if key not in listed and entry.version <= complete
        )
        taken = self._take_newer(entries)
        self._complete_revision = max(self._complete_revision, complete)
        return Update(entries=taken, removed=removed)

    def _take_newer(
        self, entries: Iterable[stores.Entry]
    ) -> tuple[stores.Entry, ...]:
        taken = []
        for entry in entries:
            known = self._entries.get(entry.key)
            if entry.key == self._excluded:
                continue
            if known is not None and entry.version <= known.version:
                continue
            self._entries[entry.key] = entry
            taken.append(entry)
        return tuple(taken)

    def _remove(self, keys: Iterable[str]) -> tuple[str, ...]:
        removed = tuple(keys)
        for key in removed:
            del self._entries[key]
        return removed

    def _raise_version(self, update: Update, revision: int) -> None:
        """Give documents that the store changed a higher version."""
        latest = max((entry.version for entry in update.entries), default=0)
        if update.removed:
            latest = max(latest, revision)
        self._version = max(self._version + 1, latest)


def _parse_body(body: str) -> tuple[list[stores.Entry], int]:
    """Return the documents and the revision up to which they are complete."""
    complete = 0
    entries = []
    try:
        for key, (version, value) in json.loads(body).items():
            if key == COMPLETE_KEY:
                complete = int(value)
                continue
            entries.append(stores.Entry(key=key, value=value, version=version))
    except (AttributeError, TypeError) as error:
        raise ValueError(f"not a body of documents: {error}") from error
    return entries, complete
