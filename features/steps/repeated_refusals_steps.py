"""Steps for upstreams that send a refusal once more."""

import asyncio

from aiohttp import web
import behave

from buckthornhold import clients
from buckthornhold import http_engines
from buckthornhold import memory_budgets
from buckthornhold import reasons
from buckthornhold import services
from features.steps import relay_wire_steps

TIMEOUT_SECONDS = 2.0
REQUEST_ID = "r"


class RepeatingUpstream:
    """Refuses its first request, and again any later one that it runs.

    It repeats the refusal only on the connection that carried it. ``ran``
    counts the requests that it ran.
    """

    def __init__(self) -> None:
        self.ran = 0
        self._refusing_connection = None

    async def start(self) -> str:
        """Start listening; return the address."""
        self._runner = web.ServerRunner(web.Server(self._answer))
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        return f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        await request.read()
        if self._refusing_connection is None:
            self._refusing_connection = request.transport
        else:
            self.ran += 1
        fields = {"X-Request-Id": REQUEST_ID}
        if request.transport is self._refusing_connection:
            fields["X-Not-Run"] = "1"
            return web.json_response({}, status=503, headers=fields)
        return web.json_response({}, headers=fields)


def make_call(client, session, address):
    """Return a function that makes one call of an upstream."""
    common = {
        "session": session,
        "address": address,
        "memory": memory_budgets.MemoryBudget(limit=32 << 20),
    }
    if client == "an engine":
        engine = http_engines.HttpModelEngine(
            timeout=TIMEOUT_SECONDS, **common
        )
        return lambda: engine.give_order({}, fence=1)
    service = services.HttpPlainService(
        connect_timeout=TIMEOUT_SECONDS, **common
    )
    call = services.Call(
        request_id=REQUEST_ID,
        attempt="1",
        operation="o",
        method="POST",
        body=b"",
        content_type="text/plain",
    )
    return lambda: service.call(call, timeout=TIMEOUT_SECONDS)


@behave.when(
    "wire: both upstreams of {path} refuse a request once and may repeat the "
    "refusal"
)
def script_refusals(context, path):
    for worker in relay_wire_steps.list_workers(context, path):
        worker.script += ["not_run", "refusal_again"]


@behave.then("wire: the upstreams of {path} have run {count:d} request")
def check_ran(context, path, count):
    workers = relay_wire_steps.list_workers(context, path)
    ran = [worker.ran for worker in workers]
    assert sum(map(len, ran)) == count, ran


@behave.given(
    "own interface: {client} that repeats a refusal on its connection"
)
def prepare_client(context, client):
    context.client = client


@behave.when("own interface: two calls are made")
def make_two_calls(context):
    async def run():
        upstream = RepeatingUpstream()
        async with clients.make_session() as session:
            call = make_call(context.client, session, await upstream.start())
            context.results = [await call(), await call()]
        await upstream.stop()
        return upstream.ran

    context.ran = asyncio.run(run())


@behave.then("own interface: the first was refused and the second is answered")
def check_results(context):
    refused, answered = context.results
    assert isinstance(refused, reasons.Failure), refused
    assert refused.ran is reasons.Ran.NO, refused
    assert not isinstance(answered, reasons.Failure), answered
    assert context.ran == 1, context.ran
