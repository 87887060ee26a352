"""HTTP client of model engines that stream server-sent events."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import json

import aiohttp

from buckthornhold import backoffs
from buckthornhold import bodies
from buckthornhold import clients
from buckthornhold import engine_events
from buckthornhold import engines
from buckthornhold import memory_budgets
from buckthornhold import reasons
from buckthornhold import response_checks

END_TIMEOUT_SECONDS = 0.05
LEAVING = "leaving"
#: Bytes of a stream that are read before other tasks run.
READ_BYTES = 1 << 16
REFUSAL_LIMIT_CHARS = 200


class HttpModelEngine(engines.ModelEngine):
    """Client of one engine; never sends a request again by itself.

    ``announce`` is called with what the engine says of itself.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        address: str,
        timeout: float,
        memory: memory_budgets.MemoryBudget,
        announce: Callable[[backoffs.Announcement], None] = backoffs.ignore,
    ) -> None:
        self._announce = announce
        self._session = session
        self._address = address
        self._timeout = timeout
        self._memory = memory

    @property
    def address(self) -> str:
        """The engine's address, as ``IP:port``."""
        return self._address

    async def generate(
        self, order: engines.Generation, sink: engines.Sink
    ) -> engines.Last:
        """Stream tokens to a sink; return the end marker or a failure."""
        reader = self._make_reader(order.request_id, order.attempt, sink)
        return await self._stream(
            "/v1/generate", dataclasses.asdict(order), reader, sink
        )

    async def resume(
        self,
        request_id: str,
        sink: engines.Sink,
        *,
        attempt: str,
        offset: int,
    ) -> engines.Last:
        """Stream a kept request's tokens from an offset on to a sink."""
        body = {
            "request_id": request_id,
            "attempt": attempt,
            "offset": offset,
        }
        reader = self._make_reader(request_id, attempt, sink)
        return await self._stream("/v1/resume", body, reader, sink)

    async def cancel(
        self, request_id: str, *, attempt: str
    ) -> None | reasons.Failure:
        """End a request's work, if this attempt is still its reader."""
        body = {"request_id": request_id, "attempt": attempt}
        reply = await self._call("/v1/cancel", body)
        return reply if isinstance(reply, reasons.Failure) else None

    async def export_cache(self, request_id: str) -> str | reasons.Failure:
        """Return a running request's KV cache as an opaque text."""
        body = await self._call("/v1/kv/export", {"request_id": request_id})
        return body if isinstance(body, reasons.Failure) else body["blob"]

    async def import_cache(
        self, request_id: str, blob: str
    ) -> None | reasons.Failure:
        """Take in a KV cache that another engine exported."""
        body = await self._call(
            "/v1/kv/import", {"request_id": request_id, "blob": blob}
        )
        return body if isinstance(body, reasons.Failure) else None

    async def fetch_load(self) -> engines.Load | reasons.Failure:
        """Return the engine's latest load report."""
        body = await self._call("/v1/load", {})
        if isinstance(body, reasons.Failure):
            return body
        return engines.Load(**body)

    async def give_order(
        self, order: dict[str, str], *, fence: int
    ) -> None | reasons.Failure:
        """Order a load of a version or adapter, or a change of role."""
        body = await self._call("/v1/orders", {**order, "fence": fence})
        return body if isinstance(body, reasons.Failure) else None

    async def _call(self, path: str, body: dict):
        limits = aiohttp.ClientTimeout(total=self._timeout)
        upload = aiohttp.UploadTracker()
        try:
            async with self._session.post(
                f"http://{self._address}{path}",
                json=body,
                timeout=limits,
                upload_tracker=upload,
            ) as response:
                self._announce(backoffs.read_announcement(response.headers))
                if response.status != 200:
                    return self._describe_refusal(
                        response.status,
                        await self._read_text(response, upload),
                        response.headers.get("Retry-After"),
                    )
                return json.loads(await self._read_text(response, upload))
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            ValueError,
        ) as error:
            clients.drop_if_silent(self._session, self._address, error)
            return self._fail(
                reasons.Reason.UPSTREAM_UNREACHABLE,
                repr(error),
                reasons.Ran.UNKNOWN,
            )

    async def _read_text(
        self, response: aiohttp.ClientResponse, upload: aiohttp.UploadTracker
    ) -> str:
        end = response_checks.ResponseEnd(response, upload=upload)
        with self._memory.hold_response() as hold:
            body = await bodies.read_body(response.content, hold=hold)
        end.check()
        return body.decode(errors="replace")

    def _make_reader(
        self, request_id: str, attempt: str, sink: engines.Sink
    ) -> engine_events.EventReader:
        return engine_events.EventReader(
            request_id=request_id,
            attempt=attempt,
            peer=self._address,
            sink=sink,
        )

    async def _stream(
        self,
        path: str,
        body: dict,
        reader: engine_events.EventReader,
        sink: engines.Sink,
    ) -> engines.Last:
        limits = aiohttp.ClientTimeout(total=None, sock_connect=self._timeout)
        started = False
        upload = aiohttp.UploadTracker()
        try:
            async with self._session.post(
                f"http://{self._address}{path}",
                json=body,
                timeout=limits,
                read_bufsize=engine_events.EVENT_LIMIT_BYTES,
                upload_tracker=upload,
            ) as response:
                started = True
                self._announce(backoffs.read_announcement(response.headers))
                if response.status != 200:
                    return self._describe_refusal(
                        response.status,
                        await self._read_text(response, upload),
                        response.headers.get("Retry-After"),
                    )
                return await self._read_stream(response, reader, sink)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return self._fail(
                reasons.Reason.UPSTREAM_UNREACHABLE,
                str(error),
                reasons.Ran.NO,
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            ran = reasons.Ran.YES if started else reasons.Ran.UNKNOWN
            return self._fail(reasons.Reason.UPSTREAM_BROKEN, repr(error), ran)

    async def _read_stream(
        self,
        response: aiohttp.ClientResponse,
        reader: engine_events.EventReader,
        sink: engines.Sink,
    ) -> engines.Last:
        """Read a stream to its end.

        Leaving early closes the connection, so that nothing that arrives
        later can be taken for the answer to another request.
        """
        content = response.content
        while reader.last is None:
            data = await content.read(READ_BYTES)
            if not data:
                break
            if not reader.take(data) and reader.last is None:
                await sink.make_room()
            if len(data) == READ_BYTES:
                # Reading what has arrived doesn't wait, so others run first.
                await asyncio.sleep(0)
        last = reader.last
        if isinstance(last, engines.EndOfStream) and not last.trailing:
            trailing = await self._has_more(content)
            return dataclasses.replace(last, trailing=trailing)
        return last or self._fail(
            reasons.Reason.UPSTREAM_BROKEN,
            "stream ended without an end marker",
            reasons.Ran.YES,
        )

    async def _has_more(self, content: aiohttp.StreamReader) -> bool:
        """Tell whether anything follows the end marker.

        Reading to the answer's end lets its connection be used again.
        """
        with contextlib.suppress(TimeoutError, aiohttp.ClientError):
            async with asyncio.timeout(END_TIMEOUT_SECONDS):
                return bool(await content.readany())
        return False

    def _describe_refusal(
        self, status: int, text: str, retry_after: str | None
    ) -> reasons.Failure:
        reason = reasons.Reason.UPSTREAM_ERROR
        ran = reasons.Ran.UNKNOWN
        text = text[:REFUSAL_LIMIT_CHARS]
        if status in (404, 409, 429, 503):
            reason = reasons.Reason.UPSTREAM_REFUSED
            ran = reasons.Ran.NO
        if status == 503 and _find_detail(text) == LEAVING:
            reason = reasons.Reason.UPSTREAM_LEAVING
        seconds = backoffs.parse_retry_after(retry_after, peer=self._address)
        return self._fail(reason, text, ran, seconds)

    def _fail(
        self,
        reason: reasons.Reason,
        detail: str,
        ran: reasons.Ran,
        retry_after: float | None = None,
    ) -> reasons.Failure:
        return reasons.Failure(
            reason=reason,
            step="engine",
            peer=self._address,
            ran=ran,
            detail=detail,
            retry_after=retry_after,
        )


def _find_detail(text: str) -> str:
    try:
        body = json.loads(text)
    except ValueError:
        return ""
    return str(body.get("detail", "")) if isinstance(body, dict) else ""
