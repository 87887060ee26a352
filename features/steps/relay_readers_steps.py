"""Steps for the hosts of a fleet that read the store."""

import asyncio
import math
import time

import behave
import loguru

from buckthornhold import store_readers
from buckthornhold import summaries
from features.steps import relay_wire_steps
from testbed import relay_fleets

PREFIXES = ("a/", "b/")
POLL_SECONDS = 0.4
CONFIG_SECONDS = 4.0
#: Number of other hosts up to which these fleets are a full mesh.
MESH_PEERS = 3
#: Time in which the hosts of a fleet find each other, also on a busy machine.
JOIN_TIMEOUT_SECONDS = 30.0
#: Time in which hosts end the watches that they began before.
SETTLE_SECONDS = 2.0
#: Time for which watches are counted.
COUNT_SECONDS = 5.0


class ReaderBench:
    """A host's decision, with a clock of its own."""

    def __init__(self, *, role, config_seconds):
        self.now = 100.0
        self.age = 0.0
        self.policy = store_readers.StoreReadPolicy(
            max_age_seconds=store_readers.MAX_AGE_SHARE * config_seconds,
            is_small=lambda: role == "in a small fleet",
            is_selected=lambda: role == "a watcher",
            read_age=lambda: self.age,
            logger=loguru.logger,
            clock=lambda: self.now,
        )

    def count_reads(self, seconds):
        """Return when the host reads in so many seconds of polling."""
        moments = []
        for _ in range(round(seconds / POLL_SECONDS)):
            if self.policy.should_read(PREFIXES[0]):
                moments.append(self.now)
            self.now += POLL_SECONDS
        return moments


@behave.given(
    "readers: a host that is {role}, with {seconds:g} seconds for a "
    "configuration"
)
def make_bench(context, role, seconds):
    context.bench = ReaderBench(role=role, config_seconds=seconds)


@behave.when("readers: it has heard of the store {seconds:g} seconds ago")
def set_age(context, seconds):
    context.bench.age = seconds


@behave.then("readers: the host {does}")
def check_reads(context, does):
    reads = context.bench.count_reads(0.5)
    expected = {
        "watches": (1, True),
        "doesn't call the store": (0, False),
        "reads once": (1, False),
    }[does]
    assert (len(reads), context.bench.policy.is_watcher()) == expected, reads


@behave.when("readers: it hears nothing for {seconds:g} seconds")
def hear_nothing(context, seconds):
    context.bench.age = math.inf
    context.reads = context.bench.count_reads(seconds)


@behave.then(
    "readers: it makes {least:d} to {most:d} reads, at uneven intervals"
)
def check_many_reads(context, least, most):
    moments = context.reads
    assert least <= len(moments) <= most, len(moments)
    gaps = {
        round(later - earlier, 1)
        for earlier, later in zip(moments, moments[1:], strict=False)
    }
    assert len(gaps) > 2, gaps


@behave.given(
    "readers: the age is known from {which} answered {first:g} and "
    "{second:g} seconds ago"
)
def make_age(context, which, first, second):
    now = [0.0]
    context.age = store_readers.StoreAge(
        prefixes=PREFIXES, clock=lambda: now[0]
    )
    now[0] = 100.0 - first
    context.age.record_answer(PREFIXES[0])
    now[0] = 100.0 - second
    if which == "two prefixes":
        context.age.record_answer(PREFIXES[1])
    now[0] = 100.0


@behave.when("readers: another host reports an age of {seconds:g} seconds")
def report_age(context, seconds):
    context.age.record_report(seconds)


@behave.then("readers: the age is {seconds:g} seconds")
def check_age(context, seconds):
    assert context.age.read() == seconds, context.age.read()


