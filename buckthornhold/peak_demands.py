"""Demands: how many requests at once a model version has to bear."""

import asyncio
import collections
import time

from buckthornhold import reasons
from buckthornhold import upstreams

MAX_POLLS_PER_SECOND = 20
MAX_CONCURRENT_POLLS = 16


class PeakDemand:
    """The greatest number of requests at once in a window of time.

    All engines are asked for their load, at most ``ENGINES_PER_SECOND`` of
    them, so that a larger fleet is asked less often and not at more cost.
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
        """The greatest demand of the window, None if none was measured."""
        return max((count for _, count in self._samples), default=None)

    @property
    def window_filled(self) -> bool:
        """Whether a whole window was watched, so that less may do."""
        return time.monotonic() - self._started_at >= self._window

    async def measure(self, engines: list[upstreams.Upstream]) -> None:
        """Ask the engines, if it is time to.

        Of an engine that does not answer the last answer counts.
        """
        now = time.monotonic()
        if now < self._next_poll_at:
            return
        self._next_poll_at = now + len(engines) / MAX_POLLS_PER_SECOND
        slots = asyncio.Semaphore(MAX_CONCURRENT_POLLS)
        await asyncio.gather(*[self._poll(it, slots) for it in engines])
        known = {it.key for it in engines}
        for key in list(self._latest_loads):
            if key not in known:
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
