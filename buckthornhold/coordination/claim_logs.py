"""Claim logs, each of which stores the claims of one shard in segments.

Only the open segment is modified. Its key is never deleted, so its version
fences concurrent writers. A full segment is copied to a key of its own; then
the open segment is replaced by an empty one that references the copy.
"""

from collections.abc import Callable
import dataclasses
import json
import time

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold.coordination import claim_records
from buckthornhold.coordination import store_eras

#: A segment is sealed after this many groups or bytes.
GROUPS_PER_SEGMENT = 8
SEGMENT_LIMIT_BYTES = 64_000
#: Maximum number of expired segments that are deleted per sealing.
DELETES_PER_SEAL = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Segment:
    """Consecutive claims; ``previous`` is the preceding segment's key.

    Claims of ids made at or before ``floor`` (seconds since the epoch) may
    have been deleted, so such ids may no longer be claimed.
    """

    number: int = 0
    previous: str = ""
    floor: float = 0.0
    groups: int = 0
    claims: tuple[claim_records.Claim, ...] = ()

    @property
    def newest_time(self) -> float:
        """Time of the newest claim, in seconds since the epoch."""
        return max((claim.time for claim in self.claims), default=0.0)

    def dump(self) -> str:
        """Return the segment as JSON."""
        values = {
            "number": self.number,
            "previous": self.previous,
            "floor": self.floor,
            "groups": self.groups,
            "claims": [
                claim_records.dump_claim(claim) for claim in self.claims
            ],
        }
        return json.dumps(values, separators=(",", ":"))


def load_segment(text: str) -> Segment:
    """Parse a segment from JSON."""
    values = json.loads(text)
    claims = tuple(
        claim_records.load_claim(claim) for claim in values["claims"]
    )
    return Segment(**{**values, "claims": claims})


@dataclasses.dataclass(kw_only=True, slots=True)
class _IndexEntry:
    """A claim without its body, and the number of its segment."""

    claim: claim_records.Claim
    segment: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _SealedSegment:
    """Key of a sealed segment and the time of its newest claim."""

    key: str
    newest_time: float


