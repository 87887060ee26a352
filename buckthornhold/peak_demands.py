"""Peak demands: concurrent requests of a model version over a window."""

import asyncio
import collections
import time

from buckthornhold import reasons
from buckthornhold import upstreams

MAX_POLLS_PER_SECOND = 20
MAX_CONCURRENT_POLLS = 16


class PeakDemand:
    """Peak number of concurrent requests in a sliding window.

    All engines are polled for their load, at most ``MAX_POLLS_PER_SECOND``
    of them a second on average, so a larger fleet is polled less often and
    the cost stays bounded.
    """

    def __init__(self, *, window: float) -> None:
        self._window = window
        self._started_at = time.monotonic()
        self._next_poll_at = 0.0
        self._latest_loads: dict[tuple[str, int], int] = {}
        self._samples: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    @property
    def peak(self) -> int | None:
        """Peak demand of the window, None if none was measured."""
        return max((count for _, count in self._samples), default=None)

    @property
    def window_filled(self) -> bool:
        """Whether a whole window was measured, so capacity may shrink."""
        return time.monotonic() - self._started_at >= self._window

    async def measure(self, engines: list[upstreams.Upstream]) -> None:
        """Poll the engines if a poll is due.

        The last report counts for an engine that does not respond.
        """
        now = time.monotonic()
        if now < self._next_poll_at:
            return
        self._next_poll_at = now + len(engines) / MAX_POLLS_PER_SECOND
        slots = asyncio.Semaphore(MAX_CONCURRENT_POLLS)
        await asyncio.gather(
            *[self._poll(engine, slots) for engine in engines]
        )
        keys = {engine.key for engine in engines}
        for key in list(self._latest_loads):
            if key not in keys:
                del self._latest_loads[key]
        if not self._latest_loads:
            return
        self._samples.append((now, sum(self._latest_loads.values())))
        while self._samples[0][0] < now - self._window:
            self._samples.popleft()

    async def _poll(
        self, upstream: upstreams.Upstream, slots: asyncio.Semaphore
    ) -> None:
        async with slots:
            load = await upstream.engine.fetch_load()
        if not isinstance(load, reasons.Failure):
            self._latest_loads[upstream.key] = load.running + load.queued
