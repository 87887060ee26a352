"""Steps for relay hosts that drain."""

import asyncio
import time

import aiohttp
import behave

from testbed import relay_fleets

#: Iterations of the event loop after which a connection is certainly closed.
CLOSING_ITERATIONS = 50


@behave.when("wire: it drains while clients keep connections open")
def drain_host(context):
    fleet = context.fleet
    host = fleet.hosts[0]
    address = host.settings.listen.callers
    context.outcomes = []

    async def keep_sending(number):
        async with aiohttp.ClientSession() as session:
            for attempt in range(200):
                sent_at = time.monotonic()
                try:
                    async with session.post(
                        f"http://{address}/pay/",
                        data=b"x",
                        headers={
                            "Host": "shop.example",
                            "Attempt-Id": f"stop-{number}-{attempt}",
                            "Deadline-Ms": "1500",
                            "Authorization": f"Token {relay_fleets.API_KEY}",
                        },
                    ) as response:
                        await response.read()
                        outcome = response.status
                except aiohttp.ClientConnectorError:
                    return
                except aiohttp.ClientError:
                    outcome = "closed"
                seconds = time.monotonic() - sent_at
                context.outcomes.append(
                    (f"stop-{number}-{attempt}", outcome, seconds)
                )
                await asyncio.sleep(0.1 * (number + 1))

    async def run():
        senders = [
            asyncio.create_task(keep_sending(number)) for number in range(8)
        ]
        await asyncio.sleep(0.3)
        await host.drain()
        # The library closes a connection some iterations after its response.
        for _ in range(CLOSING_ITERATIONS):
            await asyncio.sleep(0)
        context.left_open = sum(
            connection.transport is not None
            and not connection.transport.is_closing()
            for connection in host.listeners.caller_connections
        )
        await asyncio.wait(senders)

    fleet.run(run())


@behave.then(
    "wire: each request was answered or its connection was closed unread"
)
def check_stopped(context):
    ran = {
        request_id
        for worker in context.fleet.workers.values()
        for request_id in worker.ran
    }
    assert any(outcome == 200 for _, outcome, _ in context.outcomes)
    for request_id, outcome, _ in context.outcomes:
        assert outcome in (200, "closed"), (request_id, outcome)
        if outcome == "closed":
            assert request_id not in ran, request_id


@behave.then("wire: no connection stays open without a server")
def check_none_open(context):
    assert context.left_open == 0, context.left_open
