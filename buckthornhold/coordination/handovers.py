"""Handovers: accepted requests that outlive their entry host.

What a request needs to go on is held by another host in another failure
domain from its acceptance on. The holder is found by rendezvous hashing of
the request id: over the zones first, then over some hosts of a zone, so
that any host finds it whichever host accepted the request.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import hashlib
import time

import grpc

from buckthornhold import reasons
from buckthornhold.coordination import handover_records
from buckthornhold.peers import handovers_pb2
from buckthornhold.peers import handovers_pb2_grpc

#: How many hosts of an availability zone hold records.
HOLDER_POOL_HOSTS_PER_ZONE = 16
CANDIDATES_PER_ZONE = 2
MAX_HOLD_ATTEMPTS = 4
HOLD_TIMEOUT_SECONDS = 0.3
HOLD_TOTAL_TIMEOUT_SECONDS = 0.8
FIND_TIMEOUT_SECONDS = 0.4
NARROW_FIND_HOSTS = 2
MAX_WIDE_FIND_HOSTS = 16
TAKE_TIMEOUT_SECONDS = 1.0
#: A peer that did not answer is not asked to hold again for this long.
HOLD_BACKOFF_SECONDS = 2.0

Record = handovers_pb2.HandoverRecord
AsyncLookup = Callable[[str], Awaitable[Record | None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LookupResult:
    """What a search for a request brought.

    ``unanswered`` are hosts that were asked and did not answer; they may
    know the request.
    """

    record: Record | None = None
    unanswered: tuple[str, ...] = ()

    @property
    def complete(self) -> bool:
        """Whether all that were asked told what they know."""
        return not self.unanswered


class Handovers:
    """Replicates this host's request records and finds those of others.

    Needs only peer links. ``list_links`` returns objects with ``host``,
    ``zone`` and ``channel``; ``list_eligible_links`` returns those whose
    hosts aren't leaving and accept more records. ``find_local`` and
    ``take_local`` look up the requests that run on this host.
    ``list_unreachable`` names hosts without a link that may still run
    requests and hold records.
    """

    def __init__(
        self,
        *,
        host: str,
        zone: str,
        list_links: Callable[[], list],
        list_eligible_links: Callable[[], list],
        holdings: handover_records.HandoverRecords,
        find_local: Callable[[str], Record | None],
        take_local: AsyncLookup,
        list_unreachable: Callable[[], list[str]] = list,
    ) -> None:
        self._host = host
        self._zone = zone
        self._list_links = list_links
        self._list_eligible_links = list_eligible_links
        self._holdings = holdings
        self._find_local = find_local
        self._take_local = take_local
        self._list_unreachable = list_unreachable
        self._backoff_until: dict[str, float] = {}
        self._stubs: dict[str, tuple] = {}

    @property
    def holdings(self) -> handover_records.HandoverRecords:
        """The records that this host holds for others."""
        return self._holdings

    def list_holders(self, request_id: str) -> list:
        """Return the links to a request's holders, the first choice first.

        Hosts of this zone come last: they share its failures.
        """
        zones = self._group_pool_links_by_zone(self._list_eligible_links())
        others = [zone for zone in zones if zone != self._zone]
        others.sort(key=lambda zone: _compute_weight(request_id, zone))
        ranked = {
            zone: sorted(
                links, key=lambda it: _compute_weight(request_id, it.host)
            )
            for zone, links in zones.items()
        }
        holders = [
            link
            for place in range(CANDIDATES_PER_ZONE)
            for zone in others
            for link in ranked[zone][place : place + 1]
        ]
        return holders + ranked.get(self._zone, [])[:CANDIDATES_PER_ZONE]

    def _group_pool_links_by_zone(self, links: list) -> dict[str, list]:
        """Return the links to the hosts that hold records, by zone.

        Only so many hosts of a zone do, which bounds the connections of
        every host. All hosts choose the same ones.
        """
        names: dict[str, list[str]] = {self._zone: [self._host]}
        for link in links:
            names.setdefault(link.zone, []).append(link.host)
        pools = {
            zone: set(
                sorted(hosts, key=_compute_holder_weight)[
                    :HOLDER_POOL_HOSTS_PER_ZONE
                ]
            )
            for zone, hosts in names.items()
        }
        found: dict[str, list] = {}
        for link in links:
            if link.host in pools[link.zone]:
                found.setdefault(link.zone, []).append(link)
        return found

    def _list_likely_holders(self, request_id: str) -> list:
        """Return the links to all hosts, the likeliest holders first.

        A holder is not in its entry host's zone, which is not known here:
        the first hosts of the first two zones come first.
        """
        ranked = self._group_pool_links_by_zone(self._list_links())
        zones = sorted(
            ranked, key=lambda zone: _compute_weight(request_id, zone)
        )
        places = [
            (place, zones.index(zone), link)
            for zone, links in ranked.items()
            for place, link in enumerate(
                sorted(
                    links, key=lambda it: _compute_weight(request_id, it.host)
                )
            )
        ]
        places.sort(key=lambda it: it[:2])
        return [link for _, _, link in places]

    async def hold(
        self, record: Record, *, is_retry: bool = False
    ) -> str | reasons.Failure:
        """Have a record held; return the holder, or "" if none was met.

        A failure tells that there is no room, or that the id is known; its
        request was not run. With ``is_retry`` nobody waits for it, and hosts
        that did not answer lately are asked as well.
        """
        full = False
        try:
            async with asyncio.timeout(HOLD_TOTAL_TIMEOUT_SECONDS):
                for link in self._list_hold_candidates(
                    record.request_id, is_retry
                ):
                    outcome = await self._hold_at(link, record)
                    if outcome == handovers_pb2.HOLD_HELD:
                        return link.host
                    if outcome == handovers_pb2.HOLD_KNOWN:
                        return _fail(reasons.Reason.STILL_RUNNING, link.host)
                    if outcome == handovers_pb2.HOLD_REUSED:
                        return _fail(reasons.Reason.ID_REUSED, link.host)
                    full = full or outcome == handovers_pb2.HOLD_FULL
        except TimeoutError:
            pass
        if full:
            return _fail(reasons.Reason.HOST_FULL, detail="no holder has room")
        return ""

    def filter_connected(self, holders: set[str]) -> set[str]:
        """Return those of the holders that stay and are connected now.

        A process that died closes its connections at once, long before it
        is off the list.
        """
        self._prune_stubs({link.host for link in self._list_links()})
        return {
            link.host
            for link in self._list_eligible_links()
            if link.host in holders
            and link.channel.get_state(try_to_connect=True)
            is grpc.ChannelConnectivity.READY
        }

    async def update(
        self, holder: str, update: handovers_pb2.UpdateRequest
    ) -> bool:
        """Tell a holder where a request runs now and what was emitted."""
        for link in self._list_links():
            if link.host != holder:
                continue
            stub = self._find_stub(link)
            try:
                reply = await stub.Update(update, timeout=HOLD_TIMEOUT_SECONDS)
            except grpc.RpcError:
                return False
            return reply.known
        return False

    async def release(
        self, holder: str, releases: list[tuple[str, int]]
    ) -> None:
        """Have a holder forget requests, given by id and epoch."""
        request = handovers_pb2.ReleaseRequest(
            releases=[
                handovers_pb2.Release(request_id=request_id, epoch=epoch)
                for request_id, epoch in releases
            ]
        )
        for link in self._list_links():
            if link.host != holder:
                continue
            stub = self._find_stub(link)
            try:
                await stub.Release(request, timeout=HOLD_TIMEOUT_SECONDS)
            except grpc.RpcError:
                return

    async def find(
        self, request_id: str, *, wide: bool = False
    ) -> LookupResult:
        """Look for a request's latest record, asking its holders.

        With ``wide``, other hosts are asked as well, up to a limit.
        """
        links = self._list_likely_holders(request_id)
        if not wide:
            links = links[:NARROW_FIND_HOSTS]
        links = links[:MAX_WIDE_FIND_HOSTS]
        replies = await asyncio.gather(
            *[self._find_at(link, request_id) for link in links]
        )
        found = [self._find_local(request_id), self._holdings.find(request_id)]
        unanswered = []
        for link, reply in zip(links, replies, strict=True):
            if reply is None:
                unanswered.append(link.host)
            elif reply.HasField("record"):
                found.append(reply.record)
        records = [record for record in found if record is not None]
        return LookupResult(
            record=max(records, key=_get_recency, default=None),
            unanswered=tuple(unanswered),
        )

    def list_unreachable(self) -> list[str]:
        """Return hosts without a link that may still hold records."""
        return self._list_unreachable()

    async def take_over(self, record: Record) -> Record | None:
        """End a request's run on its entry host; return what it knew."""
        if record.entry_host == self._host:
            return await self._take_local(record.request_id)
        for link in self._list_links():
            if link.host != record.entry_host:
                continue
            stub = self._find_stub(link)
            request = handovers_pb2.FindRequest(request_id=record.request_id)
            try:
                reply = await stub.Take(request, timeout=TAKE_TIMEOUT_SECONDS)
            except grpc.RpcError:
                return None
            return reply.record if reply.HasField("record") else None
        return None

    def _find_stub(self, link) -> handovers_pb2_grpc.HandoversStub:
        """Return the stub for a link's channel, made once for each."""
        channel, stub = self._stubs.get(link.host, (None, None))
        if channel is not link.channel:
            stub = handovers_pb2_grpc.HandoversStub(link.channel)
            self._stubs[link.host] = (link.channel, stub)
        return stub

    def _prune_stubs(self, hosts: set[str]) -> None:
        """Let go of the channels to hosts that have no link any more."""
        for host in self._stubs.keys() - hosts:
            del self._stubs[host]

    def _list_hold_candidates(self, request_id: str, again: bool) -> list:
        """Return the holders to ask; those that don't answer come last.

        So a zone that is cut off holds its own records.
        """
        willing = self.list_holders(request_id)
        if not again:
            willing = [it for it in willing if not self._is_backing_off(it)]
        willing.sort(key=lambda it: _is_down(it) or self._is_backing_off(it))
        return willing[:MAX_HOLD_ATTEMPTS]

    def _is_backing_off(self, link) -> bool:
        return self._backoff_until.get(link.host, 0.0) > time.monotonic()

    async def _hold_at(self, link, record: Record):
        stub = self._find_stub(link)
        try:
            reply = await stub.Hold(
                handovers_pb2.HoldRequest(record=record),
                timeout=HOLD_TIMEOUT_SECONDS,
            )
        except grpc.RpcError:
            self._backoff_until[link.host] = (
                time.monotonic() + HOLD_BACKOFF_SECONDS
            )
            return None
        return reply.outcome

    async def _find_at(
        self, link, request_id: str
    ) -> handovers_pb2.FindReply | None:
        """Return a host's reply, or None if it gave none."""
        stub = self._find_stub(link)
        try:
            return await stub.Find(
                handovers_pb2.FindRequest(request_id=request_id),
                timeout=FIND_TIMEOUT_SECONDS,
            )
        except grpc.RpcError:
            return None


