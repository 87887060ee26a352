"""Steps for requests that crash upstreams."""

import asyncio
import itertools
import uuid

import aiohttp
import behave

from features import environment
from testbed import callers
from testbed import drives
from testbed import machines
from testbed import moves

POISON = "the poison text"
LATE_POISON = "the late poison text"


def use_fleet(context, per_zone, **options):
    environment.use_shared_fleet(
        context,
        engines_per_zone=per_zone,
        services_per_zone=0,
        engine_options={"step_base": 0.02},
        settings={
            **moves.SETTINGS,
            "lookup_patience": environment.LOOKUP_PATIENCE,
        },
        **options,
    )
    context.prompt = f"{POISON} {uuid.uuid4().hex}"
    for engine in context.fleet.engines:
        if not engine.running:
            context.fleet.restart_engine(engine)
        engine.set_faults(poison=POISON, late_poison=LATE_POISON)
    context.fleet.wait_ready()
    drives.wait_linked(context.fleet)
    wanted = {(host.name, host.incarnation) for host in context.fleet.engines}
    for entry in context.fleet.entries:
        machines.wait_until(
            lambda entry=entry: list_incarnations(entry) == wanted,
            what=f"{entry.name} knows the engines' incarnations",
        )


def list_incarnations(entry):
    return {
        (upstream["host"], upstream["incarnation"])
        for upstream in drives.read_status(entry)["upstreams"]
        if not upstream["leaving"]
    }


