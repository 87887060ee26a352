"""Steps on calls over links that close."""

import asyncio

import behave
import grpc.aio

from buckthornhold import links
from buckthornhold import traffic
from buckthornhold.peers import members_pb2
from buckthornhold.peers import members_pb2_grpc


class SilentServicer(members_pb2_grpc.MembersServicer):
    """Never replies."""

    async def Probe(self, request, context):  # noqa: N802
        await asyncio.Event().wait()


async def call_silent_host(act) -> str:
    """Call a host that never replies; return how the call ended."""
    server = grpc.aio.server()
    members_pb2_grpc.add_MembersServicer_to_server(SilentServicer(), server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    channel = links.open_channel(f"127.0.0.1:{port}", traffic.Traffic())
    stub = members_pb2_grpc.MembersStub(channel)

    async def call_host() -> str:
        try:
            await stub.Probe(members_pb2.ProbeMessage(), timeout=20.0)
        except grpc.aio.AioRpcError as error:
            return error.code().name
        return "answered"

    task = asyncio.create_task(act(channel, call_host))
    try:
        return await task
    except asyncio.CancelledError:
        return "cancelled"
    finally:
        await channel.close()
        await server.stop(grace=0)


async def close_during_call(channel, call_host) -> str:
    task = asyncio.create_task(call_host())
    await asyncio.sleep(0.2)
    await channel.close()
    return await task


async def close_before_call(channel, call_host) -> str:
    await channel.close()
    return await call_host()


async def cancel_caller(channel, call_host) -> str:
    task = asyncio.create_task(call_host())
    await asyncio.sleep(0.2)
    task.cancel()
    return await task


@behave.given("membership on a link to a host that never replies")
def use_silent_host(context):
    context.ending = ""


@behave.when("membership: the link closes during the call")
def run_close_during(context):
    context.ending = asyncio.run(call_silent_host(close_during_call))


@behave.when("membership: the link closes before the call")
def run_close_before(context):
    context.ending = asyncio.run(call_silent_host(close_before_call))


@behave.when("membership: the caller is cancelled")
def run_cancel(context):
    context.ending = asyncio.run(call_silent_host(cancel_caller))


@behave.then('membership: the call fails as "{code}"')
def check_code(context, code):
    assert context.ending == code, context.ending


@behave.then("membership: the call ends as cancelled")
def check_cancelled(context):
    assert context.ending == "cancelled", context.ending
