"""Departures: gossip between entry hosts about upstreams that are leaving.

A host that learns of a departure sends it to a few relays in each
availability zone, and each relay forwards it within its zone. A host that
sees another digest in a probe's reply reconciles with that peer, which
repairs lost messages (anti-entropy). A departure contains an incarnation, so
it doesn't apply to a new process on the same address.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import hashlib
import math
import random
import time

import grpc
import loguru

from buckthornhold import reasons
from buckthornhold.peers import upstreams_pb2
from buckthornhold.peers import upstreams_pb2_grpc

RELAYS_PER_ZONE = 2
BATCH_DELAY_SECONDS = 0.01
#: Maximum random delay of hosts that read the same list, so that few send.
LISTED_JITTER_SECONDS = 0.2
PEER_TIMEOUT_SECONDS = 0.5
#: A departure is only sent again if its time is earlier by more than this.
TIME_TOLERANCE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Departure:
    """One incarnation of an upstream that leaves at ``leaves_at``.

    The time is on the monotonic clock, in seconds; infinite if unknown.
    """

    host: str
    incarnation: int
    leaves_at: float = math.inf


class Departures:
    """The departures known to this host, which it sends to its peers.

    Depends on peer links only: ``list_links`` returns objects with
    ``channel``, ``host`` and ``zone``. ``on_departure`` is called with each
    departure that is new on this host.
    """

    def __init__(
        self,
        *,
        list_links: Callable[[], list],
        on_departure: Callable[[Departure], None],
        start_task: Callable,
    ) -> None:
        self._list_links = list_links
        self._on_departure = on_departure
        self._start_task = start_task
        self._departures: dict[str, Departure] = {}
        self._unsent: dict[str, Departure] = {}
        self._reconciling = False

    def list_all(self) -> list[Departure]:
        """Return the latest known departure of each host."""
        return list(self._departures.values())

    def find(self, host: str, incarnation: int) -> Departure | None:
        """Return the departure of a host's incarnation, or None."""
        known = self._departures.get(host)
        if known is None or known.incarnation < incarnation:
            return None
        return known

    def add(self, departure: Departure, *, listed: bool) -> None:
        """Apply a departure and send it to the peers.

        ``listed`` means that all hosts can read it from the platform's list.
        """
        if not self._apply(departure):
            return
        if not self._unsent:
            delay = BATCH_DELAY_SECONDS
            if listed:
                delay += random.uniform(0, LISTED_JITTER_SECONDS)
            self._start_task(
                self._send_unsent(delay), step="spread departures"
            )
        self._unsent[departure.host] = departure

    def merge(self, departures: list[Departure]) -> list[Departure]:
        """Apply a peer's departures; return those that were new."""
        return [
            departure for departure in departures if self._apply(departure)
        ]

    def remove(self, host: str) -> None:
        """Remove a host that is no longer listed anywhere."""
        self._departures.pop(host, None)

    def digest(self) -> int:
        """Return a digest of the known departures."""
        names = sorted(
            f"{departure.host}:{departure.incarnation}"
            for departure in self._departures.values()
        )
        hashed = hashlib.blake2b("\n".join(names).encode(), digest_size=8)
        return int.from_bytes(hashed.digest(), "big")

    def start_reconcile(self, host: str) -> None:
        """Reconcile with a peer unless a reconciliation is in progress."""
        found = [link for link in self._list_links() if link.host == host]
        if self._reconciling or not found:
            return
        self._reconciling = True
        self._start_task(
            self._run_reconcile(found[0]), step="reconcile departures"
        )

    async def _run_reconcile(self, link) -> None:
        try:
            await self._reconcile(link)
        finally:
            self._reconciling = False

    async def reconcile_with_any(self) -> None:
        """Reconcile with a random peer, after a pause of this process."""
        links = self._list_links()
        if links:
            await self._reconcile(random.choice(links))

    async def _reconcile(self, link) -> None:
        """Exchange the departures that this host or the peer is missing."""
        reply = await self._send(link, [], digest=self.digest())
        if reply is None or not reply.departures:
            return
        received = decode_departures(reply.departures)
        self.merge(received)
        keys = {(remote.host, remote.incarnation) for remote in received}
        missing = [
            departure
            for departure in self._departures.values()
            if (departure.host, departure.incarnation) not in keys
        ]
        if missing:
            await self._send(link, missing)

    async def relay(self, departures: list[Departure], zone: str) -> None:
        """Forward departures to the peers in this host's zone."""
        await asyncio.gather(
            *[
                self._send(link, departures)
                for link in self._list_links()
                if link.zone == zone
            ]
        )

    def _apply(self, departure: Departure) -> bool:
        known = self._departures.get(departure.host)
        if known is not None:
            if known.incarnation > departure.incarnation:
                return False
            same = known.incarnation == departure.incarnation
            earliest = known.leaves_at - TIME_TOLERANCE_SECONDS
            if same and earliest <= departure.leaves_at:
                return False
        self._departures[departure.host] = departure
        self._unsent.pop(departure.host, None)
        self._on_departure(departure)
        return True

    async def _send_unsent(self, delay: float) -> None:
        await asyncio.sleep(delay)
        departures = list(self._unsent.values())
        self._unsent.clear()
        if not departures:
            return
        zones: dict[str, list] = {}
        for link in self._list_links():
            zones.setdefault(link.zone, []).append(link)
        await asyncio.gather(
            *[
                self._send_to_zone(links, departures)
                for links in zones.values()
            ]
        )

    async def _send_to_zone(self, links: list, departures) -> None:
        """Send to a zone's relays; if all fail, try other hosts."""
        random.shuffle(links)
        while links:
            relays, links = links[:RELAYS_PER_ZONE], links[RELAYS_PER_ZONE:]
            replies = await asyncio.gather(
                *[self._send(link, departures, relay=True) for link in relays]
            )
            if any(reply is not None for reply in replies):
                return

    async def _send(
        self,
        link,
        departures: list[Departure],
        *,
        relay: bool = False,
        digest: int | None = None,
    ):
        stub = upstreams_pb2_grpc.UpstreamsStub(link.channel)
        request = upstreams_pb2.MarkLeavingRequest(
            departures=encode_departures(departures),
            relay=relay,
            digest=digest,
        )
        try:
            return await stub.MarkLeaving(
                request, timeout=PEER_TIMEOUT_SECONDS
            )
        except grpc.RpcError as error:
            loguru.logger.bind(
                step="mark leaving",
                peer=link.host,
                reason=reasons.Reason.PEER_UNREACHABLE.value,
            ).debug(error.details())
            return None


