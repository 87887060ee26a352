"""Steps on engines that report that they leave."""

import asyncio
import math
import time
import types

import behave

from buckthornhold import tasks
from buckthornhold import transfers

SECONDS_LEFT = 3.0
#: Checks of whether a stream still fits the notice.
CHECKS = 3


class Stream:
    """A stream on one upstream that still takes some seconds."""

    cost = 1

    def __init__(self, upstream):
        self._upstream = upstream
        self._ends_at = time.monotonic() + SECONDS_LEFT
        self.contract = types.SimpleNamespace(request_id="r1")
        self.moved = False

    def is_on(self, upstream):
        return upstream is self._upstream and not self.moved

    def estimate_seconds_left(self):
        return self._ends_at - time.monotonic()

    def find_target(self, tried):
        return types.SimpleNamespace(key=("other", 1))

    async def move_to(self, target):
        self.moved = True


@behave.given("leaving report: the list has its notice of {seconds:g} s")
def list_notice(context, seconds):
    async def read(upstream, timeout):
        upstream.leaves_at = time.monotonic() + seconds

    context.read = read


@behave.given("leaving report: the list does not contain it")
def list_no_notice(context):
    async def read(upstream, timeout):
        await asyncio.sleep(0)

    context.read = read


@behave.given("leaving report: the list can't be read")
def fail_list(context):
    async def read(upstream, timeout):
        await asyncio.sleep(timeout)

    context.read = read


@behave.when(
    "leaving report: an engine with a stream of 3 s left reports that it "
    "leaves"
)
def leave(context):
    async def run():
        upstream = types.SimpleNamespace(
            key=("engine", 1), leaves_at=math.inf, engine=object()
        )
        context.stream = Stream(upstream)
        counts = types.SimpleNamespace(count_event=lambda name: None)
        host = types.SimpleNamespace(
            counters=counts,
            background=tasks.TaskSet(logger=None, counters=counts),
            answers=types.SimpleNamespace(
                list_on=lambda leaving: [context.stream]
            ),
            upstreams=types.SimpleNamespace(
                refresh_list=lambda timeout: context.read(upstream, timeout)
            ),
        )
        config = types.SimpleNamespace(
            carry_slots=1,
            recompute_slots=1,
            transfer_patience=1.0,
            unknown_notice=2.0,
            notice_margin=2.0,
        )
        moves = transfers.Transfers(host=host, config=config)

        async def refuse(stream, upstream, target):
            return False

        moves._carry = refuse
        task = asyncio.create_task(moves._clear(upstream))
        await asyncio.wait([task], timeout=CHECKS * transfers.RECHECK_SECONDS)
        task.cancel()

    asyncio.run(run())


@behave.then("leaving report: the stream is left to end")
def check_left(context):
    assert not context.stream.moved


@behave.then("leaving report: the stream is moved")
def check_moved(context):
    assert context.stream.moved
