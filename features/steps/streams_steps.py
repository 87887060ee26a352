"""Steps on whole answers under broken engines."""

import asyncio
import collections
import json
import threading
import uuid

import aiohttp
import behave

from features import environment
from testbed import callers
from testbed import machines

CALLERS_PER_HOST = 4
#: Most engines are broken here at once, so repeats are not to run out.
SETTINGS = {
    "stream_event_timeout": 1.0,
    "first_token_timeout": 3.0,
    "retry_reserve": 1000.0,
}
FAST_ENGINES = {"step_base": 0.002}


def parse_fault(text):
    faults = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        try:
            faults[name] = json.loads(value)
        except json.JSONDecodeError:
            faults[name] = value
    return faults


def run_callers(context, act, entries, max_tokens, **options):
    """Run several callers at once through each of the entry hosts."""

    async def run():
        async with aiohttp.ClientSession() as session:
            return await asyncio.gather(
                *[
                    act(
                        session,
                        entry.address,
                        request_id=uuid.uuid4().hex,
                        prompt=f"question {number} at {entry.name}",
                        max_tokens=max_tokens,
                    )
                    for entry in entries
                    for number in range(options.get("each", CALLERS_PER_HOST))
                ]
            )

    context.chats = asyncio.run(run())


def count_all(context):
    """Return the counters' sums over the entry hosts."""
    sums = collections.Counter()
    for entry in context.fleet.entries:
        sums.update(entry.operate("GET", "/counters").json())
    return sums


def count_since(context, name):
    """Return how often a counter rose since the scenario began."""
    return count_all(context)[name] - context.counted[name]


def use_fleet_with(context, *, settings=None, **engine_options):
    environment.use_shared_fleet(
        context,
        settings={**SETTINGS, **(settings or {})},
        engine_options={**FAST_ENGINES, **engine_options},
    )
    context.counted = count_all(context)


@behave.given("a fleet for streams")
def use_fleet(context):
    use_fleet_with(context)


@behave.given("a fleet for streams whose engines sample")
def use_sampling_fleet(context):
    use_fleet_with(context, sampled=True)


@behave.given("a fleet for streams with {seconds:d} s until the deadline")
def use_impatient_fleet(context, seconds):
    use_fleet_with(context, settings={"request_deadline": seconds})


@behave.given("all its engines but one have the fault {fault}")
def break_most_engines(context, fault):
    for engine in context.fleet.engines[1:]:
        engine.set_faults(**parse_fault(fault))


@behave.given("all its engines have the fault {fault}")
def break_all_engines(context, fault):
    for engine in context.fleet.engines:
        engine.set_faults(**parse_fault(fault))


@behave.when("callers stream {count:d} tokens each through every entry host")
def stream_through_hosts(context, count):
    run_callers(context, callers.stream_chat, context.fleet.entries, count)


@behave.when(
    "callers ask for {count:d} whole tokens each through every entry host"
)
def ask_through_hosts(context, count):
    run_callers(context, callers.fetch_chat, context.fleet.entries, count)


@behave.when("one caller streams {count:d} tokens")
def stream_once(context, count):
    run_callers(
        context,
        callers.stream_chat,
        context.fleet.entries[:1],
        count,
        each=1,
    )


@behave.when(
    "callers stream {count:d} tokens while the busiest engine is paused"
)
def stream_while_paused(context, count):
    paused = []

    def pause_busiest():
        engine = max(
            context.fleet.engines, key=lambda it: it.get("/state")["running"]
        )
        assert engine.get("/state")["running"], "no engine runs anything"
        engine.freeze()
        paused.append(engine)

    timer = threading.Timer(0.3, pause_busiest)
    timer.start()
    try:
        run_callers(context, callers.stream_chat, context.fleet.entries, count)
    finally:
        timer.join()
        for engine in paused:
            engine.thaw()
    assert paused


@behave.when("a caller of {count:d} tokens vanishes after the first ones")
def vanish(context, count):
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
            while len(chat.tokens) < 3:
                await asyncio.sleep(0.01)
            running.cancel()
            await asyncio.wait([running])

    asyncio.run(run())


@behave.then('the entry hosts counted retries for "{reason}"')
def check_retries(context, reason):
    assert count_since(context, f"retries.{reason}") > 0


@behave.then('the entry hosts counted "{name}"')
def check_counted(context, name):
    machines.wait_until(
        lambda: count_since(context, name) > 0, timeout=2.0, what=name
    )


@behave.then('it gets a failure "{reason}" with ran "{ran}" and no end')
def check_failure(context, reason, ran):
    (chat,) = context.chats
    assert not chat.ended, str(chat)
    assert chat.error["reason"] == reason, str(chat)
    assert chat.error["ran"] == ran, str(chat)


@behave.then("the engines are idle within {seconds:g} s")
def check_idle(context, seconds):
    def is_idle():
        states = [engine.get("/state") for engine in context.fleet.engines]
        return all(it["running"] + it["queued"] == 0 for it in states)

    machines.wait_until(is_idle, timeout=seconds, what="engines are idle")
