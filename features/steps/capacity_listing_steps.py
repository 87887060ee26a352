"""Steps on the host list as it is passed on, in one process."""

import asyncio
import random
import types
import zlib

import behave
import loguru

from buckthornhold import counters
from buckthornhold import hosts
from buckthornhold import listings
from buckthornhold.coordination import broadcasts
from buckthornhold.coordination import members
from features.steps import broadcasts_steps


class FixedList(hosts.HostList):
    """The platform's list, set by the scenario."""

    def __init__(self):
        self.records = {}
        self.notices = {}

    async def fetch(self):
        return hosts.Listing(
            hosts=tuple(self.records.values()),
            notices=tuple(self.notices.values()),
        )


class MeasuringCarrier(broadcasts_steps.DirectTransport):
    """Notes the size of each message, and which were whole lists."""

    def __init__(self, *, hosts, sent):
        super().__init__(hosts=hosts)
        self._sent = sent

    async def push(self, address, document, *, root):
        self._sent.append(document)
        return await super().push(address, document, root=root)


class Host:
    """One host's part in the list."""

    def __init__(self, *, member, known, platform, clock, sent):
        self.member = member
        self.dead = False
        self.taken = None
        self.table = members.MemberTable(own=member)
        self.broadcasts = broadcasts.Broadcasts(
            table=self.table,
            transport=MeasuringCarrier(hosts=known, sent=sent),
            logger=loguru.logger,
            counters=counters.Counters(address=None, prefix=""),
        )
        self.broadcasts.is_watcher = lambda purpose: self.reads
        self.reads = False
        self.listed = listings.SharedHostList(
            inner=platform,
            table=self.table,
            broadcast=self.broadcasts,
            notify=self.take,
            clock=lambda: clock.now,
        )

    def take(self, listing):
        self.taken = listing

    async def read(self):
        """Read the platform's list, as a watcher does."""
        self.reads = True
        self.taken = await self.listed.fetch()
        self.reads = False


def make_record(number, *, incarnation=1, state=hosts.HostState.LIVE):
    return hosts.HostRecord(
        host=f"engine-{number:03}",
        kind=hosts.HostKind.ENGINE,
        zone=f"zone-{number % 5}",
        host_class="reclaimable",
        address=f"10.0.{number // 250}.{number % 250}:7100",
        incarnation=incarnation,
        state=state,
        serves=("race-desk-llm@v1",),
    )


def put(context, record):
    context.platform.records[record.host] = record


def give_notice(context, number, seconds=60.0):
    record = make_record(number)
    context.platform.notices[record.host] = hosts.Notice(
        host=record.host, incarnation=1, seconds_left=seconds
    )


async def read(context, *readers):
    """Have some hosts read the list, and wait until it is passed on."""
    await asyncio.gather(*[context.hosts[it].read() for it in readers])
    await broadcasts_steps.settle()


def order(listing):
    """Return a listing so that equal ones are equal in any order."""
    records = sorted(listing.hosts, key=lambda it: it.host)
    notices = sorted((it.host, it.incarnation) for it in listing.notices)
    return records, notices


@behave.given("capacity of a list of {count:d} upstreams that 9 hosts know")
def make_hosts(context, count):
    context.count = count
    context.platform = FixedList()
    context.clock = types.SimpleNamespace(now=1000.0)
    context.sent = []
    context.hosts = {}
    for number in range(9):
        member = members.Member(
            host=f"entry-{number}",
            zone=f"zone-{number % 3}",
            address=f"entry-{number}",
            incarnation=1,
            state=members.MemberState.READY,
        )
        context.hosts[member.host] = Host(
            member=member,
            known=context.hosts,
            platform=context.platform,
            clock=context.clock,
            sent=context.sent,
        )
    for host in context.hosts.values():
        for other in context.hosts.values():
            host.table.apply(other.member)
    for number in range(count):
        put(context, make_record(number))
    asyncio.run(read(context, "entry-0"))
    assert all(host.taken for host in context.hosts.values())
    context.sent.clear()


@behave.when("capacity: one upstream is listed")
def list_one(context):
    put(context, make_record(context.count))
    asyncio.run(read(context, "entry-1"))


@behave.when("capacity: one upstream is unlisted")
def unlist_one(context):
    del context.platform.records["engine-007"]
    asyncio.run(read(context, "entry-1"))


