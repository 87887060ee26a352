"""Steps: answers of an engine that sends bytes as a scenario says."""

import asyncio
import contextlib
import json

from behave import given
from behave import then
from behave import when

from buckthornhold import clients
from buckthornhold import engines
from buckthornhold import http_engines
from buckthornhold import memory_budgets
from buckthornhold import reasons
from buckthornhold.standins import raw_answers

REQUEST_ID = "cut-1"
ATTEMPT = "cut-1/0"
WAIT_SECONDS = 10.0
#: Time in which a client has read what was sent before a reset.
RESET_PAUSE_SECONDS = 0.05
OK = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
#: Answers behind which the engine closes the connection.
CLOSED_ANSWERS = (
    "close",
    "early close",
    "no head",
    "half head",
    "long head",
    "cut event",
)


class RawEngine:
    """Answers each request with the same bytes, piece by piece."""

    def __init__(
        self, *, answer: bytes, size: int, closes: bool, resets: bool = False
    ) -> None:
        self._resets = resets
        self._answer = answer
        self._size = size
        self._closes = closes
        self.connections = 0
        self.closed = 0
        self.sent = 0

    async def start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        return f"{ip}:{port}"

    async def stop(self) -> None:
        """Listen no more; return when every connection is closed."""
        self._server.close()
        while self.closed < self.connections:
            await asyncio.sleep(0.01)

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2]
                await reader.readexactly(int(length.split(b"\r\n")[0]))
                await self._send(writer)
                if self._resets:
                    await asyncio.sleep(RESET_PAUSE_SECONDS)
                    raw_answers.reset(writer.transport)
                if self._closes:
                    break
        writer.close()
        self.closed += 1

    async def _send(self, writer) -> None:
        self.sent = 0
        for place in range(0, len(self._answer), self._size):
            writer.write(self._answer[place : place + self._size])
            await writer.drain()
            self.sent = place
            if self._size < len(self._answer):
                await asyncio.sleep(0)


class ListSink(engines.Sink):
    """Keeps the tokens; waits once for ``pause`` seconds."""

    def __init__(self, *, pause: float = 0.0, on_pause=None) -> None:
        self._pause = pause
        self._on_pause = on_pause
        self.texts: list[str] = []

    @property
    def full(self) -> bool:
        """Whether the pause is still to come."""
        return self._pause > 0

    def take(self, tokens) -> None:
        """Keep tokens, which must be the next ones."""
        assert tokens.offset == len(self.texts), tokens.offset
        self.texts += tokens.texts

    async def make_room(self) -> None:
        """Pause once."""
        await asyncio.sleep(self._pause)
        self._pause = 0.0
        if self._on_pause is not None:
            self._on_pause()


def write_event(**fields) -> bytes:
    """Return one event as engines send it."""
    event = {"request_id": REQUEST_ID, "attempt": ATTEMPT, **fields}
    return b"data: " + json.dumps(event).encode() + b"\n\n"


def write_chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def write_answer(framing: str, count: int) -> bytes:
    """Return the bytes of one whole answer, or of one with a fault."""
    events = [write_event(offset=it, token=f" w{it}") for it in range(count)]
    events.append(write_event(end=True, count=count))
    bodies = {
        "no end": events[:-1],
        "hole": [events[0] + events[2], *events[3:]],
        "text offset": [write_event(offset="0", token=" a")],
        "two values": [events[0][:-2] + b" {}" + events[0][-2:]],
        "no token": [write_event(offset=0)],
        "list event": [b"data: [1]\n\n"],
        "bad utf8": [b'data: {"token": "\xff"}\n\n'],
        "text count": [write_event(end=True, count="0")],
    }
    events = bodies.get(framing, events)
    body = b"".join(events)
    chunks = b"".join(write_chunk(event) for event in events)
    coded = f"{OK}Transfer-Encoding: chunked\r\n\r\n".encode()
    sized = f"{OK}Content-Length: {len(body)}\r\n\r\n".encode()
    answers = {
        "length": sized + body,
        "close": f"{OK}\r\n".encode() + body,
        "trailers": coded + chunks + b"0;a=b\r\nX-Sum: 1\r\n\r\n",
        "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + sized + body,
        "surplus": coded + chunks + b"0\r\n\r\n" + coded + chunks[:50],
        "bad size": coded + b"zz\r\n" + chunks,
        "long chunk": coded + chunks[:-2] + b"xx0\r\n\r\n",
        "early close": coded + chunks[:-20],
        "no head": b"",
        "half head": OK[:-9].encode(),
        "cut event": f"{OK}\r\n".encode() + body[:-1],
        "not http": b"SSH-2.0-x\r\n\r\n",
        "long head": OK.encode() + b"X-A: " + b"a" * (1 << 17),
        "bad length": f"{OK}Content-Length: -1\r\n\r\n".encode(),
        "refusal": b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\n{}",
    }
    return answers.get(framing, coded + chunks + b"0\r\n\r\n")


