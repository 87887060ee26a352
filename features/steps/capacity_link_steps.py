"""Steps on links that are closed when nobody uses them."""

import asyncio
import contextlib
import types
from unittest import mock

import behave
import grpc.aio
import loguru

from buckthornhold import counters
from buckthornhold import links
from buckthornhold import traffic
from buckthornhold.coordination import members
from buckthornhold.peers import members_pb2
from buckthornhold.peers import members_pb2_grpc
from features import environment
from testbed import machines

IDLE_SECONDS = 0.2
SWEEP_INTERVAL = 0.05
LONG_CALL_SECONDS = 1.0


class SlowServicer(members_pb2_grpc.MembersServicer):
    """Answers at once, or after a time when asked to probe another."""

    async def Probe(self, request, context):  # noqa: N802
        return members_pb2.ProbeMessage()

    async def ProbeFor(self, request, context):  # noqa: N802
        await asyncio.sleep(LONG_CALL_SECONDS)
        return members_pb2.IndirectReply(answered=True)


@contextlib.asynccontextmanager
async def open_links(count):
    """Give so many links to one server, all asked once."""
    server = grpc.aio.server()
    members_pb2_grpc.add_MembersServicer_to_server(SlowServicer(), server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    config = types.SimpleNamespace(translate=lambda address: address)
    with (
        mock.patch.object(links, "IDLE_SECONDS", IDLE_SECONDS),
        mock.patch.object(links, "SWEEP_INTERVAL", SWEEP_INTERVAL),
    ):
        held = links.Links(
            config=config,
            counted=traffic.Traffic(),
            logger=loguru.logger,
            counters=counters.Counters(address=None, prefix=""),
        )
        for number in range(count):
            held.take_member(
                members.Member(
                    host=f"entry-{number}",
                    zone="zone-a",
                    address=f"127.0.0.1:{port}",
                    incarnation=1,
                )
            )
        await held.start()
        for link in held.list_all():
            await ask(link)
        yield held
        await held.stop()
        await held.close()
    await server.stop(grace=0)


async def ask(link) -> bool:
    """Call a link's host; tell whether it answered."""
    stub = members_pb2_grpc.MembersStub(link.channel)
    await stub.Probe(members_pb2.ProbeMessage(), timeout=2.0)
    return True


async def use_some(context, used, count):
    async with open_links(count) as held:
        all_links = held.list_all()
        for _ in range(10):
            for link in all_links[:used]:
                await ask(link)
            await asyncio.sleep(IDLE_SECONDS / 4)
        context.open = sum(link.is_open for link in all_links)
        context.answered = [await ask(link) for link in all_links]


async def use_long(context, count):
    async with open_links(count) as held:
        all_links = held.list_all()
        stub = members_pb2_grpc.MembersStub(all_links[0].channel)
        reply = await stub.ProbeFor(
            members_pb2.IndirectRequest(), timeout=5 * LONG_CALL_SECONDS
        )
        context.answered = [reply.answered]
        context.open = sum(link.is_open for link in all_links)


@behave.given("capacity of links to {count:d} hosts that were all asked once")
def choose_count(context, count):
    context.count = count


@behave.when("capacity: only {used:d} of the links are used for a while")
def run_use_some(context, used):
    asyncio.run(use_some(context, used, context.count))


@behave.when("capacity: all links are asked again")
def note_all_asked(context):
    assert len(context.answered) == context.count


@behave.when("capacity: a call on a link takes longer than a link may idle")
def run_use_long(context):
    asyncio.run(use_long(context, context.count))


@behave.then("capacity: {count:d} of the links are open")
def check_open(context, count):
    assert context.open == count, context.open


@behave.then("capacity: all links have answered")
@behave.then("capacity: the call is answered")
def check_answered(context):
    assert all(context.answered)


@behave.given("capacity of a running fleet of {count:d} entry hosts")
def use_fleet(context, count):
    environment.use_fresh_fleet(
        context,
        entries_per_zone=count // 3,
        engines_per_zone=0,
        services_per_zone=0,
    )


@behave.then(
    "capacity: after some time no host has more than {limit:d} links open"
)
def check_fleet_links(context, limit):
    def count_most():
        return max(
            entry.operate("GET", "/members").json()["open_links"]
            for entry in context.fleet.entries
        )

    machines.wait_until(
        lambda: count_most() <= limit,
        timeout=links.IDLE_SECONDS + 3 * links.SWEEP_INTERVAL,
        what=f"at most {limit} links are open",
    )


@behave.when("capacity: an operator asks for the state of the fleet")
def ask_fleet(context):
    reply = context.fleet.entries[0].operate("GET", "/status?fleet=1").json()
    assert reply["complete"], reply
    assert len(reply["hosts"]) == len(context.fleet.entries)


@behave.then("capacity: that host has no more than {limit:d} links open")
def check_host_links(context, limit):
    shown = context.fleet.entries[0].operate("GET", "/members").json()
    assert shown["open_links"] <= limit, shown["open_links"]
