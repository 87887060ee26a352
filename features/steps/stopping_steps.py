"""Steps on a graceful stop."""

import json
import threading
import uuid

import behave

from features import environment
from testbed import machines
from testbed import sockets

CHAT = "/v1/chat/completions"


def _make_chat(tokens: int) -> bytes:
    body = {
        "model": "race-desk-llm",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": tokens,
        "stream": True,
    }
    return json.dumps(body).encode()


def _use_host(context, **settings):
    environment.use_fresh_fleet(context, zones=("zone-a",), settings=settings)
    context.entry = context.fleet.entries[0]


def _connect(context):
    sock = sockets.connect(context.entry.address)
    context.add_cleanup(sock.close)
    return sock


def _start_stream(context, tokens):
    """Start a stream; a thread reads it to its end."""
    sock = _connect(context)
    sock.sendall(sockets.make_request(CHAT, _make_chat(tokens)))
    stream = sock.makefile("rb")
    while not stream.readline().startswith(b"data: "):
        continue
    context.streamed = []
    reader = threading.Thread(
        target=lambda: context.streamed.append(stream.read())
    )
    reader.start()
    context.reader = reader


@behave.given(
    "an entry host with a stream, a slow call and an idle connection"
)
def use_busy_host(context):
    _use_host(context)
    context.fleet.services[0].set_faults(slow=1.5)
    context.idle = _connect(context)
    request = sockets.make_request("/healthz", b"", method="GET")
    context.idle.sendall(request)
    sockets.read_answer(context.idle.makefile("rb"))
    _start_stream(context, 300)
    context.slow = _connect(context)
    context.slow.sendall(
        sockets.make_request("/services/entries-app/pay", b"{}")
    )
    machines.wait_until(context.fleet.list_executions)


@behave.given("an entry host with half a request and nothing else")
def use_host_with_half_request(context):
    _use_host(context)
    context.slow = _connect(context)
    context.body = _make_chat(3)
    head = sockets.make_request(CHAT, b"", length=len(context.body))
    context.slow.sendall(head + context.body[:10])
    machines.wait_until(
        lambda: (
            context.entry.operate("GET", "/process").json()[
                "caller_connections"
            ]
            == 1
        )
    )


@behave.given(
    "an entry host that drains for 1 second at most, with a long stream"
)
def use_host_with_long_stream(context):
    _use_host(context, drain_timeout=1.0)
    _start_stream(context, 30_000)


@behave.given("the platform does not answer")
def freeze_platform(context):
    context.fleet.platform.freeze()


@behave.when("the entry host is asked to stop")
def stop_host(context):
    context.entry.terminate()


@behave.then("it is unready at once")
def check_unready(context):
    machines.wait_until(
        lambda: (
            machines.call("GET", context.entry.address, "/readyz").status
            == 503
        ),
        timeout=1.0,
        what="the host is unready",
    )


@behave.then(
    'a request on the idle connection is refused as "{reason}" and closed'
)
def check_idle_connection(context, reason):
    context.idle.sendall(sockets.make_request(CHAT, _make_chat(3)))
    stream = context.idle.makefile("rb")
    answer = sockets.read_answer(stream)
    assert answer.status == 503, answer
    assert answer.json()["error"]["reason"] == reason, answer
    assert answer.headers["connection"] == "close", answer
    assert stream.read() == b""


@behave.then('a new request is refused as "{reason}" with ran "{ran}"')
def check_new_request(context, reason, ran):
    reply = machines.call(
        "POST",
        context.entry.address,
        "/services/entries-app/pay",
        {},
        headers={"X-Request-Id": uuid.uuid4().hex},
    )
    error = reply.json()["error"]
    assert (error["reason"], error["ran"]) == (reason, ran), error
    assert int(reply.headers["Retry-After"]) >= 1


@behave.then("the stream and the slow call end whole")
def check_in_flight(context):
    answer = sockets.read_answer(context.slow.makefile("rb"))
    assert answer.status == 200, answer
    context.reader.join(10.0)
    text = context.streamed[0]
    assert text.count(b"chat.completion.chunk") >= 299, text[-300:]
    assert b"data: [DONE]" in text, text[-300:]


@behave.when("the other half comes once it is unready")
def send_other_half(context):
    machines.wait_until(
        lambda: (
            machines.call("GET", context.entry.address, "/readyz").status
            != 200
        )
    )
    context.slow.sendall(context.body[10:])


@behave.then('the late request is refused as "{reason}" with ran "{ran}"')
def check_late_request(context, reason, ran):
    answer = sockets.read_answer(context.slow.makefile("rb"))
    error = answer.json()["error"]
    assert (error["reason"], error["ran"]) == (reason, ran), error


@behave.then("the stopped host ends with exit code {code:d} within 10 seconds")
def check_end(context, code):
    assert context.entry.wait(10.0) == code, context.entry.log
