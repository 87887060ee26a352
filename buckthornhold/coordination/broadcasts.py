"""Broadcasts: one versioned document to all hosts, by push and by pull.

A newer document goes to all hosts by a tree. Whoever was missed sees the
newer version with a probe and pulls. Few hosts of each zone, the watchers,
look at the platform.
"""

import abc
import asyncio
from collections.abc import Callable
import dataclasses
import functools
import random

from buckthornhold import reasons
from buckthornhold import tasks
from buckthornhold.coordination import broadcast_trees
from buckthornhold.coordination import host_rankings
from buckthornhold.coordination import members

WATCHERS_PER_ZONE = 2
#: Members asked by a host that starts or was paused.
PULL_SAMPLE_SIZE = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Document:
    """One version of a topic's document.

    With ``base`` the body tells only what changed since the contents that
    had this digest; ``digest`` is that of the contents after it.
    """

    topic: str
    version: int
    body: str
    base: int | None = None
    digest: int = 0


class Transport(abc.ABC):
    """Carries documents to and from other hosts by published address."""

    @abc.abstractmethod
    async def push(
        self, address: str, document: Document, *, root: str
    ) -> bool | reasons.Failure:
        """Give a document to a host, in the tree below host ``root``.

        False means that the host lacks what the document starts from.
        """

    @abc.abstractmethod
    async def pull(
        self, address: str, topic: str, *, known: int
    ) -> Document | None | reasons.Failure:
        """Return a host's document if it is newer than version ``known``."""


@dataclasses.dataclass(kw_only=True)
class _Topic:
    read: Callable[[], Document]
    read_version: Callable[[], int]
    apply: Callable[[Document], bool]
    read_delta: Callable[[], Document | None]
    read_digest: Callable[[], int | None]
    should_pull: Callable[[], bool]
    pulling: bool = False


class Broadcasts:
    """Spreads documents over the members. Needs a ``Carrier`` alone."""

    def __init__(
        self,
        *,
        table: members.MemberTable,
        transport: Transport,
        logger,
        counters,
    ) -> None:
        self._table = table
        self._tree = broadcast_trees.BroadcastTree(table=table)
        self._transport = transport
        self._counters = counters
        self._topics: dict[str, _Topic] = {}
        self._tasks = tasks.TaskSet(logger=logger, counters=counters)

    def add_topic(
        self,
        name: str,
        *,
        read: Callable[[], Document],
        read_version: Callable[[], int],
        apply: Callable[[Document], bool],
        read_delta: Callable[[], Document | None] = lambda: None,
        read_digest: Callable[[], int | None] = lambda: None,
        should_pull: Callable[[], bool] = lambda: True,
    ) -> None:
        """Spread a document.

        ``read`` returns the newest one that this host has, and
        ``read_version`` its version alone; ``take`` takes one in and tells
        whether it was newer. ``read_news`` may return the newest one as
        what changed, and ``read_digest`` the digest of what this host has;
        a host that has something else is sent the whole. A host that is
        behind pulls only while ``is_wanted`` says so.
        """
        self._topics[name] = _Topic(
            read=read,
            read_version=read_version,
            apply=apply,
            read_delta=read_delta,
            read_digest=read_digest,
            should_pull=should_pull,
        )
        self._table.add_topic(
            name,
            read_version=read_version,
            on_behind=lambda member, version: self._start_pull(name, member),
        )

    def is_watcher(self, purpose: str) -> bool:
        """Tell whether this host is among its zone's watchers now.

        Hosts that see the same members choose the same watchers; a host
        that sees no other member of its zone is one itself.
        """
        return self._table.own.host in self._list_watchers(purpose)

    def find_phase(self, purpose: str) -> float | None:
        """Return this watcher's place among all zones' watchers.

        It is a part of 1; None if this host is not a watcher. Places of
        zones alternate, so that the others lie apart if a zone is away.
        """
        watchers = self._list_watchers(purpose)
        own = self._table.own
        if own.host not in watchers:
            return None
        zones = sorted({it.zone for it in self._table.list_present()})
        in_round = zones.index(own.zone) / len(zones)
        return (watchers.index(own.host) + in_round) / len(watchers)

    def _list_watchers(self, purpose: str) -> list[str]:
        ranked = host_rankings.rank_members(
            self._table.list_present(zone=self._table.own.zone),
            purpose=purpose,
        )
        return [it.host for it in ranked[:WATCHERS_PER_ZONE]]

    def publish(self, topic: str) -> None:
        """Send this host's document to all zones, from a task of its own."""
        document = self._topics[topic].read_delta()
        if document is None:
            document = self._topics[topic].read()
        self._tasks.start(self._send(document))

    def handle_push(self, document: Document, *, root: str) -> bool:
        """Take in a pushed document and hand it on if it was newer.

        False means that this host lacks what the document starts from.
        """
        topic = self._topics.get(document.topic)
        if topic is None or document.version <= topic.read_version():
            return True
        if document.base is not None and topic.read_digest() not in (
            document.base,
            document.digest,
        ):
            return False
        if not topic.apply(document):
            return True
        self._counters.count_event("broadcasts.pushed")
        self._tasks.start(self._forward(document, root))
        return True

    def handle_pull(self, topic: str, *, known: int) -> Document | None:
        """Return this host's document if it is newer than ``known``."""
        if topic not in self._topics:
            return None
        if self._topics[topic].read_version() <= known:
            return None
        return self._topics[topic].read()

    async def pull_from_random_members(self, topic: str) -> bool:
        """Ask some members for their document; tell whether any answered."""
        present = [
            member
            for member in self._table.list_present()
            if member.host != self._own_host
        ]
        random.shuffle(present)
        answers = await asyncio.gather(
            *[
                self._pull(topic, member.address)
                for member in present[:PULL_SAMPLE_SIZE]
            ]
        )
        return any(answers)

    async def stop(self) -> None:
        """End what is being sent."""
        await self._tasks.cancel()

    @property
    def _own_host(self) -> str:
        return self._table.own.host

    def _start_pull(self, name: str, member: members.Member) -> None:
        if self._topics[name].pulling or not self._topics[name].should_pull():
            return
        self._topics[name].pulling = True
        self._tasks.start(self._pull_newer(name, member))

    async def _pull_newer(self, name: str, member: members.Member) -> None:
        try:
            if await self._pull(name, member.address):
                self._counters.count_event("broadcasts.pulled")
        finally:
            self._topics[name].pulling = False

    async def _pull(self, name: str, address: str) -> bool:
        topic = self._topics[name]
        document = await self._transport.pull(
            address, name, known=topic.read_version()
        )
        if isinstance(document, reasons.Failure):
            return False
        if document is not None:
            topic.apply(document)
        return True

    async def _send(self, document: Document) -> None:
        push = functools.partial(self._push, document)
        await self._tree.send(push, purpose=document.topic)

    async def _forward(self, document: Document, root: str) -> None:
        push = functools.partial(self._push, document)
        await self._tree.send_to_subtree(
            push, root=root, parent=self._own_host
        )

    async def _push(
        self, document: Document, member: members.Member, root: str
    ) -> bool:
        result = await self._transport.push(
            member.address, document, root=root
        )
        if result is False:
            self._counters.count_event("broadcasts.pushed_whole")
            document = self._topics[document.topic].read()
            result = await self._transport.push(
                member.address, document, root=root
            )
        return result is True
