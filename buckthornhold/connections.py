"""Callers' connections: what aiohttp's server does with each of them."""

from collections.abc import Callable
import http
import select
import socket
import time

import aiohttp
from aiohttp import web

from buckthornhold import headers
from buckthornhold import reasons
from buckthornhold import settings
from buckthornhold import tasks

SWEEP_INTERVAL = 0.5
#: For how long what is left of a refused body is read, in seconds.
LINGERING_TIME = 2.0
#: What the system may hold of a connection that is not read, in bytes. It
#: would hold whole bodies that wait for room otherwise.
RECEIVE_BUFFER_BYTES = 32 << 10
#: What this process holds of it before it stops to read, in bytes.
READ_BUFFER_BYTES = 16 << 10

#: An answer outside of any request.
BARE_ANSWER = (
    b"HTTP/1.1 %d %s\r\n"
    b"Connection: close\r\n"
    b"Content-Type: application/json\r\n"
    b"Content-Length: %d\r\n\r\n%s"
)


class CallerRequest(web.BaseRequest):
    """One caller's request; ``match_info`` holds what its path names."""

    ATTRS = web.BaseRequest.ATTRS | {"match_info"}

    match_info: web.UrlMappingMatchInfo | None = None


class CallerConnection(web.RequestHandler):
    """One caller's connection.

    ``partial_since`` is when a request began to arrive whose head is not
    whole yet, 0 when there is none; times are on the monotonic clock.
    ``body`` is that of the latest request, which may go on arriving after its
    answer. ``stalled`` tells that it was ended because its caller did not
    read.
    """

    def __init__(self, server: "CallerServer", **kwargs) -> None:
        super().__init__(server, **kwargs)
        self._server = server
        self.answering = False
        self.partial_since = 0.0
        self.body: aiohttp.StreamReader | None = None
        self.stalled = False
        self._waiting_since = 0.0
        self._unsent = 0
        self._unsent_since = 0.0

    def connection_made(self, transport) -> None:
        """Take a connection, or refuse it when there are too many."""
        super().connection_made(transport)
        if self._server.full:
            self.refuse(reasons.Reason.HOST_FULL, step="connect")

    def data_received(self, data: bytes) -> None:
        """Take in bytes and note when a request began to arrive.

        The library calls this without bytes, too, when it reads on.
        """
        waiting = not self.answering and not self.partial_since
        if data and waiting and not self._body_arrives:
            self.partial_since = time.monotonic()
        super().data_received(data)

    def handle_error(
        self, request, status=500, exc=None, message=None
    ) -> web.StreamResponse:
        """Answer a request that could not be read or handled."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun already")
        reason = reasons.Reason.INTERNAL_ERROR
        ran = reasons.Ran.UNKNOWN
        if status < 500:
            reason = reasons.Reason.BAD_REQUEST
            ran = reasons.Ran.NO
        failure = reasons.Failure(
            reason=reason,
            step="read head",
            peer=request.remote or "",
            ran=ran,
            detail=(message or repr(exc))[:200],
        )
        response = self._server.refuse(headers.make_request_id(), failure)
        response.force_close()
        return response

    def refuse(self, reason: reasons.Reason, *, step: str) -> None:
        """Refuse outside of any request, and close."""
        failure = reasons.Failure(
            reason=reason, step=step, retry_after=self._server.retry_after
        )
        answer = self._server.refuse(headers.make_request_id(), failure)
        status = http.HTTPStatus(answer.status)
        phrase = status.phrase.encode()
        body = answer.body
        self.transport.write(BARE_ANSWER % (status, phrase, len(body), body))
        self.force_close()

    def pause_writing(self) -> None:
        """Note when a write began to wait for the caller."""
        self._waiting_since = time.monotonic()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Note that no write waits."""
        self._waiting_since = 0.0
        super().resume_writing()

    def find_stall(self, now: float) -> float:
        """Return for how long the caller has not read, in seconds.

        It has not when a write waits for it, or when nothing of what is left
        unsent goes out.
        """
        if self._waiting_since:
            return now - self._waiting_since
        unsent = self.transport.get_write_buffer_size()
        if not unsent or unsent != self._unsent:
            self._unsent = unsent
            self._unsent_since = now
        return now - self._unsent_since

    def end(self) -> None:
        """End the connection behind the answer under way, or now if none is.

        The library's ``close`` leaves an idle connection open with nobody
        who would answer on it, and drops what still arrives. A request that
        is arriving is left alone: its answer ends the connection.
        """
        if self.partial_since or self._body_arrives:
            return
        # The handler is done before its answer is written.
        writing = self._current_request is not None
        if self.answering or writing or self._messages:
            self.close()
        else:
            self.force_close()

    @property
    def _body_arrives(self) -> bool:
        return self.body is not None and not self.body.is_eof()

    def cut_off(self) -> None:
        """End the connection and what is done for it."""
        self.stalled = True
        self.transport.abort()


