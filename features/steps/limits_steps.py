"""Steps on the rate limits of workspaces."""

import asyncio
import pathlib
import time
import uuid

import aiohttp
import behave

from features import environment
from testbed import callers

REQUESTS_PER_SECOND = 12.0


@behave.given("limits of 12/s for a workspace over three hosts")
def use_limited_fleet(context):
    environment.use_shared_fleet(context, relays=True)
    text = pathlib.Path("testbed/fleet.rules").read_text()
    rule = (
        "limit workspace=shops rate=12/s  # asked by: I. Kalniņa: one till\n"
    )
    context.fleet.apply_rules(text + rule)
    context.fleet.wait_ready()


@behave.when("limits: zone-c is cut off")
def cut_off(context):
    context.fleet.cut_off("zone-c")


@behave.when(
    "limits: the workspace sends {rate:d}/s for {seconds:d} seconds "
    "to all hosts"
)
def send_over_limit(context, rate, seconds):
    entries = context.fleet.entries

    async def send(session, number, workspace):
        return await callers.call_service(
            session,
            entries[number % len(entries)].address,
            "heat-lookup",
            request_id=uuid.uuid4().hex,
            body={"heat": number},
            headers={"X-Workspace": workspace},
        )

    async def send_all():
        async with aiohttp.ClientSession() as session:
            started = time.monotonic()
            tasks = []
            for number in range(rate * seconds):
                delay = started + number / rate - time.monotonic()
                await asyncio.sleep(max(0.0, delay))
                tasks.append(
                    asyncio.create_task(send(session, number, "shops"))
                )
            context.seconds = time.monotonic() - started
            context.results = await asyncio.gather(*tasks)
            context.others = await asyncio.gather(
                *[send(session, number, "other") for number in range(30)]
            )

    asyncio.run(send_all())


@behave.then(
    "limits: between 90% of the rate and the rate with its burst get in"
)
def check_admitted(context):
    admitted = sum(
        result.reason != "limit_reached" for result in context.results
    )
    # Each host's bucket holds its part of one second and one more request.
    burst = REQUESTS_PER_SECOND + len(context.fleet.entries)
    assert admitted <= REQUESTS_PER_SECOND * context.seconds + burst, admitted
    assert admitted >= 0.9 * REQUESTS_PER_SECOND * context.seconds, admitted


@behave.then("limits: the others are refused as not run, with a retry time")
def check_refused(context):
    refused = [answer for answer in context.results if answer.reason]
    assert refused
    for result in refused:
        assert result.status == 429, result
        assert result.ran == "no", result
        assert int(result.retry_after) >= 1, result


@behave.then("limits: another workspace is not refused")
def check_others(context):
    assert all(result.status == 200 for result in context.others), (
        context.others
    )
