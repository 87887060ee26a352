"""Steps for chats with a message that crashes engines."""

import asyncio
import uuid

import aiohttp
import behave

from features.steps import poison_steps

#: Time between two chats: their hosts know of a crash by then.
PAUSE_SECONDS = 0.5
SHARED_MESSAGE = "the rulebook that all chats share"
ANSWER_TOKENS = 8


async def send_chat(context, session, entry, *, deadly):
    """Return status and body of a chat that shares all but its last message.

    ``deadly`` tells whether it has the message that crashes engines.
    """
    messages = [{"role": "system", "content": SHARED_MESSAGE}]
    if deadly:
        messages.append({"role": "user", "content": context.prompt})
    messages.append({"role": "user", "content": uuid.uuid4().hex})
    async with session.post(
        f"http://{entry.address}/v1/chat/completions",
        json={
            "model": "race-desk-llm",
            "messages": messages,
            "max_tokens": ANSWER_TOKENS,
        },
        headers={"X-Request-Id": uuid.uuid4().hex},
    ) as response:
        return response.status, await response.json()


async def send_to_hosts(context, count, *, deadly):
    entries = context.fleet.entries
    found = []
    async with aiohttp.ClientSession() as session:
        for number in range(count):
            entry = entries[number % len(entries)]
            found.append(
                await send_chat(context, session, entry, deadly=deadly)
            )
            if not deadly:
                continue
            await asyncio.sleep(PAUSE_SECONDS)
            # A sound chat between them; it may meet an engine that crashes.
            await send_chat(context, session, entry, deadly=False)
    return found


@behave.when(
    "{count:d} different chats with a deadly message are sent to the hosts in "
    "turn"
)
def send_deadly_chats(context, count):
    async def run():
        # Sound chats come first, and beside those with the deadly message.
        await send_to_hosts(context, 6, deadly=False)
        return await send_to_hosts(context, count, deadly=True)

    context.deadly_chats = asyncio.run(run())


@behave.then("at most {count:d} engines have crashed by chats with it")
def check_part_crashes(context, count):
    crashed = poison_steps.count_crashed(context)
    assert 1 <= crashed <= count, (crashed, context.deadly_chats)


@behave.then(
    "the last {count:d} chats with it were refused as poison, having not run"
)
def check_part_refused(context, count):
    for status, body in context.deadly_chats[-count:]:
        error = body.get("error", body)
        assert status != 200, (status, body)
        assert error["reason"] == "poison_request", body
        assert error["ran"] == "no", body


@behave.then("chats that share the other messages are served by each host")
def check_sound_chats(context):
    count = len(context.fleet.entries)
    found = asyncio.run(send_to_hosts(context, count, deadly=False))
    assert all(status == 200 for status, _ in found), found
