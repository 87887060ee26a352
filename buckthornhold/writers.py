"""Writers: answers of model requests as callers read them."""

from collections.abc import Callable
import json

from aiohttp import web

from buckthornhold import engines
from buckthornhold import event_ids
from buckthornhold import headers
from buckthornhold import reasons
from buckthornhold import streams

#: Quotes one text for JSON; ``json.dumps`` would choose an encoder each time.
QUOTE = json.JSONEncoder().encode


class AnswerSink(engines.Sink):
    """Takes an answer's tokens; calls ``on_first`` with the first ones."""

    def __init__(self, *, on_first: Callable[[], None]) -> None:
        self._on_first = on_first
        self._begun = False

    @property
    def begun(self) -> bool:
        """Whether any token was taken."""
        return self._begun

    def take(self, tokens: engines.Tokens) -> None:
        """Take tokens."""
        if not self._begun:
            self._begun = True
            self._on_first()


class TextSink(AnswerSink):
    """Takes the tokens of an answer that is sent whole at its end.

    The stream keeps them itself.
    """

    @property
    def full(self) -> bool:
        """Whether it is full; it never is."""
        return False

    async def make_room(self) -> None:
        """Return at once."""


class EventSink(AnswerSink):
    """Writes tokens to a caller as server-sent events, as they come.

    The response is started for the first ones, so that a request whose
    answer has not begun can still be refused.
    """

    def __init__(
        self,
        *,
        request: web.BaseRequest,
        stream: streams.Stream,
        on_first: Callable[[], None],
    ) -> None:
        super().__init__(on_first=on_first)
        request_id = stream.contract.request_id
        self._request = request
        self._request_id = request_id
        self._stream = stream
        self._digest: int | None = None
        self._response: web.StreamResponse | None = None
        self._pending: list[bytes] = []
        self._id_line = f"id: {request_id}:"
        self._data_line = (
            f'\ndata: {{"id":{QUOTE(request_id)},'
            '"object":"chat.completion.chunk","choices":[{"index":0,'
            '"delta":{"content":'
        )

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, once it is started."""
        return self._response

    @property
    def full(self) -> bool:
        """Whether something waits to be written."""
        return bool(self._pending)

    def take(self, tokens: engines.Tokens) -> None:
        """Take tokens to be written when room is made for more."""
        super().take(tokens)
        self._pending.append(self._format(tokens))

    async def make_room(self) -> None:
        """Write what was taken; wait while the caller reads too slowly."""
        if self._response is None:
            await self._start()
        pending, self._pending = b"".join(self._pending), []
        if pending:
            await self._response.write(pending)

    async def finish(self, last: bytes) -> web.StreamResponse:
        """Write the last event and end the response."""
        await self.make_room()
        await self._response.write_eof(last)
        return self._response

    async def _start(self) -> None:
        response = web.StreamResponse(
            headers={
                headers.REQUEST_ID: self._request_id,
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
            }
        )
        await response.prepare(self._request)
        self._response = response

    def _format(self, tokens: engines.Tokens) -> bytes:
        id_line = self._id_line
        data_line = self._data_line
        digest = self._digest
        if digest is None:
            # What the caller has may have been generated again until now.
            given = self._stream.emitted[: tokens.offset]
            digest = event_ids.digest_texts(given)
        parts = []
        for place, text in enumerate(tokens.texts, start=tokens.offset + 1):
            digest = event_ids.extend_digest(digest, text)
            parts.append(
                f"{id_line}{place}-{digest:08x}"
                f"{data_line}{QUOTE(text)}}}}}]}}\n\n"
            )
        self._digest = digest
        return "".join(parts).encode()


def format_last(
    request_id: str,
    last: engines.Last,
    describe: Callable[[str, reasons.Failure], dict],
) -> bytes:
    """Return a stream's last event as callers read it."""
    if isinstance(last, engines.EndOfStream):
        return b"data: [DONE]\n\n"
    return _format_failure(request_id, last, describe)


def make_whole(stream: streams.Stream) -> web.Response:
    """Return an answer that is not streamed."""
    request_id = stream.contract.request_id
    message = {"role": "assistant", "content": "".join(stream.emitted)}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return web.json_response(
        {
            "id": request_id,
            "object": "chat.completion",
            "model": stream.contract.route,
            "choices": [choice],
            "usage": {"completion_tokens": len(stream.emitted)},
        },
        headers={headers.REQUEST_ID: request_id},
    )


def _format_failure(
    request_id: str, failure: reasons.Failure, describe
) -> bytes:
    """Return a last event; a caller that reads "moved" is to come back."""
    body = json.dumps(describe(request_id, failure))
    if failure.reason is not reasons.Reason.STREAM_MOVED:
        return f"event: error\ndata: {body}\n\n".encode()
    retry = round(1000 * (failure.retry_after or 0))
    return f"event: moved\nretry: {retry}\ndata: {body}\n\n".encode()
