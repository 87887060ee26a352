"""Streams of the engine's stand-in, and how they are sent."""

import asyncio
import dataclasses
import json
import time

from aiohttp import web

from buckthornhold.standins import servers

#: Time between two bytes of a stalled stream that trickles.
TRICKLE_SECONDS = 0.2


@dataclasses.dataclass(kw_only=True)
class Job:
    """One stream that the engine runs, has queued or keeps.

    ``attempt`` is the one that is sent the text now. ``idle_since`` is when
    its connection was lost or the stream ended, on the monotonic clock.
    """

    order: dict
    attempt: str
    prefill_tokens: int
    texts: list[str]
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    truncate_after: int = 0
    cancelled: bool = False
    ended: bool = False
    idle_since: float = 0.0

    @property
    def produced(self) -> int:
        """How many tokens the answer has so far."""
        return len(self.texts)

    @property
    def over(self) -> bool:
        """Whether the engine does no more work for it."""
        return self.cancelled or self.ended

    def cancel(self) -> None:
        """Do no more work for it and close its connection."""
        self.cancelled = True
        self.changed.set()

    def hand_to(self, attempt: str) -> None:
        """Send the text to another attempt from now on."""
        self.attempt = attempt
        self.idle_since = 0.0
        self.changed.set()
        self.changed = asyncio.Event()


async def send(
    request: web.Request, job: Job, cursor: int, faults
) -> web.StreamResponse:
    """Send a job's text from an offset until its end.

    The connection is dropped when the job is cancelled or handed to
    another attempt.
    """
    attempt = job.attempt
    changed = job.changed
    response = web.StreamResponse()
    response.content_type = "text/event-stream"
    await response.prepare(request)
    try:
        while job.attempt == attempt and not job.cancelled:
            parts = [
                _format_token(job, offset, faults)
                for offset in range(cursor, job.produced)
            ]
            cursor = job.produced
            if job.ended:
                parts.append(_format_end(job, faults))
            if parts:
                await response.write(b"".join(parts))
            if job.ended:
                return response
            stalled = faults.stall_after and cursor >= faults.stall_after
            if stalled and faults.trickles:
                await _trickle(response, changed)
            await changed.wait()
            changed.clear()
        servers.drop_connection(request)
        return response
    finally:
        if job.attempt == attempt:
            job.idle_since = time.monotonic()


async def _trickle(
    response: web.StreamResponse, changed: asyncio.Event
) -> None:
    """Send bytes of an event that never ends, until the job changes."""
    while not changed.is_set():
        await response.write(b"d")
        await asyncio.sleep(TRICKLE_SECONDS)


def _format_token(job: Job, offset: int, faults) -> bytes:
    fault = faults.answer_fault
    if fault == "garbage":
        return b"data: {]\n\n"
    event = {
        **_make_event(job, faults),
        "offset": offset + (fault == "wrong_offset"),
        "token": job.texts[offset],
    }
    return _format_event(event) * (2 if fault == "double_token" else 1)


def _format_end(job: Job, faults) -> bytes:
    count = job.produced
    if faults.answer_fault == "early_end":
        count = job.order["max_tokens"]
    end = _format_event(
        {**_make_event(job, faults), "end": True, "count": count}
    )
    if faults.answer_fault == "trailing":
        end += _format_event({**_make_event(job, faults), "offset": count})
    return end


def _make_event(job: Job, faults) -> dict:
    request_id = job.order["request_id"]
    attempt = job.attempt
    if faults.crossed_answer:
        request_id += "-other"
    if faults.answer_fault == "crossed_attempt":
        attempt += "-other"
    return {"request_id": request_id, "attempt": attempt}


def _format_event(event: dict) -> bytes:
    return b"data: " + json.dumps(event).encode() + b"\n\n"
