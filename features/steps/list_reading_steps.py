"""Steps on how a host reads the platform's list over HTTP."""

import asyncio

from aiohttp import web
import behave

from buckthornhold import clients
from buckthornhold import hosts
from buckthornhold import reasons
from features.steps import capacity_listing_steps

TIMEOUT = 5.0


class ListServer:
    """Serves a host list."""

    def __init__(self, count):
        self.records = [
            capacity_listing_steps.make_record(it) for it in range(count)
        ]
        self.notices = []
        self.fails = False
        self.answer = None

    async def start(self) -> str:
        """Listen on any port and return the address."""
        app = web.Application()
        app.router.add_get("/hosts", self._list_hosts)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        ip, port = self._runner.addresses[0]
        return f"{ip}:{port}"

    async def stop(self) -> None:
        """Listen no more."""
        await self._runner.cleanup()

    async def _list_hosts(self, request):
        if self.fails:
            return self.answer
        return web.json_response(
            {
                "hosts": [
                    it.model_dump(mode="json", exclude_defaults=True)
                    for it in self.records
                ],
                "notices": [it.model_dump() for it in self.notices],
            }
        )


def list_one(server):
    count = len(server.records)
    server.records.append(capacity_listing_steps.make_record(count))


def unlist_one(server):
    del server.records[7]


def replace_one(server):
    server.records[7] = capacity_listing_steps.make_record(7, incarnation=2)


def reload_one(server):
    server.records[7] = server.records[7].model_copy(
        update={"serves": ("race-desk-llm@v2",)}
    )


def notice_one(server):
    leaving = hosts.HostState.LEAVING
    server.records[7] = capacity_listing_steps.make_record(7, state=leaving)
    server.notices.append(
        hosts.Notice(host="engine-007", incarnation=1, seconds_left=30.0)
    )


def fail(server):
    server.fails = True
    server.answer = web.json_response({"detail": "down"}, status=503)


def mislead(server):
    server.fails = True
    server.answer = web.json_response(["engine-000"])


CHANGES = {
    "nothing has changed": lambda server: None,
    "one upstream is listed": list_one,
    "one upstream is unlisted": unlist_one,
    "an upstream comes back with a new number": replace_one,
    "an upstream serves another version": reload_one,
    "an upstream gets notice": notice_one,
    "the platform answers with an error": fail,
    "the platform answers with another body": mislead,
}


@behave.given("capacity of a platform that lists {count:d} upstreams")
def make_platform(context, count):
    context.server = ListServer(count)


@behave.when("capacity: a host reads the list before and after {change}")
def read_twice(context, change):
    async def go():
        address = await context.server.start()
        session = clients.make_session()
        host_list = hosts.HttpHostList(
            session=session, address=address, timeout=TIMEOUT
        )
        try:
            context.first = await host_list.fetch()
            CHANGES[change](context.server)
            second = await host_list.fetch()
            if context.server.fails:
                assert isinstance(second, reasons.Failure), second
                context.server.fails = False
                second = await host_list.fetch()
            context.second = second
        finally:
            await session.close()
            await context.server.stop()

    asyncio.run(go())


@behave.then("capacity: {count:d} records were made anew")
def check_new(context, count):
    known = {id(it) for it in context.first.hosts}
    found = sum(id(it) not in known for it in context.second.hosts)
    assert found == count, found


@behave.then("capacity: it has read what the platform lists")
def check_read(context):
    assert list(context.second.hosts) == context.server.records
    assert list(context.second.notices) == context.server.notices
