"""Read access to the past revisions of a replicated document."""

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold.coordination import revisions


class History:
    """Reads the past revisions of a document from the store.

    ``changes.Changes`` writes them. Needs only a store; each revision takes
    one read.
    """

    def __init__(self, *, store: stores.Store, prefix: str) -> None:
        self._store = store
        self._prefix = prefix

    async def fetch_current(
        self,
    ) -> revisions.Revision | None | reasons.Failure:
        """Return the newest revision, None if there is none yet."""
        return await self._fetch(f"{self._prefix}/current")

    async def fetch(
        self, number: int
    ) -> revisions.Revision | None | reasons.Failure:
        """Return one revision, None if the store doesn't have it."""
        current = await self.fetch_current()
        if isinstance(current, reasons.Failure) or current is None:
            return current
        if current.number == number:
            return current
        return await self._fetch(f"{self._prefix}/history/{number:08}")

    async def list_newest(
        self, count: int
    ) -> list[revisions.Revision] | reasons.Failure:
        """Return up to ``count`` revisions, newest first."""
        current = await self.fetch_current()
        if isinstance(current, reasons.Failure):
            return current
        if current is None:
            return []
        found = [current]
        for number in range(current.number - 1, 0, -1):
            if len(found) >= count:
                break
            revision = await self._fetch(f"{self._prefix}/history/{number:08}")
            if isinstance(revision, reasons.Failure):
                return revision
            if revision is not None:
                found.append(revision)
        return found

    async def _fetch(
        self, key: str
    ) -> revisions.Revision | None | reasons.Failure:
        entry = await self._store.get(key)
        if isinstance(entry, reasons.Failure) or entry is None:
            return entry
        return revisions.load_revision(entry.value)