class CallerServer(web.Server):
    """Makes the callers' connections and requests.

    ``refuse`` makes the answer to a refused request and counts it.
    ``find_keepalive`` returns how long a new connection may be idle, in
    seconds, where that is no setting.
    """

    def __init__(
        self,
        handler,
        *,
        config: settings.Settings,
        refuse: Callable[[str, reasons.Failure], web.Response],
        find_keepalive: Callable[[], float] | None = None,
    ) -> None:
        super().__init__(
            handler,
            request_factory=self._make_caller_request,
            handler_cancellation=True,
        )
        self._body_limit = config.body_limit
        self._find_keepalive = find_keepalive or (
            lambda: config.keepalive_timeout
        )
        self._max_connections = config.max_connections
        self.retry_after = config.retry_after
        self.refuse = refuse

    @property
    def full(self) -> bool:
        """Whether there are more connections than there may be."""
        return len(self._connections) > self._max_connections

    def __call__(self) -> CallerConnection:
        """Return the protocol of one new connection."""
        return CallerConnection(
            self,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=self._find_keepalive(),
            lingering_time=LINGERING_TIME,
            read_bufsize=READ_BUFFER_BYTES,
        )

    def _make_caller_request(
        self, message, payload, protocol, writer, task
    ) -> CallerRequest:
        protocol.partial_since = 0.0
        protocol.body = payload
        return CallerRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            self._loop,
            client_max_size=self._body_limit,
        )


def make_caller_socket(address: str) -> socket.socket:
    """Return a bound socket for callers' connections, with small buffers.

    Raises OSError if the address is taken.
    """
    ip, port = settings.split_address(address)
    bound = socket.socket()
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        bound.bind((ip, port))
    except OSError:
        bound.close()
        raise
    return bound


def check_connected(request: web.BaseRequest) -> reasons.Failure | None:
    """Return a failure if a request's client has closed its connection.

    While the event loop lags, a request and the close behind it wait together
    in the socket, and the request is read first.
    """
    transport = request.transport
    if transport is not None and not transport.is_closing():
        poll = select.poll()
        poll.register(
            transport.get_extra_info("socket").fileno(), select.POLLRDHUP
        )
        if not poll.poll(0):
            return None
    return reasons.Failure(
        reason=reasons.Reason.CALLER_GONE,
        step="read request",
        peer=request.remote or "",
        detail="the client disconnected before its request was read",
    )


class ConnectionSweeper(tasks.PeriodicService):
    """Ends connections of callers that write or read too slowly."""

    def __init__(
        self,
        *,
        server: CallerServer,
        config: settings.Settings,
        logger,
        counters,
    ) -> None:
        super().__init__(
            interval=SWEEP_INTERVAL, logger=logger, counters=counters
        )
        self._server = server
        self._head_timeout = config.body_timeout
        self._stall_timeout = config.caller_stall_timeout

    async def run_once(self) -> None:
        """Look at every connection once."""
        now = time.monotonic()
        for connection in self._server.connections:
            if connection.transport is None:
                continue
            since = connection.partial_since
            if since and now - since > self._head_timeout:
                connection.refuse(
                    reasons.Reason.CALLER_TOO_SLOW, step="read head"
                )
                continue
            if connection.find_stall(now) > self._stall_timeout:
                self._counters.count_event("callers.stalled")
                connection.cut_off()
