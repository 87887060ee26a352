"""Waits: what a task waits for, and others may end early."""

import asyncio
from collections.abc import AsyncIterator
import contextlib


class Wait:
    """The one wait at a time of a task that others may have go on.

    A wait that is ended early looks like one whose time is up: whoever
    waits asks what it was ended for.
    """

    def __init__(self) -> None:
        self._scope: asyncio.Timeout | None = None

    def end(self) -> None:
        """End the present wait, if there is one."""
        if self._scope is not None and not self._scope.expired():
            self._scope.reschedule(asyncio.get_running_loop().time())

    @contextlib.asynccontextmanager
    async def hold(self, seconds: float | None = None) -> AsyncIterator[None]:
        """Bound what is awaited within; raise TimeoutError at its end."""
        try:
            async with asyncio.timeout(seconds) as self._scope:
                yield
        finally:
            self._scope = None

    async def sleep(self, seconds: float) -> None:
        """Wait, unless the wait is ended meanwhile."""
        with contextlib.suppress(TimeoutError):
            async with self.hold(seconds):
                await asyncio.Event().wait()
