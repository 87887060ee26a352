"""Operator documents: what the operator wrote, with versions and removals.

Hosts learn the documents from snapshots and changes of the store and from
each other. A host keeps the store's revision up to which its documents are
complete, so it holds exactly what the store had at that revision. Of two
hosts the one that is complete up to a higher revision is right, also about
what was removed.
"""

from collections.abc import Iterable
import dataclasses
import json

from buckthornhold import stores

#: Name under which a body carries the complete revision. The previous build
#: reads it as a document whose key means nothing.
COMPLETE_KEY = ""
#: Version while there are no documents, so that hosts that have read nothing
#: yet learn that there are none.
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

    @property
    def version(self) -> int:
        """Revision at which the store had these documents, 0 if none read.

        It is raised only with a change, or when a peer is found to be behind,
        so that reading the same documents again pushes nothing. Hosts of the
        same version hold the same documents.
        """
        return self._version

    @property
    def entries(self) -> tuple[stores.Entry, ...]:
        """All documents."""
        return tuple(self._entries.values())

    def apply_snapshot(self, change: stores.Change) -> Update:
        """Apply all documents that the store has at a revision."""
        if change.revision < self._complete_revision:
            return Update()
        is_first = not self._complete_revision
        update = self._replace(change.entries)
        self._complete_revision = change.revision
        # A peer may hold a document that was removed before this host read
        # the store for the first time. It only asks for a higher version.
        if update or (is_first and self._entries):
            self._version = max(self._version, change.revision)
        self._version = max(self._version, MIN_VERSION)
        return update

    def apply_change(self, change: stores.Change) -> Update:
        """Apply the changes since the last snapshot or change.

        A peer may have been ahead: what it knew is not applied again.
        """
        if change.revision <= self._complete_revision:
            return Update()
        entries = {
            key: entry
            for key, entry in self._entries.items()
            if key not in change.deleted
        }
        for entry in change.entries:
            if entry.version > self._complete_revision:
                entries[entry.key] = entry
        update = self._replace(entries.values())
        self._complete_revision = change.revision
        if update:
            self._version = max(self._version, change.revision)
        return update

    def apply_body(self, body: str, *, version: int) -> Update:
        """Apply a peer's documents of a version.

        Raises ValueError for a body that ``make_body`` can't have written.
        """
        entries, complete = _parse_body(body, version)
        if complete is None:
            return self._merge_previous_build(entries)
        if complete >= self._complete_revision:
            update = self._replace(entries)
            self._complete_revision = complete
            self._version = max(self._version, version)
            return update
        if {it.key: it for it in entries} != self._entries:
            # The peer is behind, and asks only for a higher version.
            self._version = max(self._version, self._complete_revision)
        else:
            self._version = max(self._version, version)
        return Update()

    def make_body(self) -> str:
        """Return the documents as peers apply them."""
        body = {
            entry.key: [entry.version, entry.value]
            for entry in self._entries.values()
        }
        complete = f"{self._complete_revision} {len(self._entries)}"
        body[COMPLETE_KEY] = [self._version, complete]
        return json.dumps(body)

    def forget_revisions(self) -> None:
        """Forget all revisions, but keep the documents.

        For a store that was restored from a copy: its next snapshot replaces
        the documents, whatever its revision. Until then no body that a peer
        wrote before the restoration must be applied.
        """
        self._complete_revision = 0
        self._version = 0

    def _replace(self, entries: Iterable[stores.Entry]) -> Update:
        """Hold these documents; return what differs."""
        before = self._entries
        self._entries = {
            entry.key: entry
            for entry in entries
            if entry.key != self._excluded
        }
        return Update(
            entries=tuple(
                entry
                for key, entry in self._entries.items()
                if before.get(key) != entry
            ),
            removed=tuple(before.keys() - self._entries.keys()),
        )

    def _merge_previous_build(self, entries: list[stores.Entry]) -> Update:
        """Add what is newer; the previous build forgets no removed ones.

        The version stays, so that this host goes on to ask hosts that know of
        removals.
        """
        merged = dict(self._entries)
        for entry in entries:
            known = merged.get(entry.key)
            oldest = known.version if known else self._complete_revision
            if entry.version > oldest:
                merged[entry.key] = entry
        return self._replace(merged.values())


def _parse_body(
    body: str, version: int
) -> tuple[list[stores.Entry], int | None]:
    """Return the documents and the revision up to which they are complete.

    It is None if the previous build wrote the body. That build passes on the
    revision that it was told, with documents that it has besides.
    """
    complete = count = None
    entries = []
    try:
        for key, (number, value) in json.loads(body).items():
            if key != COMPLETE_KEY:
                entry = stores.Entry(key=key, value=value, version=number)
                entries.append(entry)
            elif number == version:
                complete, count = map(int, value.split())
    except (AttributeError, TypeError) as error:
        raise ValueError(f"not a body of documents: {error}") from error
    return entries, complete if count == len(entries) else None
