"""Steps for upstreams whose responses are no valid HTTP responses."""

import asyncio
import contextlib
import socket
import types

import aiohttp
import behave

from buckthornhold import clients
from buckthornhold import engines
from buckthornhold import http_engines
from buckthornhold import memory_budgets
from buckthornhold import reasons
from buckthornhold import services
from buckthornhold.standins import raw_answers
from features.steps import engine_answers_steps
from testbed import relay_fleets

TIMEOUT_SECONDS = 3.0
#: Longer than what the kernel takes for a server that reads nothing.
UPLOAD = b"u" * 3_500_000
#: Small, so that the client still writes while it gets the response.
RECEIVE_BUFFER_BYTES = 4096
#: Until a client has read what was sent before a connection ends.
PAUSE_SECONDS = 0.1
PATHS = {"call": "/pay/", "read": "/look/", "chat": "/chat/"}
EVENT = b'id: 1\ndata: {"part": 1}\n\n'


class ScriptedUpstream:
    """Answers in order, but as ``fault`` says where it is set.

    ``requests`` holds each request's connection and whether it had a fault.
    """

    def __init__(self):
        self.fault = ""
        self.requests = []
        self._connections = 0
        self._writers = []
        self._tasks = set()

    async def start(self):
        """Listen; return the address."""
        listener = socket.socket()
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=RECEIVE_BUFFER_BYTES
        )
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def stop(self):
        """Close the listener and all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    def send_early(self):
        """Send a whole response on each idle connection."""
        for writer in self._writers:
            writer.write(self._make_answer({}, "500 Stale", b'"stale"'))

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._writers.append(writer)
        self._connections += 1
        number = self._connections
        if self.fault == "early":
            writer.write(self._make_answer({}, "200 OK", b'"stale"'))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")[1:-2]
                fields = dict(line.lower().split(": ", 1) for line in lines)
                fault = self.fault.removeprefix("early")
                self.requests.append((number, bool(fault)))
                if fault:
                    await self._send_fault(fault, fields, writer)
                    return
                await reader.readexactly(int(fields["content-length"]))
                writer.write(self._make_answer(fields, "200 OK", b'"good"'))

    async def _send_fault(self, fault, fields, writer):
        """Answer before the request's body was read."""
        if fault == "a sized 413":
            writer.write(self._make_answer(fields, "413 Too Large", b"{}"))
            await asyncio.sleep(TIMEOUT_SECONDS)
            return
        if fault.startswith("the status"):
            status = fault.split()[-1]
            writer.write(self._make_answer(fields, f"{status} X", b"{}"))
            await asyncio.sleep(TIMEOUT_SECONDS)
            return
        body, kind = b"{}", "text/plain"
        if fault.startswith("events"):
            body, kind = EVENT, "text/event-stream"
        writer.write(
            f"HTTP/1.1 200 OK\r\n{self._echo(fields)}"
            f"Content-Type: {kind}\r\n\r\n".encode()
            + body
        )
        await asyncio.sleep(PAUSE_SECONDS)
        if fault.endswith("reset"):
            raw_answers.reset(writer.transport)
        else:
            writer.close()

    def _make_answer(self, fields, status, body):
        return (
            f"HTTP/1.1 {status}\r\n{self._echo(fields)}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    def _echo(self, fields):
        names = ("attempt-id", "x-request-id")
        return "".join(
            f"{name}: {fields[name]}\r\n" for name in names if name in fields
        )


class OwnClient:
    """A client of the product's own interface."""

    def __init__(self, kind):
        self._kind = kind
        self.loop = asyncio.new_event_loop()
        self.upstreams = [ScriptedUpstream()]
        address = self.run(self.upstreams[0].start())
        self._session = self.run(self._make_session())
        common = {
            "session": self._session,
            "address": address,
            "memory": memory_budgets.MemoryBudget(limit=32 << 20),
        }
        self._engine = http_engines.HttpModelEngine(
            timeout=TIMEOUT_SECONDS, **common
        )
        self._service = services.HttpPlainService(
            connect_timeout=TIMEOUT_SECONDS, **common
        )

    async def _make_session(self):
        session = clients.make_session()
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._wait_for_early)
        trace.freeze()
        session._trace_configs.append(trace)
        return session

    async def _wait_for_early(self, *_):
        """Let a response arrive between the connect and the request."""
        if self.upstreams[0].fault == "early":
            await asyncio.sleep(PAUSE_SECONDS)

    def run(self, coroutine):
        """Run a coroutine while the upstream answers."""
        return self.loop.run_until_complete(coroutine)

    def send(self, body):
        """Send a request; return its failure, or its answer."""
        return self.run(self._send(body))

    async def _send(self, body):
        if self._kind == "import":
            found = await self._engine.import_cache("r", body.decode())
            return found or types.SimpleNamespace(status=200, body=b'"good"')
        if self._kind == "chat":
            order = engines.Generation(
                request_id="r",
                attempt="1",
                model="m",
                version="v1",
                workspace="w",
                prompt=body.decode(),
                max_tokens=8,
            )
            sink = engine_answers_steps.ListSink()
            return await self._engine.generate(order, sink)
        call = services.Call(
            request_id="r",
            attempt="1",
            operation="o",
            method="POST",
            body=body,
            content_type="text/plain",
        )
        return await self._service.call(call, timeout=TIMEOUT_SECONDS)

    def stop(self):
        """Stop all."""
        self.run(self._session.close())
        for upstream in self.upstreams:
            upstream.stop()
        self.loop.close()


