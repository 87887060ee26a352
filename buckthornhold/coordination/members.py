"""Members: a SWIM-style membership table of the entry hosts.

Each member is the only author of its record, which contains its incarnation
(one per process) and a sequence number that increases whenever the member
changes its state or refutes a doubt. Other hosts can only add a doubt, which
SWIM calls a suspicion. If a doubt isn't refuted in time, each host on its own
regards the member as ``GONE``. Only a member that leaves writes ``GONE`` into
its own record.
"""

from collections.abc import Callable
import dataclasses
import enum

from buckthornhold.coordination import member_lists
from buckthornhold.coordination import member_updates
from buckthornhold.coordination import pause_detectors

#: Time after which a member with an unrefuted doubt is regarded as gone.
SILENT_TIMEOUT_SECONDS = 5.0
REFUSED_TIMEOUT_SECONDS = 1.5


class MemberState(enum.IntEnum):
    """State in a member's own record; other hosts may also infer ``GONE``."""

    JOINING = 0
    READY = 1
    LEAVING = 2
    GONE = 3


class Doubt(enum.IntEnum):
    """Why other hosts suspect that a member has failed.

    ``SILENT`` may be a paused process, a network partition or a dead host.
    ``REFUSED`` means that its address refuses connections, so the process
    has ended.
    """

    NONE = 0
    SILENT = 1
    REFUSED = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """The gossiped record of one incarnation of an entry host.

    ``address`` is its advertised gRPC address, ``IP:port``.
    """

    host: str
    zone: str
    address: str
    incarnation: int
    sequence: int = 0
    state: MemberState = MemberState.JOINING
    doubt: Doubt = Doubt.NONE

    @property
    def key(self) -> tuple[str, int]:
        """Host name and incarnation, which identify a process."""
        return (self.host, self.incarnation)

    @property
    def precedence(self) -> tuple[int, int, bool, int]:
        """Sort key of a host's records; the record with the highest wins."""
        gone = self.state is MemberState.GONE
        return (self.incarnation, self.sequence, gone, self.doubt)

    @property
    def present(self) -> bool:
        """Whether the member runs without a doubt and is not leaving."""
        return self.doubt is Doubt.NONE and self.state in (
            MemberState.JOINING,
            MemberState.READY,
        )

    def replace(self, **changes) -> "Member":
        """Return a copy with some fields changed."""
        return dataclasses.replace(self, **changes)


@dataclasses.dataclass(kw_only=True)
class Topic:
    """A document whose version members compare when they probe.

    ``on_behind`` is called with the member that has a newer version and with
    that version; it must not block.
    """

    read_version: Callable[[], int]
    on_behind: Callable[[Member, int], None]


@dataclasses.dataclass(kw_only=True)
class Digest:
    """Replicated data that members compare by digest (anti-entropy).

    ``on_difference`` is called with a member whose probe reply has another
    digest; it must not block.
    """

    read: Callable[[], int]
    on_difference: Callable[[Member], None]


@dataclasses.dataclass(kw_only=True)
class _Entry:
    """A member's newest record, its doubt timer and whether it is gone."""

    member: Member
    doubted_at: float = 0.0
    gone: bool = False


