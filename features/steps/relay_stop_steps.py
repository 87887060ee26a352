"""Steps on relay hosts that are told to stop."""

import asyncio
import time

import aiohttp
import behave

from testbed import relay_fleets

#: Steps of the event loop in which a connection is closed for sure.
CLOSING_STEPS = 50


@behave.when("wire: it drains while clients keep connections open")
def stop_host(context):
    fleet = context.fleet
    host = fleet.hosts[0]
    address = host.settings.listen.callers
    context.outcomes = []

    async def keep_asking(number):
        async with aiohttp.ClientSession() as session:
            for turn in range(200):
                sent_at = time.monotonic()
                try:
                    async with session.post(
                        f"http://{address}/pay/",
                        data=b"x",
                        headers={
                            "Host": "shop.example",
                            "Attempt-Id": f"stop-{number}-{turn}",
                            "Deadline-Ms": "1500",
                            "Authorization": f"Token {relay_fleets.KEY}",
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
                    (f"stop-{number}-{turn}", outcome, seconds)
                )
                await asyncio.sleep(0.1 * (number + 1))

    async def run():
        asking = [asyncio.create_task(keep_asking(it)) for it in range(8)]
        await asyncio.sleep(0.3)
        await host.drain()
        # The library closes a connection some steps behind its answer.
        for _ in range(CLOSING_STEPS):
            await asyncio.sleep(0)
        context.left_open = sum(
            it.transport is not None and not it.transport.is_closing()
            for it in host.listeners.caller_connections
        )
        await asyncio.wait(asking)

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
