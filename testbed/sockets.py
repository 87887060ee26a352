"""Raw sockets of callers that do not keep to the rules."""

import dataclasses
import json
import socket

READ_TIMEOUT = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RawAnswer:
    """One HTTP answer as it was read from a socket."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Return the body as JSON."""
        return json.loads(self.body)


def connect(address: str, *, receive_buffer: int = 0) -> socket.socket:
    """Return a connected socket; the buffer is in bytes."""
    ip, _, port = address.rpartition(":")
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.settimeout(READ_TIMEOUT)
    sock.connect((ip, int(port)))
    return sock


def read_answer(stream) -> RawAnswer:
    """Read one answer with a length from a socket's file."""
    status_line = stream.readline().decode()
    headers = {}
    while line := stream.readline().decode().strip():
        key, _, value = line.partition(":")
        headers[key.lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", "0")))
    return RawAnswer(
        status=int(status_line.split()[1]), headers=headers, body=body
    )


def make_request(
    path: str,
    body: bytes,
    *,
    method: str = "POST",
    fields: tuple[str, ...] = (),
    length: int | None = None,
) -> bytes:
    """Return an HTTP request's bytes; ``length`` may lie."""
    if length is None:
        length = len(body)
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: entry",
        f"Content-Length: {length}",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_chunked_request(path: str, chunks: bytes) -> bytes:
    """Return the bytes of a request whose body comes in chunks."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: entry\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    return head.encode() + chunks