class DepartureServicer(upstreams_pb2_grpc.UpstreamsServicer):
    """Serves the departures that peers send."""

    def __init__(
        self, *, departures: Departures, zone: str, start_task: Callable
    ) -> None:
        self._departures = departures
        self._zone = zone
        self._start_task = start_task

    async def MarkLeaving(self, request, context):  # noqa: N802
        """Apply departures and forward those that are new."""
        new = self._departures.merge(decode_departures(request.departures))
        if new and request.relay:
            self._start_task(
                self._departures.relay(new, self._zone),
                step="relay departures",
            )
        reply = upstreams_pb2.MarkLeavingReply()
        if request.HasField("digest") and (
            request.digest != self._departures.digest()
        ):
            known = self._departures.list_all()
            reply.departures.extend(encode_departures(known))
        return reply


def encode_departures(departures: list[Departure]) -> list:
    """Return departures as messages, with the seconds until they leave."""
    now = time.monotonic()
    messages = []
    for departure in departures:
        seconds_left = None
        if departure.leaves_at != math.inf:
            seconds_left = max(0.0, departure.leaves_at - now)
        messages.append(
            upstreams_pb2.Departure(
                host=departure.host,
                incarnation=departure.incarnation,
                seconds_left=seconds_left,
            )
        )
    return messages


def decode_departures(messages) -> list[Departure]:
    """Return the departures in messages, with times on this host's clock."""
    now = time.monotonic()
    departures = []
    for message in messages:
        leaves_at = math.inf
        if message.HasField("seconds_left"):
            leaves_at = now + message.seconds_left
        departures.append(
            Departure(
                host=message.host,
                incarnation=message.incarnation,
                leaves_at=leaves_at,
            )
        )
    return departures