class RelayedClient:
    """A client of a relay host; both upstreams of a service are scripted."""

    def __init__(self, kind):
        self._path = PATHS[kind]
        self._fleet = relay_fleets.RelayFleet(hosts=1)
        self._fleet.start()
        self.upstreams = []
        for name in self._fleet.workers:
            upstream = ScriptedUpstream()
            self.upstreams.append(upstream)
            self._fleet._addresses[name] = self._fleet.run(upstream.start())
            self._fleet.list_worker(name)
        self.run(asyncio.sleep(1.0))

    def run(self, coroutine):
        """Run a coroutine while the host and the upstreams work."""
        return self._fleet.run(coroutine)

    def send(self, body):
        """Send a request; return the response."""
        try:
            answer = self.run(self._fleet.send(self._path, body=body))
        except aiohttp.ClientError as error:
            # Such as a status that the host must not pass on.
            return types.SimpleNamespace(status=-1, body=repr(error))
        if answer.broken or answer.status in (502, 503, 504):
            return reasons.Failure(
                reason=reasons.Reason.UPSTREAM_BROKEN,
                step="relay",
                ran=reasons.Ran.NO
                if answer.status == 503
                else reasons.Ran.UNKNOWN,
            )
        return answer

    def stop(self):
        """Stop all."""
        for upstream in self.upstreams:
            upstream.stop()
        self._fleet.stop()


@behave.fixture
def run_client(context, client, kind):
    made = (RelayedClient if client == "a relayed" else OwnClient)(kind)
    yield made
    made.stop()


@behave.given(
    "invalid: {client} {kind:w} with a {state:w} connection to a scripted "
    "upstream"
)
def make_client(context, client, kind, state):
    context.client = behave.use_fixture(run_client, context, client, kind)
    context.kept = state == "kept"
    context.kind = kind
    if context.kept:
        # Enough for a connection to each upstream.
        for _ in range(6):
            context.client.send(b"short")


def set_fault(context, fault):
    for upstream in context.client.upstreams:
        upstream.fault = fault


@behave.when("invalid: a long upload is answered by {fault}")
def send_upload(context, fault):
    set_fault(context, fault)
    context.result = context.client.send(UPLOAD)
    set_fault(context, "")


@behave.then('invalid: the client gets a failure that doesn\'t say "not run"')
def check_failure(context):
    found = context.result
    assert isinstance(found, reasons.Failure), (found.status, found.body)
    assert found.ran is not reasons.Ran.NO, found


@behave.then("invalid: the request was sent {times:w}")
def check_times(context, times):
    found = [
        faulty
        for upstream in context.client.upstreams
        for _, faulty in upstream.requests
    ]
    assert found.count(True) == {"once": 1, "twice": 2}[times], found


@behave.then("invalid: the next request is answered on another connection")
def check_next(context):
    if context.kind == "chat":
        # Scripted upstreams send no streams in order.
        return
    for _ in range(4):
        found = context.client.send(b"short")
        assert getattr(found, "status", 0) == 200, found
        assert found.body == b'"good"', found.body
    for upstream in context.client.upstreams:
        faulty = {number for number, fault in upstream.requests if fault}
        last = [number for number, _ in upstream.requests][-1:]
        if upstream.requests and not upstream.requests[-1][1]:
            assert not faulty.intersection(last), upstream.requests


@behave.when("invalid: a whole response arrives before the request")
def send_early(context):
    if context.kept:
        for upstream in context.client.upstreams:
            upstream.send_early()
        context.client.run(asyncio.sleep(PAUSE_SECONDS))
    else:
        set_fault(context, "early")
    context.result = context.client.send(b"short")


@behave.then("invalid: the client doesn't take it for its own")
def check_own(context):
    found = context.result
    if isinstance(found, reasons.Failure):
        assert found.ran is not reasons.Ran.NO, found
        assert not context.kept, found
        return
    assert found.body == b'"good"', found.body
    requests = [it for up in context.client.upstreams for it in up.requests]
    assert context.kept, (found.body, requests)


@behave.then("invalid: the client gets the status {status:d}")
def check_status(context, status):
    assert getattr(context.result, "status", 0) == status, context.result
