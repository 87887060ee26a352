"""Steps for engines and services that say of themselves that they leave."""

import asyncio

import behave

from buckthornhold import clients
from buckthornhold import http_engines
from buckthornhold import memory_budgets
from buckthornhold import services
from features.steps import engine_answers_steps
from features.steps import own_silence_steps

TIMEOUT_SECONDS = 2.0
FIELDS = b"X-Leaving: 1\r\nX-Request-Id: r\r\nContent-Length: 0\r\n\r\n"
ANSWERS = {
    "a refusal": b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\n" + FIELDS,
    "a response": b"HTTP/1.1 200 OK\r\n" + FIELDS,
}


@behave.when("own interface: {client} says in {answer} that it leaves")
def call_leaving(context, client, answer):
    context.announced = []

    async def run():
        server = engine_answers_steps.RawEngine(
            answer=ANSWERS[answer], size=8192, closes=True
        )
        async with clients.make_session() as session:
            common = {
                "session": session,
                "address": await server.start(),
                "memory": memory_budgets.MemoryBudget(limit=32 << 20),
                "announce": context.announced.append,
            }
            if client == "an engine":
                engine = http_engines.HttpModelEngine(
                    timeout=TIMEOUT_SECONDS, **common
                )
                order = engine_answers_steps.make_order()
                await engine.generate(order, engine_answers_steps.ListSink())
            else:
                service = services.HttpPlainService(
                    connect_timeout=TIMEOUT_SECONDS, **common
                )
                await service.call(
                    own_silence_steps.CALL, timeout=TIMEOUT_SECONDS
                )
        await server.stop()

    asyncio.run(run())


@behave.then("own interface: the host hears that it leaves")
def check_announced(context):
    assert [it.leaving for it in context.announced] == [True]
