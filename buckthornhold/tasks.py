"""Background services that repeat one step until they are stopped."""

import abc
import asyncio
from collections.abc import Coroutine
import random

import mode


class PeriodicService(mode.Service, abc.ABC):
    """Repeats ``run_once``; an error is logged and the step repeated.

    An unforeseen error in one step must neither end the daemon nor go
    unseen, so it is logged with its step and counted. While ``has_work``
    is False the step is not repeated until ``wake`` is called.
    """

    abstract = True

    #: Share of the interval by which each wait is varied at random.
    jitter = 0.1

    def __init__(self, *, interval: float, logger, counters) -> None:
        super().__init__()
        self._interval = interval
        self._logger = logger
        self._counters = counters
        self._waiter: asyncio.Future | None = None
        self._woken = False

    @property
    def has_work(self) -> bool:
        """Whether the step is to be done again when the interval is over."""
        return True

    def wake(self) -> None:
        """Do the step now, or once more if it is under way."""
        self._woken = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def stop(self) -> None:
        """Stop the service without waiting for the interval's end."""
        self.wake()
        await super().stop()

    @abc.abstractmethod
    async def run_once(self) -> None:
        """Do the step once."""

    @mode.Service.task
    async def _repeat(self) -> None:
        while not self.should_stop:
            self._woken = False
            try:
                await self.run_once()
            except Exception:
                self._counters.count_event("tasks.errors")
                self._logger.bind(step=self.label).exception("step failed")
            if not self._woken:
                await self._wait()

    async def _wait(self) -> None:
        """Wait for the interval's end or a call of ``wake``.

        One timer and one future: mode's sleep makes a task for each wait.
        """
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = None
        if self.has_work:
            low = 1 - self.jitter
            seconds = self._interval * random.uniform(low, 2 - low)
            timer = loop.call_later(seconds, self.wake)
        try:
            await self._waiter
        finally:
            if timer is not None:
                timer.cancel()


class TaskSet:
    """Runs coroutines beside each other.

    An error is logged with its step and counted.
    """

    def __init__(self, *, logger, counters) -> None:
        self._logger = logger
        self._counters = counters
        self._tasks: set[asyncio.Task] = set()

    def start(self, job: Coroutine, *, step: str = "task") -> asyncio.Task:
        """Run a coroutine as a task of its own."""
        task = asyncio.get_running_loop().create_task(job, name=step)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    async def wait(self, timeout: float | None = None) -> None:
        """Wait until every task has ended, up to a timeout in seconds."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout)

    async def cancel(self) -> None:
        """Cancel every task and wait for its end."""
        for task in self._tasks:
            task.cancel()
        await self.wait()

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._counters.count_event("tasks.errors")
        logger = self._logger.bind(step=task.get_name())
        logger.opt(exception=task.exception()).error("task failed")
