"""Handovers of accepted requests, which outlive their entry host.

As soon as a request is accepted, another host in another failure domain holds
a record of what is needed to resume it. The holder is selected by rendezvous
hashing of the request id, over the zones first and then over a pool of hosts
per zone, so any host finds it, whichever host accepted the request.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import hashlib
import time

import grpc
import loguru

from buckthornhold import reasons
from buckthornhold.coordination import handover_records
from buckthornhold.peers import handovers_pb2
from buckthornhold.peers import handovers_pb2_grpc

#: Hosts per availability zone that may hold records.
HOLDER_POOL_HOSTS_PER_ZONE = 16
#: Hosts of that pool that may hold the record of one request.
CANDIDATES_PER_ZONE = 2
MAX_HOLD_ATTEMPTS = 4
HOLD_TIMEOUT_SECONDS = 0.3
#: Timeout over all hosts that are tried as holders of one record.
HOLD_TOTAL_TIMEOUT_SECONDS = 0.8
FIND_TIMEOUT_SECONDS = 0.4
NARROW_FIND_HOSTS = 2
MAX_WIDE_FIND_HOSTS = 16
TAKE_TIMEOUT_SECONDS = 1.0
#: Time for which a peer that did not answer isn't tried as a holder again.
HOLD_BACKOFF_SECONDS = 2.0

Record = handovers_pb2.HandoverRecord
AsyncLookup = Callable[[str], Awaitable[Record | None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LookupResult:
    """Result of a lookup of a request's record.

    ``unanswered`` lists the hosts that did not answer; they may still hold
    the record.
    """

    record: Record | None = None
    unanswered: tuple[str, ...] = ()

    @property
    def complete(self) -> bool:
        """Whether all queried hosts answered."""
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
        records: handover_records.HandoverRecords,
        find_local: Callable[[str], Record | None],
        take_local: AsyncLookup,
        list_unreachable: Callable[[], list[str]] = list,
    ) -> None:
        self._host = host
        self._zone = zone
        self._list_links = list_links
        self._list_eligible_links = list_eligible_links
        self._records = records
        self._find_local = find_local
        self._take_local = take_local
        self._list_unreachable = list_unreachable
        self._backoff_until: dict[str, float] = {}
        self._stubs: dict[str, tuple] = {}

    @property
    def records(self) -> handover_records.HandoverRecords:
        """The records that this host holds for others."""
        return self._records

    def list_holders(self, request_id: str) -> list:
        """Return links to the candidate holders, in order of preference.

        Hosts of this zone come last, as they share its failures.
        """
        zones = self._group_pool_links_by_zone(self._list_eligible_links())
        others = [zone for zone in zones if zone != self._zone]
        others.sort(key=lambda zone: _compute_weight(request_id, zone))
        ranked = {
            zone: sorted(
                links, key=lambda link: _compute_weight(request_id, link.host)
            )
            for zone, links in zones.items()
        }
        holders = [
            link
            for rank in range(CANDIDATES_PER_ZONE)
            for zone in others
            for link in ranked[zone][rank : rank + 1]
        ]
        return holders + ranked.get(self._zone, [])[:CANDIDATES_PER_ZONE]

    def _group_pool_links_by_zone(self, links: list) -> dict[str, list]:
        """Return the links to each zone's pool of holders.

        The pool's size bounds the connections of each host. All hosts select
        the same pool.
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
        """Return links to all pool hosts, the likeliest holders first.

        A holder is in another zone than the entry host. That zone is unknown
        here, so the first hosts of the first two zones come first.
        """
        ranked = self._group_pool_links_by_zone(self._list_links())
        zones = sorted(
            ranked, key=lambda zone: _compute_weight(request_id, zone)
        )
        entries = [
            (rank, zones.index(zone), link)
            for zone, links in ranked.items()
            for rank, link in enumerate(
                sorted(
                    links,
                    key=lambda link: _compute_weight(request_id, link.host),
                )
            )
        ]
        entries.sort(key=lambda entry: entry[:2])
        return [link for _, _, link in entries]

    async def hold(
        self,
        record: Record,
        *,
        is_retry: bool = False,
        allows: Callable[[str], bool] = lambda zone: True,
    ) -> str | reasons.Failure:
        """Replicate a record; return its holder, or "" if none was reached.

        ``allows`` tells whether hosts of a zone may hold it.

        A failure means that no holder has room or that the id is already
        known; the request was not run. With ``is_retry`` no client waits, so
        hosts in backoff are tried as well.
        """
        full = False
        try:
            async with asyncio.timeout(HOLD_TOTAL_TIMEOUT_SECONDS):
                for link in self._list_hold_candidates(
                    record.request_id, is_retry, allows
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
            _log_unanswered("hold", "", "no holder answered in time")
        if full:
            return _fail(reasons.Reason.HOST_FULL, detail="no holder has room")
        return ""

    def filter_connected(self, holders: set[str]) -> set[str]:
        """Return the holders that are eligible and currently connected.

        The connections of a process that died close at once, long before the
        host is removed from the list.
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
        """Send a holder an update; return whether it holds the record."""
        for link in self._list_links():
            if link.host != holder:
                continue
            stub = self._find_stub(link)
            try:
                reply = await stub.Update(update, timeout=HOLD_TIMEOUT_SECONDS)
            except grpc.RpcError as error:
                _log_unanswered("update", holder, error.details())
                return False
            return reply.known
        return False

    async def release(
        self, holder: str, releases: list[tuple[str, int]]
    ) -> None:
        """Release records of finished requests, given by id and epoch."""
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
            except grpc.RpcError as error:
                _log_unanswered("release", holder, error.details())
                return

    async def find(
        self, request_id: str, *, wide: bool = False
    ) -> LookupResult:
        """Find a request's latest record on its likely holders.

        With ``wide``, more hosts are queried, up to a limit.
        """
        links = self._list_likely_holders(request_id)
        if not wide:
            links = links[:NARROW_FIND_HOSTS]
        links = links[:MAX_WIDE_FIND_HOSTS]
        replies = await asyncio.gather(
            *[self._find_at(link, request_id) for link in links]
        )
        found = [self._find_local(request_id), self._records.find(request_id)]
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
        """Stop a request on its entry host; return that host's record."""
        if record.entry_host == self._host:
            return await self._take_local(record.request_id)
        for link in self._list_links():
            if link.host != record.entry_host:
                continue
            stub = self._find_stub(link)
            request = handovers_pb2.FindRequest(request_id=record.request_id)
            try:
                reply = await stub.Take(request, timeout=TAKE_TIMEOUT_SECONDS)
            except grpc.RpcError as error:
                _log_unanswered("take", link.host, error.details())
                return None
            return reply.record if reply.HasField("record") else None
        return None

    def _find_stub(self, link) -> handovers_pb2_grpc.HandoversStub:
        """Return the cached stub of a link's channel."""
        channel, stub = self._stubs.get(link.host, (None, None))
        if channel is not link.channel:
            stub = handovers_pb2_grpc.HandoversStub(link.channel)
            self._stubs[link.host] = (link.channel, stub)
        return stub

    def _prune_stubs(self, hosts: set[str]) -> None:
        """Remove the stubs of hosts that no longer have a link."""
        for host in self._stubs.keys() - hosts:
            del self._stubs[host]

    def _list_hold_candidates(
        self, request_id: str, is_retry: bool, allows: Callable[[str], bool]
    ) -> list:
        """Return the holders to try; unresponsive ones come last.

        This way a zone behind a network partition holds its own records.
        """
        links = [
            link for link in self.list_holders(request_id) if allows(link.zone)
        ]
        if not is_retry:
            links = [link for link in links if not self._is_backing_off(link)]
        links.sort(
            key=lambda link: _is_down(link) or self._is_backing_off(link)
        )
        return links[:MAX_HOLD_ATTEMPTS]

    def _is_backing_off(self, link) -> bool:
        return self._backoff_until.get(link.host, 0.0) > time.monotonic()

    async def _hold_at(self, link, record: Record):
        stub = self._find_stub(link)
        try:
            reply = await stub.Hold(
                handovers_pb2.HoldRequest(record=record),
                timeout=HOLD_TIMEOUT_SECONDS,
            )
        except grpc.RpcError as error:
            _log_unanswered("hold", link.host, error.details())
            self._backoff_until[link.host] = (
                time.monotonic() + HOLD_BACKOFF_SECONDS
            )
            return None
        return reply.outcome

    async def _find_at(
        self, link, request_id: str
    ) -> handovers_pb2.FindReply | None:
        """Return a host's reply, None if the call failed."""
        stub = self._find_stub(link)
        try:
            return await stub.Find(
                handovers_pb2.FindRequest(request_id=request_id),
                timeout=FIND_TIMEOUT_SECONDS,
            )
        except grpc.RpcError as error:
            _log_unanswered("find", link.host, error.details())
            return None


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


def _log_unanswered(step: str, peer: str, detail: str) -> None:
    loguru.logger.bind(
        step=f"hand over, {step}",
        peer=peer,
        reason=reasons.Reason.PEER_UNREACHABLE.value,
    ).debug(detail)
