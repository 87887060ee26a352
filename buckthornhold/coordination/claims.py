"""Claims: at most one execution of each request id over all entry hosts."""

import asyncio
from collections.abc import Callable
import dataclasses
import hashlib
import time
import uuid

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold.coordination import claim_logs
from buckthornhold.coordination import claim_peers
from buckthornhold.coordination import claim_records
from buckthornhold.coordination import claim_writers

#: A peer that failed is left out for this long, in seconds.
FAILED_PEER_BACKOFF_SECONDS = 5.0
#: A writer that wasn't used for this long is dropped, in seconds.
WRITER_IDLE_SECONDS = 120.0


class Claims:
    """Takes claims of request ids and records their outcomes.

    Usable with a store and peer links alone. Ids are spread over ``shards``
    by hash; each shard has a usual writer, found by rendezvous hashing over
    this host and ``list_links()``, which groups the claims of all hosts. Who
    writes is only a matter of cost: any host may, fenced by the store.

    ``retention`` is in seconds, ``write_rate`` the greatest number of store
    writes per second of one shard. ``timeout`` bounds the taking of a claim
    and ``peer_timeout`` the wait for a usual writer, in seconds. ``report``
    is called with unforeseen errors.
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

    @property
    def incarnation(self) -> int:
        """Number that tells this process from earlier ones of its host."""
        return self._incarnation

    @property
    def retention(self) -> float:
        """How long claims are kept, in seconds."""
        return self._retention

    @property
    def size(self) -> int:
        """Number of claims in this process's memory."""
        return sum(writer.log.size for writer in self._writers.values())

    @property
    def store_calls(self) -> tuple[int, int]:
        """Store writes and reads made for claims by current writers."""
        logs = [writer.log for writer in self._writers.values()]
        return sum(it.writes for it in logs), sum(it.reads for it in logs)

    def make_claim(
        self,
        request_id: str,
        *,
        digest: str,
        seconds_left: float,
        made_at: float | None = None,
    ) -> claim_records.Claim:
        """Return a new claim for one attempt to run a request.

        ``left`` is the time to the request's deadline in seconds,
        ``made_at`` when the id was made, in seconds since the epoch.
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
        """Take a claim; only the state ``TAKEN`` allows to send.

        After a failure the attempt must never be sent. With ``ran`` unknown
        the claim may yet take effect and ``NOT_RUN`` should be recorded.
        """
        try:
            async with asyncio.timeout(self._timeout):
                verdict = await self._submit(claim)
                if isinstance(verdict, claim_records.Decision):
                    verdict = await self._resolve_with_owner(verdict)
                if _is_abandoned(verdict):
                    # The owner's word is enough to record it for the owner.
                    await self._submit(verdict.claim)
                    verdict = await self._submit(claim)
        except TimeoutError:
            return _make_timeout(self._timeout)
        if isinstance(verdict, reasons.Failure):
            return verdict
        if verdict.state is claim_records.ClaimState.ACQUIRED:
            self._pending[claim.change_id] = verdict.claim
        return verdict

    async def abandon(
        self, claim: claim_records.Claim
    ) -> claim_records.Decision | reasons.Failure:
        """Record that a claim's attempt was never sent and never will be.

        The verdict names the claim that stands: another one if another
        attempt has the id.
        """
        ended = claim_records.Outcome(kind=claim_records.OutcomeKind.NOT_RUN)
        try:
            async with asyncio.timeout(self._timeout):
                verdict = await self._submit(claim.complete(ended))
        except TimeoutError:
            return _make_timeout(self._timeout)
        if isinstance(verdict, reasons.Failure):
            return verdict
        if verdict.state is not claim_records.ClaimState.ACQUIRED:
            return await self._resolve_with_owner(verdict)
        return dataclasses.replace(
            verdict, state=claim_records.ClaimState.ABANDONED
        )

    async def record_outcome(
        self, claim: claim_records.Claim, outcome: claim_records.Outcome
    ) -> None | reasons.Failure:
        """Record how a claimed request ended; may be repeated.

        Until it is recorded, peers that ask for it get it from here.
        """
        ended = claim.complete(outcome)
        self._pending[claim.change_id] = ended
        answer = await self._submit(ended)
        if isinstance(answer, reasons.Failure):
            return answer
        self._pending.pop(claim.change_id, None)
        return None

    def discard(self, claim: claim_records.Claim) -> None:
        """Drop a claim of this host whose outcome can't be recorded."""
        self._pending.pop(claim.change_id, None)

    async def find_pending(self, change_id: str) -> claim_records.Claim | None:
        """Return a claim of this host whose outcome isn't recorded yet."""
        return self._pending.get(change_id)

    async def submit_local(
        self, claim: claim_records.Claim
    ) -> claim_records.Decision | reasons.Failure:
        """Take a claim or record its outcome by this host's own writing."""
        return await self._get_writer(claim.request_id).submit(claim)

    async def close(self) -> None:
        """Stop all writers."""
        for writer in self._writers.values():
            await writer.close()

    async def _resolve_with_owner(
        self, verdict: claim_records.Decision
    ) -> claim_records.Decision:
        """Ask a running claim's owner, who knows its end before the store.

        A new process in the owner's place shows that the outcome is lost.
        """
        claim = verdict.claim
        if verdict.state is not claim_records.ClaimState.HELD or claim.outcome:
            return verdict
        answer = await self._query_owner(claim)
        if answer is None:
            return verdict
        if answer.claim is not None:
            return dataclasses.replace(verdict, claim=answer.claim)
        if answer.incarnation == claim.incarnation:
            return verdict
        lost = claim_records.Outcome(kind=claim_records.OutcomeKind.UNKNOWN)
        return dataclasses.replace(verdict, claim=claim.complete(lost))

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
        """Leave a claim to its usual writer, or write it here.

        The same claim may be written by both: its change id makes it one.
        """
        link = self._find_writer_link(
            choose_shard(claim.request_id, self._shards)
        )
        if link is None:
            return await self.submit_local(claim)
        answer = await claim_peers.submit_to_peer(
            link, claim, timeout=self._peer_timeout
        )
        if not isinstance(answer, reasons.Failure):
            return answer
        self._avoided_until[link.host] = (
            time.monotonic() + FAILED_PEER_BACKOFF_SECONDS
        )
        own = await self.submit_local(claim)
        if not isinstance(own, reasons.Failure):
            return own
        if answer.ran is reasons.Ran.NO:
            return own
        return own.replace(ran=reasons.Ran.UNKNOWN)

    def _find_writer_link(self, shard: int):
        """Return the link to a shard's usual writer; None is this host."""
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
                write_rate=self._write_rate,
                report_error=self._report_error,
            )
        return self._writers[shard]

    def _evict_idle_writers(self) -> None:
        """Forget the shards that this host hasn't written lately."""
        oldest = time.monotonic() - WRITER_IDLE_SECONDS
        for shard, used_at in list(self._used_at.items()):
            if used_at >= oldest:
                continue
            del self._used_at[shard]
            self._writers.pop(shard, None)


def _is_abandoned(verdict) -> bool:
    """Tell whether a claim's owner says that it was never sent."""
    if isinstance(verdict, reasons.Failure):
        return False
    if verdict.state is not claim_records.ClaimState.HELD:
        return False
    ended = verdict.claim.outcome
    return ended is not None and (
        ended.kind is claim_records.OutcomeKind.NOT_RUN
    )


def _make_timeout(seconds: float) -> reasons.Failure:
    return reasons.Failure(
        reason=reasons.Reason.STORE_UNAVAILABLE,
        step="claim",
        ran=reasons.Ran.UNKNOWN,
        detail=f"no claim within {seconds} s",
    )


def choose_shard(request_id: str, shards: int) -> int:
    """Return the shard of a request id, the same on every host."""
    hashed = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    return int.from_bytes(hashed, "big") % shards


def rank_writer(shard: int, host: str) -> bytes:
    """Return a host's rank as a writer of a shard; the greatest writes it."""
    return hashlib.blake2b(f"{shard}/{host}".encode(), digest_size=8).digest()
