"""Engine events: the server-sent events of an engine's stream, read."""

import json

from buckthornhold import engines
from buckthornhold import reasons

EVENT_LIMIT_BYTES = 1 << 20
EVENT_PREFIX = "data: "
EVENT_SEPARATOR = b"\n\n"
#: Reads one JSON text; ``json.loads`` would look for its encoding each time.
DECODE = json.JSONDecoder().decode


class EventReader:
    """Reads one stream's events and gives their tokens to a sink.

    What arrives together is given together. ``last`` is how the stream
    ended, None while it goes on. Events are plain JSON objects that are
    held against what is expected by hand: a validated model for each token
    takes longer than the rest of its way.
    """

    def __init__(
        self,
        *,
        request_id: str,
        attempt: str,
        peer: str,
        sink: engines.Sink,
    ) -> None:
        self._request_id = request_id
        self._attempt = attempt
        self._peer = peer
        self._sink = sink
        self._rest = b""
        self.last: engines.Last | None = None

    def take(self, data: bytes) -> bool:
        """Take in bytes; tell whether more may be given at once."""
        *blocks, rest = (self._rest + data).split(EVENT_SEPARATOR)
        self._rest = rest
        if len(rest) > EVENT_LIMIT_BYTES:
            self.last = self._break("event is too long")
            return False
        first = 0
        texts: list[str] = []
        for place, block in enumerate(blocks, start=1):
            event = self._parse(block)
            if isinstance(event, reasons.Failure):
                self.last = event
                return False
            if event.get("end"):
                trailing = bool(rest) or place < len(blocks)
                self._end(event, first, texts, trailing)
                return False
            offset = event["offset"]
            if not texts:
                first = offset
            elif offset != first + len(texts):
                self.last = self._break("token offset is wrong")
                return False
            texts.append(event["token"])
        if texts:
            self.last = self._sink.take(
                engines.Tokens(offset=first, texts=texts)
            )
        return self.last is None and not self._sink.full

    def _end(
        self, event: dict, first: int, texts: list[str], trailing: bool
    ) -> None:
        if texts:
            self.last = self._sink.take(
                engines.Tokens(offset=first, texts=texts)
            )
        if self.last is None:
            self.last = engines.EndOfStream(
                count=event["count"], trailing=trailing
            )

    def _parse(self, block: bytes) -> dict | reasons.Failure:
        try:
            event = DECODE(block.decode().removeprefix(EVENT_PREFIX))
        except ValueError as error:
            return self._break(f"event: {error}")
        if not _is_event(event):
            return self._break("event: neither a token nor an end marker")
        if event["request_id"] != self._request_id:
            return self._cross("answer belongs to another request")
        if event.get("attempt") not in (None, self._attempt):
            return self._cross("answer belongs to another attempt")
        return event

    def _break(self, detail: str) -> reasons.Failure:
        return self._fail(reasons.Reason.UPSTREAM_BROKEN, detail)

    def _cross(self, detail: str) -> reasons.Failure:
        return self._fail(reasons.Reason.ANSWER_CROSSED, detail)

    def _fail(self, reason: reasons.Reason, detail: str) -> reasons.Failure:
        return reasons.Failure(
            reason=reason,
            step="engine",
            peer=self._peer,
            ran=reasons.Ran.YES,
            detail=detail,
        )


def _is_event(event) -> bool:
    """Tell whether a JSON value is a token or an end marker."""
    if type(event) is not dict or type(event.get("request_id")) is not str:
        return False
    if event.get("end"):
        return event["end"] is True and type(event.get("count")) is int
    return type(event.get("offset")) is int and (
        type(event.get("token")) is str
    )