class ClaimLog:
    """Reads and appends the claims of one shard.

    Claims that were read stay in memory until they are older than
    ``retention`` seconds, even if the store loses them. ``writes`` and
    ``reads`` count the calls to the store. After the store was restored, all
    segments are read again, and ``list_lost`` returns what it has lost.
    """

    def __init__(
        self,
        *,
        store: stores.Store,
        prefix: str,
        retention: float,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._retention = retention
        self._clock = clock
        self._open = Segment()
        self._open_size = 0
        self._version = stores.MUST_NOT_EXIST
        self._sealed: dict[int, _SealedSegment] = {}
        self._orphans: list[str] = []
        self._index: dict[str, _IndexEntry] = {}
        self._synced_at = 0.0
        #: The store's era at the last sync.
        self._synced_era = 0
        #: The claims that the store had at the last sync or write.
        self._stored: dict[str, claim_records.Claim] | None = None
        self.writes = 0
        self.reads = 0

    @property
    def eras(self) -> store_eras.StoreEras:
        """The eras of the store."""
        return self._store.eras

    @property
    def is_behind(self) -> bool:
        """Whether the store was restored after the last sync."""
        return self._synced_era != self._store.eras.current

    def list_lost(self) -> list[claim_records.Claim]:
        """Return the known claims that a restored store has lost.

        The bodies of their answers are lost with them. Another attempt that
        the store has instead was refused: no id is acquired before its lost
        claim had time to be written again.
        """
        if self._stored is None or not self._synced_at:
            return []
        lost = []
        for request_id, entry in self._index.items():
            claim = entry.claim
            stored = self._stored.get(request_id)
            if claim.time <= self.floor or (
                stored is not None
                and not claim_records.supersedes(claim, stored)
                and not claim_records.is_other_attempt(claim, stored)
            ):
                continue
            if claim.outcome is not None and claim.outcome.body is None:
                outcome = dataclasses.replace(claim.outcome, kept=False)
                claim = claim.complete(outcome)
            if stored is not None and claim_records.is_other_attempt(
                claim, stored
            ):
                lost.append(claim_records.make_not_run(stored))
            lost.append(claim)
        if not lost:
            self._stored = None
        return lost

    @property
    def synced_at(self) -> float:
        """Monotonic time of the last sync with the store; 0 for never."""
        return self._synced_at

    @property
    def floor(self) -> float:
        """Ids made at or before this time may no longer be claimed.

        It advances with the local clock and is written to the store before
        any claim is deleted.
        """
        return max(self._open.floor, self._clock() - self._retention)

    @property
    def size(self) -> int:
        """Number of claims in memory."""
        return len(self._index)

    def find(self, request_id: str) -> claim_records.Claim | None:
        """Return the claim of an id without its body, or None."""
        entry = self._index.get(request_id)
        return entry.claim if entry else None

    def read_clock(self) -> float:
        """Return the time in seconds since the epoch."""
        return self._clock()

    async def read_answer(
        self, claim: claim_records.Claim
    ) -> claim_records.Claim:
        """Return a claim with its answer's body if the store has it."""
        indexed = self._index.get(claim.request_id)
        if indexed is None or claim.outcome is None or not claim.outcome.kept:
            return claim
        segment = self._open
        if indexed.segment != segment.number:
            sealed = self._sealed.get(indexed.segment)
            if sealed is None:
                return claim
            self.reads += 1
            entry = await self._store.get(sealed.key)
            if not isinstance(entry, stores.Entry):
                return claim
            segment = load_segment(entry.value)
        for candidate in segment.claims:
            if candidate.request_id != claim.request_id:
                continue
            if candidate.outcome and candidate.change_id == claim.change_id:
                return candidate
        return claim

    async def sync(self) -> None | reasons.Failure:
        """Read what other writers have appended."""
        self.reads += 1
        entry = await self._store.get(f"{self._prefix}/open")
        if isinstance(entry, reasons.Failure):
            return entry
        if self.is_behind:
            self._synced_era = self._store.eras.current
            self._synced_at = 0.0
            self._sealed.clear()
            self._stored = {}
        if entry is None:
            self._set_open_segment(Segment(), stores.MUST_NOT_EXIST, 0)
            return None
        if entry.version != self._version or not self._synced_at:
            segment = load_segment(entry.value)
            failure = await self._load_sealed(segment)
            if failure is not None:
                return failure
            self._set_open_segment(segment, entry.version, len(entry.value))
        self._synced_at = time.monotonic()
        return None

    async def append(
        self, claims: list[claim_records.Claim]
    ) -> None | reasons.Failure:
        """Append claims if no other writer has appended since the last sync.

        After any failure the log must be synced before the next append. If
        the failure's ``ran`` is unknown, the claims may have been written.
        """
        floor = self.floor
        full = self._open.groups >= GROUPS_PER_SEGMENT
        sealing = full or self._open_size >= SEGMENT_LIMIT_BYTES
        segment = dataclasses.replace(
            self._open,
            floor=floor,
            groups=self._open.groups + 1,
            claims=(*self._open.claims, *claims),
        )
        if sealing:
            key = await self._seal()
            if isinstance(key, reasons.Failure):
                return key
            segment = Segment(
                number=self._open.number + 1,
                previous=key,
                floor=floor,
                groups=1,
                claims=tuple(claims),
            )
        text = segment.dump()
        self.writes += 1
        entry = await self._store.put(
            f"{self._prefix}/open", text, expect=self._version
        )
        if isinstance(entry, reasons.Failure):
            return entry
        if self.is_behind:
            # The claims were written, but decided without what was lost.
            return reasons.Failure(
                reason=reasons.Reason.STORE_CONFLICT,
                step="claim",
                ran=reasons.Ran.UNKNOWN,
                detail="the store was restored while it was written",
            )
        if sealing:
            self._track_sealed(self._open, segment.previous)
        self._set_open_segment(segment, entry.version, len(text))
        if sealing:
            await self._delete_expired_segments()
        return None

    async def _seal(self) -> str | reasons.Failure:
        """Copy the open segment to a key that its version makes unique."""
        key = f"{self._prefix}/sealed/{self._open.number:010}-{self._version}"
        self.writes += 1
        entry = await self._store.put(
            key, self._open.dump(), expect=stores.MUST_NOT_EXIST
        )
        if isinstance(entry, stores.Entry):
            return key
        if entry.reason is reasons.Reason.STORE_CONFLICT:
            return key
        return entry

    async def _load_sealed(self, segment: Segment) -> None | reasons.Failure:
        """Load the segments sealed between the last sync and a newer one."""
        if self._synced_at and segment.number == self._open.number:
            return None
        if not segment.previous:
            return None
        if self._synced_at and segment.number == self._open.number + 1:
            self.reads += 1
            entry = await self._store.get(segment.previous)
            if isinstance(entry, reasons.Failure):
                return entry
            if entry is not None:
                self._add_sealed(entry)
                return None
        return await self._load_all_sealed(segment)

    async def _load_all_sealed(self, segment) -> None | reasons.Failure:
        self.reads += 1
        change = await self._store.list_entries(f"{self._prefix}/sealed/")
        if isinstance(change, reasons.Failure):
            return change
        entries = {entry.key: entry for entry in change.entries}
        chain = []
        key = segment.previous
        while key in entries:
            chain.append(entries.pop(key))
            key = load_segment(chain[-1].value).previous
        for entry in reversed(chain):
            self._add_sealed(entry)
        self._orphans = [
            key
            for key, entry in entries.items()
            if load_segment(entry.value).newest_time <= segment.floor
        ]
        return None

    def _add_sealed(self, entry: stores.Entry) -> None:
        segment = load_segment(entry.value)
        self._merge(segment)
        self._track_sealed(segment, entry.key)

    def _track_sealed(self, segment: Segment, key: str) -> None:
        self._sealed[segment.number] = _SealedSegment(
            key=key, newest_time=segment.newest_time
        )

    def _set_open_segment(
        self, segment: Segment, version: int, size: int
    ) -> None:
        self._open = segment
        self._open_size = size
        self._version = version
        self._synced_at = time.monotonic()
        self._merge(segment)

    def _merge(self, segment: Segment) -> None:
        for claim in segment.claims:
            if self._stored is not None:
                stripped = claim_records.strip_body(claim)
                stored = self._stored.get(claim.request_id)
                if stored is None or claim_records.supersedes(claim, stored):
                    self._stored[claim.request_id] = stripped
            indexed = self._index.get(claim.request_id)
            if indexed is None or claim_records.supersedes(
                claim, indexed.claim
            ):
                self._index[claim.request_id] = _IndexEntry(
                    claim=claim_records.strip_body(claim),
                    segment=segment.number,
                )

    async def _delete_expired_segments(self) -> None:
        """Delete sealed segments whose claims are all below the floor.

        The floor is written first: a writer that still uses an older floor
        has an older version of the open segment and is fenced.
        """
        deleted = 0
        for number in sorted(self._sealed)[:DELETES_PER_SEAL]:
            sealed = self._sealed[number]
            if sealed.newest_time > self._open.floor:
                break
            self.writes += 1
            result = await self._store.delete(sealed.key, expect=None)
            if isinstance(result, reasons.Failure):
                break
            del self._sealed[number]
            deleted += 1
        if deleted:
            self._evict_expired_claims()
        if self._orphans:
            self.writes += 1
            await self._store.delete(self._orphans.pop(), expect=None)

    def _evict_expired_claims(self) -> None:
        self._index = {
            request_id: entry
            for request_id, entry in self._index.items()
            if entry.claim.time > self._open.floor
        }
