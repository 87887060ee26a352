"""Claim writers, which batch the claims of a shard into few store writes."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import time

from buckthornhold import reasons
from buckthornhold.coordination import claim_logs
from buckthornhold.coordination import claim_records
from buckthornhold.coordination import era_starts

#: Maximum number of claims and outcomes in one write.
MAX_GROUP_SIZE = 64
#: Attempts to commit a group while other writers conflict.
MAX_COMMIT_ATTEMPTS = 6
CONTENTION_BACKOFF_SECONDS = 0.02
#: A sync that is at most this old is reused to decide a repeated request.
SYNC_FRESH_SECONDS = 0.05
#: After a store failure, claims are refused without a call for this long.
STORE_BACKOFF_SECONDS = 1.0
#: Token bucket size: writes that an idle shard may make at once.
WRITE_BURST = 4.0
#: Time for which hosts write their claims again after the store was restored.
#: A host hears of it from others within about two seconds.
REWRITE_SECONDS = 5.0
#: How much earlier another host's clock may be.
CLOCK_MARGIN_SECONDS = 2.0
#: Lost claims in one write; each has some hundred bytes.
MAX_LOST_CLAIMS = 500


@dataclasses.dataclass(kw_only=True, eq=False)
class _Operation:
    """A queued claim or outcome.

    ``is_known`` says that the store has had the claim before.
    """

    claim: claim_records.Claim
    is_known: bool = False
    done: asyncio.Future


class ClaimWriter:
    """Decides and writes the claims of one shard in groups.

    Any number of hosts may write a shard; the log's version fences them. One
    group is written at a time; claims that arrive meanwhile form the next.
    ``write_rate`` is the shard's maximum number of store writes per second,
    including sealing and deleting segments. ``report_error`` is called with
    unexpected errors.
    """

    def __init__(
        self,
        *,
        log: claim_logs.ClaimLog,
        era_start: era_starts.EraStart,
        write_rate: float,
        report_error: Callable[[Exception], None],
    ) -> None:
        self._log = log
        self._era_start = era_start
        self._write_rate = write_rate
        self._report_error = report_error
        self._queue: list[_Operation] = []
        self._task: asyncio.Task | None = None
        #: The log allows one append at a time.
        self._lock = asyncio.Lock()
        self._tokens = WRITE_BURST
        self._tokens_updated_at = time.monotonic()
        self._store_backoff_until = 0.0

    @property
    def log(self) -> claim_logs.ClaimLog:
        """The shard's log."""
        return self._log

    async def submit(
        self, claim: claim_records.Claim, *, is_known: bool = False
    ) -> claim_records.Decision | reasons.Failure:
        """Acquire a claim, or record its outcome if it has one.

        With ``is_known`` the store has had the claim before it was restored.

        A failure's ``ran`` refers to the write: unknown if the claim may
        have been stored.
        """
        if time.monotonic() < self._store_backoff_until:
            return await self._attach_answer(self._decide_from_memory(claim))
        if claim.outcome is None and not claim.timed and not is_known:
            newest = max(claim.time, self._log.read_clock())
            claim = dataclasses.replace(claim, time=newest)
        operation = _Operation(
            claim=claim,
            is_known=is_known,
            done=asyncio.get_running_loop().create_future(),
        )
        self._queue.append(operation)
        if self._task is None:
            self._task = asyncio.create_task(self._write_groups())
        return await operation.done

    async def rewrite_lost(self) -> bool:
        """Write what a restored store has lost; return whether it has all."""
        for number in range(MAX_COMMIT_ATTEMPTS):
            await self._wait_for_write_token()
            async with self._lock:
                if await self._log.sync() is not None:
                    return False
                lost = self._log.list_lost()
                if not lost:
                    return True
                self._tokens -= 1
                await self._log.append(lost[:MAX_LOST_CLAIMS])
            await asyncio.sleep(
                random.uniform(0, CONTENTION_BACKOFF_SECONDS * 2**number)
            )
        return False

    async def close(self) -> None:
        """Stop writing."""
        if self._task is not None:
            self._task.cancel()

    async def _write_groups(self) -> None:
        try:
            while self._queue:
                await self._wait_for_write_token()
                group = [
                    operation
                    for operation in self._queue[:MAX_GROUP_SIZE]
                    if not operation.done.done()
                ]
                del self._queue[:MAX_GROUP_SIZE]
                await self._write_group(group)
        finally:
            self._task = None

    async def _write_group(self, group: list[_Operation]) -> None:
        before = self._log.writes
        try:
            async with self._lock:
                await self._commit(group)
        except Exception as error:
            self._report_error(error)
            self._fail_group(group, _make_failure(repr(error), uncertain=True))
        finally:
            self._tokens -= self._log.writes - before

    async def _wait_for_write_token(self) -> None:
        """Wait until the shard's token bucket allows a store write."""
        now = time.monotonic()
        self._tokens = min(
            WRITE_BURST,
            self._tokens + (now - self._tokens_updated_at) * self._write_rate,
        )
        self._tokens_updated_at = now
        if self._tokens < 1:
            await asyncio.sleep((1 - self._tokens) / self._write_rate)

    async def _commit(self, group: list[_Operation]) -> None:
        failure = await self._sync_if_needed(group)
        if failure is not None:
            self._back_off()
            for operation in group:
                if not operation.done.done():
                    result = self._decide_from_memory(operation.claim)
                    operation.done.set_result(result)
            return
        failure = None
        uncertain = False
        for number in range(MAX_COMMIT_ATTEMPTS):
            decisions, claims = self._decide_group(group)
            claims = [*self._log.list_lost()[:MAX_LOST_CLAIMS], *claims]
            if not claims:
                await self._resolve_group(group, decisions)
                return
            failure = await self._log.append(claims)
            if failure is None:
                await self._resolve_group(group, decisions)
                return
            uncertain = uncertain or failure.ran is not reasons.Ran.NO
            await asyncio.sleep(
                random.uniform(0, CONTENTION_BACKOFF_SECONDS * 2**number)
            )
            failure = await self._log.sync()
            if failure is not None:
                self._back_off()
                break
        detail = failure.detail if failure else "too much write contention"
        self._fail_group(group, _make_failure(detail, uncertain=uncertain))

    async def _sync_if_needed(self, group) -> None | reasons.Failure:
        """Sync the log if a decision depends on other hosts' writes."""
        if not self._log.synced_at or self._log.is_behind:
            failure = await self._log.sync()
            if failure is None and not await self._era_start.update():
                detail = "the start of the store's era is unknown"
                return _make_failure(detail, uncertain=False)
            return failure
        if time.monotonic() - self._log.synced_at < SYNC_FRESH_SECONDS:
            return None
        for operation in group:
            if operation.claim.outcome is not None:
                continue
            held = self._log.find(operation.claim.request_id)
            if held is not None and held.outcome is None:
                return await self._log.sync()
        return None

    def _decide_group(self, group):
        """Return a decision for each operation, and the claims to write."""
        decisions = []
        added: dict[str, claim_records.Claim] = {}
        claims = []
        for operation in group:
            claim = operation.claim
            held = added.get(claim.request_id)
            held = held or self._log.find(claim.request_id)
            if self._may_be_lost(operation, held):
                decisions.append(_refuse_during_rewrite(held))
                continue
            if self._is_displaced(operation, held):
                # That attempt was refused, as this claim was lost.
                claims.append(claim_records.make_not_run(held))
                held = claims[-1]
            decision = decide(claim, held, floor=self._find_floor(operation))
            decisions.append(decision)
            if decision.claim is claim:
                added[claim.request_id] = claim
                claims.append(claim)
        return decisions, claims

    def _may_be_lost(self, operation: _Operation, held) -> bool:
        """Tell whether a claim of the id may be lost and not written again.

        An id that was made after the store was restored has none. A claim of
        this attempt may have been written when its outcome was unknown.
        """
        claim = operation.claim
        age = self._log.eras.age
        if age >= REWRITE_SECONDS or claim.outcome is not None:
            return False
        if operation.is_known:
            return False
        if held is not None and held.change_id != claim.change_id:
            # Attempts that were refused here are recorded as not run.
            outcome = held.outcome
            if not outcome or (
                outcome.kind is not claim_records.OutcomeKind.NOT_RUN
            ):
                return False
        restored_at = self._log.read_clock() - age
        return not claim.timed or (
            claim.time <= restored_at + CLOCK_MARGIN_SECONDS
        )

    def _find_floor(self, operation: _Operation) -> float:
        """Return the time up to which ids may no longer be claimed.

        A claim of an id that was made before the store was restored may be
        lost for good, if whoever knew it has ended since.
        """
        if operation.is_known:
            return self._log.floor
        lost_before = self._era_start.unseen_before + CLOCK_MARGIN_SECONDS
        return max(self._log.floor, lost_before)

    def _is_displaced(self, operation: _Operation, held) -> bool:
        """Tell whether another attempt has a known claim's place."""
        if not operation.is_known or held is None:
            return False
        if self._log.eras.age >= REWRITE_SECONDS:
            return False
        return claim_records.is_other_attempt(operation.claim, held)

    async def _resolve_group(self, group, decisions) -> None:
        for operation, decision in zip(group, decisions, strict=True):
            decision = await self._attach_answer(decision)
            if not operation.done.done():
                operation.done.set_result(decision)

    async def _attach_answer(self, decision):
        """Add the stored answer to the claim of a ``HELD`` decision."""
        if isinstance(decision, reasons.Failure):
            return decision
        if decision.state is not claim_records.ClaimState.HELD:
            return decision
        claim = await self._log.read_answer(decision.claim)
        return dataclasses.replace(decision, claim=claim)

    def _decide_from_memory(
        self, claim: claim_records.Claim
    ) -> claim_records.Decision | reasons.Failure:
        """Decide what other hosts' writes can't change, else fail."""
        held = self._log.find(claim.request_id)
        decision = decide(claim, held, floor=self._log.floor)
        if decision.claim is claim:
            return _make_failure("store unavailable", uncertain=False)
        return decision

    def _back_off(self) -> None:
        self._store_backoff_until = time.monotonic() + STORE_BACKOFF_SECONDS

    def _fail_group(self, group, failure: reasons.Failure) -> None:
        for operation in group:
            if not operation.done.done():
                operation.done.set_result(failure)


