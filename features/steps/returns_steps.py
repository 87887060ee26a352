"""Steps for callers that reconnect for the rest of their answers."""

import asyncio
import uuid

import aiohttp
import behave

from buckthornhold import event_ids
from testbed import callers
from testbed import machines


async def lose_connection(session, address, chat, count):
    running = asyncio.create_task(
        callers.stream_chat(
            session,
            address,
            request_id=chat.request_id,
            prompt=chat.prompt,
            max_tokens=chat.max_tokens,
            chat=chat,
        )
    )
    while len(chat.tokens) < count:
        await asyncio.sleep(0.002)
    running.cancel()
    await asyncio.wait([running])


@behave.when(
    "a caller loses its connection after {count:d} of {total:d} tokens"
)
def lose_one(context, count, total):
    chat = callers.Chat(
        request_id=uuid.uuid4().hex, prompt="lost", max_tokens=total
    )

    async def run():
        async with aiohttp.ClientSession() as session:
            address = context.fleet.entries[0].address
            await lose_connection(session, address, chat, count)

    asyncio.run(run())
    context.chats = [chat]


@behave.when("it reconnects to another entry host")
def reconnect(context):
    async def run():
        async with aiohttp.ClientSession() as session:
            address = context.fleet.entries[1].address
            await callers.return_chat(session, address, context.chats[0])

    asyncio.run(run())


def stream_one(context, entry, count=3, request_id=None, prompt="hello"):
    async def run():
        async with aiohttp.ClientSession() as session:
            return await callers.stream_chat(
                session,
                entry.address,
                request_id=request_id or uuid.uuid4().hex,
                prompt=prompt,
                max_tokens=count,
            )

    context.chats = [asyncio.run(run())]
    return context.chats[0]


def return_with(context, event_id, workspace="booth"):
    context.reply = machines.call(
        "GET",
        context.fleet.entries[1].address,
        "/v1/chat/completions",
        headers={"Last-Event-ID": event_id, "X-Workspace": workspace},
    )


@behave.when("a caller of {count:d} tokens reconnects for the last {rest:d}")
def return_for_rest(context, count, rest):
    chat = stream_one(context, context.fleet.entries[0], count)
    return_with(context, f"{chat.request_id}:{count - rest}")


@behave.when(
    "a caller of {count:d} tokens reconnects with a different text of {has:d}"
)
def return_with_other_text(context, count, has):
    chat = stream_one(context, context.fleet.entries[0], count)
    digest = event_ids.digest_texts(["another"] * has)
    return_with(context, f"{chat.request_id}:{has}-{digest:08x}")


@behave.then("it gets the last {rest:d} tokens once")
def check_rest(context, rest):
    (chat,) = context.chats
    again = callers.Chat(request_id="", prompt="", max_tokens=0)
    for line in context.reply.text.splitlines():
        callers.take_line(again, line)
    assert again.ended
    assert again.tokens == chat.tokens[-rest:], again


@behave.when('a caller reconnects with the event id "{event_id}"')
def return_with_id(context, event_id):
    return_with(context, event_id)


@behave.when("a caller of another workspace reconnects to a request")
def return_from_other_workspace(context):
    chat = stream_one(context, context.fleet.entries[0])
    return_with(context, f"{chat.request_id}:1", workspace="other")


@behave.when("a caller sends two prompts under one id to two hosts")
def send_two_prompts(context):
    first, second, _ = context.fleet.entries
    chat = stream_one(context, first, request_id=uuid.uuid4().hex)
    context.reply = machines.call(
        "POST",
        second.address,
        "/v1/chat/completions",
        {
            "model": "race-desk-llm",
            "messages": [{"role": "user", "content": "another"}],
        },
        headers={"X-Request-Id": chat.request_id, "X-Workspace": "booth"},
    )


@behave.when("a caller streams through the first entry host")
def stream_through_first(context):
    context.reply = machines.call(
        "POST",
        context.fleet.entries[0].address,
        "/v1/chat/completions",
        {
            "model": "race-desk-llm",
            "messages": [{"role": "user", "content": "hello"}],
        },
    )


@behave.when("a caller streams through the last entry host")
def stream_through_last(context):
    stream_one(context, context.fleet.entries[-1])


@behave.then('it is refused with {status:d} as "{reason}" and ran "{ran}"')
def check_refused(context, status, reason, ran):
    assert context.reply.status == status, context.reply
    error = context.reply.json()["error"]
    assert (error["reason"], error["ran"]) == (reason, ran), error


@behave.then("no engine was sent anything")
def check_nothing_sent(context):
    for engine in context.fleet.engines:
        assert not engine.get("/executions")


@behave.then('the last entry host counted "{name}"')
def check_last_counted(context, name):
    counters = context.fleet.entries[-1].operate("GET", "/counters").json()
    assert counters[name] > 0
