"""Headers that callers and entry hosts exchange."""

import dataclasses
import datetime
import math
import time
import uuid

from aiohttp import web
import loguru

from buckthornhold import reasons

REQUEST_ID = "X-Request-Id"
#: When the id was made: RFC 3339, or seconds since the epoch.
REQUEST_TIME = "X-Request-Time"
#: Counts the sendings of an id from 1.
REQUEST_ATTEMPT = "X-Request-Attempt"
WORKSPACE = "X-Workspace"
RAN = "X-Ran"
LAST_EVENT_ID = "Last-Event-ID"
EVENTS_TYPE = "text/event-stream"
MAX_REQUEST_ID_LENGTH = 128
#: A caller's clock may be this far ahead, in seconds.
CLOCK_TOLERANCE = 60.0
TIMED_UUID_VERSION = 7


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestId:
    """A request's id and what its caller says of it.

    ``made_at`` is in seconds since the epoch, or None if it isn't known.
    """

    value: str
    by_caller: bool
    made_at: float | None = None
    repeated: bool = False


def make_request_id() -> str:
    """Return a new request id."""
    return uuid.uuid4().hex


def find_request_id(request: web.BaseRequest) -> str:
    """Return the caller's request id, or one that the request keeps."""
    found = request.get(REQUEST_ID)
    if found is None:
        found = _read_request_id(request) or make_request_id()
        request[REQUEST_ID] = found
    return found


def _read_request_id(request: web.BaseRequest) -> str:
    given = request.headers.get(REQUEST_ID, "")
    return given if _is_usable(given) else ""


def read_request_id(request: web.Request) -> RequestId | reasons.Failure:
    """Read the id under which a call that runs at most once is known.

    An id that can't be used is refused and not replaced: its repeats would
    be taken for other requests.
    """
    given = request.headers.get(REQUEST_ID, "")
    if not given:
        return RequestId(value=find_request_id(request), by_caller=False)
    if not _is_usable(given):
        return _refuse(REQUEST_ID, "1 to 128 printable ASCII characters")
    attempt = request.headers.get(REQUEST_ATTEMPT, "1")
    if not attempt.isdecimal() or int(attempt) < 1:
        return _refuse(REQUEST_ATTEMPT, "a count from 1")
    made_at = _find_uuid_time(given)
    text = request.headers.get(REQUEST_TIME)
    if text is not None:
        made_at = _read_time(text)
        if made_at is None:
            return _refuse(REQUEST_TIME, "RFC 3339 or seconds since 1970")
    if made_at is not None and made_at > time.time() + CLOCK_TOLERANCE:
        return _refuse(REQUEST_TIME, "a time that has come")
    return RequestId(
        value=given,
        by_caller=True,
        made_at=made_at,
        repeated=int(attempt) > 1,
    )


def may_be_repeat(request: web.Request) -> bool:
    """Tell whether the caller says that it sent the id before."""
    return request.headers.get(REQUEST_ATTEMPT, "1") != "1"


def _is_usable(given: str) -> bool:
    usable = given.isascii() and given.isprintable()
    return bool(given) and usable and len(given) <= MAX_REQUEST_ID_LENGTH


def _find_uuid_time(given: str) -> float | None:
    """Return the time within a UUID of version 7."""
    try:
        number = uuid.UUID(given)
    except ValueError as error:
        _log_unread("request id without a time", error)
        return None
    if number.version != TIMED_UUID_VERSION:
        return None
    return (number.int >> 80) / 1000


def _read_time(text: str) -> float | None:
    try:
        seconds = float(text)
        return seconds if math.isfinite(seconds) else None
    except ValueError as error:
        _log_unread("time that is no number", error)
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        _log_unread("time that can't be read", error)
        return None
    return moment.timestamp() if moment.tzinfo else None


def _log_unread(what: str, error: ValueError) -> None:
    loguru.logger.bind(
        step="read headers", reason=reasons.Reason.BAD_REQUEST.value
    ).debug(f"{what}: {error}")


def _refuse(header: str, expected: str) -> reasons.Failure:
    return reasons.Failure(
        reason=reasons.Reason.BAD_REQUEST,
        step="read headers",
        detail=f"{header}: expected {expected}",
    )


def wants_events(request: web.Request) -> bool:
    """Tell whether a caller asks for server-sent events."""
    return EVENTS_TYPE in request.headers.get("Accept", "")
