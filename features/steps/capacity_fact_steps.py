"""Steps on the exchange of facts among many hosts in one process."""

import asyncio
import types

import behave
import grpc.aio
import loguru

from buckthornhold import counters
from buckthornhold import evidence_servicers
from buckthornhold import exchanges
from buckthornhold import settings
from buckthornhold.coordination import broadcast_trees
from buckthornhold.coordination import facts
from buckthornhold.coordination import members

KEY = "withdrawals/race-desk-llm/v2"
CRASH = "crashes/engine-0/1"
NO_METADATA = grpc.aio.Metadata()


#: Timeout in which 150 hosts in one process reply even on a busy machine. The
#: scenario checks that the replies travel up the tree, not how fast.
PUSH_TIMEOUT_SECONDS = 30.0


class DirectChannel:
    """Calls a host in this process and counts the caller's pushes."""

    def __init__(self, *, caller, target):
        self._caller = caller
        self._target = target

    def unary_unary(self, method, **options):
        name = method.rpartition("/")[2]

        async def call(request, timeout):
            if name == "PushFacts":
                self._caller.copies += 1
            await asyncio.sleep(0)
            if self._target.dead:
                raise grpc.aio.AioRpcError(
                    grpc.StatusCode.UNAVAILABLE, NO_METADATA, NO_METADATA
                )
            handle = getattr(self._target.servicer, name)
            servicer_context = types.SimpleNamespace(
                time_remaining=lambda: timeout
            )
            return await handle(request, servicer_context)

        return call


class Host:
    """The parts of an entry host that the exchange of facts uses."""

    def __init__(self, *, member, hosts):
        self._hosts = hosts
        self.dead = False
        self.copies = 0
        self.member = member
        self.logger = loguru.logger
        self.counters = counters.Counters(address=None, prefix="")
        self.settings = types.SimpleNamespace(
            host=member.host,
            zone=member.zone,
            **{
                name: value
                for name, value in settings.DEFAULTS.items()
                if name.startswith("facts_")
            },
        )
        self.members = members.MemberTable(own=member)
        self.links = self
        self.exchanges = exchanges.Exchanges(host=self)
        self.servicer = evidence_servicers.EvidenceServicer(host=self)

    def list_all(self):
        return [
            self.find(name) for name in self._hosts if name != self.member.host
        ]

    def find(self, name):
        target = self._hosts[name]
        channel = DirectChannel(caller=self, target=target)
        return types.SimpleNamespace(
            host=name, channel=channel, member=target.member
        )


def make_fact(key=KEY):
    return facts.Fact(key=key, rank=(1,), value='{"reason": "slow"}')


async def publish(host, fact):
    """Publish a fact and wait until no task runs."""
    host.exchanges.publish(fact)
    await host.exchanges.wait_pushed(10.0)
    await settle()


async def settle():
    """Wait until no other task runs."""
    while len(asyncio.all_tasks()) > 1:
        await asyncio.sleep(0.001)


@behave.given("capacity of facts among {zones:d} zones of {count:d} hosts")
def make_hosts(context, zones, count):
    names = [
        (f"entry-{zone}-{number}", f"zone-{zone}")
        for zone in range(zones)
        for number in range(count)
    ]
    context.hosts = {}
    for number, (name, zone) in enumerate(names):
        member = members.Member(
            host=name,
            zone=zone,
            address=f"127.0.0.1:{number + 1}",
            incarnation=1,
            state=members.MemberState.READY,
        )
        context.hosts[name] = Host(member=member, hosts=context.hosts)
    for host in context.hosts.values():
        for other in context.hosts.values():
            host.members.apply(other.member)
    context.publisher = next(iter(context.hosts.values()))


@behave.when("capacity: every fifth host is dead and not yet detected")
def kill_some(context):
    for number, host in enumerate(context.hosts.values()):
        host.dead = number % 5 == 3


@behave.when("capacity: a host publishes a withdrawal")
def publish_withdrawal(context):
    context.fact = make_fact("moves/published")
    asyncio.run(publish(context.publisher, context.fact))


@behave.when("capacity: the root hosts already know a withdrawal")
def apply_at_roots(context):
    context.fact = make_fact("moves/published")
    reached = []

    async def record(member, root):
        reached.append(member.host)
        return True

    tree = broadcast_trees.BroadcastTree(table=context.publisher.members)
    asyncio.run(tree.send(record, purpose="any"))
    assert reached
    for name in reached:
        context.hosts[name].exchanges.known.merge(context.fact)


@behave.when("capacity: a host publishes the same withdrawal")
def publish_same(context):
    asyncio.run(publish(context.publisher, context.fact))


@behave.when("capacity: every host has seen a crash and one publishes it")
def publish_crash(context):
    for name, host in context.hosts.items():
        host.settings.facts_push_timeout = PUSH_TIMEOUT_SECONDS
        if host is not context.publisher:
            host.exchanges.known.merge(make_fact(f"{CRASH}/{name}"))
    name = context.publisher.member.host
    asyncio.run(publish(context.publisher, make_fact(f"{CRASH}/{name}")))


@behave.when("capacity: a host knows a fact that was not pushed")
def merge_without_push(context):
    context.fact = make_fact()
    context.publisher.exchanges.known.merge(context.fact)


@behave.when("capacity: another host sees its digest")
def compare_digests(context):
    async def compare():
        for host in context.hosts.values():
            if host is context.publisher:
                continue
            host.members.add_digest(
                "facts",
                read=host.exchanges.read_digest,
                on_difference=host.exchanges.compare_with,
            )
            digest = context.publisher.exchanges.read_digest()
            host.members.compare_digests(
                context.publisher.member.host, {"facts": digest}
            )
        await settle()

    asyncio.run(compare())


@behave.then("capacity: all running hosts know it")
def check_known(context):
    missed = [
        name
        for name, host in context.hosts.items()
        if not host.dead
        and host.exchanges.known.find(context.fact.key) != context.fact
    ]
    assert not missed, missed


@behave.then("capacity: no host has pushed more than {limit:d} copies")
def check_copies(context, limit):
    most = max(host.copies for host in context.hosts.values())
    assert 0 < most <= limit, most


@behave.then("capacity: the host that published it pushed {count:d} copies")
def check_own_copies(context, count):
    assert context.publisher.copies == count, context.publisher.copies


@behave.then(
    "capacity: the host that published it knows the crashes seen by "
    "{count:d} hosts"
)
def check_crashes(context, count):
    known = context.publisher.exchanges.known.list_all(CRASH)
    assert len(known) == count, len(known)
