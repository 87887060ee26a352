"""Steps on the budget of repeats of model requests."""

import asyncio
import uuid

import aiohttp
import behave

from features import environment
from features.steps import streams_steps
from testbed import callers
from testbed import machines


@behave.given("a fleet for streams with a budget of {count:d} repeats")
def use_fleet(context, count):
    environment.use_fresh_fleet(
        context,
        zones=("zone-a",),
        engines_per_zone=3,
        services_per_zone=0,
        settings={"retry_reserve": count},
    )
    context.counted = streams_steps.count_all(context)


@behave.given("all its engines ask for {seconds:d} seconds without work")
def ask_for_pause(context, seconds):
    for engine in context.fleet.engines:
        engine.set_faults(refuse_work=True, retry_after=seconds)


@behave.given("all its engines are killed")
def kill_engines(context):
    for engine in context.fleet.engines:
        engine.kill()


async def ask_many(context, session, count):
    return await asyncio.gather(
        *[
            callers.stream_chat(
                session,
                context.fleet.entries[0].address,
                request_id=uuid.uuid4().hex,
                prompt=f"question {number}",
            )
            for number in range(count)
        ]
    )


@behave.when("{count:d} callers ask the first entry host for a stream")
def ask(context, count):
    async def run():
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            return await ask_many(context, session, count)

    context.chats = asyncio.run(run())


@behave.when(
    "{count:d} callers stream {tokens:d} tokens while the budget is used up "
    "and an engine dies"
)
def stream_without_budget(context, count, tokens):
    fleet = context.fleet

    async def run():
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            streams = [
                asyncio.create_task(
                    callers.stream_chat(
                        session,
                        fleet.entries[0].address,
                        request_id=uuid.uuid4().hex,
                        prompt=f"long question {number}",
                        max_tokens=tokens,
                    )
                )
                for number in range(count)
            ]
            await asyncio.to_thread(machines.wait_until, all_run)
            for engine in fleet.engines:
                engine.set_faults(refuse_work=True)
            refused = await ask_many(context, session, 40)
            for engine in fleet.engines:
                engine.set_faults(refuse_work=False)
            fleet.engines[0].kill()
            return refused, await asyncio.gather(*streams)

    def all_run():
        running = [it.get("/state")["running"] for it in fleet.engines]
        return sum(running) == count and all(running)

    refused, context.chats = asyncio.run(run())
    found = [it.error["reason"] for it in refused if it.error]
    assert "retry_budget" in found, found


@behave.then('each is refused with ran "{ran}" and when to come back')
def check_refused(context, ran):
    for chat in context.chats:
        assert chat.error, chat
        assert chat.error["ran"] == ran, chat.error
        assert chat.error["retry_after"] > 0, chat.error


@behave.then("the engines had at most {count:d} attempts")
def check_attempts(context, count):
    made = sum(
        len(engine.get(path))
        for engine in context.fleet.engines
        for path in ("/executions", "/refusals")
    )
    print(f"{made} attempts")
    assert 0 < made <= count, made


@behave.then("at most {count:d} attempts were repeats")
def check_repeats(context, count):
    made = sum(
        number
        for name, number in streams_steps.count_all(context).items()
        if name.startswith("retries.")
    )
    print(f"{made} repeats")
    assert made <= count, made


@behave.then('some are refused as "{reason}"')
def check_reason(context, reason):
    found = {it.error["reason"] for it in context.chats}
    assert reason in found, found


@behave.then("they are told to come back after {least:d} to {most:d} seconds")
def check_time(context, least, most):
    for chat in context.chats:
        assert least <= chat.error["retry_after"] <= most, chat.error
