"""Request bodies: read within the process's memory, and sent on in parts."""

import asyncio
from collections.abc import AsyncIterator
import time

import aiohttp
from aiohttp import web

from buckthornhold import memory_budgets
from buckthornhold import reasons

#: A body without a length that grows longer takes the room of the longest, in
#: bytes, until it has arrived.
SHORT_BODY_BYTES = memory_budgets.SHORT_BYTES - memory_budgets.REQUEST_BYTES
#: What is written to an upstream or a client at once, in bytes.
WRITE_BYTES = 64 << 10
#: While others wait for room, a body has to arrive at this rate, in bytes per
#: second, from the first check on, in seconds.
MIN_RATE = 128 << 10
RATE_CHECK_SECONDS = 0.5


class RequestBody:
    """The body of one request, and the memory that it has.

    ``data`` is empty once the body was discarded.
    """

    def __init__(
        self,
        *,
        data: bytes | bytearray = b"",
        hold: memory_budgets.Hold | None = None,
    ) -> None:
        self._data = data
        self._hold = hold

    @property
    def data(self) -> bytes | bytearray:
        """The body's bytes."""
        return self._data

    def discard(self) -> None:
        """Keep the body no longer, as it is not sent again."""
        self._data = b""
        if self._hold is not None and self._hold.size:
            self._hold.record(memory_budgets.REQUEST_BYTES)

    def release(self) -> None:
        """Keep nothing of the request."""
        self._data = b""
        if self._hold is not None:
            self._hold.release()


async def read_body(
    request: web.BaseRequest,
    *,
    hold: memory_budgets.Hold,
    limit: int,
    timeout: float,
    seconds_left: float,
) -> bytes | bytearray | reasons.Failure:
    """Read the body of a request for which the budget has room.

    ``limit`` is in bytes, ``timeout`` and ``seconds_left``, the time until the
    request's deadline, in seconds. The caller releases ``hold``, also after a
    failure.
    """
    length = request.content_length
    if (length or 0) > limit:
        return _fail(
            reasons.Reason.BODY_TOO_LARGE, f"the limit is {limit} bytes"
        )
    ends_at = time.monotonic() + seconds_left
    failure = await hold.reserve(
        memory_budgets.REQUEST_BYTES + (length or 0),
        seconds_left=seconds_left,
    )
    if failure is not None:
        return failure
    if not request.body_exists or not request.can_read_body:
        return b""
    try:
        async with asyncio.timeout(timeout):
            body = await _read_parts(request, hold, limit, ends_at)
    except TimeoutError:
        return _fail(reasons.Reason.CALLER_TOO_SLOW, f"not within {timeout} s")
    except (aiohttp.ClientError, web.RequestPayloadError) as error:
        return _fail(
            reasons.Reason.BAD_REQUEST,
            f"the body can't be read: {error!r}"[:200],
        )
    if isinstance(body, reasons.Failure):
        return body
    hold.record(memory_budgets.REQUEST_BYTES + len(body))
    return body


async def _read_parts(
    request: web.BaseRequest,
    hold: memory_budgets.Hold,
    limit: int,
    ends_at: float,
) -> bytes | bytearray | reasons.Failure:
    body = bytearray()
    started_at = time.monotonic()
    while True:
        chunk = await _read_part(request, hold, len(body), started_at)
        if isinstance(chunk, reasons.Failure):
            return chunk
        if not chunk:
            break
        size = len(body) + len(chunk)
        if size > limit:
            return _fail(
                reasons.Reason.BODY_TOO_LARGE, f"the limit is {limit} bytes"
            )
        if memory_budgets.REQUEST_BYTES + size > hold.size:
            # If each grew bit by bit, many would take all room and none end.
            failure = await hold.reserve(
                memory_budgets.REQUEST_BYTES
                + (size if size <= SHORT_BODY_BYTES else limit),
                seconds_left=ends_at - time.monotonic(),
            )
            if failure is not None:
                return failure
        body += chunk
    if len(body) <= memory_budgets.SHORT_BYTES:
        return bytes(body)
    return body


async def _read_part(
    request: web.BaseRequest,
    hold: memory_budgets.Hold,
    received: int,
    started_at: float,
) -> bytes | reasons.Failure:
    """Return what has arrived; a failure if others wait for a slow client."""
    if request.content.is_eof():
        return request.content.read_nowait()
    while True:
        try:
            async with asyncio.timeout(RATE_CHECK_SECONDS):
                return await request.content.readany()
        except TimeoutError:
            seconds = time.monotonic() - started_at
            if hold.contended and received < MIN_RATE * seconds:
                return _fail(
                    reasons.Reason.CALLER_TOO_SLOW,
                    f"{received} bytes in {seconds:.1f} s, while others wait",
                )


async def list_parts(body: bytes | bytearray) -> AsyncIterator[memoryview]:
    """Yield a long body in parts, so that no whole copy waits to be sent."""
    view = memoryview(body)
    for start in range(0, len(view), WRITE_BYTES):
        yield view[start : start + WRITE_BYTES]


async def send_long(
    request: web.BaseRequest,
    response: web.StreamResponse,
    memory: memory_budgets.MemoryBudget,
) -> web.StreamResponse:
    """Send a response whose body is long; return the one that was sent.

    Its client may read slowly, and until it has read all the body counts as
    held. Other responses are returned as they are.
    """
    body = getattr(response, "body", None)
    if (
        response.prepared
        or not isinstance(body, bytes | bytearray)
        or len(body) <= memory_budgets.SHORT_BYTES
    ):
        return response
    sent = web.StreamResponse(status=response.status, headers=response.headers)
    sent.content_length = len(body)
    if response.keep_alive is False:
        sent.force_close()
    with memory.hold_response() as hold:
        hold.record(len(body))
        await sent.prepare(request)
        async for part in list_parts(body):
            await sent.write(part)
        await sent.write_eof()
    return sent


def _fail(reason: reasons.Reason, detail: str) -> reasons.Failure:
    return reasons.Failure(reason=reason, step="read body", detail=detail)
