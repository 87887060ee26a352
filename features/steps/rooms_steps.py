"""Steps on the admission of model requests by room."""

import asyncio
import random
import uuid

import aiohttp
import behave

from buckthornhold import reasons
from experiments import runs
from features import environment
from testbed import admission_benches
from testbed import callers

SEED = 5
LONG_ANSWER_TOKENS = 2000


def run(context, coroutine):
    return context.runner_loop.run_until_complete(coroutine)


@behave.given("rooms: {engine_count:d} engines behind {host_count:d} hosts")
def make_bench(context, engine_count, host_count):
    context.runner_loop = asyncio.new_event_loop()
    context.add_cleanup(context.runner_loop.close)
    context.bench = admission_benches.AdmissionBench(
        engine_count=engine_count, host_count=host_count
    )
    context.tokens = 0
    run(context, context.bench.load_reports())


@behave.when(
    "rooms: {count:d} requests of {tokens:d} tokens ask at one moment"
)
def ask_at_once(context, count, tokens):
    async def ask():
        return [
            await context.bench.request_admission(tokens) for _ in range(count)
        ]

    context.tokens = tokens
    outcomes = run(context, ask())
    context.taken = [it for it in outcomes if is_taken(it)]
    context.refused = [it for it in outcomes if not is_taken(it)]


@behave.when(
    "rooms: {count:d} requests of {tokens:d} tokens ask for long answers"
)
def ask_for_long_answers(context, count, tokens):
    async def ask():
        return [
            await context.bench.request_admission(
                tokens, max_tokens=LONG_ANSWER_TOKENS
            )
            for _ in range(count)
        ]

    context.taken = run(context, ask())
    assert all(map(is_taken, context.taken))


@behave.when("rooms: their answers end after {seconds:g} seconds")
def end_answers(context, seconds):
    context.bench.now += seconds
    for place in context.taken:
        context.bench.release(place)


@behave.when("rooms: {seconds:g} seconds pass without a first token")
def pass_time(context, seconds):
    context.bench.now += seconds


@behave.when("rooms: their first tokens come after {seconds:g} seconds")
def give_first_tokens(context, seconds):
    context.bench.now += seconds
    for place in context.taken:
        context.bench.record_first_token(place)


@behave.when(
    "rooms: a request of {tokens:d} tokens asks in each of {seconds:d} seconds"
)
def ask_for_long(context, tokens, seconds):
    for place in context.taken:
        context.bench.release(place)
    for _ in range(seconds):
        context.bench.now += 1.0
        place = run(context, context.bench.request_admission(tokens))
        assert is_taken(place), place
        context.bench.record_first_token(place)
        context.bench.release(place)


@behave.then("rooms: the taken ones can have their first tokens in time")
def check_taken(context):
    seconds = (
        len(context.taken) * context.tokens / context.bench.total_prefill_rate
    )
    assert seconds <= admission_benches.FIRST_TOKEN_TARGET_SECONDS, seconds
    # Half of what could be prefilled in time is taken at least.
    assert seconds >= admission_benches.FIRST_TOKEN_TARGET_SECONDS / 2, seconds
    assert context.refused


@behave.then("rooms: the others are refused as not run")
def check_refused(context):
    for failure in context.refused:
        assert failure.reason is reasons.Reason.NO_ROOM, failure
        assert failure.ran is reasons.Ran.NO, failure


@behave.then("rooms: they are told to come back one after the other")
def check_promises(context):
    told = [it.retry_after for it in context.refused]
    work = context.tokens / context.bench.total_prefill_rate
    for first, second in zip(told, told[1:], strict=False):
        assert work <= second - first <= 1.5 * work, (first, second)
    # The last comes when all before it could have been prefilled.
    drained = (len(context.taken) + len(told)) * work
    assert (
        drained - admission_benches.FIRST_TOKEN_TARGET_SECONDS
        <= told[-1]
        <= 1.5 * drained
    ), told[-1]


@behave.then("rooms: a request of {tokens:d} tokens is refused")
def check_one_refused(context, tokens):
    outcome = run(
        context,
        context.bench.request_admission(tokens, max_tokens=LONG_ANSWER_TOKENS),
    )
    assert not is_taken(outcome), outcome


@behave.then("rooms: a request of {tokens:d} tokens is taken")
def check_one_taken(context, tokens):
    outcome = run(
        context,
        context.bench.request_admission(tokens, max_tokens=LONG_ANSWER_TOKENS),
    )
    assert is_taken(outcome), outcome


@behave.then("rooms: all are taken")
def check_all_taken(context):
    assert not context.refused, context.refused