class HandoverServicer(handovers_pb2_grpc.HandoversServicer):
    """Holds records for peers and answers those that look for one."""

    def __init__(
        self,
        *,
        holdings: handover_records.HandoverRecords,
        find_local: Callable[[str], Record | None],
        take_local: AsyncLookup,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._holdings = holdings
        self._find_local = find_local
        self._take_local = take_local
        self._is_leaving = is_leaving

    async def Hold(self, request, context):  # noqa: N802
        """Keep a record."""
        if self._is_leaving():
            return handovers_pb2.HoldReply(outcome=handovers_pb2.HOLD_LEAVING)
        outcome = self._holdings.store(request.record)
        return handovers_pb2.HoldReply(outcome=outcome)

    async def Update(self, request, context):  # noqa: N802
        """Change a record."""
        known = self._holdings.update(request)
        return handovers_pb2.UpdateReply(known=known)

    async def Release(self, request, context):  # noqa: N802
        """Forget requests."""
        for release in request.releases:
            self._holdings.release(release.request_id, release.epoch)
        return handovers_pb2.ReleaseReply()

    async def Find(self, request, context):  # noqa: N802
        """Return the record of a request that runs or is held here."""
        record = self._find_local(request.request_id)
        if record is None:
            record = self._holdings.find(request.request_id)
        return handovers_pb2.FindReply(record=record)

    async def Take(self, request, context):  # noqa: N802
        """End a request's run here and return what is known of it."""
        record = await self._take_local(request.request_id)
        return handovers_pb2.FindReply(record=record)


def _is_down(link) -> bool:
    state = link.channel.get_state()
    return state is grpc.ChannelConnectivity.TRANSIENT_FAILURE


@functools.lru_cache(maxsize=4096)
def _compute_holder_weight(host: str) -> bytes:
    return _compute_weight("", host)


def _compute_weight(request_id: str, name: str) -> bytes:
    text = f"{request_id}/{name}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def _get_recency(record: Record) -> tuple[int, bool, int]:
    return (record.epoch, record.ended, len(record.texts))


def _fail(
    reason: reasons.Reason, peer: str = "", detail: str = ""
) -> reasons.Failure:
    return reasons.Failure(
        reason=reason, step="hand over", peer=peer, detail=detail
    )
