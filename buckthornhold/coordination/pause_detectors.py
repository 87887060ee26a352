"""Pauses: whether this process was stopped, and what to refresh then.

A process that was frozen wakes with an old view of the world. It compares a
clock that also runs while the process, or its machine, stands still with
the moment at which the event loop last ran.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

import mode

TICK_INTERVAL_SECONDS = 0.25


def read_boot_clock() -> float:
    """Return seconds on a clock that never stands still or goes back."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector(mode.Service):
    """Notices that the event loop stood still, and refreshes afterwards.

    A pause is a gap of more than ``threshold`` seconds between two ticks.
    After a pause each refresher runs once, for at most ``refresh_timeout``
    seconds, and ``fresh`` is False until all have ended. ``notify`` is
    called with the seconds of each pause. Needs nothing but an event loop.
    """

    def __init__(
        self,
        *,
        threshold: float,
        refresh_timeout: float,
        logger,
        notify: Callable[[float], None] = lambda seconds: None,
        clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        super().__init__()
        self._threshold = threshold
        self._refresh_timeout = refresh_timeout
        self._logger = logger
        self._notify = notify
        self._clock = clock
        self._refreshers: list[Callable[[], Awaitable[object]]] = []
        self._last_tick = clock()
        self._last_pause_ended: float | None = None
        self._stale = False
        self._pause_detected = asyncio.Event()
        self._refreshed = asyncio.Event()
        self._refreshed.set()

    @property
    def fresh(self) -> bool:
        """Whether everything was refreshed since the last pause.

        Looks at the clock, so it is right also before the next tick.
        """
        self.detect_pause()
        return not self._stale

    def add_refresher(self, refresh: Callable[[], Awaitable[object]]) -> None:
        """Have ``refresh`` run after each pause."""
        self._refreshers.append(refresh)

    async def wait_until_fresh(self) -> None:
        """Wait until everything was refreshed since the last pause."""
        self.detect_pause()
        await self._refreshed.wait()

    def detect_pause(self) -> None:
        """Look at the clock now and note a pause if there was one."""
        now = self._clock()
        gap = now - self._last_tick
        self._last_tick = now
        if gap <= self._threshold:
            return
        self._stale = True
        self._refreshed.clear()
        self._last_pause_ended = now
        self._pause_detected.set()
        self._logger.bind(step="pause").warning(
            f"the process stood still for {gap:.1f} s"
        )
        self._notify(gap)

    def paused_since(self, moment: float) -> bool:
        """Tell whether a pause ended after a moment of ``read_clock``."""
        self.detect_pause()
        ended = self._last_pause_ended
        return ended is not None and ended >= moment

    @mode.Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            self.detect_pause()
            await asyncio.sleep(TICK_INTERVAL_SECONDS)

    @mode.Service.task
    async def _refresh(self) -> None:
        while not self.should_stop:
            await self._pause_detected.wait()
            self._pause_detected.clear()
            await asyncio.gather(
                *[self._run_refresher(one) for one in self._refreshers]
            )
            if not self._pause_detected.is_set():
                self._stale = False
                self._refreshed.set()

    async def _run_refresher(
        self, refresh: Callable[[], Awaitable[object]]
    ) -> None:
        try:
            async with asyncio.timeout(self._refresh_timeout):
                await refresh()
        except TimeoutError:
            self._logger.bind(step="refresh").warning("refresh timed out")
        except Exception:
            self._logger.bind(step="refresh").exception("refresh failed")
