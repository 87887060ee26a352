"""Admission control by requests in flight."""

import asyncio
import contextlib

from buckthornhold import reasons


class AdmissionController:
    """Limits the requests in flight."""

    def __init__(self, *, max_in_flight: int, retry_after: float) -> None:
        self._max_in_flight = max_in_flight
        self._retry_after = retry_after
        self._in_flight = 0
        self._active_count = 0
        self._draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """Number of requests accepted and not yet answered."""
        return self._in_flight

    @property
    def draining(self) -> bool:
        """Whether the host drains and admits no new requests."""
        return self._draining

    def start_draining(self) -> None:
        """Admit no new requests from now on."""
        self._draining = True

    def check(self, *, ready: bool) -> reasons.Failure | None:
        """Return why a request can't be admitted now, or None."""
        if self._draining:
            return self._refuse(reasons.Reason.HOST_DRAINING)
        if not ready:
            return self._refuse(reasons.Reason.HOST_NOT_READY)
        if self._in_flight >= self._max_in_flight:
            return self._refuse(reasons.Reason.HOST_FULL)
        return None

    @contextlib.contextmanager
    def track_body(self):
        """Keep the host from being idle while a body is read.

        Its client expects an answer.
        """
        self._add_active()
        try:
            yield
        finally:
            self._remove_active()

    @contextlib.contextmanager
    def track_request(self):
        """Count one admitted request until it is done."""
        self._in_flight += 1
        self._add_active()
        try:
            yield
        finally:
            self._in_flight -= 1
            self._remove_active()

    async def wait_idle(self) -> None:
        """Wait until nothing is in flight and no body is being read."""
        while self._active_count:
            await self._idle.wait()

    def _add_active(self) -> None:
        self._active_count += 1
        self._idle.clear()

    def _remove_active(self) -> None:
        self._active_count -= 1
        if self._active_count == 0:
            self._idle.set()

    def _refuse(self, reason: reasons.Reason) -> reasons.Failure:
        return reasons.Failure(
            reason=reason, step="admission", retry_after=self._retry_after
        )
