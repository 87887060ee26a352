"""Steps on callers that come back while their stream can't go on."""

import asyncio
import itertools
import threading
import time
import uuid

import aiohttp
import behave

from features import environment
from features.steps import handover_steps
from testbed import callers
from testbed import machines

KEPT_SECONDS = 3.0
GIVE_UP_SECONDS = 20.0


@behave.given("a fleet for handovers that keeps answers for a while")
def use_forgetful_fleet(context):
    environment.use_fresh_fleet(
        context,
        settings={**handover_steps.SETTINGS, "answer_keep": KEPT_SECONDS},
        engine_options={**handover_steps.ENGINE_OPTIONS, "sampled": False},
    )


@behave.when("all engines go, and others come in {seconds:g} s")
def restart_engines(context, seconds):
    """Take the engines off the list, which the entry hosts read."""
    fleet = context.fleet

    def restart():
        for engine in fleet.engines:
            fleet.restart_engine(engine)

    for engine in fleet.engines:
        engine.kill()
        fleet.unlist_host(engine)
    for entry in fleet.entries:
        machines.wait_until(
            lambda entry=entry: not list_engines(entry),
            what=f"{entry.name} knows no engine",
        )
    context.restart = threading.Timer(seconds, restart)
    context.restart.start()


def list_engines(entry):
    upstreams = entry.operate("GET", "/status").json()["upstreams"]
    return [it for it in upstreams if it["kind"] == "engine"]


@behave.when("it comes back to one entry host after the other")
def come_back_in_turn(context):
    (chat,) = context.chats
    addresses = itertools.cycle(it.address for it in context.fleet.entries)
    next(addresses)

    async def run():
        give_up_at = time.monotonic() + GIVE_UP_SECONDS
        async with aiohttp.ClientSession() as session:
            while not chat.ended and time.monotonic() < give_up_at:
                await callers.return_chat(session, next(addresses), chat)
                if chat.status in callers.FINAL_STATUSES:
                    return
                chat.returns += 1
                await asyncio.sleep(callers.RETURN_PAUSE)

    asyncio.run(run())
    context.restart.join()


@behave.when(
    "callers stream {count:d} tokens and the first entry host is killed while "
    "the second zone is cut off for {seconds:g} s"
)
def follow_under_death_and_cut(context, count, seconds):
    fleet = context.fleet
    timers = [
        threading.Timer(
            handover_steps.FAULT_DELAY_SECONDS, fleet.cut_off, [fleet.zones[1]]
        ),
        threading.Timer(
            handover_steps.FAULT_DELAY_SECONDS + seconds, fleet.heal
        ),
    ]
    for timer in timers:
        timer.start()
    handover_steps.stream_with_kill(context, count)
    for timer in timers:
        timer.join()


@behave.when("a caller comes back to a host of {zone}, which is cut off")
def return_to_cut_zone(context, zone):
    """The stream goes on at its own host, which the cut leaves alone.

    It begins after the cut, so that its record is not held within.
    """
    fleet = context.fleet
    (target,) = [entry for entry in fleet.entries if entry.zone == zone]

    fleet.cut_off(zone)

    async def run():
        chat = callers.Chat(
            request_id=uuid.uuid4().hex, prompt="question", max_tokens=400
        )
        async with aiohttp.ClientSession() as session:
            stream = asyncio.create_task(
                callers.stream_chat(
                    session,
                    fleet.entries[0].address,
                    request_id=chat.request_id,
                    prompt=chat.prompt,
                    max_tokens=chat.max_tokens,
                    chat=chat,
                )
            )
            while not chat.tokens:
                await asyncio.sleep(0.02)
            returned = callers.Chat(
                request_id=chat.request_id,
                prompt=chat.prompt,
                max_tokens=chat.max_tokens,
                last_event_id=chat.last_event_id,
            )
            await callers.return_chat(session, target.address, returned)
            await stream
        return chat, returned

    context.chat, context.returned = asyncio.run(run())


@behave.then('it is told "{reason}", to come back and ran "{ran}"')
def check_told_to_come_back(context, reason, ran):
    returned = context.returned
    assert returned.status == 503, str(returned)
    assert returned.error["reason"] == reason, str(returned)
    assert returned.error["ran"] == ran, str(returned)
    assert returned.error["retry_after"], str(returned)
    assert context.chat.whole, str(context.chat)
