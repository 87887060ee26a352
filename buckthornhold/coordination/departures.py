"""Departures: which upstreams are leaving, as all entry hosts learn it.

A host that learns of a departure tells a few relays in each availability
zone, and each relay tells its own zone. Whoever sees another digest of them
in the answer to a probe compares with that peer, which mends what was lost. A
departure names an incarnation, so a new one on the same address starts clean.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import hashlib
import math
import random
import time

import grpc

from buckthornhold.peers import upstreams_pb2
from buckthornhold.peers import upstreams_pb2_grpc

RELAYS_PER_ZONE = 2
BATCH_DELAY_SECONDS = 0.01
#: Hosts that read the same list wait up to this long, so that few speak.
LISTED_JITTER_SECONDS = 0.2
PEER_TIMEOUT_SECONDS = 0.5
#: A departure's time is only told again if it comes earlier by this.
TIME_TOLERANCE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Departure:
    """One incarnation of an upstream that goes at ``leaves_at``.

    The time is on the monotonic clock, in seconds; infinite if unknown.
    """

    host: str
    incarnation: int
    leaves_at: float = math.inf


class Departures:
    """The departures that a host knows, and how it tells its peers.

    Needs peer links alone: ``list_links`` returns objects with ``channel``,
    ``host`` and ``zone``. ``take`` is called with each departure that is new
    here.
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
        """Return every known departure, the latest of each host."""
        return list(self._departures.values())

    def find(self, host: str, incarnation: int) -> Departure | None:
        """Return the departure of a host's incarnation, if it is known."""
        known = self._departures.get(host)
        if known is None or known.incarnation < incarnation:
            return None
        return known

    def add(self, departure: Departure, *, listed: bool) -> None:
        """Take in a departure and tell the peers.

        ``listed`` says that all hosts can read it on the platform's list.
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
        """Take in a peer's departures; return those that were new."""
        return [it for it in departures if self._apply(it)]

    def remove(self, host: str) -> None:
        """Forget a host that is on no list any more."""
        self._departures.pop(host, None)

    def digest(self) -> int:
        """Return a number that differs where departures differ."""
        names = sorted(
            f"{it.host}:{it.incarnation}" for it in self._departures.values()
        )
        hashed = hashlib.blake2b("\n".join(names).encode(), digest_size=8)
        return int.from_bytes(hashed.digest(), "big")

    def start_reconcile(self, host: str) -> None:
        """Compare with a peer, unless a comparison is under way."""
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
        """Compare with one peer at once, after a pause of the process."""
        links = self._list_links()
        if links:
            await self._reconcile(random.choice(links))

    async def _reconcile(self, link) -> None:
        """Compare with one peer and mend what either side lacks."""
        reply = await self._send(link, [], digest=self.digest())
        if reply is None or not reply.departures:
            return
        theirs = decode_departures(reply.departures)
        self.merge(theirs)
        named = {(it.host, it.incarnation) for it in theirs}
        lacking = [
            it
            for it in self._departures.values()
            if (it.host, it.incarnation) not in named
        ]
        if lacking:
            await self._send(link, lacking)

    async def relay(self, departures: list[Departure], zone: str) -> None:
        """Pass departures on to the peers of this host's own zone."""
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
        """Tell a zone by relays, others in place of those that fail."""
        random.shuffle(links)
        while links:
            relays, links = links[:RELAYS_PER_ZONE], links[RELAYS_PER_ZONE:]
            replies = await asyncio.gather(
                *[self._send(it, departures, relay=True) for it in relays]
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
        except grpc.RpcError:
            return None


class DepartureServicer(upstreams_pb2_grpc.UpstreamsServicer):
    """Takes the departures that peers tell."""

    def __init__(
        self, *, departures: Departures, zone: str, start_task: Callable
    ) -> None:
        self._departures = departures
        self._zone = zone
        self._start_task = start_task

    async def MarkLeaving(self, request, context):  # noqa: N802
        """Take in departures; pass on those that are new."""
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
    """Return departures as messages, with the seconds that are left."""
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
    """Return the departures of messages, on this host's clock."""
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