@behave.fixture
def run_fleet(context, hosts):
    """Run a fleet that counts as large; many hosts would crowd one loop."""
    usual = summaries.FULL_MESH_MAX_PEERS
    summaries.FULL_MESH_MAX_PEERS = MESH_PEERS
    fleet = relay_fleets.RelayFleet(
        hosts=hosts, linked=True, config_seconds=CONFIG_SECONDS
    )
    fleet.start()
    yield fleet
    fleet.stop()
    summaries.FULL_MESH_MAX_PEERS = usual


@behave.given("readers: {count:d} relay hosts of a zone in a large fleet")
def use_fleet(context, count):
    context.fleet = behave.use_fixture(run_fleet, context, hosts=count)
    context.left_out = []
    context.fleet.run(wait_joined(context.fleet.hosts))
    context.fleet.run(asyncio.sleep(SETTLE_SECONDS))


async def wait_joined(hosts):
    """Wait until every host knows all others."""
    deadline = time.monotonic() + JOIN_TIMEOUT_SECONDS
    while any(len(host.members.list_all()) < len(hosts) - 1 for host in hosts):
        assert time.monotonic() < deadline, [
            len(host.members.list_all()) for host in hosts
        ]
        await asyncio.sleep(0.1)


def list_watchers(fleet):
    """Return the numbers of the hosts that watch for their zone."""
    return [
        number
        for number, host in enumerate(fleet.hosts)
        if host.broadcasts.is_watcher(store_readers.PURPOSE)
    ]


@behave.then("readers: no more than {count:d} of them watch the store")
def check_watches(context, count):
    """Count the watches, of which each host begins one when one ends."""
    fleet = context.fleet
    before = fleet.store.watches
    fleet.run(asyncio.sleep(COUNT_SECONDS))
    made = fleet.store.watches - before
    per_prefix = COUNT_SECONDS / fleet.hosts[0].settings.rules_watch_timeout
    assert made <= count * len(PREFIXES) * (per_prefix + 1), made


@behave.when("readers: a configuration without the key is written")
def remove_key(context):
    context.fleet.configure(keys=("another",))
    context.written_at = time.monotonic()


@behave.then("readers: it is in force at each host within {seconds:g} seconds")
@behave.then(
    "readers: it is in force at each other host within {seconds:g} seconds"
)
def check_in_force(context, seconds):
    fleet = context.fleet

    async def run():
        await asyncio.sleep(
            max(0.0, context.written_at + seconds - time.monotonic())
        )
        return {
            number: (await fleet.send("/look/", host=number)).status
            for number in range(len(fleet.hosts))
            if number not in context.left_out
        }

    statuses = fleet.run(run())
    assert set(statuses.values()) == {401}, statuses


@behave.when("readers: an upstream announces that it leaves")
def drain_upstream(context):
    context.fleet.configure()
    context.fleet.list_worker("plain-1", state="draining")


@behave.then("readers: no host uses it after {seconds:g} seconds")
def check_unused(context, seconds):
    fleet = context.fleet
    fleet.run(asyncio.sleep(seconds))
    for worker in relay_wire_steps.list_workers(context, "/look/"):
        worker.ran.clear()

    async def run():
        return [
            (await fleet.send("/look/", host=number)).status
            for number in range(len(fleet.hosts))
        ]

    statuses = fleet.run(run())
    assert set(statuses) == {200}, statuses
    assert not fleet.workers["plain-1"].ran, fleet.workers["plain-1"].ran


@behave.when("readers: the store refuses both watchers")
def refuse_watchers(context):
    context.left_out = list_watchers(context.fleet)
    for number in context.left_out:
        link = context.fleet.store_links[number]
        link.closed = True
        link.reset()


@behave.when("readers: one host that doesn't watch is cut off from the others")
def cut_host(context):
    fleet = context.fleet
    watchers = list_watchers(fleet)
    cut = next(
        number
        for number, host in enumerate(fleet.hosts)
        if number not in watchers and not host.duty.held
    )
    for ends, link in fleet.peer_links.items():
        if cut in ends:
            link.closed = True
            link.reset()