@behave.when(
    "rooms: {count:d} requests of {tokens:d} tokens arrive within "
    "{seconds:d} seconds"
)
def arrive(context, count, tokens, seconds):
    source = random.Random(SEED)
    arrivals = sorted(source.uniform(0, seconds) for _ in range(count))
    found = run(context, context.bench.simulate_arrivals(tokens, arrivals))
    context.refused_count, context.taken_later, context.in_vain = found


@behave.then("rooms: at least {count:d} are refused at first")
def check_first_refusals(context, count):
    assert context.refused_count >= count


@behave.then(
    "rooms: 9 of 10 that return after the last arrival are taken then"
)
def check_returns(context):
    returned = context.taken_later + context.in_vain
    assert returned
    assert context.taken_later >= 0.9 * returned, (
        context.taken_later,
        context.in_vain,
    )


@behave.given("rooms: a fleet of slow engines")
def use_slow_fleet(context):
    environment.use_fresh_fleet(context, engine_options=runs.ENGINE_OPTIONS)
    context.paused = []


@behave.when(
    "rooms: {count:d} callers ask for {tokens:d} new tokens each within "
    "{seconds:d} seconds"
)
def send_burst(context, count, tokens, seconds):
    entries = context.fleet.entries
    context.chats = send_prompts(count, tokens, seconds, entries)


def send_prompts(count, tokens, seconds, entries):
    """Send new prompts to any of the entry hosts; return the chats."""
    source = random.Random(SEED)

    async def send(session, delay, prompt, entry):
        await asyncio.sleep(delay)
        return await callers.stream_chat(
            session,
            entry.address,
            request_id=uuid.uuid4().hex,
            prompt=prompt,
            max_tokens=10,
        )

    async def send_all():
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            return await asyncio.gather(
                *[
                    send(
                        session,
                        source.uniform(0, seconds),
                        "".join(source.choices("abcdefgh", k=4 * tokens)),
                        source.choice(entries),
                    )
                    for _ in range(count)
                ]
            )

    return asyncio.run(send_all())


@behave.when("rooms: all hosts but the first are paused")
def pause_others(context):
    context.paused = context.fleet.entries[1:]
    for entry in context.paused:
        entry.freeze()


@behave.when(
    "rooms: {count:d} callers ask the first host for {tokens:d} tokens each "
    "in {seconds:d} seconds"
)
def ask_first_host(context, count, tokens, seconds):
    entries = context.fleet.entries[:1]
    context.chats = send_prompts(count, tokens, seconds, entries)


@behave.then("rooms: some are refused, with when to come back")
def check_fleet_refusals(context):
    refused = [it for it in context.chats if it.error]
    assert refused
    for chat in refused:
        assert chat.status == 503, chat
        assert chat.error["reason"] == "no_room", chat
        assert chat.error["retry_after"] > 0, chat
    counted = count(context, "refusals.no_room")
    assert counted == len(refused), (counted, len(refused))


@behave.then("rooms: all whose refusal other hosts vouch for are told not run")
def check_told_not_run(context):
    told = [it.error["ran"] for it in context.chats if it.error]
    doubted = count(context, "events.handovers.unanswered")
    assert told.count("no") == len(told) - doubted, (told, doubted)
    assert told.count("unknown") == doubted, (told, doubted)


@behave.then("rooms: each refusal says that the request may have run")
def check_told_unknown(context):
    told = {it.error["ran"] for it in context.chats if it.error}
    assert told == {"unknown"}, told


@behave.then("rooms: no engine has seen a refused request")
def check_not_run(context):
    ran = {
        execution["request_id"]
        for engine in context.fleet.engines
        for execution in engine.get("/executions")
    }
    assert ran
    assert not ran & {it.request_id for it in context.chats if it.error}


@behave.then(
    "rooms: each entry host explains a refusal with its rule and time"
)
def check_explained(context):
    refused = [it for it in context.chats if it.error]
    for entry in context.fleet.entries:
        path = f"/requests/{refused[-1].request_id}"
        found = entry.operate("GET", path).json()
        failure = found["failure"]
        assert failure["reason"] == "no_room", found
        assert failure["step"] == "room", found
        assert failure["retry_after"] == refused[-1].error["retry_after"]
        assert found["attempts"] == [], found
        assert found["route"] == "race-desk-llm", found
        assert found["rules"][0].startswith("serve model=race-desk-llm")


@behave.then("rooms: all others get their whole answers")
def check_answers(context):
    for chat in context.chats:
        assert chat.error or chat.whole, str(chat)


def count(context, name: str) -> int:
    """Return a counter's sum over the entry hosts that run."""
    return sum(
        entry.operate("GET", "/counters").json()[name]
        for entry in context.fleet.entries
        if entry not in context.paused
    )


def is_taken(outcome) -> bool:
    return not isinstance(outcome, reasons.Failure)