@behave.given("a poison fleet of {count:d} engines")
def use_poison_fleet(context, count):
    use_fleet(context, count // 3)


@behave.given(
    "a poison fleet of {count:d} engines that serves from zone-a and zone-b"
)
def use_poison_fleet_of_two_zones(context, count):
    use_fleet(context, count // 3, rules_path="testbed/two_zones.rules")


@behave.given("a poison fleet of {count:d} engines with a move")
def use_poison_fleet_with_move(context, count):
    use_fleet(
        context,
        count // 3,
        versions=("v1", "v2"),
        engine_versions=(("v1",), ("v2",)),
    )
    moves.begin_move(context, share="100%")


async def send(context, session, prompt, entry, **options):
    return await callers.stream_chat(
        session,
        entry.address,
        request_id=uuid.uuid4().hex,
        prompt=prompt,
        **options,
    )


async def run_innocents(context, count, act, *, prompt="", tokens=100):
    """Run streams over all hosts; await ``act`` once each has a token."""
    entries = context.fleet.entries
    context.innocents = [
        callers.Chat(
            request_id=uuid.uuid4().hex,
            prompt=prompt or f"innocent {uuid.uuid4().hex}",
            max_tokens=tokens,
        )
        for _ in range(count)
    ]
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        running = [
            asyncio.create_task(
                callers.stream_chat(
                    session,
                    entries[index % len(entries)].address,
                    request_id=chat.request_id,
                    prompt=chat.prompt,
                    max_tokens=tokens,
                    chat=chat,
                )
            )
            for index, chat in enumerate(context.innocents)
        ]
        while not all(chat.tokens for chat in context.innocents):
            await asyncio.sleep(0.02)
        result = await act(session)
        await asyncio.gather(*running)
    return result


def count_crashed(context):
    return sum(not engine.running for engine in context.fleet.engines)


async def send_poison(context, session):
    return await send(
        context, session, context.prompt, context.fleet.entries[0]
    )


@behave.when("{count:d} innocent streams run and a poison request is sent")
def run_with_poison(context, count):
    context.poison = asyncio.run(
        run_innocents(
            context, count, lambda session: send_poison(context, session)
        )
    )


@behave.when(
    "{count:d} innocent streams run and a poison request is sent that "
    "crashes after {tokens:d} tokens"
)
def run_with_late_poison(context, count, tokens):
    context.prompt = f"{LATE_POISON} {uuid.uuid4().hex}"
    for engine in context.fleet.engines:
        engine.set_faults(late_poison_after=tokens)
    run_with_poison(context, count)


@behave.when(
    "{count:d} innocent streams of one prompt run and a poison request is sent"
)
def run_popular_with_poison(context, count):
    context.poison = asyncio.run(
        run_innocents(
            context,
            count,
            lambda session: send_poison(context, session),
            prompt="popular",
        )
    )


@behave.when(
    "{count:d} innocent streams run and a poison request is repeated "
    "through all hosts until refused"
)
def run_with_repeats(context, count):
    async def repeat(session, entry):
        while True:
            chat = await send(context, session, context.prompt, entry)
            reason = (chat.error or {}).get("reason", "")
            if reason == "poison_request":
                return chat
            assert not chat.ended, chat
            await asyncio.sleep(0.05)

    async def act(session):
        first = asyncio.create_task(repeat(session, context.fleet.entries[0]))
        # Gives the first host time to forward it.
        await asyncio.sleep(0.3)
        rest = [repeat(session, entry) for entry in context.fleet.entries[1:]]
        return [await first, *await asyncio.gather(*rest)]

    context.repeats = asyncio.run(run_innocents(context, count, act))


@behave.then(
    "it was refused as poison on each host after at most {count:d} crashes"
)
def check_repeats(context, count):
    assert len(context.repeats) == len(context.fleet.entries)
    crashed = count_crashed(context)
    assert crashed <= count, [entry.log for entry in context.fleet.entries]


@behave.then(
    "it is refused as poison after at most {count:d} crashes, having run"
)
def check_poison_refused(context, count):
    error = context.poison.error
    assert error and error["reason"] == "poison_request", context.poison
    assert error["ran"] == "yes", error
    assert 1 <= count_crashed(context) <= count, count_crashed(context)


@behave.then("it is refused at once under a new id through each entry host")
def check_refused_everywhere(context):
    crashed = count_crashed(context)

    async def run():
        async with aiohttp.ClientSession() as session:
            for entry in context.fleet.entries:
                chat = await send(context, session, context.prompt, entry)
                assert chat.error, (entry.name, chat)
                assert chat.error["reason"] == "poison_request", chat.error
                assert chat.error["ran"] == "no", chat.error
                context.refused_again = chat.request_id
                # Without attempts, it waited for no upstream and no slot.
                found = entry.operate(
                    "GET", f"/requests/{chat.request_id}"
                ).json()
                assert found["attempts"] == [], (entry.name, found)

    asyncio.run(run())
    assert count_crashed(context) == crashed


@behave.then(
    "the operator API reports the reason and that no rule was involved"
)
def check_poison_explained(context):
    path = f"/requests/{context.refused_again}"
    found = context.fleet.entries[0].operate("GET", path).json()
    assert found["failure"]["reason"] == "poison_request", found
    assert found["failure"]["step"], found
    assert found["failure"]["retry_after"] is None, found
    assert found["attempts"] == [] == found["rules"], found
    assert not found["rules_changed"], found


@behave.then("each innocent stream got its whole answer")
def check_innocents(context):
    wrong = [chat for chat in context.innocents if not chat.whole]
    gaps = [
        max(
            later - sooner
            for sooner, later in itertools.pairwise(stream.times)
        )
        for stream in context.innocents
        if len(stream.times) > 1
    ]
    print(f"longest gap {max(gaps, default=0):.2f} s")
    assert not wrong, (len(wrong), wrong[0])


@behave.then("no innocent request is refused when it is sent again")
def check_innocents_again(context):
    async def run():
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            prompts = sorted({chat.prompt for chat in context.innocents})
            return await asyncio.gather(
                *[
                    send(context, session, prompt, entry, max_tokens=5)
                    for prompt in prompts
                    for entry in context.fleet.entries
                ]
            )

    for chat in asyncio.run(run()):
        assert chat.whole, chat


@behave.then("the store holds the poison request")
def check_poison_stored(context):
    def list_stored():
        reply = machines.call(
            "GET", context.fleet.platform.address, "/kv?prefix=poison/"
        )
        return reply.json()["entries"]

    machines.wait_until(list_stored, timeout=8.0, what="the store has it")


@behave.when("{count:d} innocent streams run and an engine is killed")
def run_and_kill(context, count):
    async def act(session):
        await asyncio.to_thread(context.fleet.engines[0].kill)

    asyncio.run(run_innocents(context, count, act))


@behave.when(
    "{count:d} innocent streams run and a zone's engines are killed twice"
)
def run_and_kill_zones(context, count):
    async def act(session):
        for zone in context.fleet.zones[:2]:
            for engine in context.fleet.engines:
                if engine.zone == zone:
                    engine.kill()
            await asyncio.sleep(0.5)

    asyncio.run(run_innocents(context, count, act))


@behave.then("the moved version is not withdrawn")
def check_not_withdrawn(context):
    for entry in context.fleet.entries:
        assert not moves.is_withdrawn(entry)


@behave.when("the store is down and a poison request is sent")
def send_without_store(context):
    context.fleet.platform.set_faults(store_down=True)

    async def run():
        async with aiohttp.ClientSession() as session:
            return await send_poison(context, session)

    context.poison = asyncio.run(run())


@behave.when("the store is back and the first entry host is restarted")
def restart_with_store(context):
    entry = context.fleet.entries[0]
    entry.kill()
    context.fleet.platform.set_faults(store_down=False)
    context.fleet.start_entry(entry)
    machines.wait_until(entry.is_ready, what=f"{entry.name} is ready")
