"""Dispatches: whether a request can still be kept from an upstream.

Until its head is written to a connection, a request waits on this host: for a
claim, an upstream, a retry or a connection. If its client disconnects in that
time, nothing is sent. Once an upstream may have received it, a request that
must not be repeated is completed, so that its outcome is known, but it is not
sent to another upstream.
"""

import asyncio
from collections.abc import Coroutine
import typing

from buckthornhold import reasons

Result = typing.TypeVar("Result")


class AbandonedError(Exception):
    """A request was abandoned before an upstream received it."""


class Dispatch:
    """Whether a request was sent, and whether a client still waits for it.

    ``sent`` tells whether an upstream may have received the current attempt,
    ``abandoned`` that no client waits for the response any more.
    """

    def __init__(self) -> None:
        self._sent = False
        self._abandoned = False
        self._scope: asyncio.Timeout | None = None

    @property
    def sent(self) -> bool:
        """Whether an upstream may have received the current attempt."""
        return self._sent

    @property
    def abandoned(self) -> bool:
        """Whether no client waits for the response any more."""
        return self._abandoned

    def mark_sent(self) -> None:
        """Record that the head is written next.

        Raises ``AbandonedError``, so that it isn't, if no client waits.
        """
        if self._abandoned:
            raise AbandonedError
        self._sent = True

    def prepare_retry(self) -> None:
        """Record that the next attempt has not been sent."""
        self._sent = False

    def abandon(self) -> None:
        """Keep the request from all upstreams from now on.

        Interrupts ``run`` unless an upstream may have received the request.
        """
        self._abandoned = True
        scope = self._scope
        if scope is not None and not self._sent and not scope.expired():
            scope.reschedule(asyncio.get_running_loop().time())

    async def run(
        self, job: Coroutine[typing.Any, typing.Any, Result]
    ) -> Result | reasons.Failure:
        """Run a request's attempts; return the result or a failure.

        The failure ``CALLER_GONE`` tells that the request was abandoned
        before an upstream received the current attempt.
        """
        if self._abandoned:
            job.close()
            return self._make_failure()
        try:
            async with asyncio.timeout(None) as self._scope:
                return await job
        except AbandonedError:
            return self._make_failure()
        except TimeoutError:
            if not self._scope.expired():
                raise
            return self._make_failure()
        finally:
            self._scope = None

    def _make_failure(self) -> reasons.Failure:
        return reasons.Failure(
            reason=reasons.Reason.CALLER_GONE,
            step="dispatch",
            detail="the client disconnected before the request was sent",
        )
