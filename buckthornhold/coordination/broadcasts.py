"""Broadcasts of versioned documents to all hosts, by push and pull.

A newer document is pushed to all hosts along a tree. A host that was missed
sees the newer version in a probe and pulls the document. Only a few hosts of
each zone, the watchers, read documents from the platform.
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
from buckthornhold.coordination import members

WATCHERS_PER_ZONE = 2
#: Members from which a host pulls after its start or a pause.
PULL_SAMPLE_SIZE = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Document:
    """One version of a topic's document.

    If ``base`` is set, the body is a delta to the contents with this digest.
    ``digest`` is that of the complete contents.
    """

    topic: str
    version: int
    body: str
    base: int | None = None
    digest: int = 0


class Transport(abc.ABC):
    """Pushes documents to other hosts and pulls them, by address."""

    @abc.abstractmethod
    async def push(
        self, address: str, document: Document, *, root: str
    ) -> bool | reasons.Failure:
        """Push a document to a host in the tree of the host ``root``.

        Returns False if the host doesn't have the delta's base.
        """

    @abc.abstractmethod
    async def pull(
        self, address: str, topic: str, *, known: int
    ) -> Document | None | reasons.Failure:
        """Return a host's document if newer than version ``known``."""


@dataclasses.dataclass(kw_only=True)
class _Topic:
    """A topic's callbacks, and whether a pull of it is in progress."""

    read: Callable[[], Document]
    read_version: Callable[[], int]
    apply: Callable[[Document], bool]
    read_delta: Callable[[], Document | None]
    read_digest: Callable[[], int | None]
    should_pull: Callable[[], bool]
    pulling: bool = False


class Broadcasts:
    """Distributes documents to the members; depends on a ``Transport``."""

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
        """Distribute the documents of a topic.

        ``read`` returns this host's newest document and ``read_version`` its
        version. ``apply`` applies a document and returns whether it was
        newer. ``read_delta`` may return the newest document as a delta, and
        ``read_digest`` the digest of this host's contents; a host with other
        contents than the delta's base is sent the complete document. A host
        with an older version pulls only if ``should_pull`` returns True.
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
        """Return whether this host is one of its zone's watchers.

        Hosts that see the same members choose the same watchers. A host that
        sees no other member of its zone is a watcher.
        """
        return self._table.own.host in self._list_watchers(purpose)

    def find_phase(self, purpose: str) -> float | None:
        """Return this watcher's phase in the watchers' common interval.

        The phase is in [0, 1), or None if this host isn't a watcher. Zones
        alternate, so that the remaining phases stay evenly spaced if a zone
        fails.
        """
        watchers = self._list_watchers(purpose)
        own = self._table.own
        if own.host not in watchers:
            return None
        zones = sorted({member.zone for member in self._table.list_present()})
        in_round = zones.index(own.zone) / len(zones)
        return (watchers.index(own.host) + in_round) / len(watchers)

    def _list_watchers(self, purpose: str) -> list[str]:
        ranked = self._table.rank_present(
            zone=self._table.own.zone, purpose=purpose
        )
        return [member.host for member in ranked[:WATCHERS_PER_ZONE]]

    def publish(self, topic: str) -> None:
        """Push this host's document to all zones, in a background task."""
        document = self._topics[topic].read_delta()
        if document is None:
            document = self._topics[topic].read()
        self._tasks.start(self._send(document))

    def publish_in_zone(self, topic: str) -> None:
        """Push this host's document to its own zone, in a background task.

        For documents that watchers of each zone read by themselves.
        """
        self._tasks.start(self._send_in_zone(self._topics[topic].read()))

    def handle_push(self, document: Document, *, root: str) -> bool:
        """Apply a pushed document and forward it if it was newer.

        Returns False if this host doesn't have the delta's base.
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
        """Pull from some random members; return whether any replied."""
        present = [
            member
            for member in self._table.list_present()
            if member.host != self._own_host
        ]
        random.shuffle(present)
        replied = await asyncio.gather(
            *[
                self._pull(topic, member.address)
                for member in present[:PULL_SAMPLE_SIZE]
            ]
        )
        return any(replied)

    async def stop(self) -> None:
        """Cancel pushes and pulls in progress."""
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

    async def _send_in_zone(self, document: Document) -> None:
        push = functools.partial(self._push, document)
        await self._tree.send_to_subtree(
            push, root=self._own_host, parent=self._own_host
        )

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