@behave.when("capacity: an upstream comes back with a new number")
def replace_one(context):
    put(context, make_record(7, incarnation=2))
    asyncio.run(read(context, "entry-1"))


@behave.when("capacity: an upstream is listed as leaving")
def mark_one(context):
    put(context, make_record(7, state=hosts.HostState.LEAVING))
    asyncio.run(read(context, "entry-1"))


@behave.when("capacity: 30 upstreams get notices")
def notice_many(context):
    for number in range(30):
        give_notice(context, number)
    asyncio.run(read(context, "entry-1"))


@behave.when("capacity: a notice is taken back")
def take_notice_back(context):
    notice_many(context)
    del context.platform.notices["engine-007"]
    asyncio.run(read(context, "entry-2"))


@behave.when(
    "capacity: {count:d} random changes are read in a row, seed {seed:d}"
)
def change_at_random(context, count, seed):
    drawn = random.Random(seed)

    def change():
        number = drawn.randrange(2 * context.count)
        name = make_record(number).host
        kind = drawn.randrange(4)
        if kind == 0 and len(context.platform.records) > 5:
            context.platform.records.pop(name, None)
            context.platform.notices.pop(name, None)
        elif kind == 1:
            give_notice(context, number)
        elif kind == 2:
            state = hosts.HostState.LEAVING
            put(context, make_record(number, state=state))
        else:
            put(context, make_record(number, incarnation=drawn.randrange(9)))

    async def run():
        for _ in range(count):
            for _ in range(drawn.randrange(1, 4)):
                change()
            await read(context, drawn.choice(list(context.hosts)))

    asyncio.run(run())


@behave.when("capacity: one host misses a change and then gets the next")
def miss_one(context):
    async def run():
        context.hosts["entry-8"].dead = True
        put(context, make_record(context.count))
        await read(context, "entry-1")
        context.hosts["entry-8"].dead = False
        put(context, make_record(context.count + 1))
        await read(context, "entry-2")

    asyncio.run(run())


@behave.when("capacity: two hosts read a change at the same time")
def read_at_once(context):
    put(context, make_record(context.count))
    asyncio.run(read(context, "entry-1", "entry-2"))


@behave.when(
    "capacity: an upstream gets notice of 60 s, and 20 s later a host asks"
)
def ask_late(context):
    async def run():
        late = context.hosts["entry-8"]
        late.dead = True
        give_notice(context, 7)
        await read(context, "entry-1")
        late.dead = False
        context.clock.now += 20.0
        assert await late.broadcasts.pull_from_random_members(listings.TOPIC)

    asyncio.run(run())


async def ask_twice(context, name, *, reads):
    host = context.hosts[name]
    host.reads = reads
    context.found = [await host.listed.fetch() for _ in range(2)]


@behave.when("capacity: a host that reads it asks for the list twice")
def ask_reader(context):
    asyncio.run(ask_twice(context, "entry-0", reads=True))


@behave.when("capacity: a host that is told it asks for the list twice")
def ask_told(context):
    asyncio.run(ask_twice(context, "entry-5", reads=False))


@behave.then("capacity: it gets one and the same list")
def check_same(context):
    first, second = context.found
    assert isinstance(first, hosts.Listing), first
    assert first is second


@behave.then("capacity: all hosts have the platform's list")
def check_lists(context):
    wanted = order(asyncio.run(context.platform.fetch()))
    for name, host in context.hosts.items():
        assert order(host.taken) == wanted, name


@behave.then("capacity: no message was longer than {limit:d} bytes")
def check_sizes(context, limit):
    sizes = [len(zlib.compress(it.body.encode())) for it in context.sent]
    assert sizes
    assert max(sizes) <= limit, max(sizes)


@behave.then("capacity: nobody was sent the whole list")
def check_no_whole(context):
    assert context.sent
    assert all(it.base is not None for it in context.sent)


@behave.then("capacity: {count:d} host was sent the whole list")
def check_whole(context, count):
    whole = [it for it in context.sent if it.base is None]
    assert len(whole) == count, len(whole)


@behave.then("capacity: that host knows that {seconds:d} s are left")
def check_left(context, seconds):
    [notice] = context.hosts["entry-8"].taken.notices
    assert notice.seconds_left == seconds, notice
