"""Requests that do not keep to the rules, by what is odd in them."""

import gzip
import json

from testbed import sockets

CHAT = "/v1/chat/completions"
BODY_LIMIT = 100_000
GOOD_BODY = json.dumps(
    {
        "model": "race-desk-llm",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 3,
    }
).encode()


def make_chat(body: bytes, **options) -> bytes:
    """Return a chat request."""
    return sockets.make_request(CHAT, body, **options)


def make_call(path: str) -> bytes:
    """Return a call of a plain service."""
    return sockets.make_request(f"/services/{path}", b"{}")


def make_chunk(size: str, data: bytes) -> bytes:
    """Return a chat request of one chunk."""
    return sockets.make_chunked_request(
        CHAT, size.encode() + b"\r\n" + data + b"\r\n0\r\n\r\n"
    )


REQUESTS = {
    "a body that is not JSON": make_chat(b"{"),
    "a body that is not UTF-8": make_chat(b'{"model": "\xff"}'),
    "a body of the wrong shape": make_chat(b'{"model": 1, "messages": {}}'),
    "a line that is not HTTP": b"hello there\r\n\r\n",
    "a header without a colon": b"GET / HTTP/1.1\r\nnothing\r\n\r\n",
    "a header that is too long": make_chat(
        b"", fields=("X: " + "a" * 20_000,)
    ),
    "a chunk of the wrong size": make_chunk("zz", b"x"),
    "a body that is not gzip as it says": make_chat(
        b"plain", fields=("Content-Encoding: gzip",)
    ),
    "two lengths that differ": make_chat(b"{}", fields=("Content-Length: 3",)),
    "a length over the limit": make_chat(b"x", length=BODY_LIMIT + 1),
    "chunks over the limit": make_chunk("30000", b"x" * 0x30000),
    "zeros that unpack over the limit": make_chat(
        gzip.compress(bytes(40 * BODY_LIMIT)),
        fields=("Content-Encoding: gzip",),
    ),
    "half a body and then nothing": make_chat(b"{", length=500),
    "half a head and then nothing": b"POST /v1/chat/completions HTTP/1.1\r\n",
    "a model that no rule names": make_chat(
        GOOD_BODY.replace(b"race-desk-llm", b"none")
    ),
    "a service that no rule names": make_call("none/pay"),
    "a path that leads nowhere": make_chat(b"").replace(b"/v1/", b"/v9/"),
    "a method that the path does not take": make_chat(b"", method="DELETE"),
    "an encoded slash in an operation": make_call(
        "entries-app/..%2Fexecutions"
    ),
    "encoded dots as an operation": make_call("entries-app/%2E%2E"),
    "an expectation over the limit": make_chat(
        b"", length=BODY_LIMIT + 1, fields=("Expect: 100-continue",)
    ),
}
