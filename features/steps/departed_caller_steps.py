"""Steps on calls of the own interface whose clients disconnect."""

import asyncio

import behave

from features.steps import at_most_once_fault_steps
from features.steps import departed_client_steps

#: Within a call's deadline; a call that waits at a gate can still be sent.
GATE_SECONDS = 0.1
BLOCKED_SECONDS = 0.4
#: A call that is sent after its gate has opened has arrived by then.
WATCH_SECONDS = 0.5


@behave.given("the call's service refuses the first attempt")
def refuse_first(context):
    context.refusals = 1


@behave.when("a call's client disconnects from the first host at that step")
def disconnect(context):
    """The retry that follows runs the whole scenario in one event loop."""


@behave.then("the call's service counted {count:d} executions by then")
def expect_early(context, count):
    context.early = count


@behave.when("the call is retried through the second host")
def run(context):
    async def act(fleet, call):
        fleet.service.faults.say_not_run = getattr(context, "refusals", 0)
        first = asyncio.create_task(call.send(1))
        await fleet.gate.reached.wait()
        await leave(first)
        await asyncio.sleep(GATE_SECONDS)
        fleet.gate.mend()
        await asyncio.sleep(WATCH_SECONDS)
        early = fleet.list_runs(call.request_id)
        assert len(early) == context.early, early
        context.later_result = await call.send_until_final(2)

    asyncio.run(at_most_once_fault_steps.run_with_fleet(context, act))


@behave.when("one of two clients disconnects from the first host at that step")
def run_with_two(context):
    async def act(fleet, call):
        first = asyncio.create_task(call.send(1))
        await fleet.gate.reached.wait()
        second = asyncio.create_task(call.send(1))
        await asyncio.sleep(GATE_SECONDS)
        await leave(first)
        fleet.gate.mend()
        context.later_result = await second

    asyncio.run(at_most_once_fault_steps.run_with_fleet(context, act))


@behave.when("a call's client disconnects while the first host is blocked")
def run_with_blocked(context):
    async def act(fleet, call):
        request = (
            "POST /services/entries-app/pay HTTP/1.1\r\nHost: entry\r\n"
            f"X-Request-Id: {call.request_id}\r\n"
            "Content-Length: 2\r\n\r\n{}"
        )
        departed_client_steps.send_while_blocked(
            fleet.hosts[0].address, [request.encode()], BLOCKED_SECONDS
        )
        await asyncio.sleep(WATCH_SECONDS)

    asyncio.run(at_most_once_fault_steps.run_with_fleet(context, act))


async def leave(task):
    task.cancel()
    await asyncio.wait([task])