@given(
    "an engine that answers {count:d} tokens with {framing} in pieces of"
    " {size:d}"
)
def prepare_engine(context, count, framing, size):
    closes = framing in CLOSED_ANSWERS
    context.answer = write_answer(framing, count)
    context.raw_engine = RawEngine(
        answer=context.answer, size=size, closes=closes
    )
    context.token_count = count


@given("an engine that is not there")
def prepare_no_engine(context):
    context.raw_engine = None


async def use_engine(context, use) -> None:
    """Start the engine and use a client of it."""
    address = "127.0.0.1:9"
    if context.raw_engine is not None:
        address = await context.raw_engine.start()
    async with (
        clients.make_session() as session,
        asyncio.timeout(WAIT_SECONDS),
    ):
        engine = http_engines.HttpModelEngine(
            session=session,
            address=address,
            timeout=2.0,
            memory=memory_budgets.MemoryBudget(limit=32 << 20),
        )
        await use(engine)
    if context.raw_engine is not None:
        await context.raw_engine.stop()


def make_order() -> engines.Generation:
    """Return an order of one answer."""
    return engines.Generation(
        request_id=REQUEST_ID,
        attempt=ATTEMPT,
        model="m",
        version="v",
        workspace="w",
        prompt="p",
        max_tokens=1,
    )


async def read(context, engine, sink) -> None:
    """Read one answer."""
    last = await engine.generate(make_order(), sink)
    context.reads.append((sink.texts, last))


@when("its answer is read {times:d} times")
def read_answer(context, times):
    context.reads = []

    async def use(engine):
        for _ in range(times):
            await read(context, engine, ListSink())

    asyncio.run(use_engine(context, use))


@when(
    "its answer is read by a caller that takes {seconds:g} s for the first"
    " part"
)
def read_slowly(context, seconds):
    context.reads = []

    def note() -> None:
        context.sent_meanwhile = context.raw_engine.sent

    async def use(engine):
        await read(context, engine, ListSink(pause=seconds, on_pause=note))

    asyncio.run(use_engine(context, use))


@when("its answer is left after the first part")
def leave_answer(context):
    context.reads = []

    async def use(engine):
        sink = ListSink(pause=60.0)
        task = asyncio.create_task(read(context, engine, sink))
        while not sink.texts:
            await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait([task])
        context.taken = len(sink.texts)
        while not context.raw_engine.closed:
            await asyncio.sleep(0.01)
        context.taken_later = len(sink.texts)

    asyncio.run(use_engine(context, use))


@then("each time there were {count:d} tokens in order and the end marker")
def check_reads(context, count):
    expected = [f" w{number}" for number in range(count)]
    assert context.reads
    for texts, last in context.reads:
        assert texts == expected, (len(texts), last)
        assert last == engines.EndOfStream(count=count), last


@then("it took {count:d} connections")
def check_connections(context, count):
    assert context.raw_engine.connections == count, (
        context.raw_engine.connections
    )


@then('it failed as "{reason}" with ran "{ran}"')
def check_failure(context, reason, ran):
    last = context.reads[0][1]
    assert isinstance(last, reasons.Failure), last
    assert (last.reason.value, last.ran.value) == (reason, ran), last


@then("the engine could send less than half of it meanwhile")
def check_sent(context):
    assert context.sent_meanwhile < len(context.answer) / 2, (
        context.sent_meanwhile,
        len(context.answer),
    )


@then("the engine's connection is closed and nothing more is taken")
def check_left(context):
    assert context.taken == context.taken_later < context.token_count
