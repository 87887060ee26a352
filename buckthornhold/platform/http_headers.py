"""Header names of callers and workers, and which of them pass through."""

import dataclasses

import multidict

REQUEST_ID = "Attempt-Id"
DEADLINE_MS = "Deadline-Ms"
PROMPT_PREFIX = "Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
WORKSPACE = "Tenant"
EXPECTED_INSTANCE = "Expect-Instance"
#: Present if the worker did not run the request, whatever its value.
NOT_EXECUTED = "Not-Executed"
#: Prompt tokens and greatest number of output tokens, with a comma between.
TOKEN_COUNTS = "Token-Counts"
#: The caller's guess of the output's length.
LENGTH_HINT = "Length-Hint"
REQUEST_PRIORITY = "Request-Priority"
DUTY_HOLDER = "Duty-Holder"
FENCE_TOKEN = "Fence-Token"

#: Headers that concern one connection alone (RFC 9110, 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
#: Headers that callers may send but only this system may set at a worker,
#: and those that are made anew.
RESERVED_HEADERS = frozenset(
    (
        "authorization",
        "content-length",
        "expect",
        "deadline-ms",
        "expect-instance",
        "expect-version",
        "hold",
        "kv-backup",
        "kv-fetch",
        "kv-from",
        "pin-ms",
        "request-priority",
        "tenant",
    )
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardedRequest:
    """A caller's request as it goes on to a worker.

    ``target`` is the path with the query, as its bytes came.
    """

    method: str
    target: str
    headers: multidict.CIMultiDict
    body: bytes
    has_body: bool


def filter_request_headers(
    fields: multidict.CIMultiDictProxy,
) -> multidict.CIMultiDict:
    """Return the headers of a caller's request that go on to a worker."""
    dropped = (
        _list_connection_options(fields)
        | HOP_BY_HOP_HEADERS
        | RESERVED_HEADERS
    )
    return _drop_headers(fields, dropped)


def filter_response_headers(
    fields: multidict.CIMultiDictProxy,
) -> multidict.CIMultiDict:
    """Return the headers of a worker's answer that go on to the caller."""
    dropped = (
        _list_connection_options(fields)
        | HOP_BY_HOP_HEADERS
        | {"content-length"}
    )
    return _drop_headers(fields, dropped)


def _list_connection_options(fields) -> frozenset[str]:
    """Return the headers that a Connection header names."""
    text = ",".join(fields.getall("Connection", ()))
    return frozenset(it.strip().lower() for it in text.split(","))


def _drop_headers(fields, dropped) -> multidict.CIMultiDict:
    return multidict.CIMultiDict(
        (name, value)
        for name, value in fields.items()
        if name.lower() not in dropped
    )
