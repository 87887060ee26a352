"""Failure detectors, which discover entry hosts and detect failed ones.

In each period a host probes one member, at a distance of 1, 2, 4, ... on the
ring of members in turn, and up to ``CANDIDATES_PER_PERIOD`` candidate
addresses from which no host is known. So a host's message rate doesn't
depend on the fleet's size, and its number of connections is logarithmic.
"""

import abc
import asyncio
from collections.abc import Callable
import dataclasses
import random

from buckthornhold import reasons
from buckthornhold import tasks
from buckthornhold.coordination import members
from buckthornhold.coordination import pause_detectors

CANDIDATES_PER_PERIOD = 2
JOIN_BATCH_SIZE = 3
INDIRECT_PROBERS = 2
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
#: Time for which a gone member's address is still probed.
GONE_RETENTION_SECONDS = 3600.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProbeMessage:
    """Contents of a probe or of its reply."""

    sender: members.Member
    updates: tuple[members.Member, ...] = ()
    topics: dict[str, int] = dataclasses.field(default_factory=dict)
    digests: dict[str, int] = dataclasses.field(default_factory=dict)


class ProbeTransport(abc.ABC):
    """Sends probes to other hosts.

    A method that fails returns the reason ``PEER_REFUSED`` if the address
    refuses connections, else ``PEER_UNREACHABLE``.
    """

    @abc.abstractmethod
    async def probe(
        self, address: str, message: ProbeMessage
    ) -> ProbeMessage | reasons.Failure:
        """Send a message to an address and return the reply."""

    @abc.abstractmethod
    async def probe_indirectly(
        self, address: str, host: str
    ) -> reasons.Failure | None:
        """Have the host at an address probe ``host``; None if it replies.

        The failure's reason is ``PEER_REFUSED`` or ``PEER_UNREACHABLE`` for
        the probed host.
        """

    @abc.abstractmethod
    async def list_members(
        self, address: str
    ) -> list[members.Member] | reasons.Failure:
        """Return every record of the host at an address."""


@dataclasses.dataclass(kw_only=True)
class _Candidate:
    """An address where a host may run; times are on the detector's clock."""

    address: str
    next_attempt: float
    backoff: float = MIN_BACKOFF_SECONDS


