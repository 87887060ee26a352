"""Exchanges: how facts spread between entry hosts and the store.

A fact is pushed to all links at once in a small fleet, and down a tree in a
large one, where every host passes it on. Whoever sees another digest of the
facts in the answer to a probe compares with that peer, so a lost push costs a
round of probes. A few hosts of each zone read the durable facts from the
store.
"""

import asyncio
import dataclasses
import random
import time

import grpc

from buckthornhold import logs
from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold import tasks
from buckthornhold.coordination import broadcast_trees
from buckthornhold.coordination import facts
from buckthornhold.coordination import host_rankings
from buckthornhold.coordination import members
from buckthornhold.coordination import poison_detectors
from buckthornhold.coordination import withdrawals
from buckthornhold.peers import evidence_pb2
from buckthornhold.peers import evidence_pb2_grpc

MOVES_PREFIX = "moves/"
#: Facts that any host writes to the store, under their own keys.
WRITTEN_PREFIXES = (withdrawals.PREFIX, poison_detectors.POISON_PREFIX)
#: Facts that are read from the store; a restored one may have lost any.
READ_PREFIXES = (*WRITTEN_PREFIXES, MOVES_PREFIX)
STORE_READERS_PER_ZONE = 2
PASS_ON_COUNT = 2
#: Peers that a host pushes to itself; where there are more, a tree does.
DIRECT_LIMIT = 16
#: Part of its own time to answer that a host gives to those below it.
BELOW_PART = 0.7
#: Seconds between two comparisons of the facts with peers.
COMPARE_INTERVAL = 1.0
CATCH_UP_PEERS = 3
#: Part of the catch-up time after which a host without links goes on.
ALONE_PART = 0.2


