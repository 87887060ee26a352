"""Steps on the way of a request from caller to upstream."""

import asyncio
import uuid

import aiohttp
import behave

from features import environment
from testbed import callers
from testbed import machines


@behave.given("a running fleet")
def use_running_fleet(context):
    environment.use_shared_fleet(context)


@behave.given("a fresh fleet")
def use_fresh_fleet(context):
    environment.use_fresh_fleet(context)


@behave.then("no entry host has more than {limit:d} kB resident")
def check_memory(context, limit):
    sizes = [entry.measure_memory() for entry in context.fleet.entries]
    print(f"resident in kB: {sizes}")
    assert max(sizes) <= limit, sizes


@behave.when("a caller streams {count:d} tokens through each entry host")
def stream_through_each(context, count):
    async def run():
        async with aiohttp.ClientSession() as session:
            return await asyncio.gather(
                *[
                    callers.stream_chat(
                        session,
                        entry.address,
                        request_id=uuid.uuid4().hex,
                        prompt=f"hello {entry.name}",
                        max_tokens=count,
                    )
                    for entry in context.fleet.entries
                ]
            )

    context.chats = asyncio.run(run())


@behave.then("each caller gets its own whole answer")
def check_whole_answers(context):
    assert context.chats
    for chat in context.chats:
        assert chat.whole, str(chat)


@behave.when('a caller makes the call "{operation}" through each entry host')
def call_through_each(context, operation):
    async def run():
        async with aiohttp.ClientSession() as session:
            return await asyncio.gather(
                *[
                    callers.call_service(
                        session,
                        entry.address,
                        operation,
                        request_id=uuid.uuid4().hex,
                        body={"runner": entry.name},
                    )
                    for entry in context.fleet.entries
                ]
            )

    context.results = asyncio.run(run())


@behave.then("each call is answered with status {status:d}")
def check_statuses(context, status):
    for result in context.results:
        assert result.status == status, result


@behave.then("the plain services ran each of these calls once")
def check_executions(context):
    executed = [it["request_id"] for it in context.fleet.list_executions()]
    for result in context.results:
        assert executed.count(result.request_id) == 1, result


@behave.then('the plain services were sent the query "{query}" each time')
def check_queries(context, query):
    found = {
        it["request_id"]: it["query"] for it in context.fleet.list_executions()
    }
    for result in context.results:
        assert found[result.request_id] == query, found[result.request_id]


def run_while_streaming(context, count, act):
    """Stream through the first entry host; act after the first tokens."""

    async def run():
        async with aiohttp.ClientSession() as session:
            chat = callers.Chat(
                request_id=uuid.uuid4().hex, prompt="long", max_tokens=count
            )
            running = asyncio.create_task(
                callers.stream_chat(
                    session,
                    context.fleet.entries[0].address,
                    request_id=chat.request_id,
                    prompt=chat.prompt,
                    max_tokens=count,
                    chat=chat,
                )
            )
            while len(chat.tokens) < 5 and not running.done():
                await asyncio.sleep(0.01)
            await asyncio.to_thread(act)
            return [await running]

    context.chats = asyncio.run(run())


@behave.when(
    "a caller streams {count:d} tokens and every engine but one is killed"
)
def stream_and_kill_engines(context, count):
    def kill_engines():
        for engine in context.fleet.engines[:-1]:
            engine.kill()

    run_while_streaming(context, count, kill_engines)


@behave.when(
    "a caller streams {count:d} tokens and the entry host is asked to stop"
)
def stream_and_stop(context, count):
    run_while_streaming(context, count, context.fleet.entries[0].terminate)


@behave.then("the entry host has ended with exit code {code:d}")
def check_exit_code(context, code):
    entry = context.fleet.entries[0]
    assert entry.wait() == code, entry.log


@behave.when("a caller sends a chat request without messages")
def send_malformed(context):
    context.reply = machines.call(
        "POST",
        context.fleet.entries[0].address,
        "/v1/chat/completions",
        {"model": "race-desk-llm"},
    )


@behave.then('it is refused as "{reason}" with ran "{ran}" naming "{place}"')
def check_refusal(context, reason, ran, place):
    error = context.reply.json()["error"]
    assert error["reason"] == reason, error
    assert error["ran"] == ran, error
    assert place in error["detail"], error
    assert context.reply.headers["X-Ran"] == ran
