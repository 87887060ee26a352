"""Steps on the admission of model requests by estimated wait."""

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

ARRIVAL_SEED = 5
LONG_ANSWER_TOKENS = 2000


def run(context, coroutine):
    return context.runner_loop.run_until_complete(coroutine)


@behave.given(
    "admission: {engine_count:d} engines behind {host_count:d} hosts"
)
def make_bench(context, engine_count, host_count):
    context.runner_loop = asyncio.new_event_loop()
    context.add_cleanup(context.runner_loop.close)
    context.bench = admission_benches.AdmissionBench(
        engine_count=engine_count, host_count=host_count
    )
    context.tokens = 0
    run(context, context.bench.load_reports())


@behave.when(
    "admission: {count:d} requests of {tokens:d} tokens arrive at once"
)
def send_at_once(context, count, tokens):
    async def send():
        return [
            await context.bench.request_admission(tokens) for _ in range(count)
        ]

    context.tokens = tokens
    outcomes = run(context, send())
    context.admitted = [
        outcome for outcome in outcomes if is_admitted(outcome)
    ]
    context.refused = [
        outcome for outcome in outcomes if not is_admitted(outcome)
    ]


@behave.when(
    "admission: {count:d} requests of {tokens:d} tokens for long answers "
    "arrive"
)
def send_for_long_answers(context, count, tokens):
    async def send():
        return [
            await context.bench.request_admission(
                tokens, max_tokens=LONG_ANSWER_TOKENS
            )
            for _ in range(count)
        ]

    context.admitted = run(context, send())
    assert all(map(is_admitted, context.admitted))


@behave.when("admission: their answers end after {seconds:g} seconds")
def end_answers(context, seconds):
    context.bench.now += seconds
    for admitted in context.admitted:
        context.bench.release(admitted)


@behave.when("admission: {seconds:g} seconds pass without a first token")
def pass_time(context, seconds):
    context.bench.now += seconds


@behave.when("admission: their first tokens come after {seconds:g} seconds")
def give_first_tokens(context, seconds):
    context.bench.now += seconds
    for admitted in context.admitted:
        context.bench.record_first_token(admitted)


@behave.when(
    "admission: a request of {tokens:d} tokens arrives in each of "
    "{seconds:d} seconds"
)
def send_each_second(context, tokens, seconds):
    for admitted in context.admitted:
        context.bench.release(admitted)
    for _ in range(seconds):
        context.bench.now += 1.0
        admitted = run(context, context.bench.request_admission(tokens))
        assert is_admitted(admitted), admitted
        context.bench.record_first_token(admitted)
        context.bench.release(admitted)


@behave.then(
    "admission: the admitted ones can have their first tokens in time"
)
def check_admitted(context):
    seconds = (
        len(context.admitted)
        * context.tokens
        / context.bench.total_prefill_rate
    )
    assert seconds <= admission_benches.FIRST_TOKEN_TARGET_SECONDS, seconds
    # At least half of what could be prefilled in time is admitted.
    assert seconds >= admission_benches.FIRST_TOKEN_TARGET_SECONDS / 2, seconds
    assert context.refused


@behave.then("admission: the others are refused as not run")
def check_refused(context):
    for failure in context.refused:
        assert failure.reason is reasons.Reason.NO_ROOM, failure
        assert failure.ran is reasons.Ran.NO, failure


@behave.then("admission: their retries are spread out")
def check_spread_retries(context):
    retries = [failure.retry_after for failure in context.refused]
    prefill_seconds = context.tokens / context.bench.total_prefill_rate
    for first, second in zip(retries, retries[1:], strict=False):
        assert prefill_seconds <= second - first <= 1.5 * prefill_seconds, (
            first,
            second,
        )
    # The last retry comes when all before it could have been prefilled.
    drained = (len(context.admitted) + len(retries)) * prefill_seconds
    assert (
        drained - admission_benches.FIRST_TOKEN_TARGET_SECONDS
        <= retries[-1]
        <= 1.5 * drained
    ), retries[-1]


@behave.then("admission: a request of {tokens:d} tokens is refused")
def check_one_refused(context, tokens):
    outcome = run(
        context,
        context.bench.request_admission(tokens, max_tokens=LONG_ANSWER_TOKENS),
    )
    assert not is_admitted(outcome), outcome


@behave.then("admission: a request of {tokens:d} tokens is admitted")
def check_one_admitted(context, tokens):
    outcome = run(
        context,
        context.bench.request_admission(tokens, max_tokens=LONG_ANSWER_TOKENS),
    )
    assert is_admitted(outcome), outcome


