"""Changes of a replicated document, committed with compare-and-swap."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import time

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold.coordination import merges
from buckthornhold.coordination import pause_detectors
from buckthornhold.coordination import revisions
from buckthornhold.coordination import store_repairs

#: Maximum wait between two attempts to commit one change.
MAX_RETRY_INTERVAL_SECONDS = 0.2
MAX_SEAL_ATTEMPTS = 5
LOOKUP_DETAILS = {
    reasons.Reason.CHANGE_NOT_FOUND: "did not take effect and never will",
    reasons.Reason.ID_EXPIRED: "is too old to tell whether it took effect",
    reasons.Reason.OUTCOME_UNKNOWN: "may have taken effect; retry the lookup",
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeFailure(reasons.Failure):
    """A change that was refused or whose outcome is unknown.

    ``conflicts`` are the lines that concurrent changes modified. If ``ran``
    is unknown, the outcome can be looked up later by ``change_id`` (see
    ``Changes.look_up``).
    """

    change_id: str = ""
    conflicts: tuple[merges.LineConflict, ...] = ()


@dataclasses.dataclass(kw_only=True)
class _PendingChange:
    """A change in progress.

    ``pending_write`` is the last write whose outcome isn't known yet, with
    the version of the store's key that it expects.
    """

    change_id: str
    text: str
    who: str
    base: int | None
    base_text: str | None = None
    pending_write: tuple[int, revisions.Revision] | None = None


class Changes:
    """Commits changes by compare-and-swap on the current revision.

    A change is accepted if and only if the store's current revision lists it
    among its recent changes. ``find_key`` returns a line's key for merging.
    ``find_problem`` returns why a whole text is invalid, or None. Needs a
    store and ``revisions.Revisions``.
    """

    def __init__(
        self,
        *,
        store: stores.Store,
        known_revisions: revisions.Revisions,
        timeout: float,
        find_key: Callable[[str], str | None] = lambda line: None,
        find_problem: Callable[[str], str | None] = lambda text: None,
        publish: Callable[[], None] = lambda: None,
        logger,
        counters,
    ) -> None:
        self._store = store
        self._known_revisions = known_revisions
        self._timeout = timeout
        self._find_key = find_key
        self._find_problem = find_problem
        self._publish = publish
        self._repairer = store_repairs.StoreRepairer(
            store=store,
            known_revisions=known_revisions,
            propose=self.propose,
            adopt=self._adopt,
            logger=logger,
            counters=counters,
        )
        known_revisions.set_repair(self._repairer.repair)

    async def propose(
        self,
        text: str,
        *,
        who: str,
        base: int | None = None,
        change_id: str = "",
    ) -> revisions.Revision | ChangeFailure:
        """Commit a new text that was edited from revision ``base``.

        Concurrent changes of other lines are merged. Without ``base``, the
        text replaces the revision that is current at the first attempt. A
        text without changes returns the current revision. With a
        ``change_id`` of its own, a client can look up the outcome if the
        response is lost; a change that took effect isn't applied again under
        the same id.
        """
        number = self._known_revisions.current.number
        change = _PendingChange(
            change_id=change_id or revisions.make_change_id(number),
            text=text,
            who=who,
            base=base,
        )
        deadline = pause_detectors.read_boot_clock() + self._timeout
        while True:
            result = await self._attempt_commit(change)
            if result is not None:
                return result
            if pause_detectors.read_boot_clock() > deadline:
                return await self._resolve_at_timeout(change)
            await asyncio.sleep(MAX_RETRY_INTERVAL_SECONDS * random.random())

    async def look_up(self, change_id: str) -> int | reasons.Failure:
        """Return the number of the revision that a change created.

        A failure with ``ran`` ``NO`` is final: a write of this method makes
        any write of the change that is still in flight fail its
        compare-and-swap.
        """
        number = self._known_revisions.current.find_change(change_id)
        if number is not None:
            return number
        for _ in range(MAX_SEAL_ATTEMPTS):
            entry = await self._store.get(self._known_revisions.key)
            if isinstance(entry, reasons.Failure):
                return entry.replace(ran=reasons.Ran.UNKNOWN)
            stored = revisions.load_entry(entry)
            number = stored.find_change(change_id)
            if number is not None:
                return number
            if _is_change_expired(stored, change_id):
                return _fail_lookup(
                    change_id, reasons.Reason.ID_EXPIRED, reasons.Ran.UNKNOWN
                )
            if entry is None:
                break
            sealed = await self._store.put(
                entry.key, entry.value, expect=entry.version
            )
            if isinstance(sealed, stores.Entry):
                return _fail_lookup(
                    change_id,
                    reasons.Reason.CHANGE_NOT_FOUND,
                    reasons.Ran.NO,
                )
        return _fail_lookup(
            change_id, reasons.Reason.OUTCOME_UNKNOWN, reasons.Ran.UNKNOWN
        )

    async def _attempt_commit(
        self, change: _PendingChange
    ) -> revisions.Revision | ChangeFailure | None:
        """Attempt to commit once; None means that a retry is needed."""
        entry = await self._store.get(self._known_revisions.key)
        if isinstance(entry, reasons.Failure):
            return self._fail_unless_pending(change, entry)
        stored = revisions.load_entry(entry)
        resolved = self._resolve(change, stored)
        if resolved is not None:
            return resolved
        version = entry.version if entry else stores.MUST_NOT_EXIST
        known = self._known_revisions.current
        if stored.number < known.number or not stored.descends_from(known):
            await self._repairer.repair(known, stored)
            return None
        if (
            change.pending_write is not None
            and change.pending_write[0] == version
        ):
            return await self._commit(change, *change.pending_write)
        change.pending_write = None
        failure = await self._read_base(change, stored)
        if failure is not None:
            return failure
        revision = self._merge(change, stored)
        if isinstance(revision, reasons.Failure):
            return revision
        if revision is stored:
            self._adopt(stored)
            return stored
        failure = await self._write_history(stored)
        if failure is None:
            return await self._commit(change, version, revision)
        if failure.ran is reasons.Ran.UNKNOWN:
            return None
        return self._make_failure(change, failure)

    def _resolve(self, change: _PendingChange, stored: revisions.Revision):
        number = stored.find_change(change.change_id)
        if number is None:
            return None
        if number == stored.number:
            self._adopt(stored)
            return stored
        return change.pending_write[1] if change.pending_write else stored

    def _adopt(self, revision: revisions.Revision) -> None:
        if self._known_revisions.apply_if_newer(revision):
            self._publish()

    async def _commit(
        self,
        change: _PendingChange,
        version: int,
        revision: revisions.Revision,
    ):
        written = await self._store.put(
            self._known_revisions.key,
            revisions.dump_revision(revision),
            expect=version,
        )
        if isinstance(written, stores.Entry):
            self._adopt(revision)
            return revision
        no_pending_write = change.pending_write is None
        change.pending_write = (version, revision)
        if written.reason is reasons.Reason.STORE_CONFLICT:
            return None
        if written.ran is reasons.Ran.NO and no_pending_write:
            return self._make_failure(change, written)
        return None

    async def _read_base(
        self, change: _PendingChange, stored: revisions.Revision
    ) -> ChangeFailure | None:
        if change.base_text is not None:
            return None
        if change.base in (None, stored.number):
            change.base_text = stored.text
            return None
        if change.base == 0:
            change.base_text = ""
            return None
        entry = await self._store.get(
            self._known_revisions.make_history_key(change.base)
        )
        if isinstance(entry, reasons.Failure):
            return self._make_failure(change, entry)
        if entry is None:
            return ChangeFailure(
                reason=reasons.Reason.RULE_CONFLICT,
                step="read base",
                peer=stored.who,
                detail=f"current revision is {stored.number}; revision "
                f"{change.base} does not exist",
                change_id=change.change_id,
            )
        change.base_text = revisions.load_entry(entry).text
        return None

    def _merge(self, change: _PendingChange, stored: revisions.Revision):
        merged = merges.merge_lines(
            base=change.base_text,
            theirs=stored.text,
            mine=change.text,
            find_key=self._find_key,
        )
        if merged.conflicts:
            keys = ", ".join(conflict.key for conflict in merged.conflicts)
            return ChangeFailure(
                reason=reasons.Reason.RULE_CONFLICT,
                step="merge",
                peer=stored.who,
                detail=f"changed concurrently in revision {stored.number}: "
                f"{keys}",
                change_id=change.change_id,
                conflicts=merged.conflicts,
            )
        if merged.text == stored.text:
            return stored
        problem = self._find_problem(merged.text)
        if problem is not None:
            return ChangeFailure(
                reason=reasons.Reason.RULE_INVALID,
                step="merge",
                peer=stored.who,
                detail=problem,
                change_id=change.change_id,
            )
        number = stored.number + 1
        recent = stored.recent[1 - revisions.MAX_RECENT_CHANGES :]
        return revisions.Revision(
            number=number,
            change_id=change.change_id,
            text=merged.text,
            who=change.who,
            time=time.time(),
            recent=(*recent, (number, change.change_id)),
        )

    async def _write_history(self, stored: revisions.Revision):
        """Store the replaced revision, as a base for later changes.

        Revisions are immutable, so the write can be repeated if its response
        is lost.
        """
        if stored.number == 0:
            return None
        result = await self._store.put(
            self._known_revisions.make_history_key(stored.number),
            revisions.dump_revision(stored),
            expect=stores.MUST_NOT_EXIST,
        )
        if isinstance(result, stores.Entry):
            return None
        if result.reason is reasons.Reason.STORE_CONFLICT:
            return None
        return result

    def _fail_unless_pending(self, change: _PendingChange, failure):
        if change.pending_write is not None:
            return None
        return self._make_failure(change, failure)

    def _make_failure(
        self, change: _PendingChange, failure: reasons.Failure
    ) -> ChangeFailure:
        return ChangeFailure(
            reason=failure.reason,
            step="propose",
            peer=failure.peer,
            ran=reasons.Ran.NO,
            detail=failure.detail,
            change_id=change.change_id,
        )

    async def _resolve_at_timeout(
        self, change: _PendingChange
    ) -> revisions.Revision | ChangeFailure:
        """Resolve the outcome of a change that has timed out.

        The change may have arrived by a watch or from a peer though the store
        is unavailable. Once another change has created the revision number
        of the pending write, that write can no longer succeed.
        """
        if change.pending_write is None:
            return self._make_timeout_failure(change, reasons.Ran.NO)
        resolved = self._resolve(change, self._known_revisions.current)
        if resolved is not None:
            return resolved
        entry = await self._store.get(self._known_revisions.key)
        if isinstance(entry, reasons.Failure):
            return self._make_timeout_failure(change, reasons.Ran.UNKNOWN)
        stored = revisions.load_entry(entry)
        resolved = self._resolve(change, stored)
        if resolved is not None:
            return resolved
        superseded = change.pending_write[1].number in dict(stored.recent)
        ran = reasons.Ran.NO if superseded else reasons.Ran.UNKNOWN
        return self._make_timeout_failure(change, ran)

    def _make_timeout_failure(
        self, change: _PendingChange, ran: reasons.Ran
    ) -> ChangeFailure:
        if ran is reasons.Ran.NO:
            reason = reasons.Reason.STORE_UNAVAILABLE
            detail = "no write succeeded before the timeout; retry"
        else:
            reason = reasons.Reason.OUTCOME_UNKNOWN
            detail = f"look up change {change.change_id} later"
        return ChangeFailure(
            reason=reason,
            step="propose",
            ran=ran,
            detail=detail,
            change_id=change.change_id,
        )


def _is_change_expired(stored: revisions.Revision, change_id: str) -> bool:
    start = change_id.partition("-")[0]
    if not start.isdigit() or not stored.recent:
        return False
    return stored.recent[0][0] > int(start) + 1


def _fail_lookup(
    change_id: str, reason: reasons.Reason, ran: reasons.Ran
) -> reasons.Failure:
    return reasons.Failure(
        reason=reason,
        step="look up change",
        peer=change_id,
        ran=ran,
        detail=f"change {change_id} {LOOKUP_DETAILS[reason]}",
    )