class FailureDetector(tasks.PeriodicService):
    """Probes members and candidates, and handles probes of other hosts.

    ``seeds`` are the initial candidate addresses. ``read_state`` returns this
    host's own state. Depends on a ``ProbeTransport`` and a pause detector.
    """

    def __init__(
        self,
        *,
        table: members.MemberTable,
        transport: ProbeTransport,
        pause_detector: pause_detectors.PauseDetector,
        seeds: tuple[str, ...],
        read_state: Callable[[], members.MemberState],
        interval: float,
        logger,
        counters,
        clock: Callable[[], float] = pause_detectors.read_boot_clock,
    ) -> None:
        super().__init__(interval=interval, logger=logger, counters=counters)
        self._table = table
        self._transport = transport
        self._pause_detector = pause_detector
        self._read_state = read_state
        self._clock = clock
        self._distance = 0
        self._candidates: dict[str, _Candidate] = {}
        self._gone_at: dict[str, float] = {}
        self._running = tasks.TaskSet(logger=logger, counters=counters)
        self._joined = asyncio.Event()
        self._seeds = seeds
        for address in seeds:
            self._add_candidate(address)
        pause_detector.add_refresher(self.refresh)

    @property
    def joined(self) -> asyncio.Event:
        """Set once a member replied or all known addresses were tried."""
        return self._joined

    def apply_listing(self, addresses: list[str]) -> None:
        """Update the candidates from the platform's list of entry hosts.

        A listed address becomes a candidate for probes, nothing else. An
        address that is no longer listed stops being one, unless it is a seed
        or a gone member's address.
        """
        for address in addresses:
            self._add_candidate(address)
        known = {*addresses, *self._seeds}
        known |= {member.address for member in self._table.list_gone()}
        for address in set(self._candidates) - known:
            del self._candidates[address]

    async def run_once(self) -> None:
        """Probe one member of the ring and some candidates."""
        self._pause_detector.detect_pause()
        if self._table.own.state is members.MemberState.GONE:
            return
        self._table.set_state(self._read_state())
        for member in self._table.expire_doubts():
            self._add_candidate(member.address)
        self._remove_expired_gone()
        if not self._joined.is_set():
            await self._join()
            return
        target = self._choose_target()
        if target is not None:
            self._running.start(self._probe_member(target))
        for candidate in self._select_candidates():
            self._running.start(self._probe_candidate(candidate))

    async def refresh(self) -> None:
        """Fetch all records from a member, after a pause of this process."""
        self._table.reset_doubt_timers()
        present = self._table.list_all()
        random.shuffle(present)
        for member in present[:JOIN_BATCH_SIZE]:
            if await self._fetch_members(member.address):
                return

    def handle_probe(self, message: ProbeMessage) -> ProbeMessage:
        """Apply a probe and return the reply."""
        self._apply_message(message)
        reply = self.make_message(message.sender.host)
        return dataclasses.replace(reply, digests=self._table.digests)

    async def handle_indirect_probe(self, host: str) -> reasons.Failure | None:
        """Probe a host on behalf of another; None if it replies."""
        member = self._table.find(host)
        if member is None:
            return _unreachable(host)
        message = self.make_message(host)
        reply = await self._transport.probe(member.address, message)
        if isinstance(reply, reasons.Failure):
            return reply
        self._apply_message(reply)
        return None if reply.sender.host == host else _unreachable(host)

    def make_message(self, receiver: str) -> ProbeMessage:
        """Return a probe message for a host; ``""`` if it is unknown."""
        return ProbeMessage(
            sender=self._table.own,
            updates=tuple(self._table.select_updates(receiver)),
            topics=self._table.topics,
        )

    async def announce_gone(self) -> None:
        """Announce to the members that probe this host that it has left."""
        self._table.set_state(members.MemberState.GONE)
        ring = self._table.list_ring()
        start = ring.index(self._table.own.host)
        distances = [1 << power for power in range(len(ring).bit_length())]
        names = {
            ring[start - distance]
            for distance in distances
            if distance < len(ring)
        }
        await asyncio.gather(
            *[
                self._transport.probe(
                    self._table.find(name).address, self.make_message(name)
                )
                for name in names
            ]
        )

    async def on_stop(self) -> None:
        """Cancel the probes in progress."""
        await self._running.cancel()

    async def _join(self) -> None:
        batch = list(self._candidates.values())
        for start in range(0, len(batch), JOIN_BATCH_SIZE):
            found = await asyncio.gather(
                *[
                    self._fetch_members(seed.address)
                    for seed in batch[start : start + JOIN_BATCH_SIZE]
                ]
            )
            if any(found):
                break
        for candidate in batch:
            candidate.next_attempt = self._clock()
        self._joined.set()

    async def _fetch_members(self, address: str) -> bool:
        reply = await self._transport.probe(address, self.make_message(""))
        if isinstance(reply, reasons.Failure):
            return False
        self._apply_message(reply)
        records = await self._transport.list_members(address)
        if isinstance(records, reasons.Failure):
            return False
        for record in records:
            self._table.apply(record)
        return reply.sender.host != self._table.own.host

    def _choose_target(self) -> members.Member | None:
        ring = self._table.list_ring()
        if len(ring) < 2:
            return None
        if 1 << self._distance >= len(ring):
            self._distance = 0
        start = ring.index(self._table.own.host)
        name = ring[(start + (1 << self._distance)) % len(ring)]
        self._distance += 1
        return self._table.find(name)

    async def _probe_member(self, member: members.Member) -> None:
        started_at = self._clock()
        message = self.make_message(member.host)
        reply = await self._transport.probe(member.address, message)
        if not isinstance(reply, reasons.Failure):
            self._apply_message(reply)
            if reply.sender.host != member.host:
                self._table.add_doubt(member, members.Doubt.REFUSED)
            return
        if await self._probe_indirectly(member):
            return
        if self._pause_detector.paused_since(started_at):
            return
        self._counters.count_event("members.doubted")
        refused = reply.reason is reasons.Reason.PEER_REFUSED
        doubt = members.Doubt.REFUSED if refused else members.Doubt.SILENT
        self._table.add_doubt(member, doubt)

    async def _probe_indirectly(self, member: members.Member) -> bool:
        probers = self._list_indirect_probers(member)
        replies = await asyncio.gather(
            *[
                self._transport.probe_indirectly(prober.address, member.host)
                for prober in probers[:INDIRECT_PROBERS]
            ]
        )
        return any(reply is None for reply in replies)

    def _list_indirect_probers(
        self, target: members.Member
    ) -> list[members.Member]:
        """List the members that may probe a target for this host, best first.

        Members of third zones come first: during a partition between two
        zones this host can't reach the target's zone, and members of this
        host's zone can't reach the target.
        """
        own = self._table.own
        probers = [
            member
            for member in self._table.list_present()
            if member.host not in (target.host, own.host)
        ]
        random.shuffle(probers)
        probers.sort(key=lambda prober: prober.zone in (own.zone, target.zone))
        return probers

    def _apply_message(self, message: ProbeMessage) -> None:
        sender = message.sender
        self._table.apply(sender)
        for record in message.updates:
            self._table.apply(record)
        self._table.compare_topics(sender.host, message.topics)
        self._table.compare_digests(sender.host, message.digests)

    def _add_candidate(self, address: str) -> None:
        if address in self._candidates:
            return
        self._candidates[address] = _Candidate(
            address=address, next_attempt=self._clock()
        )

    def _select_candidates(self) -> list[_Candidate]:
        known = {member.address for member in self._table.list_all()}
        known.add(self._table.own.address)
        now = self._clock()
        due = [
            waiting
            for waiting in self._candidates.values()
            if waiting.address not in known and waiting.next_attempt <= now
        ]
        due.sort(key=lambda waiting: waiting.next_attempt)
        for candidate in due[:CANDIDATES_PER_PERIOD]:
            candidate.next_attempt = now + candidate.backoff
            candidate.backoff = min(MAX_BACKOFF_SECONDS, 2 * candidate.backoff)
        return due[:CANDIDATES_PER_PERIOD]

    async def _probe_candidate(self, candidate: _Candidate) -> None:
        gone = [
            member.host
            for member in self._table.list_gone()
            if member.address == candidate.address
        ]
        message = self.make_message(gone[0] if gone else "")
        reply = await self._transport.probe(candidate.address, message)
        if isinstance(reply, reasons.Failure):
            return
        candidate.backoff = MIN_BACKOFF_SECONDS
        self._apply_message(reply)

    def list_recently_silent(self, *, seconds: float) -> list[str]:
        """Return the hosts that became gone by silence within ``seconds``.

        They may still run behind a network partition.
        """
        now = self._clock()
        return [
            member.host
            for member in self._table.list_gone()
            if member.doubt is members.Doubt.SILENT
            and now - self._gone_at.get(member.host, now) < seconds
        ]

    def _remove_expired_gone(self) -> None:
        now = self._clock()
        gone = [member.host for member in self._table.list_gone()]
        self._gone_at = {host: self._gone_at.get(host, now) for host in gone}
        for host, gone_at in self._gone_at.items():
            if now - gone_at >= GONE_RETENTION_SECONDS:
                self._table.remove(host)


def _unreachable(host: str) -> reasons.Failure:
    return reasons.Failure(
        reason=reasons.Reason.PEER_UNREACHABLE,
        step="probe for another",
        peer=host,
    )
