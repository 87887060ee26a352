"""Steps on identical reads that share one execution."""

import asyncio
import itertools
import pathlib
import uuid

import aiohttp
import behave

from features import environment
from testbed import callers
from testbed import machines

STOCK = "call service=entries-app operation=stock repeat=yes shared=yes"
RESULTS = "call service=entries-app operation=results repeat=yes shared=yes"
LINES = f"""\
{STOCK} deadline=1s  # asked by: R. Singh
{RESULTS} fresh=0.5s  # asked by: R. Singh
"""
SLOW = 0.2
NUMBERS = itertools.count()


@behave.given("shared reads: a fleet whose rules share stock and results")
def use_fleet(context):
    environment.use_shared_fleet(context)
    text = pathlib.Path("testbed/fleet.rules").read_text()
    if not hasattr(context.fleet, "shares_reads"):
        context.fleet.apply_rules(text + LINES)
        context.fleet.shares_reads = True
    context.body = {"card": next(NUMBERS)}
    context.ran_before = count_runs(context)
    context.events_before = read_counters(context)
    context.results = []
    set_faults(context, slow=SLOW)


def set_faults(context, **faults):
    for service in context.fleet.services:
        service.set_faults(**faults)


def count_runs(context):
    return len(context.fleet.list_executions())


def read_counters(context):
    entry = context.fleet.entries[0]
    return entry.operate("GET", "/counters").json()


def count_events(context, name):
    now = read_counters(context).get(name, 0)
    return now - context.events_before.get(name, 0)


async def ask(context, session, operation="stock", **options):
    entry = context.fleet.entries[0]
    return await callers.call_service(
        session,
        entry.address,
        options.pop("operation", operation),
        **{
            "request_id": uuid.uuid4().hex,
            "body": context.body,
            **options,
        },
    )


def run(context, coroutine_of):
    async def run_in_session():
        async with aiohttp.ClientSession() as session:
            return await coroutine_of(session)

    found = asyncio.run(run_in_session())
    context.results += found or []


@behave.given("shared reads: each service loses its next answer")
def lose_answers(context):
    set_faults(context, slow=SLOW, drop_after=1)


@behave.given("shared reads: each service fails")
def fail(context):
    set_faults(context, slow=SLOW, fail=100)


@behave.when(
    "shared reads: {count:d} callers ask for {operation:w} while one asks "
    "for it"
)
def ask_together(context, count, operation):
    async def ask_all(session):
        first = asyncio.create_task(ask(context, session, operation))
        await asyncio.sleep(SLOW / 4)
        others = [ask(context, session, operation) for _ in range(count)]
        return [*await asyncio.gather(*others), await first]

    run(context, ask_all)


@behave.when("shared reads: 2 callers ask for stock with another {part}")
def ask_otherwise(context, part):
    other = {
        "body": {"body": {"card": "other"}},
        "workspace": {"headers": {"X-Workspace": "other"}},
        "method": {"method": "PUT"},
        "query": {"operation": "stock?of=other"},
        "content type": {"headers": {"Content-Type": "text/plain"}},
    }[part]

    async def ask_both(session):
        return await asyncio.gather(
            ask(context, session), ask(context, session, **other)
        )

    run(context, ask_both)


@behave.when("shared reads: {count:d} callers ask for {operation} at one time")
def ask_unshared(context, count, operation):
    async def ask_all(session):
        asked = [ask(context, session, operation) for _ in range(count)]
        return await asyncio.gather(*asked)

    run(context, ask_all)


@behave.when(
    "shared reads: the services work again and a caller asks for results"
)
def ask_again(context):
    set_faults(context, fail=0)
    context.results = []
    run(context, lambda session: ask_list(context, session, "results"))


async def ask_list(context, session, *operations):
    return [await ask(context, session, it) for it in operations]


@behave.when(
    "shared reads: the first of {count:d} callers for stock goes away"
)
def leave_first(context, count):
    async def ask_all(session):
        first = asyncio.create_task(ask(context, session))
        await asyncio.sleep(SLOW / 4)
        others = [
            asyncio.create_task(ask(context, session))
            for _ in range(count - 1)
        ]
        await asyncio.sleep(SLOW / 4)
        first.cancel()
        return await asyncio.gather(*others)

    run(context, ask_all)


@behave.when("shared reads: all of {count:d} callers for stock go away")
def leave_all(context, count):
    async def ask_all(session):
        asked = [
            asyncio.create_task(ask(context, session)) for _ in range(count)
        ]
        await asyncio.sleep(SLOW / 2)
        for task in asked:
            task.cancel()
        await asyncio.wait(asked)

    run(context, ask_all)


@behave.when(
    "shared reads: the first caller's time for stock ends and the second's not"
)
def end_time(context):
    set_faults(context, slow=1.5)

    async def ask_both(session):
        first = asyncio.create_task(ask(context, session))
        await asyncio.sleep(0.6)
        second = asyncio.create_task(ask(context, session))
        await asyncio.sleep(0.2)
        await asyncio.to_thread(set_faults, context, slow=0.0)
        return [await first, await second]

    run(context, ask_both)


@behave.when(
    "shared reads: a caller asks for results twice, and {later:g} s later "
    "again"
)
def ask_thrice(context, later):
    set_faults(context, slow=0.0)

    async def ask_all(session):
        asked = await ask_list(context, session, "results", "results")
        await asyncio.sleep(later)
        return [*asked, await ask(context, session, "results")]

    run(context, ask_all)


@behave.when("shared reads: a caller asks for results, pays and asks again")
def ask_around_write(context):
    set_faults(context, slow=0.0)
    run(
        context,
        lambda session: ask_list(
            context, session, "results", "pay", "results"
        ),
    )


@behave.then("shared reads: each has the answer to its own request")
def check_answers(context):
    assert context.results
    for result in context.results:
        assert result.status == 200, result
        assert result.ran == "yes", result
    told = {it.body["digest"] for it in context.results}
    assert len(told) <= 2, told


@behave.then("shared reads: all are told of status {status:d}")
def check_failed(context, status):
    assert context.results
    for result in context.results:
        assert result.status == status, result


@behave.then("shared reads: the services ran {count:d} call")
@behave.then("shared reads: the services ran {count:d} calls")
def check_runs(context, count):
    ran = count_runs(context) - context.ran_before
    assert ran == count, ran


@behave.then("shared reads: the services ran {least:d} to {most:d} calls")
def check_run_range(context, least, most):
    ran = count_runs(context) - context.ran_before
    assert least <= ran <= most, ran


@behave.then("shared reads: {count:d} callers are counted as joined")
def check_joined(context, count):
    joined = count_events(context, "events.reads.joined")
    assert joined == count, joined


@behave.then("shared reads: {count:d} execution is counted as abandoned")
def check_abandoned(context, count):
    machines.wait_until(
        lambda: count_events(context, "events.reads.abandoned") == count,
        what="the execution is abandoned",
    )


@behave.then("shared reads: the first is refused and the second answered")
def check_times(context):
    first, second = context.results
    assert first.reason in ("upstream_timeout", "deadline_passed"), first
    assert second.status == 200, second
