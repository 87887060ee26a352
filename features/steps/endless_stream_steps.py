"""Steps for streams that do not end, beside other requests."""

import asyncio
import json
import time

import aiohttp
from aiohttp import base_protocol
import behave

from buckthornhold import engine_events
from buckthornhold import engines
from buckthornhold import http_engines
from buckthornhold import memory_budgets
from buckthornhold.platform import ingress
from features.steps import relay_endless_steps

PIECE_BYTES = 1 << 14
#: Seconds between two pieces: 4 MB a second on one connection.
PIECE_PAUSE_SECONDS = 0.004
STREAM_HEAD = b"Content-Type: text/event-stream\r\n"
CHUNKED_HEAD = STREAM_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FIRST_EVENT = b"id: 1\ndata: x\n\n"
FIRST_CHUNK = b"f\r\n" + FIRST_EVENT + b"\r\n"
#: For each fault, the bytes sent once and the bytes repeated after them.
ENDLESS_STREAMS = {
    "line feeds": (STREAM_HEAD + b"\r\n", b"\n"),
    "later line feeds": (STREAM_HEAD + b"\r\n" + FIRST_EVENT, b"\n"),
    "comments": (STREAM_HEAD + b"\r\n" + FIRST_EVENT, b":\n\n"),
    "small events": (STREAM_HEAD + b"\r\n" + FIRST_EVENT, b"data:\n\n"),
    "chunks of line feeds": (CHUNKED_HEAD + FIRST_CHUNK, b"2\r\n\n\n\r\n"),
    "events of many lines": (
        STREAM_HEAD + b"\r\n" + FIRST_EVENT,
        b"data: x\n" + b"a\n" * 400_000 + b"\n",
    ),
}
#: The clients' deadline of 1.5 s and the half second after it.
STREAM_SECONDS = 2.0
LOOKUP_PAUSE_SECONDS = 0.02


class EndlessStreamUpstream(relay_endless_steps.EndlessUpstream):
    """An upstream whose streams never end, at a moderate rate."""

    pause_seconds = PIECE_PAUSE_SECONDS

    def _make_bytes(self, request_id: bytes) -> tuple[bytes, bytes]:
        first, repeated = ENDLESS_STREAMS[self._what]
        line = b"HTTP/1.1 200 OK\r\nAttempt-Id: " + request_id + b"\r\n"
        count = max(1, PIECE_BYTES // len(repeated))
        return line + first, repeated * count


class _Clock:
    """Measures the longest time for which the event loop ran nothing else."""

    def __init__(self) -> None:
        self.longest = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            slept_at = time.monotonic()
            await asyncio.sleep(0)
            self.longest = max(self.longest, time.monotonic() - slept_at)


@behave.when("wire: models answer {count:d} streams with {what} without end")
def begin_streams(context, count, what):
    fleet = context.fleet
    for name, worker in fleet.workers.items():
        if not worker.events:
            continue
        upstream = EndlessStreamUpstream(what)
        context.endless.append(upstream)
        fleet._addresses[name] = fleet.run(upstream.start())
        fleet.list_worker(name)
    fleet.run(asyncio.sleep(1.0))

    async def send() -> float:
        began_at = time.monotonic()
        await fleet.send("/chat/")
        return time.monotonic() - began_at

    async def begin():
        context.streams = [asyncio.ensure_future(send()) for _ in range(count)]
        while sum(upstream.sent for upstream in context.endless) == 0:
            await asyncio.sleep(0.001)

    fleet.run(asyncio.wait_for(begin(), STREAM_SECONDS))


@behave.then(
    "wire: {count:d} lookups one after the other are each answered within "
    "{most:f} s"
)
def check_lookups(context, count, most):
    fleet = context.fleet

    async def send() -> tuple[int, float]:
        began_at = time.monotonic()
        answer = await fleet.send("/look/")
        return answer.status, time.monotonic() - began_at

    async def run():
        answers = []
        for _ in range(count):
            answers.append(await send())
            await asyncio.sleep(LOOKUP_PAUSE_SECONDS)
        return answers

    answers = fleet.run(run())
    assert all(status == 200 for status, _ in answers), answers
    slowest = max(seconds for _, seconds in answers)
    assert slowest <= most, f"{slowest:.2f} s"


@behave.then("wire: the readiness check is answered within {most:f} s")
def check_readiness(context, most):
    address = context.fleet.hosts[0].settings.listen.ready

    async def ask() -> int:
        url = f"http://{address}{ingress.READY_PATH}"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            return response.status

    assert context.fleet.run(asyncio.wait_for(ask(), most)) == 200


@behave.then("wire: each stream is ended by its deadline")
def check_ends(context):
    seconds = context.fleet.run(asyncio.gather(*context.streams))
    assert max(seconds) <= STREAM_SECONDS, seconds


class _Sink(engines.Sink):
    """Takes all tokens at once."""

    def __init__(self) -> None:
        self.count = 0

    @property
    def full(self) -> bool:
        """Never."""
        return False

    def take(self, tokens):
        """Count tokens."""
        self.count += len(tokens.texts)

    async def make_room(self) -> None:
        """Return at once."""


@behave.when("own interface: an engine has {size:d} MB of tokens ready")
def read_tokens(context, size):
    async def run():
        loop = asyncio.get_running_loop()
        content = aiohttp.StreamReader(
            base_protocol.BaseProtocol(loop), limit=1 << 24, loop=loop
        )
        count = 0
        length = 0
        while length < size * relay_endless_steps.MEGABYTE:
            data = _make_event(offset=count, token="x")
            content.feed_data(data)
            length += len(data)
            count += 1
        content.feed_data(_make_event(end=True, count=count))
        content.feed_eof()
        sink = _Sink()
        reader = engine_events.EventReader(
            request_id="r", attempt="1", peer="engine", sink=sink
        )
        engine = http_engines.HttpModelEngine(
            session=None,
            address="engine",
            timeout=1.0,
            memory=memory_budgets.MemoryBudget(limit=1 << 25),
        )
        clock = _Clock()
        measuring = asyncio.ensure_future(clock.run())
        await asyncio.sleep(0)
        response = type("Response", (), {"content": content})()
        last = await engine._read_stream(response, reader, sink)
        await asyncio.sleep(0)
        measuring.cancel()
        return last, sink.count, count, clock.longest

    context.result = asyncio.run(run())


def _make_event(**fields) -> bytes:
    event = {"request_id": "r", "attempt": "1", **fields}
    return b"data: " + json.dumps(event).encode() + b"\n\n"


@behave.then("own interface: no other task waits longer than {most:f} s")
def check_waits(context, most):
    assert context.result[-1] <= most, f"{context.result[-1]:.2f} s"


@behave.then("own interface: all tokens are given to the sink")
def check_tokens(context):
    last, taken, count, _ = context.result
    assert isinstance(last, engines.EndOfStream), last
    assert taken == count, (taken, count)
