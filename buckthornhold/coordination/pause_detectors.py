"""Pause detectors, which notice that the process was stopped for a while.

A process that resumes after a freeze has stale state. It notices the freeze
by a gap between ticks of the event loop, measured on a clock that also
advances while the process or its machine is suspended.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

import mode

TICK_INTERVAL_SECONDS = 0.25


def read_boot_clock() -> float:
    """Return seconds since boot, including the time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector(mode.Service):
    """Detects pauses of the event loop and refreshes state after them.

    A pause is a gap of more than ``threshold`` seconds between two ticks.
    After a pause each refresher runs once, for at most ``refresh_timeout``
    seconds, and ``fresh`` is False until all have ended. ``notify`` is
    called with the duration of each pause in seconds. Depends on an event
    loop only.
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
        """Whether all refreshers have ended since the last pause.

        Reads the clock, so it is correct before the next tick as well.
        """
        self.detect_pause()
        return not self._stale

    def add_refresher(self, refresh: Callable[[], Awaitable[object]]) -> None:
        """Run ``refresh`` after each pause."""
        self._refreshers.append(refresh)

    async def wait_until_fresh(self) -> None:
        """Wait until all refreshers have ended since the last pause."""
        self.detect_pause()
        await self._refreshed.wait()

    def detect_pause(self) -> None:
        """Read the clock and start a refresh if there was a pause."""
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
            f"process was paused for {gap:.1f} s"
        )
        self._notify(gap)

    def paused_since(self, moment: float) -> bool:
        """Return whether a pause ended at or after a boot clock time."""
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
                *[
                    self._run_refresher(refresher)
                    for refresher in self._refreshers
                ]
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
