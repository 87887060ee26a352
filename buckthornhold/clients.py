"""HTTP client sessions that send each request once."""

import asyncio
import functools

import aiohttp
from aiohttp import client_proto

from buckthornhold import response_checks

#: More interim answers (1xx) than any server sends before the final one.
MOST_INTERIM_ANSWERS = 32
#: Statuses by which an upstream may say that it did not run a request.
REFUSAL_STATUSES = frozenset({404, 408, 409, 421, 429, 503})


class ConnectionLost(aiohttp.ClientError):
    """The connection broke after the request may have been sent."""


async def forbid_repeats(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the library from sending a request again on its own.

    The library repeats some methods (PUT and DELETE among them) when a kept
    connection turns out to be closed, though the server may have read the
    first sending. It does so for two kinds of error, which are raised here
    as a third. A failed connect is never repeated and goes through as it is.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (
        aiohttp.ClientOSError,
        aiohttp.ServerDisconnectedError,
    ) as error:
        raise ConnectionLost(repr(error)) from error


def make_sent_trace() -> aiohttp.TraceConfig:
    """Return a trace that calls a request's ``trace_request_ctx``, if set.

    It is called before the request's head is written to a connection. What
    it raises keeps the request from being sent, and closes the connection.
    """

    async def report(session, context, parameters) -> None:
        if context.trace_request_ctx is not None:
            context.trace_request_ctx()

    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(report)
    return trace


class Request(aiohttp.ClientRequest):
    """A request that tells its connection when it begins to be written."""

    async def write_bytes(self, writer, conn, content_length) -> None:
        """Write the head and the body."""
        if conn.protocol is not None:
            conn.protocol.note_request()
        await super().write_bytes(writer, conn, content_length)


class Protocol(client_proto.ResponseHandler):
    """Reads answers; gives up after invalid ones or too many interim ones.

    The library skips interim ones without a limit. A connection that has
    carried a refusal is not used again: a faulty upstream may send the
    refusal once more, and the next request on the connection would be taken
    for refused although it runs.
    """

    _interim = 0
    _request_begun = False
    _has_early_bytes = False

    def set_response_params(self, **options) -> None:
        """Prepare for the answer to a request that is not yet sent."""
        self._request_begun = False
        self._has_early_bytes = bool(self._tail or self._buffer)
        super().set_response_params(**options)

    def note_request(self) -> None:
        """Note that a request is being written from now on."""
        self._request_begun = True

    def start_timeout(self) -> None:
        """Note the request; called before one without a body is written."""
        self.note_request()
        super().start_timeout()

    def data_received(self, data: bytes) -> None:
        """Take bytes; those before the request can't be its answer."""
        if not self._request_begun:
            self._has_early_bytes = True
        super().data_received(data)

    async def read(self):
        """Return the next answer's head and body."""
        message, payload = await super().read()
        try:
            if self._has_early_bytes:
                raise response_checks.InvalidResponseError(
                    "bytes came before the request was sent"
                )
            response_checks.check_status(message.code)
        except response_checks.InvalidResponseError:
            self.close()
            raise
        self._interim = self._interim + 1 if message.code < 200 else 0
        if self._interim > MOST_INTERIM_ANSWERS:
            self.close()
            raise ConnectionLost("interim answers without end")
        if message.code in REFUSAL_STATUSES:
            self.force_close()
        return message, payload


class Connector(aiohttp.TCPConnector):
    """Keeps idle connections, until one to the same address went silent.

    One that received unexpected bytes is closed. aiohttp checks for these only
    when a connection returns to the pool; a second answer may arrive later.

    What silences one connection without a reset, such as a firewall that
    lost its state, silences the others as well, while new ones work.
    """

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._factory = functools.partial(
            Protocol, loop=asyncio.get_running_loop()
        )

    async def _get(self, key, traces):
        while True:
            connection = await super()._get(key, traces)
            if connection is None or not connection.protocol.should_close:
                return connection
            connection.close()

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address, ``IP:port``."""
        ip, _, port = address.rpartition(":")
        for key in list(self._conns):
            if (key.host, str(key.port)) != (ip, port):
                continue
            for protocol, _ in self._conns.pop(key):
                protocol.close()


def drop_if_silent(
    session: aiohttp.ClientSession, address: str, error: Exception
) -> None:
    """Use no idle connection to an address after a call without an answer."""
    if isinstance(error, TimeoutError):
        session.connector.drop_idle(address)


def make_session() -> aiohttp.ClientSession:
    """Return a session without repeats and without a connection limit."""
    return aiohttp.ClientSession(
        connector=Connector(limit=0),
        request_class=Request,
        middlewares=(forbid_repeats,),
        trace_configs=[make_sent_trace()],
    )
