"""Steps on logs and counters."""

import asyncio
import json
import re
import socket
import uuid

import aiohttp
import behave

from buckthornhold import counters
from features import environment
from testbed import callers
from testbed import machines

FIELDS = {
    "time",
    "level",
    "host",
    "zone",
    "request_id",
    "step",
    "peer",
    "reason",
    "message",
}
METRIC = re.compile(r"([\w.]+):(\d+)\|c")


@behave.given("a fleet that counts to a statsd listener")
def use_counting_fleet(context):
    listener = socket.socket(type=socket.SOCK_DGRAM)
    context.add_cleanup(listener.close)
    listener.bind(("127.0.0.1", 0))
    listener.setblocking(False)
    context.statsd = listener
    context.metrics = {}
    ip, port = listener.getsockname()
    environment.use_fresh_fleet(
        context,
        zones=("zone-a",),
        engines_per_zone=2,
        settings={"statsd_address": f"{ip}:{port}"},
    )


def _stream(context, model="race-desk-llm"):
    async def run():
        async with aiohttp.ClientSession() as session:
            return await callers.stream_chat(
                session,
                context.fleet.entries[0].address,
                request_id=uuid.uuid4().hex,
                prompt="hello",
                max_tokens=2,
                model=model,
            )

    return asyncio.run(run())


def _read_metrics(context):
    while True:
        try:
            text = context.statsd.recv(65536).decode()
        except BlockingIOError:
            return context.metrics
        for name, amount in METRIC.findall(text):
            known = context.metrics.get(name, 0)
            context.metrics[name] = known + int(amount)


@behave.when("a caller is refused through the first entry host")
def refuse_caller(context):
    context.chat = _stream(context, model="no-such-model")
    assert context.chat.status == 404, context.chat


@behave.when("a stream is retried because engines refuse work")
def retry_stream(context):
    context.fleet.engines[0].set_faults(refuse_work=True)
    for _ in range(12):
        assert _stream(context).whole


@behave.then("every line of every entry host's log is JSON with all fields")
def check_log_lines(context):
    for entry in context.fleet.entries:
        lines = [json.loads(line) for line in entry.log.splitlines()]
        assert lines
        for line in lines:
            assert set(line) >= FIELDS, line
            assert line["host"] == entry.name, line
            assert line["zone"] == entry.zone, line


def _find_chat_lines(context):
    """Return the first host's log lines about the chat.

    A thread writes them, at times only after the answer has been read.
    """
    lines = map(json.loads, context.fleet.entries[0].log.splitlines())
    return [
        line for line in lines if line["request_id"] == context.chat.request_id
    ]


@behave.then("the refusal's line has its request id, step and reason")
def check_refusal_line(context):
    machines.wait_until(
        lambda: _find_chat_lines(context),
        timeout=3.0,
        what="the refusal is logged",
    )
    found = _find_chat_lines(context)
    assert len(found) == 1, found
    assert found[0]["step"] == "version", found
    assert found[0]["reason"] == "unknown_model", found
    assert found[0]["level"] == "warning", found


@behave.then('statsd has counted "{name}"')
def check_counted(context, name):
    machines.wait_until(
        lambda: _read_metrics(context).get(name), timeout=3.0, what=name
    )


@behave.then(
    "statsd has counted nothing that the page on counters does not name"
)
def check_known_counters(context):
    known = {f"buckthornhold.{name}" for name in counters.list_names()}
    assert set(_read_metrics(context)) <= known, context.metrics
