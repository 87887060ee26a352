"""Steps on services that repeat a step, run in this process."""

import asyncio

import behave
import loguru

from buckthornhold import counters
from buckthornhold import tasks

WAKES = 3


class CountingService(tasks.PeriodicService):
    """Counts its steps; ``busy`` says whether it has work."""

    def __init__(self, *, interval, busy, wakes_itself=False):
        super().__init__(
            interval=interval,
            logger=loguru.logger,
            counters=counters.Counters(address=None, prefix=""),
        )
        self._busy = busy
        self._wakes_itself = wakes_itself
        self.steps = 0
        self.cancelled = False

    @property
    def has_work(self):
        return self._busy

    async def run_once(self):
        self.steps += 1
        if self._wakes_itself and self.steps == 1:
            self.wake()

    async def _wait(self):
        try:
            await super()._wait()
        except asyncio.CancelledError:
            self.cancelled = True
            raise


async def run_service(service, seconds, wakes) -> int:
    """Run a service for a time; return how many tasks it made."""
    made = []
    loop = asyncio.get_running_loop()
    await service.start()

    def make_task(loop, coroutine, **options):
        made.append(coroutine)
        return asyncio.Task(coroutine, loop=loop, **options)

    await asyncio.sleep(seconds / 10)
    loop.set_task_factory(make_task)
    for _ in range(wakes):
        service.wake()
        await asyncio.sleep(seconds / 10)
    await asyncio.sleep(seconds)
    loop.set_task_factory(None)
    await service.stop()
    return len(made)


@behave.given("capacity of a service of {interval:g} s with nothing to do")
def make_idle_service(context, interval):
    context.service = CountingService(interval=interval, busy=False)


@behave.given("capacity of a service of {interval:g} s with work to do")
def make_busy_service(context, interval):
    context.service = CountingService(interval=interval, busy=True)


@behave.given(
    "capacity of a service of {interval:g} s that is woken in its first step"
)
def make_self_waking_service(context, interval):
    context.service = CountingService(
        interval=interval, busy=False, wakes_itself=True
    )


@behave.when("capacity: the service runs for {seconds:g} s")
def run_quietly(context, seconds):
    context.made = asyncio.run(run_service(context.service, seconds, 0))


@behave.when(
    "capacity: the service runs for {seconds:g} s and is woken 3 times"
)
def run_woken(context, seconds):
    context.made = asyncio.run(run_service(context.service, seconds, WAKES))


@behave.then("capacity: its step was done {count:d} times")
def check_steps(context, count):
    assert context.service.steps == count, context.service.steps


@behave.then("capacity: its step was done more than {count:d} times")
def check_many_steps(context, count):
    assert context.service.steps > count, context.service.steps


@behave.then("capacity: no task was made for its waits")
def check_tasks(context):
    assert context.made == 0, context.made


@behave.then("capacity: the service stopped by itself, not cancelled")
def check_stopped(context):
    assert not context.service.cancelled
