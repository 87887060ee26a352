"""HTTP client sessions that send each request once."""

import asyncio
import functools

import aiohttp
from aiohttp import client_proto

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


class Protocol(client_proto.ResponseHandler):
    """Reads answers; gives up after too many interim ones.

    The library skips them without a limit. A connection that has carried a
    refusal is not used again: a faulty upstream may send the refusal once
    more, and the next request on the connection would be taken for refused
    although it runs.
    """

    _interim = 0

    async def read(self):
        """Return the next answer's head and body."""
        message, payload = await super().read()
        self._interim = self._interim + 1 if message.code < 200 else 0
        if self._interim > MOST_INTERIM_ANSWERS:
            self.close()
            raise ConnectionLost("interim answers without end")
        if message.code in REFUSAL_STATUSES:
            self.force_close()
        return message, payload


class Connector(aiohttp.TCPConnector):
    """Keeps idle connections, until one to the same address went silent.

    What silences one connection without a reset, such as a firewall that
    lost its state, silences the others as well, while new ones work.
    """

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._factory = functools.partial(
            Protocol, loop=asyncio.get_running_loop()
        )

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
        middlewares=(forbid_repeats,),
        trace_configs=[make_sent_trace()],
    )
