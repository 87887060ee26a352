"""Claim logs: the claims of one shard, kept in segments in the store.

Only the open segment is ever changed, under one key that is never deleted,
so that its version fences every writer. A full segment is copied to a key of
its own before the open one starts anew and names that copy.
"""

from collections.abc import Callable
import dataclasses
import json
import time

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold.coordination import claim_records

#: A segment is sealed after this many groups or bytes.
GROUPS_PER_SEGMENT = 8
SEGMENT_LIMIT_BYTES = 64_000
#: Old segments that are dropped at most with each sealing.
DELETES_PER_SEAL = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Segment:
    """A run of claims; ``previous`` is the key of the segment before it.

    Claims of ids made at or before ``floor`` (seconds since the epoch) may
    be gone, so that no such id may be claimed any more.
    """

    number: int = 0
    previous: str = ""
    floor: float = 0.0
    groups: int = 0
    claims: tuple[claim_records.Claim, ...] = ()

    @property
    def newest_time(self) -> float:
        """The newest time of any claim, in seconds since the epoch."""
        return max((claim.time for claim in self.claims), default=0.0)

    def dump(self) -> str:
        """Return the segment as JSON."""
        values = {
            "number": self.number,
            "previous": self.previous,
            "floor": self.floor,
            "groups": self.groups,
            "claims": [claim_records.dump_claim(it) for it in self.claims],
        }
        return json.dumps(values, separators=(",", ":"))


def load_segment(text: str) -> Segment:
    """Read a segment from JSON."""
    values = json.loads(text)
    claims = tuple(claim_records.load_claim(it) for it in values["claims"])
    return Segment(**{**values, "claims": claims})


@dataclasses.dataclass(kw_only=True, slots=True)
class _IndexEntry:
    """A claim without its answer, and the segment that has it whole."""

    claim: claim_records.Claim
    segment: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _SealedSegment:
    """Where a sealed segment is, and its newest claim's time."""

    key: str
    newest_time: float


class ClaimLog:
    """Reads and extends the claims of one shard.

    What was read stays known until it is older than ``retention`` seconds,
    also if the store should lose it. ``writes`` and ``reads`` count the
    store's calls.
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
        self.writes = 0
        self.reads = 0

    @property
    def synced_at(self) -> float:
        """Monotonic time of the last look at the store; 0 for never."""
        return self._synced_at

    @property
    def floor(self) -> float:
        """Ids made at or before this time may no longer be claimed.

        It follows the clock here, and is fixed in the store before any
        claim is dropped.
        """
        return max(self._open.floor, self._clock() - self._retention)

    @property
    def size(self) -> int:
        """Number of claims known."""
        return len(self._index)

    def find(self, request_id: str) -> claim_records.Claim | None:
        """Return the claim of an id without its answer, if it is known."""
        known = self._index.get(request_id)
        return known.claim if known else None

    def read_clock(self) -> float:
        """Return the time in seconds since the epoch."""
        return self._clock()

    async def read_answer(
        self, claim: claim_records.Claim
    ) -> claim_records.Claim:
        """Return a claim with its answer, where the store can give it."""
        known = self._index.get(claim.request_id)
        if known is None or claim.outcome is None or not claim.outcome.kept:
            return claim
        segment = self._open
        if known.segment != segment.number:
            place = self._sealed.get(known.segment)
            if place is None:
                return claim
            self.reads += 1
            entry = await self._store.get(place.key)
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
        """Take in what other writers have added."""
        self.reads += 1
        entry = await self._store.get(f"{self._prefix}/open")
        if isinstance(entry, reasons.Failure):
            return entry
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
        """Add claims if nobody else has added any since the last sync.

        After any failure the log must be synced before claims are added
        again; with ``ran`` unknown these claims may be found there.
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
        if sealing:
            self._track_sealed(self._open, segment.previous)
        self._set_open_segment(segment, entry.version, len(text))
        if sealing:
            await self._delete_expired_segments()
        return None

    async def _seal(self) -> str | reasons.Failure:
        """Copy the open segment; the version makes the key its own."""
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
        """Take in the sealed segments between the known open and a newer."""
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
            known = self._index.get(claim.request_id)
            if known is None or _supersedes(claim, known.claim):
                self._index[claim.request_id] = _IndexEntry(
                    claim=claim_records.strip_body(claim),
                    segment=segment.number,
                )

    async def _delete_expired_segments(self) -> None:
        """Drop sealed segments whose claims are all below the floor.

        The floor is in force first: a writer that still believes in an
        older one has an older version of the open segment.
        """
        dropped = 0
        for number in sorted(self._sealed)[:DELETES_PER_SEAL]:
            sealed = self._sealed[number]
            if sealed.newest_time > self._open.floor:
                break
            self.writes += 1
            result = await self._store.delete(sealed.key, expect=None)
            if isinstance(result, reasons.Failure):
                break
            del self._sealed[number]
            dropped += 1
        if dropped:
            self._evict_expired_claims()
        if self._orphans:
            self.writes += 1
            await self._store.delete(self._orphans.pop(), expect=None)

    def _evict_expired_claims(self) -> None:
        self._index = {
            request_id: known
            for request_id, known in self._index.items()
            if known.claim.time > self._open.floor
        }


def _supersedes(new: claim_records.Claim, old: claim_records.Claim) -> bool:
    """Tell whether a claim found later in the log replaces an earlier."""
    if new.change_id == old.change_id:
        return old.outcome is None and new.outcome is not None
    if old.outcome is None:
        return False
    return old.outcome.kind is claim_records.OutcomeKind.NOT_RUN
