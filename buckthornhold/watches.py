"""Watches: whether an upstream that sends nothing is still there."""

import asyncio
from collections.abc import Callable
import math
import time

from buckthornhold import attempts

#: An upstream that sends nothing for so long is asked whether it lives.
PROBE_AFTER_SECONDS = 1.0


class Watch:
    """Watches one attempt until it is stopped.

    Slow is not gone: an upstream that answers a probe is left in peace, but
    no longer than the limit set for its silence. ``on_lost`` is called once,
    when either is over.
    """

    def __init__(
        self,
        *,
        host,
        attempt: attempts.Attempt,
        on_lost: Callable[[], None],
    ) -> None:
        self._host = host
        self._upstream = attempt.upstream
        self._on_lost = on_lost
        self._loop = asyncio.get_running_loop()
        self._heard_at = time.monotonic()
        self._reading = False
        self._limit = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._task = asyncio.create_task(self._run())

    @property
    def silence(self) -> float:
        """Seconds since something was heard."""
        return time.monotonic() - self._heard_at

    def set_limit(self, seconds: float) -> None:
        """Bound the silence from now on.

        One timer serves for many waits: when it is due, it is set again for
        what is left since something was heard.
        """
        self._limit = seconds
        self._set_timer(seconds)

    def note_heard(self) -> None:
        """Note that something came."""
        self._heard_at = time.monotonic()

    def start_reading(self) -> None:
        """Note that something is awaited from the upstream."""
        self._reading = True
        self._heard_at = time.monotonic()

    def stop_reading(self) -> None:
        """Note that nothing is awaited."""
        self._reading = False
        self._heard_at = time.monotonic()

    def stop(self) -> None:
        """Watch no more."""
        self._task.cancel()
        if self._timer is not None:
            self._timer.cancel()

    def _set_timer(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self._check)

    def _check(self) -> None:
        left = self._limit
        if self._reading:
            left -= self.silence
        if left > 0:
            self._set_timer(left)
            return
        self._on_lost()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PROBE_AFTER_SECONDS / 2)
            if not self._reading or self.silence < PROBE_AFTER_SECONDS:
                continue
            if not await self._is_alive():
                self._on_lost()
                return

    async def _is_alive(self) -> bool:
        if self._host.silences.is_silent(self._upstream):
            return False
        return await self._host.upstreams.check_alive(self._upstream)
