"""Steps on the product's own clients whose connections go silent."""

import asyncio

from aiohttp import web
import behave

from buckthornhold import clients
from buckthornhold import hosts
from buckthornhold import http_engines
from buckthornhold import memory_budgets
from buckthornhold import services
from buckthornhold import stores
from testbed import soak_links

TIMEOUT_SECONDS = 0.3
CALL = services.Call(
    request_id="r",
    attempt="1",
    operation="o",
    method="POST",
    body=b"",
    content_type="text/plain",
)


class Bench:
    """A client, and its server behind a link that can be harmed."""

    def __init__(self, kind: str) -> None:
        self.loop = asyncio.new_event_loop()
        self.answered = 0
        self._kind = kind

    def run(self, coroutine):
        """Run a coroutine while the server answers."""
        return self.loop.run_until_complete(coroutine)

    async def start(self) -> None:
        """Start the server, the link before it and the client."""
        self._runner = web.ServerRunner(web.Server(self._answer))
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self.link = soak_links.Link(target=f"127.0.0.1:{port}")
        await self.link.start()
        self._session = clients.make_session()
        self._call = self._make_call(self._session, self.link.address)

    async def stop(self) -> None:
        """Stop all."""
        await self._session.close()
        await self.link.stop()
        await self._runner.cleanup()

    async def call(self, count: int) -> None:
        """Make some calls at once."""
        await asyncio.gather(*[self._call() for _ in range(count)])

    async def _answer(self, request):
        await asyncio.sleep(TIMEOUT_SECONDS / 10)
        self.answered += 1
        return web.json_response({}, headers={"X-Request-Id": "r"})

    def _make_call(self, session, address):
        common = {"session": session, "address": address}
        if self._kind == "a plain service":
            service = services.HttpPlainService(
                connect_timeout=1.0,
                memory=memory_budgets.MemoryBudget(limit=32 << 20),
                **common,
            )
            return lambda: service.call(CALL, timeout=TIMEOUT_SECONDS)
        if self._kind == "an engine":
            engine = http_engines.HttpModelEngine(
                timeout=TIMEOUT_SECONDS,
                memory=memory_budgets.MemoryBudget(limit=32 << 20),
                **common,
            )
            return lambda: engine.give_order({}, fence=1)
        if self._kind == "the store":
            store = stores.HttpStore(timeout=TIMEOUT_SECONDS, **common)
            return lambda: store.keep_lease("lease")
        return hosts.HttpHostList(timeout=TIMEOUT_SECONDS, **common).fetch


@behave.fixture
def run_bench(context, kind):
    bench = Bench(kind)
    bench.run(bench.start())
    yield bench
    bench.run(bench.stop())
    bench.loop.close()


@behave.given("own interface: {kind} to which {count:d} connections are idle")
def use_bench(context, kind, count):
    context.bench = behave.use_fixture(run_bench, context, kind)
    context.bench.run(context.bench.call(count))
    assert context.bench.answered == count


@behave.when("own interface: open connections go silent")
def silence(context):
    context.bench.link.harm("silence open")


@behave.when("own interface: a call is made that gets no response")
def call_in_vain(context):
    before = context.bench.answered
    context.bench.run(context.bench.call(1))
    assert context.bench.answered == before


@behave.then("own interface: the next call is answered")
def check_next(context):
    before = context.bench.answered
    context.bench.run(context.bench.call(1))
    assert context.bench.answered == before + 1
