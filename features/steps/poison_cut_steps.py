"""Steps for poison and callers of a host whose zone is partitioned."""

import asyncio
import time
import uuid

import aiohttp
import behave

from features.steps import poison_steps
from testbed import callers
from testbed import machines
from testbed import moves

PARTITION = [("zone-c", "zone-a"), ("zone-c", "zone-b")]
#: Maximum time of an immediate refusal.
IMMEDIATE_REFUSAL_SECONDS = 1.0
#: Time within which a host detects that none of its upstreams answers.
DETECTION_SECONDS = 10.0


@behave.given("a poison fleet of {count:d} engines and relays")
def use_poison_fleet_with_relays(context, count):
    poison_steps.use_fleet(context, count // 3, relays=True)


def find_entry(context):
    """Return the host in the partitioned zone."""
    return next(
        entry for entry in context.fleet.entries if entry.zone == "zone-c"
    )


@behave.when(
    "{count:d} innocent streams run, zone-c is cut off from the others and "
    "poison is sent through its host until it is refused"
)
def run_with_poison_in_cut_zone(context, count):
    async def act(session):
        await asyncio.to_thread(context.fleet.cut, *PARTITION)
        context.began = time.monotonic()
        give_up_at = context.began + 40.0
        while time.monotonic() < give_up_at:
            chat = await poison_steps.send(
                context, session, context.prompt, find_entry(context)
            )
            print(f"{time.monotonic() - context.began:.1f} s: {chat.error}")
            if chat.error and chat.error["reason"] == "poison_request":
                break
            await asyncio.sleep(0.1)
        context.seconds = time.monotonic() - context.began
        return chat

    context.poison = asyncio.run(
        poison_steps.run_innocents(context, count, act)
    )


@behave.then("it is refused as poison within the deadline of one request")
def check_refused_in_time(context):
    error = context.poison.error
    assert error and error["reason"] == "poison_request", context.poison
    limit = moves.SETTINGS["request_deadline"]
    assert context.seconds <= limit, context.seconds


@behave.then("at most {count:d} upstreams crashed")
def check_crashed(context, count):
    crashed = poison_steps.count_crashed(context)
    assert crashed <= count, crashed


@behave.when("the last engine of zone-c is killed")
def kill_last_engine(context):
    for engine in context.fleet.engines:
        if engine.zone == "zone-c" and engine.running:
            engine.kill()


def send_innocent(context):
    """Send an innocent request through the host in the partitioned zone."""

    async def run():
        async with aiohttp.ClientSession() as session:
            return await callers.stream_chat(
                session,
                find_entry(context).address,
                request_id=uuid.uuid4().hex,
                prompt=f"innocent {uuid.uuid4().hex}",
                max_tokens=5,
            )

    began = time.monotonic()
    chat = asyncio.run(run())
    return chat, time.monotonic() - began


@behave.then(
    'a caller of its host is refused at once as "{reason}", not run, with '
    "a retry time"
)
def check_refused_at_once(context, reason):
    give_up_at = time.monotonic() + DETECTION_SECONDS
    while True:
        chat, seconds = send_innocent(context)
        error = chat.error or {}
        # Its peers may know of the request until they count as gone.
        refused = (error.get("reason"), error.get("ran")) == (reason, "no")
        if refused and seconds < IMMEDIATE_REFUSAL_SECONDS:
            break
        assert time.monotonic() < give_up_at, (chat, seconds)
    assert error["retry_after"], error


@behave.when("the cut is healed")
def heal(context):
    context.fleet.heal()


@behave.then("a caller of its host gets its whole answer")
def check_served(context):
    machines.wait_until(
        lambda: send_innocent(context)[0].whole,
        timeout=DETECTION_SECONDS,
        what="served",
    )
