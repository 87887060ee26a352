"""Repair of a store that lost revisions, such as by a restored backup."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold.coordination import revisions


class StoreRepairer:
    """Commits known revisions again to a store that lost them.

    ``propose`` commits a change like one of an operator. ``adopt`` applies a
    revision that the store is known to hold. Needs a store and
    ``revisions.Revisions``.
    """

    def __init__(
        self,
        *,
        store: stores.Store,
        known_revisions: revisions.Revisions,
        propose: Callable[..., Awaitable[object]],
        adopt: Callable[[revisions.Revision], None],
        logger,
        counters,
    ) -> None:
        self._store = store
        self._known_revisions = known_revisions
        self._propose = propose
        self._adopt = adopt
        self._logger = logger
        self._counters = counters

    async def repair(
        self, known: revisions.Revision, stored: revisions.Revision
    ) -> None:
        """Recover revisions that the store lost.

        The newest known revision is committed again. A change that was
        accepted on top of the store's older state is merged into it.
        """
        newest, other = known, stored
        if stored.number > known.number:
            newest, other = stored, known
            self._adopt(stored)
        elif not await self._rewrite_newest(known, stored):
            return
        if newest.descends_from(other):
            return
        result = await self._propose(
            other.text, who=other.who, base=newest.find_common_ancestor(other)
        )
        if not isinstance(result, reasons.Failure):
            return
        self._counters.count_event("revisions.changes_lost")
        self._logger.bind(step="restore", reason=result.reason).error(
            f"revision {other.number} {other.change_id!r} by {other.who} "
            f"was lost when the store was rolled back: {result.detail}"
        )

    async def _rewrite_newest(
        self, known: revisions.Revision, stored: revisions.Revision
    ) -> bool:
        """Commit a known revision over an older one in the store.

        If it doesn't descend from the stored revision, it gets a new number,
        so that every process adopts it.
        """
        entry = await self._store.get(self._known_revisions.key)
        if isinstance(entry, reasons.Failure):
            return False
        if revisions.load_entry(entry) != stored:
            return False
        rewritten = known
        if not known.descends_from(stored):
            rewritten = _renumber(
                known, change_id=revisions.make_change_id(known.number)
            )
        written = await self._store.put(
            self._known_revisions.key,
            revisions.dump_revision(rewritten),
            expect=entry.version if entry else stores.MUST_NOT_EXIST,
        )
        if isinstance(written, reasons.Failure):
            return False
        self._counters.count_event("revisions.brought_forward")
        self._adopt(rewritten)
        return True


def _renumber(
    revision: revisions.Revision, *, change_id: str
) -> revisions.Revision:
    number = revision.number + 1
    return dataclasses.replace(
        revision,
        number=number,
        change_id=change_id,
        recent=(*revision.recent, (number, change_id)),
    )
