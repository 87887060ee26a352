"""HTTP headers of the platform, and which of them are forwarded."""

import dataclasses

import multidict

REQUEST_ID = "Attempt-Id"
DEADLINE_MS = "Deadline-Ms"
PROMPT_PREFIX = "Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
WORKSPACE = "Tenant"
EXPECTED_INSTANCE = "Expect-Instance"
#: Present, with any value, if the upstream did not run the request.
NOT_EXECUTED = "Not-Executed"
#: Present, with any value but 0, in all answers of an upstream that leaves.
LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
#: Prompt tokens and maximum of output tokens, separated by a comma.
TOKEN_COUNTS = "Token-Counts"
#: The caller's estimate of the output's length.
LENGTH_HINT = "Length-Hint"
REQUEST_PRIORITY = "Request-Priority"
DUTY_HOLDER = "Duty-Holder"
FENCE_TOKEN = "Fence-Token"
#: How often the store was restored from a copy; in all of its responses.
STORE_ERA = "Store-Era"

#: Headers that apply to a single connection (RFC 9110, 7.6.1).
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
#: Request headers that are dropped although callers may send them: those that
#: only this system may set at an upstream, and those that it writes anew.
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
    """A caller's request as it is forwarded to an upstream.

    ``target`` is the path with the query, unchanged from the caller.
    ``has_body`` tells whether a body, if only an empty one, is sent.
    """

    method: str
    target: str
    headers: multidict.CIMultiDict
    has_body: bool


def filter_request_headers(
    fields: multidict.CIMultiDictProxy,
) -> multidict.CIMultiDict:
    """Return the headers of a request that are forwarded to an upstream."""
    dropped = (
        _list_connection_options(fields)
        | HOP_BY_HOP_HEADERS
        | RESERVED_HEADERS
    )
    return _drop_headers(fields, dropped)


def filter_response_headers(
    fields: multidict.CIMultiDictProxy,
) -> multidict.CIMultiDict:
    """Return the headers of a response that are forwarded to the caller."""
    dropped = (
        _list_connection_options(fields)
        | HOP_BY_HOP_HEADERS
        | {"content-length"}
    )
    return _drop_headers(fields, dropped)


def _list_connection_options(fields) -> frozenset[str]:
    """Return the headers that a Connection header names."""
    text = ",".join(fields.getall("Connection", ()))
    return frozenset(name.strip().lower() for name in text.split(","))


def _drop_headers(fields, dropped) -> multidict.CIMultiDict:
    return multidict.CIMultiDict(
        (name, value)
        for name, value in fields.items()
        if name.lower() not in dropped
    )
