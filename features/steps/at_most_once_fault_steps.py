"""Steps on faults at a given step of a call, in one process."""

import asyncio
import json
import time
import uuid

import aiohttp
import behave

from testbed import callers
from testbed import fleets
from testbed import histories
from testbed import steps

POLL_SECONDS = 0.05
CLAIM_EXPIRY_SECONDS = steps.DEADLINE + steps.CLAIM_TIMEOUT + 0.3


class FaultyCall:
    """A call that is sent through two hosts, and its history."""

    def __init__(self, *, fleet: steps.SteppedFleet) -> None:
        self.fleet = fleet
        self.request_id = uuid.uuid4().hex
        self.events: list[dict] = []
        self._session: aiohttp.ClientSession | None = None

    async def send(self, number: int) -> callers.CallResult:
        """Send the call through a host, numbered from 1."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        name = f"sending-{len(self.events)}"
        identity = {"sending": name, "request_id": self.request_id}
        repeated = any(event["kind"] == "sent" for event in self.events)
        self.events.append(
            {
                "kind": "sent",
                "time": time.time(),
                "repeated": repeated,
                **identity,
            }
        )
        result = await callers.call_service(
            self._session,
            self.fleet.hosts[number - 1].address,
            "pay",
            request_id=self.request_id,
            body={"runner": 7},
            headers={"X-Request-Attempt": "2" if repeated else "1"},
        )
        self.events.append(
            {
                "kind": "told",
                "time": time.time(),
                "status": result.status,
                "ran": result.ran,
                "reason": result.reason,
                "answer": "" if result.reason else json.dumps(result.body),
                **identity,
            }
        )
        return result

    async def send_until_final(self, number: int) -> callers.CallResult:
        """Send the call until its result is final."""
        async with asyncio.timeout(10.0):
            while True:
                result = await self.send(number)
                if result.reason != "still_running" and result.ran != "no":
                    return result
                await asyncio.sleep(POLL_SECONDS)

    async def close(self) -> None:
        """Add the executions to the history and close the connections."""
        for execution in self.fleet.list_runs(self.request_id):
            self.events.append(
                {
                    "kind": "executed",
                    "time": execution["time"],
                    "request_id": self.request_id,
                    "attempt": execution["attempt"],
                }
            )
        if self._session is not None:
            await self._session.close()


async def run_with_fleet(context, act):
    prefix = fleets.make_prefix()
    gate = steps.Gate(fault=context.fault, step=context.step)
    fleet = steps.SteppedFleet(prefix=prefix, gate=gate, writer=context.writer)
    await fleet.start()
    call = FaultyCall(fleet=fleet)
    try:
        await act(fleet, call)
    finally:
        await call.close()
        await fleet.stop()
    context.runs = len(fleet.list_runs(call.request_id))
    context.events = call.events


@behave.given(
    'two call hosts of which the first will be {fault} at the step "{step}"'
)
def choose_fault(context, fault, step):
    context.fault, context.step, context.writer = fault, step, 1


@behave.given(
    "two call hosts of which the second writes all claims but never replies"
)
def choose_silent_writer(context):
    context.fault, context.step, context.writer = "", "", 2


@behave.when("a call is sent through the first host until that step")
@behave.when("a call is sent through the first host")
def choose_call(context):
    """The steps that follow run the whole scenario in one event loop."""


@behave.when(
    "the call is retried through the second host, at once and afterwards"
)
def run_with_fault(context):
    async def act(fleet, call):
        first = asyncio.create_task(call.send(1))
        await fleet.gate.reached.wait()
        if context.fault == "answer lost":
            await asyncio.wait((first,))
        context.immediate_result = await call.send(2)
        if context.fault == "killed":
            # The claim's deadline has passed; the dead host won't reply.
            await asyncio.sleep(CLAIM_EXPIRY_SECONDS)
            if not first.done():
                first.cancel()
            context.first_result = await await_result(first)
            context.later_result = await call.send(2)
            return
        if context.fault == "frozen":
            await asyncio.sleep(steps.DEADLINE)
        if context.fault == "cut":
            await asyncio.wait((first,))
        fleet.gate.mend()
        context.first_result = await first
        context.later_result = await call.send_until_final(2)

    asyncio.run(run_with_fleet(context, act))


@behave.given("the call's service refuses the first 4 attempts")
def refuse_first(context):
    context.refusals = 4


@behave.when(
    "the call is retried through both hosts and through the first again"
)
def run_with_refusals(context):
    async def act(fleet, call):
        fleet.service.faults.say_not_run = context.refusals
        context.first_result = await call.send(1)
        context.immediate_result = await call.send_until_final(2)
        await call.send(1)
        fleet.gate.mend()
        context.later_result = await call.send_until_final(1)

    asyncio.run(run_with_fleet(context, act))


async def await_result(task):
    (result,) = await asyncio.gather(task, return_exceptions=True)
    if isinstance(result, asyncio.CancelledError):
        return None
    return result


@behave.when("the call is retried through the first host")
def run_with_silent_writer(context):
    async def act(fleet, call):
        writer = fleet.hosts[1]
        submit_local = writer.claims.submit_local

        async def write_without_reply(claim):
            await submit_local(claim)
            await asyncio.Event().wait()

        writer.claims.submit_local = write_without_reply
        context.first_result = await call.send(1)
        context.later_result = await call.send_until_final(1)

    asyncio.run(run_with_fleet(context, act))


def describe(result) -> str:
    if result is None or not result.status:
        return "nothing"
    if not result.reason:
        return "answer"
    return f"{result.reason} {result.ran}"


@behave.then("the call's first attempt gets '{expected}'")
def check_first_result(context, expected):
    assert describe(context.first_result) == expected, context.first_result


@behave.then("the call's immediate retry gets '{expected}'")
def check_immediate_result(context, expected):
    assert describe(context.immediate_result) == expected, (
        context.immediate_result
    )


@behave.then("the call's later retry gets '{expected}'")
def check_later_result(context, expected):
    assert describe(context.later_result) == expected, context.later_result


@behave.then("the call's service counted {count:d} executions")
def check_executions(context, count):
    assert context.runs == count, context.events


@behave.then("the history of this call violates no guarantee")
def check_history(context):
    verdict = histories.check_history(context.events)
    assert not verdict.violations, (verdict, context.events)