async def rewrite_lost(
    writers: list[ClaimWriter], report_error: Callable[[Exception], None]
) -> list[ClaimWriter]:
    """Write what shards have lost; return the writers that failed."""
    failed = []
    for writer in writers:
        try:
            if not await writer.rewrite_lost():
                failed.append(writer)
        except Exception as error:
            # The other shards must not lose their claims for it.
            report_error(error)
            failed.append(writer)
    return failed


def decide(
    claim: claim_records.Claim,
    held: claim_records.Claim | None,
    *,
    floor: float,
) -> claim_records.Decision:
    """Decide a new claim or outcome against the current claim of its id.

    The decision's claim is ``claim`` itself if it must be written, else the
    current one.
    """
    if claim.outcome is not None:
        return _decide_outcome(claim, held)
    if held is None:
        if claim.timed and claim.time <= floor:
            return claim_records.Decision(
                state=claim_records.ClaimState.EXPIRED,
                claim=claim.complete(
                    claim_records.Outcome(
                        kind=claim_records.OutcomeKind.UNKNOWN
                    )
                ),
            )
        return _accept(claim)
    outcome = held.outcome
    not_run = outcome and outcome.kind is claim_records.OutcomeKind.NOT_RUN
    if held.digest != claim.digest:
        state = claim_records.ClaimState.REUSED
    elif held.change_id == claim.change_id:
        state = claim_records.ClaimState.ACQUIRED
        if outcome is not None:
            state = claim_records.ClaimState.ABANDONED
    elif not_run:
        return _accept(claim)
    else:
        state = claim_records.ClaimState.HELD
    return claim_records.Decision(state=state, claim=held)


def _decide_outcome(claim, held) -> claim_records.Decision:
    """Accept only the first outcome of the attempt that holds the claim."""
    if held is None:
        return _accept(claim)
    state = claim_records.ClaimState.ACQUIRED
    if held.change_id != claim.change_id:
        state = claim_records.ClaimState.HELD
    elif held.outcome is None:
        return _accept(claim)
    return claim_records.Decision(state=state, claim=held)


def _refuse_during_rewrite(held) -> reasons.Failure:
    return _make_failure(
        "the store was restored, claims are being written again",
        uncertain=held is not None,
    )


def _accept(claim: claim_records.Claim) -> claim_records.Decision:
    return claim_records.Decision(
        state=claim_records.ClaimState.ACQUIRED, claim=claim
    )


def _make_failure(detail: str, *, uncertain: bool) -> reasons.Failure:
    return reasons.Failure(
        reason=reasons.Reason.STORE_UNAVAILABLE,
        step="claim",
        ran=reasons.Ran.UNKNOWN if uncertain else reasons.Ran.NO,
        detail=detail,
    )