class MemberTable:
    """This host's own record and its view of the other entry hosts.

    It has no dependencies and sends nothing itself. ``notify`` is called
    after each change of a member's state, incarnation or presence.

    Hosts compare versions by topic when they probe each other: a component
    adds its topic (for example ``rules`` with the newest revision's number)
    and is called with a member that has a newer version, so that it can pull
    it. Versions are integers that only increase. There should be few topics,
    as each adds its name and some bytes to every probe.
    """

    def __init__(
        self,
        *,
        own: Member,
        notify: Callable[[Member], None] = lambda member: None,
        clock: Callable[[], float] = pause_detectors.read_boot_clock,
    ) -> None:
        self._own = own
        self._notify = notify
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._updates = member_updates.UpdateQueue()
        #: Computed from the present records; None once one has changed.
        self._lists: member_lists.MemberLists | None = None
        self._topics: dict[str, Topic] = {}
        self._digests: dict[str, Digest] = {}
        self._superseded = False

    @property
    def own(self) -> Member:
        """This host's own record."""
        return self._own

    @property
    def superseded(self) -> bool:
        """Whether a newer incarnation has taken over this host's name."""
        return self._superseded

    @property
    def topics(self) -> dict[str, int]:
        """Version of each topic on this host."""
        return {
            name: topic.read_version() for name, topic in self._topics.items()
        }

    def add_topic(
        self,
        name: str,
        *,
        read_version: Callable[[], int],
        on_behind: Callable[[Member, int], None],
    ) -> None:
        """Compare a topic's version in each probe."""
        self._topics[name] = Topic(
            read_version=read_version, on_behind=on_behind
        )

    @property
    def digests(self) -> dict[str, int]:
        """Digest of each replicated data set on this host."""
        return {name: digest.read() for name, digest in self._digests.items()}

    def add_digest(
        self,
        name: str,
        *,
        read: Callable[[], int],
        on_difference: Callable[[Member], None],
    ) -> None:
        """Compare a data set's digest with that in each probe reply."""
        self._digests[name] = Digest(read=read, on_difference=on_difference)

    def list_all(self) -> list[Member]:
        """Return the other members that are not gone, even if doubted."""
        return list(self._get_lists().others)

    def count_all(self) -> int:
        """Return the number of other members that are not gone."""
        return len(self._get_lists().others)

    def list_ready(self) -> list[Member]:
        """Return the other members that are ready and not doubted."""
        return [
            member
            for member in self.list_all()
            if member.state is MemberState.READY and member.doubt is Doubt.NONE
        ]

    def list_present(self, *, zone: str | None = None) -> list[Member]:
        """Return the present members, this host included, of a zone or all."""
        return list(self._get_lists().list_present(zone))

    def rank_present(
        self, *, zone: str | None = None, purpose: str
    ) -> list[Member]:
        """Return the present members, ranked for a purpose."""
        return list(self._get_lists().rank_present(zone, purpose))

    def list_gone(self) -> list[Member]:
        """Return the members that are gone and not yet removed."""
        return [
            self._make_view(entry)
            for entry in self._entries.values()
            if entry.gone
        ]

    def find(self, host: str) -> Member | None:
        """Return a member by its host name; its state may be ``GONE``."""
        if host == self._own.host:
            return self._own
        entry = self._entries.get(host)
        return self._make_view(entry) if entry else None

    def list_ring(self) -> list[str]:
        """Return the names of all members not gone, in ring order."""
        return self._get_lists().ring

    def set_state(self, state: MemberState) -> None:
        """Set this host's own state, to be gossiped to all others."""
        if state is self._own.state:
            return
        self._update_own(self._own.sequence + 1, state)

    def apply(self, record: Member) -> bool:
        """Apply a record from a peer; return whether it was newer."""
        if record.host == self._own.host:
            self._apply_own(record)
            return False
        entry = self._entries.get(record.host)
        if entry is not None and record.precedence <= entry.member.precedence:
            return False
        before = None
        if entry is None:
            entry = _Entry(member=record)
            self._entries[record.host] = entry
        elif not entry.gone:
            before = entry.member
        self._update_entry(entry, record)
        self._notify_change(before, entry)
        return True

    def add_doubt(self, seen: Member, doubt: Doubt) -> None:
        """Add a doubt unless the record has changed since ``seen``."""
        entry = self._entries.get(seen.host)
        if entry is None or entry.member.state is MemberState.GONE:
            return
        now = entry.member
        if (now.key, now.sequence) != (seen.key, seen.sequence):
            return
        self.apply(now.replace(doubt=max(doubt, now.doubt)))

    def expire_doubts(self) -> list[Member]:
        """Mark members as gone whose doubts were not refuted in time."""
        expired = []
        now = self._clock()
        for entry in self._entries.values():
            doubt = entry.member.doubt
            if entry.gone or doubt is Doubt.NONE:
                continue
            refused = doubt is Doubt.REFUSED
            timeout = (
                REFUSED_TIMEOUT_SECONDS if refused else SILENT_TIMEOUT_SECONDS
            )
            if now - entry.doubted_at < timeout:
                continue
            entry.gone = True
            self._lists = None
            expired.append(self._make_view(entry))
        for member in expired:
            self._notify(member)
        return expired

    def reset_doubt_timers(self) -> None:
        """Restart all doubt timeouts, after a pause of this process."""
        for entry in self._entries.values():
            entry.doubted_at = self._clock()

    def remove(self, host: str) -> None:
        """Remove a member that is gone."""
        entry = self._entries.get(host)
        if entry is None or not entry.gone:
            return
        del self._entries[host]
        self._lists = None
        self._updates.remove(host)

    def select_updates(self, receiver: str) -> list[Member]:
        """Select a bounded number of records for one message.

        First a doubt that the receiver must refute, then the updates that
        were sent least often, then some other records in rotation.
        """
        selected = {}
        entry = self._entries.get(receiver)
        if entry is not None and (entry.gone or entry.member.doubt):
            selected[receiver] = entry.member
        for host in self._updates.select():
            selected[host] = self._entries[host].member
        return list(selected.values())

    def list_records(self) -> list[Member]:
        """Return all records as gossiped, including this host's own."""
        records = [entry.member for entry in self._entries.values()]
        return [self._own, *records]

    def compare_topics(self, host: str, topics: dict[str, int]) -> None:
        """Call ``on_behind`` of each topic that is newer on a peer."""
        member = self.find(host)
        if member is None:
            return
        for name, version in topics.items():
            topic = self._topics.get(name)
            if topic is None or version <= topic.read_version():
                continue
            topic.on_behind(member, version)

    def compare_digests(self, host: str, digests: dict[str, int]) -> None:
        """Call ``on_difference`` of each data set with another digest."""
        member = self.find(host)
        if member is None:
            return
        for name, value in digests.items():
            digest = self._digests.get(name)
            if digest is not None and value != digest.read():
                digest.on_difference(member)

    def _make_view(self, entry: _Entry) -> Member:
        if not entry.gone:
            return entry.member
        return entry.member.replace(state=MemberState.GONE)

    def _update_entry(self, entry: _Entry, record: Member) -> None:
        old = entry.member
        if record.doubt is not old.doubt or record.key != old.key:
            entry.doubted_at = self._clock()
        if not entry.doubted_at:
            entry.doubted_at = self._clock()
        still_gone = entry.gone and record.key == old.key and record.doubt
        entry.member = record
        entry.gone = record.state is MemberState.GONE or bool(still_gone)
        self._updates.add(record.host, host_count=len(self._entries) + 1)
        self._lists = None

    def _notify_change(self, before: Member | None, entry: _Entry) -> None:
        after = None if entry.gone else entry.member
        if before is None and after is None:
            return
        if before is not None and after is not None:
            old = (before.key, before.state, before.doubt, before.address)
            new = (after.key, after.state, after.doubt, after.address)
            if old == new:
                return
        self._notify(self._make_view(entry))

    def _apply_own(self, record: Member) -> None:
        if record.incarnation > self._own.incarnation:
            self._superseded = True
            return
        if record.incarnation < self._own.incarnation:
            return
        doubted = record.doubt is not Doubt.NONE
        if doubted and record.sequence >= self._own.sequence:
            self._update_own(record.sequence + 1, self._own.state)
            return
        if record.sequence > self._own.sequence:
            self._update_own(record.sequence + 1, self._own.state)

    def _update_own(self, sequence: int, state: MemberState) -> None:
        self._own = self._own.replace(sequence=sequence, state=state)
        self._lists = None

    def _get_lists(self) -> member_lists.MemberLists:
        if self._lists is None:
            known = self._entries.values()
            others = [entry.member for entry in known if not entry.gone]
            self._lists = member_lists.MemberLists(
                own=self._own, others=others
            )
        return self._lists
