"""Steps on broadcasts among many hosts in one process."""

import asyncio
import collections

import behave
import loguru

from buckthornhold import counters
from buckthornhold import reasons
from buckthornhold.coordination import broadcasts
from buckthornhold.coordination import members

TOPIC = "rules"


class DirectTransport(broadcasts.Transport):
    """Passes documents between hosts of this process and counts copies."""

    def __init__(self, *, hosts):
        self._hosts = hosts
        self.copies = 0

    async def push(self, address, document, *, root):
        await asyncio.sleep(0)
        self.copies += 1
        if self._hosts[address].dead:
            return self._fail(address)
        return self._hosts[address].broadcasts.handle_push(document, root=root)

    async def pull(self, address, topic, *, known):
        await asyncio.sleep(0)
        if self._hosts[address].dead:
            return self._fail(address)
        return self._hosts[address].broadcasts.handle_pull(topic, known=known)

    def _fail(self, address):
        return reasons.Failure(
            reason=reasons.Reason.PEER_UNREACHABLE, step="push", peer=address
        )


class Host:
    """One host's member table, broadcasts and document."""

    def __init__(self, *, member, hosts):
        self.dead = False
        self.version = 1
        self.member = member
        self.table = members.MemberTable(own=member)
        self.transport = DirectTransport(hosts=hosts)
        self.broadcasts = broadcasts.Broadcasts(
            table=self.table,
            transport=self.transport,
            logger=loguru.logger,
            counters=counters.Counters(address=None, prefix=""),
        )
        self.broadcasts.add_topic(
            TOPIC,
            read=self.read,
            read_version=lambda: self.version,
            apply=self.apply,
        )

    def read(self):
        return broadcasts.Document(
            topic=TOPIC, version=self.version, body=str(self.version)
        )

    def apply(self, document):
        newer = document.version > self.version
        self.version = max(self.version, document.version)
        return newer


@behave.given("broadcasts among {zones:d} zones of {count:d} hosts")
def make_hosts(context, zones, count):
    records = [
        members.Member(
            host=f"host-{zone}-{number}",
            zone=f"zone-{zone}",
            address=f"host-{zone}-{number}",
            incarnation=1,
            state=members.MemberState.READY,
        )
        for zone in range(zones)
        for number in range(count)
    ]
    context.hosts = {}
    for record in records:
        context.hosts[record.address] = Host(
            member=record, hosts=context.hosts
        )
    for host in context.hosts.values():
        for record in records:
            host.table.apply(record)


def list_hosts(context):
    return list(context.hosts.values())


@behave.when("broadcasts: every fifth host is dead and not yet detected")
def kill_some(context):
    for host in list_hosts(context)[1::5]:
        host.dead = True


async def settle():
    for _ in range(400):
        await asyncio.sleep(0)


@behave.when("broadcasts: one host publishes a newer document")
def publish(context):
    async def run():
        host = list_hosts(context)[0]
        host.version = 2
        host.broadcasts.publish(TOPIC)
        await settle()

    asyncio.run(run())


@behave.when("broadcasts: a host is missed by a push and then probed")
def miss_and_probe(context):
    async def run():
        first, _, missed = list_hosts(context)
        missed.dead = True
        first.version = 2
        first.broadcasts.publish(TOPIC)
        await settle()
        missed.dead = False
        assert missed.version == 1
        missed.table.compare_topics(first.member.host, first.table.topics)
        await settle()

    asyncio.run(run())


@behave.then("broadcasts: all running hosts have it")
def check_reached(context):
    missed = [
        host.member.host
        for host in list_hosts(context)
        if not host.dead and host.version != 2
    ]
    assert missed == [], missed


@behave.then("broadcasts: no host has sent more than {limit:d} copies")
def check_copies(context, limit):
    most = max(host.transport.copies for host in list_hosts(context))
    assert most <= limit, most


def list_watchers(context):
    return [
        host
        for host in list_hosts(context)
        if host.broadcasts.is_watcher(TOPIC)
    ]


@behave.then("broadcasts: each zone has {count:d} watchers")
def check_watchers(context, count):
    context.watchers = list_watchers(context)
    zones = collections.Counter(host.member.zone for host in context.watchers)
    assert set(zones.values()) == {count}, zones


@behave.when("broadcasts: the watchers are doubted")
def doubt_watchers(context):
    for watcher in context.watchers:
        doubted = watcher.member.replace(doubt=members.Doubt.SILENT)
        for host in list_hosts(context):
            if host is not watcher:
                host.table.apply(doubted)
        watcher.dead = True


@behave.then("broadcasts: each zone has {count:d} other watchers")
def check_other_watchers(context, count):
    others = [host for host in list_watchers(context) if not host.dead]
    zones = collections.Counter(host.member.zone for host in others)
    assert set(zones.values()) == {count}, zones


def find_largest_gap(phases):
    phases = sorted(phases)
    following = [*phases[1:], phases[0] + 1]
    return max(
        after - phase for phase, after in zip(phases, following, strict=True)
    )


@behave.then("broadcasts: phases are at most {gap:g} of an interval apart")
def check_phases(context, gap):
    phases = {
        found: found.broadcasts.find_phase(TOPIC)
        for found in list_hosts(context)
    }
    context.phases = {
        host: phase for host, phase in phases.items() if phase is not None
    }
    assert set(context.phases) == set(list_watchers(context))
    assert find_largest_gap(context.phases.values()) <= gap, context.phases


@behave.then("broadcasts: without one zone they are at most {gap:g} apart")
def check_phases_without_zone(context, gap):
    for zone in {watcher.member.zone for watcher in context.phases}:
        phases = [
            phase
            for host, phase in context.phases.items()
            if host.member.zone != zone
        ]
        assert find_largest_gap(phases) <= gap, (zone, phases)
