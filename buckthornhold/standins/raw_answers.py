"""Answers of stand-ins past what an HTTP library sends, and resets."""

import asyncio
import contextlib
import socket
import struct

from aiohttp import web

#: Pause between the bytes of a response that never ends.
TRICKLE_INTERVAL_SECONDS = 0.1


async def trickle(response: web.StreamResponse) -> None:
    """Send a byte now and then until the client closes."""
    with contextlib.suppress(ConnectionError):
        while True:
            await response.write(b"x")
            await asyncio.sleep(TRICKLE_INTERVAL_SECONDS)


async def send_slowly(
    request: web.BaseRequest, fields: dict[str, str]
) -> web.StreamResponse:
    """Answer a request with bytes that never end."""
    response = web.StreamResponse(headers=fields)
    await response.prepare(request)
    await trickle(response)
    return response


def make_head(fields: dict[str, str]) -> str:
    """Return the head of an answer that ends with its connection."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 200 OK\r\n{lines}Connection: close\r\n\r\n"


def make_refusal(request_id: str, extra=None) -> web.Response:
    """Return a worker's statement that it did not run a request."""
    fields = {"Not-Executed": "1", "Attempt-Id": request_id, **(extra or {})}
    return web.Response(status=503, headers=fields)


def reset(transport) -> None:
    """Reset a connection; to close it would end what was sent in order."""
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    transport.abort()