class Exchanges(tasks.PeriodicService):
    """Keeps this host's facts equal to those of all other hosts.

    ``prefixes`` are those of the facts that the host reads from the store.
    """

    def __init__(
        self, *, host, prefixes: tuple[str, ...] = READ_PREFIXES
    ) -> None:
        super().__init__(
            interval=host.settings.facts_store_interval,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._name = host.settings.host
        self._prefixes = prefixes
        self._receivers: list = []
        self._known = facts.FactStore(notify=self._notify)
        self._unwritten: dict[str, facts.Fact] = {}
        self._pushes: set[asyncio.Task] = set()
        self._synced = False
        self._started_at = time.monotonic()
        self._compared_at = 0.0

    @property
    def known(self) -> facts.FactStore:
        """All facts that this host knows."""
        return self._known

    @property
    def synced(self) -> bool:
        """Whether the host has learned what its peers and the store know."""
        return self._synced

    def receive_with(self, receiver) -> None:
        """Have a function called with each new fact."""
        self._receivers.append(receiver)

    def publish(self, fact: facts.Fact) -> None:
        """Take in a fact of this host's own and push it to all links."""
        if not self._known.merge(fact):
            return
        if fact.key.startswith(WRITTEN_PREFIXES):
            self._unwritten[fact.key] = fact
            self._start(self._write_facts())
        links = self._host.links.list_all()
        if len(links) <= DIRECT_LIMIT:
            self._push([fact], links, pass_on=True)
            return
        push = self._make_push([fact], self._host.settings.facts_push_timeout)
        self._track(self._tree.send(push, purpose=f"facts/{self._name}"))

    async def keep_until(self, fact: facts.Fact, expires: float) -> None:
        """Have a stored fact expire at a time, in seconds since the epoch."""
        fact = dataclasses.replace(fact, expires=expires)
        if await self._write_fact(fact):
            self.publish(fact)

    async def read_fact(self, key: str) -> None:
        """Take in what the store has of one fact now, if it answers."""
        entry = await self._host.store.get(key)
        if isinstance(entry, reasons.Failure):
            logs.log_failure(self._logger, entry)
        elif entry is not None:
            self._take_entry(entry)

    async def wait_pushed(self, timeout: float) -> None:
        """Wait until what was published has reached all that can be.

        Peers that are silent are sent it and not waited for.
        """
        if self._pushes:
            await asyncio.wait(set(self._pushes), timeout=timeout)

    async def take_pushed(
        self, fact_list: evidence_pb2.FactList, *, time_left: float
    ) -> evidence_pb2.FactList:
        """Take in facts that a peer pushed; return what this host adds.

        In a tree they are passed on whether or not they are news, as a fact
        that came another way has not reached those below.
        """
        pushed = [_load_fact(it) for it in fact_list.facts]
        news = [fact for fact in pushed if self._known.merge(fact)]
        if fact_list.root:
            await self._pass_below(
                pushed, fact_list.root, BELOW_PART * time_left
            )
            return self._make_list(self._list_added(pushed), pass_on=False)
        if news and fact_list.pass_on:
            links = self._host.links.list_all()
            chosen = random.sample(links, min(PASS_ON_COUNT, len(links)))
            self._push(news, chosen, pass_on=False)
        keys = [
            poison_detectors.make_crash_key(it.key, self._name) for it in news
        ]
        own = [self._known.find(key) for key in keys if key]
        return self._make_list(list(filter(None, own)), pass_on=False)

    @property
    def _tree(self) -> broadcast_trees.BroadcastTree:
        return broadcast_trees.BroadcastTree(table=self._host.members)

    async def _pass_below(
        self, pushed: list[facts.Fact], root: str, timeout: float
    ) -> None:
        push = self._make_push(pushed, timeout)
        task = self._track(
            self._tree.send_to_subtree(push, root=root, parent=self._name)
        )
        await asyncio.wait([task], timeout=timeout)

    def _list_added(self, pushed: list[facts.Fact]) -> list[facts.Fact]:
        """Return what hosts know of the crashes that were pushed."""
        prefixes = {
            poison_detectors.make_crash_key(fact.key, "") for fact in pushed
        }
        return [
            fact
            for prefix in prefixes - {""}
            for fact in self._known.list_all(prefix)
            if fact not in pushed
        ]

    def _make_push(
        self, pushed: list[facts.Fact], timeout: float
    ) -> broadcast_trees.PushFunction:
        async def push(member: members.Member, root: str) -> bool:
            link = self._host.links.find(member.host)
            if link is None:
                return False
            message = self._make_list(pushed, pass_on=True, root=root)
            return await self._push_to(link, message, timeout)

        return push

    def answer(self, digest: int) -> evidence_pb2.FactList:
        """Return all facts for a peer, or none if it has the same."""
        listed = [] if digest == self._known.digest else self._known.list_all()
        return self._make_list(listed, pass_on=False)

    def read_digest(self) -> int:
        """Return the digest of the facts that have not expired."""
        self._known.prune()
        return self._known.digest

    def compare_with(self, member: members.Member) -> None:
        """Compare with a peer whose digest is another.

        Facts that just expire, or are on their way, differ for a moment; so
        a host compares once in a time at most.
        """
        now = time.monotonic()
        link = self._host.links.find(member.host)
        if link is None or now - self._compared_at < COMPARE_INTERVAL:
            return
        self._compared_at = now
        self._start(self._exchange(link))

    async def run_once(self) -> None:
        """Compare with the store."""
        self._known.prune()
        if not self._synced:
            await self._catch_up()
            return
        if self._unwritten:
            await self._write_facts()
        if self._reads_store():
            await self._read_store()

    async def _catch_up(self) -> None:
        """Learn what others know before the host becomes ready."""
        loaded = False
        while not self._synced and not self.should_stop:
            links = self._host.links.list_all()
            chosen = random.sample(links, min(CATCH_UP_PEERS, len(links)))
            exchanges = asyncio.gather(*map(self._exchange, chosen))
            loaded = loaded or await self._read_store()
            exchanged = any(await exchanges)
            waited = time.monotonic() - self._started_at
            enough = self._host.settings.facts_catch_up_time
            if not links:
                enough *= ALONE_PART
            alone = loaded and waited >= enough
            self._synced = exchanged or alone
            if not self._synced:
                await asyncio.sleep(0.1)

    def _reads_store(self) -> bool:
        """Tell whether this host is among its zone's readers."""
        zone = self._host.settings.zone
        return host_rankings.is_selected(
            self._name,
            [link.host for link in self._host.links.list_zone(zone)],
            STORE_READERS_PER_ZONE,
        )

    async def _read_store(self) -> bool:
        for prefix in self._prefixes:
            change = await self._host.store.list_entries(prefix)
            if isinstance(change, reasons.Failure):
                return False
            found = set()
            for entry in change.entries:
                fact = self._take_entry(entry)
                if fact is None:
                    continue
                if self._known.find(fact.key) == fact:
                    found.add(fact.key)
                elif fact.expires and fact.expires <= time.time():
                    await self._host.store.delete(
                        entry.key, expect=entry.version
                    )
            if prefix not in WRITTEN_PREFIXES and not self._host.eras.current:
                continue
            for fact in self._known.list_all(prefix):
                if fact.key not in found:
                    self._unwritten[fact.key] = fact
        return True

    def _take_entry(self, entry: stores.Entry) -> facts.Fact | None:
        """Take in a fact as the store has it; None if it can't be read."""
        try:
            fact = facts.load_fact(entry.key, entry.value)
        except facts.PARSE_ERRORS as error:
            self._logger.bind(step="read facts", peer=entry.key).warning(
                f"the entry of version {entry.version} holds no fact: "
                f"{error!r}"
            )
            return None
        self._known.merge(fact)
        return fact

    async def _write_facts(self) -> None:
        for fact in list(self._unwritten.values()):
            if not await self._write_fact(fact):
                return
            if self._unwritten.get(fact.key) == fact:
                del self._unwritten[fact.key]

    async def _write_fact(self, fact: facts.Fact) -> bool:
        entry = await self._host.store.get(fact.key)
        if isinstance(entry, reasons.Failure):
            return False
        expect = stores.MUST_NOT_EXIST
        if entry is not None:
            stored = facts.load_fact(entry.key, entry.value)
            if stored.precedence >= fact.precedence:
                return True
            expect = entry.version
        result = await self._host.store.put(
            fact.key, fact.dump(), expect=expect
        )
        return not isinstance(result, reasons.Failure)

    def _push(
        self, pushed: list[facts.Fact], links: list, *, pass_on: bool
    ) -> None:
        message = self._make_list(pushed, pass_on=pass_on)
        timeout = self._host.settings.facts_push_timeout
        for link in links:
            push = self._push_to(link, message, timeout)
            if link.member.doubt is members.Doubt.NONE:
                self._track(push)
            else:
                self._start(push)

    def _track(self, step) -> asyncio.Task:
        task = self._start(step)
        self._pushes.add(task)
        task.add_done_callback(self._pushes.discard)
        return task

    async def _push_to(
        self, link, message: evidence_pb2.FactList, timeout: float
    ) -> bool:
        stub = evidence_pb2_grpc.EvidenceStub(link.channel)
        try:
            reply = await stub.PushFacts(message, timeout=timeout)
        except grpc.RpcError:
            self._host.counters.count_event("facts.push_failed")
            return False
        for fact in map(_load_fact, reply.facts):
            self._known.merge(fact)
        return True

    async def _exchange(self, link) -> bool:
        stub = evidence_pb2_grpc.EvidenceStub(link.channel)
        request = evidence_pb2.FactDigest(
            host=self._name, digest=self._known.digest
        )
        try:
            reply = await stub.ExchangeFacts(
                request, timeout=self._host.settings.facts_push_timeout
            )
        except grpc.RpcError:
            return False
        if reply.digest == request.digest:
            return True
        theirs = {fact.key: fact for fact in map(_load_fact, reply.facts)}
        for fact in theirs.values():
            self._known.merge(fact)
        missing = [
            fact
            for fact in self._known.list_all()
            if theirs.get(fact.key) != fact
        ]
        if missing:
            self._push(missing, [link], pass_on=False)
        return True

    def _make_list(
        self, listed: list[facts.Fact], *, pass_on: bool, root: str = ""
    ) -> evidence_pb2.FactList:
        return evidence_pb2.FactList(
            host=self._name,
            digest=self._known.digest,
            pass_on=pass_on,
            root=root,
            facts=[
                evidence_pb2.Fact(
                    key=fact.key,
                    rank=fact.rank,
                    value=fact.value,
                    expires=fact.expires,
                )
                for fact in listed
            ],
        )

    def _notify(self, fact: facts.Fact) -> None:
        for receiver in self._receivers:
            receiver(fact)

    def _start(self, step) -> asyncio.Task:
        return asyncio.create_task(self._run_guarded(step))

    async def _run_guarded(self, step) -> None:
        try:
            await step
        except Exception:
            self._host.counters.count_event("tasks.errors")
            self._host.logger.bind(step="facts").exception("step failed")


def _load_fact(message: evidence_pb2.Fact) -> facts.Fact:
    return facts.Fact(
        key=message.key,
        rank=tuple(message.rank),
        value=message.value,
        expires=message.expires,
    )
