"""Claims that make each request id execute at most once in the fleet."""

import asyncio
from collections.abc import Callable
import dataclasses
import hashlib
import random
import time
import uuid

import loguru

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold.coordination import claim_logs
from buckthornhold.coordination import claim_peers
from buckthornhold.coordination import claim_records
from buckthornhold.coordination import claim_writers
from buckthornhold.coordination import era_starts
from buckthornhold.coordination import recent_claims
from buckthornhold.coordination import store_eras

#: A peer whose call failed isn't used as a writer for this long.
FAILED_PEER_BACKOFF_SECONDS = 5.0
#: Claims are written again after a random share of the time for that.
REWRITE_SPREAD_SHARE = 0.2
REWRITE_ATTEMPTS = 8
#: A writer that wasn't used for this long is evicted.
WRITER_IDLE_SECONDS = 120.0


class Claims:
    """Acquires claims of request ids and records their outcomes.

    Depends on a store and on peer links only. Request ids are hashed to
    ``shards``. Each shard has a preferred writer, chosen by rendezvous
    hashing over this host and ``list_links()``, which batches the claims of
    all hosts. The preferred writer only saves store writes: any host may
    write any shard, as the store's versions fence concurrent writers.

    ``retention`` is in seconds. ``write_rate`` is the maximum number of store
    writes per second and shard. ``timeout`` limits the acquisition of a claim
    and ``peer_timeout`` the call to a preferred writer, both in seconds.
    ``report_error`` is called with unexpected errors.
    """

    def __init__(
        self,
        *,
        store: stores.Store,
        host: str,
        incarnation: int,
        shards: int,
        retention: float,
        write_rate: float,
        timeout: float,
        peer_timeout: float,
        list_links: Callable[[], list] = list,
        report_error: Callable[[Exception], None] = print,
        prefix: str = "claims",
    ) -> None:
        self._store = store
        self._host = host
        self._incarnation = incarnation
        self._shards = shards
        self._retention = retention
        self._write_rate = write_rate
        self._timeout = timeout
        self._peer_timeout = peer_timeout
        self._list_links = list_links
        self._report_error = report_error
        self._prefix = prefix
        self._writers: dict[int, claim_writers.ClaimWriter] = {}
        self._used_at: dict[int, float] = {}
        self._avoided_until: dict[str, float] = {}
        self._pending: dict[str, claim_records.Claim] = {}
        self._recent = recent_claims.RecentClaims()
        self._rewriting: asyncio.Task | None = None
        self._era_start = era_starts.EraStart(
            store=store, read_time=time.time, logger=loguru.logger
        )
        store.eras.add_part(store_eras.Order.CLAIMS, "claims", self._begin_era)

    @property
    def incarnation(self) -> int:
        """Number that distinguishes this process from its predecessors."""
        return self._incarnation

    @property
    def retention(self) -> float:
        """Time for which claims are retained, in seconds."""
        return self._retention

    @property
    def size(self) -> int:
        """Number of claims in memory."""
        return sum(writer.log.size for writer in self._writers.values())

    @property
    def store_calls(self) -> tuple[int, int]:
        """Numbers of store writes and reads made by the current writers."""
        logs = [writer.log for writer in self._writers.values()]
        return sum(log.writes for log in logs), sum(log.reads for log in logs)

    def make_claim(
        self,
        request_id: str,
        *,
        digest: str,
        seconds_left: float,
        made_at: float | None = None,
    ) -> claim_records.Claim:
        """Return a new claim for one attempt to run a request.

        ``seconds_left`` is the time until the request's deadline.
        ``made_at`` is when the id was made, in seconds since the epoch.
        """
        now = time.time()
        return claim_records.Claim(
            request_id=request_id,
            change_id=uuid.uuid4().hex,
            digest=digest,
            host=self._host,
            incarnation=self._incarnation,
            time=now if made_at is None else made_at,
            until=now + seconds_left,
            timed=made_at is not None,
        )

    async def acquire(
        self, claim: claim_records.Claim
    ) -> claim_records.Decision | reasons.Failure:
        """Acquire a claim; the attempt may be sent only if ``ACQUIRED``.

        After a failure the attempt must never be sent. If the failure's
        ``ran`` is unknown, the claim may still be written, so ``NOT_RUN``
        should be recorded.
        """
        try:
            async with asyncio.timeout(self._timeout):
                decision = await self._submit(claim)
                if isinstance(decision, claim_records.Decision):
                    decision = await self._resolve_with_owner(decision)
                if _is_abandoned(decision):
                    # The owner confirmed it, so any host may record it.
                    await self._submit(decision.claim)
                    decision = await self._submit(claim)
        except TimeoutError:
            return _make_timeout(self._timeout)
        if isinstance(decision, reasons.Failure):
            return decision
        if decision.state is claim_records.ClaimState.ACQUIRED:
            self._pending[claim.change_id] = decision.claim
            self._recent.add(decision.claim)
        return decision

    async def abandon(
        self, claim: claim_records.Claim
    ) -> claim_records.Decision | reasons.Failure:
        """Record that a claim's attempt was never sent and never will be.

        The decision contains the current claim of the id, which belongs to
        another attempt if that attempt holds the id.
        """
        not_run = claim_records.Outcome(kind=claim_records.OutcomeKind.NOT_RUN)
        try:
            async with asyncio.timeout(self._timeout):
                decision = await self._submit(claim.complete(not_run))
        except TimeoutError:
            return _make_timeout(self._timeout)
        if isinstance(decision, reasons.Failure):
            return decision
        if decision.state is not claim_records.ClaimState.ACQUIRED:
            return await self._resolve_with_owner(decision)
        return dataclasses.replace(
            decision, state=claim_records.ClaimState.ABANDONED
        )

    async def record_outcome(
        self, claim: claim_records.Claim, outcome: claim_records.Outcome
    ) -> None | reasons.Failure:
        """Record the outcome of a claimed request; idempotent.

        Until the store has it, peers that query the owner get it from here.
        """
        completed = claim.complete(outcome)
        self._pending[claim.change_id] = completed
        self._recent.add(completed)
        result = await self._submit(completed)
        if isinstance(result, reasons.Failure):
            return result
        self._pending.pop(claim.change_id, None)
        return None

    def discard(self, claim: claim_records.Claim) -> None:
        """Discard a claim of this host whose outcome can't be recorded."""
        self._pending.pop(claim.change_id, None)

    async def find_pending(self, change_id: str) -> claim_records.Claim | None:
        """Return a claim of this host whose outcome isn't in the store yet."""
        return self._pending.get(change_id)

    async def submit_local(
        self, claim: claim_records.Claim
    ) -> claim_records.Decision | reasons.Failure:
        """Acquire a claim or record its outcome with this host's writer."""
        return await self._get_writer(claim.request_id).submit(claim)

    async def close(self) -> None:
        """Stop all writers."""
        if self._rewriting is not None:
            self._rewriting.cancel()
        for writer in self._writers.values():
            await writer.close()

    def _begin_era(self, change: store_eras.EraChange) -> None:
        """Write again the claims that a restored store may have lost."""
        if self._rewriting is not None:
            self._rewriting.cancel()
        self._rewriting = asyncio.get_running_loop().create_task(
            self._rewrite()
        )

    async def _rewrite(self) -> None:
        spread = claim_writers.REWRITE_SECONDS * REWRITE_SPREAD_SHARE
        try:
            await asyncio.sleep(random.uniform(0, spread))
            # What this host has written for others, then its own claims.
            writers = list(self._writers.values())
            claims = self._recent.list_all()
            for _ in range(REWRITE_ATTEMPTS):
                writers = await claim_writers.rewrite_lost(
                    writers, self._report_error
                )
                claims = await self._submit_known(claims)
                if not claims and not writers:
                    # For processes that start later in this era.
                    await self._era_start.update()
                    return
                await asyncio.sleep(spread)
        except Exception as error:
            self._report_error(error)
            return
        self._report_error(
            RuntimeError(
                f"{len(claims)} claims and {len(writers)} shards were not "
                "written to the restored store"
            )
        )

    async def _submit_known(
        self, claims: list[claim_records.Claim]
    ) -> list[claim_records.Claim]:
        """Write known claims; return those that could not be written."""
        results = await asyncio.gather(
            *[
                self._get_writer(claim.request_id).submit(claim, is_known=True)
                for claim in claims
            ]
        )
        return [
            claim
            for claim, result in zip(claims, results, strict=True)
            if isinstance(result, reasons.Failure)
        ]

    async def _resolve_with_owner(
        self, decision: claim_records.Decision
    ) -> claim_records.Decision:
        """Query the owner of a running claim for an unrecorded outcome.

        If a newer process has replaced the owner, the outcome is lost.
        """
        claim = decision.claim
        if (
            decision.state is not claim_records.ClaimState.HELD
            or claim.outcome
        ):
            return decision
        status = await self._query_owner(claim)
        if status is None:
            return decision
        if status.claim is not None:
            return dataclasses.replace(decision, claim=status.claim)
        if status.incarnation == claim.incarnation:
            return decision
        lost = claim_records.Outcome(kind=claim_records.OutcomeKind.UNKNOWN)
        return dataclasses.replace(decision, claim=claim.complete(lost))

    async def _query_owner(self, claim):
        if claim.host == self._host:
            return claim_peers.OwnerStatus(
                incarnation=self._incarnation,
                claim=self._pending.get(claim.change_id),
            )
        for link in self._list_links():
            if link.host != claim.host:
                continue
            return await claim_peers.query_owner(
                link, claim, timeout=self._peer_timeout
            )
        return None

    async def _submit(
        self, claim: claim_records.Claim
    ) -> claim_records.Decision | reasons.Failure:
        """Submit a claim to its preferred writer, or write it locally.

        Both may write the same claim: its change id makes that idempotent.
        """
        link = self._find_writer_link(
            choose_shard(claim.request_id, self._shards)
        )
        if link is None:
            return await self.submit_local(claim)
        result = await claim_peers.submit_to_peer(
            link, claim, timeout=self._peer_timeout
        )
        if not isinstance(result, reasons.Failure):
            return result
        self._avoided_until[link.host] = (
            time.monotonic() + FAILED_PEER_BACKOFF_SECONDS
        )
        local_result = await self.submit_local(claim)
        if not isinstance(local_result, reasons.Failure):
            return local_result
        if result.ran is reasons.Ran.NO:
            return local_result
        return local_result.replace(ran=reasons.Ran.UNKNOWN)

    def _find_writer_link(self, shard: int):
        """Return the link to a shard's preferred writer; None if local."""
        now = time.monotonic()
        best = None
        best_rank = rank_writer(shard, self._host)
        for link in self._list_links():
            if self._avoided_until.get(link.host, 0.0) > now:
                continue
            rank = rank_writer(shard, link.host)
            if rank > best_rank:
                best, best_rank = link, rank
        return best

    def _get_writer(self, request_id: str) -> claim_writers.ClaimWriter:
        shard = choose_shard(request_id, self._shards)
        self._used_at[shard] = time.monotonic()
        if shard not in self._writers:
            self._evict_idle_writers()
            self._writers[shard] = claim_writers.ClaimWriter(
                log=claim_logs.ClaimLog(
                    store=self._store,
                    prefix=f"{self._prefix}/{shard:03}",
                    retention=self._retention,
                ),
                era_start=self._era_start,
                write_rate=self._write_rate,
                report_error=self._report_error,
            )
        return self._writers[shard]

    def _evict_idle_writers(self) -> None:
        """Drop the writers that were idle for ``WRITER_IDLE_SECONDS``."""
        oldest = time.monotonic() - WRITER_IDLE_SECONDS
        for shard, used_at in list(self._used_at.items()):
            if used_at >= oldest:
                continue
            del self._used_at[shard]
            self._writers.pop(shard, None)


def _is_abandoned(decision) -> bool:
    """Return whether a claim's owner reports that it was never sent."""
    if isinstance(decision, reasons.Failure):
        return False
    if decision.state is not claim_records.ClaimState.HELD:
        return False
    outcome = decision.claim.outcome
    return outcome is not None and (
        outcome.kind is claim_records.OutcomeKind.NOT_RUN
    )


def _make_timeout(seconds: float) -> reasons.Failure:
    return reasons.Failure(
        reason=reasons.Reason.STORE_UNAVAILABLE,
        step="claim",
        ran=reasons.Ran.UNKNOWN,
        detail=f"claim not acquired within {seconds} s",
    )


def choose_shard(request_id: str, shards: int) -> int:
    """Return the shard of a request id; the same on every host."""
    hashed = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    return int.from_bytes(hashed, "big") % shards


def rank_writer(shard: int, host: str) -> bytes:
    """Return a host's rendezvous rank for a shard; the highest writes it."""
    return hashlib.blake2b(f"{shard}/{host}".encode(), digest_size=8).digest()