@behave.then("admission: all are admitted")
def check_all_admitted(context):
    assert not context.refused, context.refused


@behave.when(
    "admission: {count:d} requests of {tokens:d} tokens arrive within "
    "{seconds:d} seconds"
)
def simulate_arrivals(context, count, tokens, seconds):
    generator = random.Random(ARRIVAL_SEED)
    arrivals = sorted(generator.uniform(0, seconds) for _ in range(count))
    counts = run(context, context.bench.simulate_arrivals(tokens, arrivals))
    context.refused_count, context.admitted_later, context.refused_later = (
        counts
    )


@behave.then("admission: at least {count:d} are refused at first")
def check_first_refusals(context, count):
    assert context.refused_count >= count


@behave.then(
    "admission: 9 of 10 that retry after the last arrival are admitted"
)
def check_retries(context):
    retried = context.admitted_later + context.refused_later
    assert retried
    assert context.admitted_later >= 0.9 * retried, (
        context.admitted_later,
        context.refused_later,
    )


@behave.given("admission: a fleet of slow engines")
def use_slow_fleet(context):
    environment.use_fresh_fleet(context, engine_options=runs.ENGINE_OPTIONS)
    context.paused = []


@behave.when(
    "admission: {count:d} clients send {tokens:d} new tokens each within "
    "{seconds:d} seconds"
)
def send_burst(context, count, tokens, seconds):
    entries = context.fleet.entries
    context.chats = send_prompts(count, tokens, seconds, entries)


def send_prompts(count, tokens, seconds, entries):
    """Send new prompts to any of the entry hosts; return the chats."""
    generator = random.Random(ARRIVAL_SEED)

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
                        generator.uniform(0, seconds),
                        "".join(generator.choices("abcdefgh", k=4 * tokens)),
                        generator.choice(entries),
                    )
                    for _ in range(count)
                ]
            )

    return asyncio.run(send_all())


@behave.when("admission: all hosts but the first are paused")
def pause_others(context):
    context.paused = context.fleet.entries[1:]
    for entry in context.paused:
        entry.freeze()


@behave.when(
    "admission: {count:d} clients send the first host {tokens:d} tokens each "
    "in {seconds:d} seconds"
)
def send_to_first_host(context, count, tokens, seconds):
    entries = context.fleet.entries[:1]
    context.chats = send_prompts(count, tokens, seconds, entries)


@behave.then("admission: some are refused with a retry time")
def check_fleet_refusals(context):
    refused = [answer for answer in context.chats if answer.error]
    assert refused
    for chat in refused:
        assert chat.status == 503, chat
        assert chat.error["reason"] == "no_room", chat
        assert chat.error["retry_after"] > 0, chat
    counted = count(context, "refusals.no_room")
    assert counted == len(refused), (counted, len(refused))


@behave.then("admission: all refusals confirmed by other hosts say not run")
def check_told_not_run(context):
    told = [chat.error["ran"] for chat in context.chats if chat.error]
    unconfirmed = count(context, "events.handovers.unanswered")
    assert told.count("no") == len(told) - unconfirmed, (told, unconfirmed)
    assert told.count("unknown") == unconfirmed, (told, unconfirmed)


@behave.then("admission: each refusal says that the request may have run")
def check_told_unknown(context):
    told = {chat.error["ran"] for chat in context.chats if chat.error}
    assert told == {"unknown"}, told


@behave.then("admission: no engine has received a refused request")
def check_not_run(context):
    ran = {
        execution["request_id"]
        for engine in context.fleet.engines
        for execution in engine.get("/executions")
    }
    assert ran
    assert not ran & {chat.request_id for chat in context.chats if chat.error}


@behave.then(
    "admission: each entry host explains a refusal with its rule and time"
)
def check_explained(context):
    refused = [answer for answer in context.chats if answer.error]
    for entry in context.fleet.entries:
        path = f"/requests/{refused[-1].request_id}"
        explanation = entry.operate("GET", path).json()
        failure = explanation["failure"]
        assert failure["reason"] == "no_room", explanation
        assert failure["step"] == "room", explanation
        assert failure["retry_after"] == refused[-1].error["retry_after"]
        assert explanation["attempts"] == [], explanation
        assert explanation["route"] == "race-desk-llm", explanation
        assert explanation["rules"][0].startswith("serve model=race-desk-llm")


@behave.then("admission: all others get complete answers")
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


def is_admitted(outcome) -> bool:
    return not isinstance(outcome, reasons.Failure)
