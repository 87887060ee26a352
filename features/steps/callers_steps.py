"""Steps on callers that do not keep to the rules."""

import asyncio
import json
import time
import uuid

import aiohttp
import behave

from features import environment
from testbed import callers
from testbed import machines
from testbed import odd_requests
from testbed import sockets

SETTINGS = {
    "body_limit": odd_requests.BODY_LIMIT,
    "body_timeout": 1.0,
    "caller_stall_timeout": 1.5,
    "max_in_flight": 32,
    "max_connections": 64,
}


#: Counts at rest of each entry host, by process id.
REST: dict[int, dict] = {}


def _measure_rest(context):
    """Return the greatest counts of an untouched host over two seconds.

    Background tasks come and go; all scenarios are held against these.
    """
    found = []
    for _ in range(20):
        found.append(_measure(context))
        time.sleep(0.1)
    return {key: max(it[key] for it in found) for key in found[0]}


def _measure(context):
    entry = context.fleet.entries[0]
    return entry.operate("GET", "/process").json()


def _count(context, name):
    return context.fleet.entries[0].operate("GET", "/counters").json()[name]


@behave.given("an entry host at rest")
def use_resting_host(context):
    environment.use_shared_fleet(
        context,
        zones=("zone-a",),
        engines_per_zone=2,
        settings=SETTINGS,
        engine_options={"step_base": 0.0, "max_running": 64},
    )
    context.entry = context.fleet.entries[0]
    machines.wait_until(lambda: _measure(context)["caller_connections"] == 0)
    if context.entry.pid not in REST:
        REST[context.entry.pid] = _measure_rest(context)
    context.rest = REST[context.entry.pid]
    context.counts = context.entry.operate("GET", "/counters").json()


@behave.when("an odd caller sends {request}")
def send_request(context, request):
    with sockets.connect(context.entry.address) as sock:
        sock.sendall(odd_requests.REQUESTS[request])
        context.answer = sockets.read_answer(sock.makefile("rb"))


@behave.then(
    'the raw answer has status {status:d}, reason "{reason}" and ran "{ran}"'
)
def check_answer(context, status, reason, ran):
    assert context.answer.status == status, context.answer
    error = context.answer.json()["error"]
    assert error["reason"] == reason, error
    assert error["ran"] == ran, error


@behave.then('the counter "{name}" has grown')
def check_counter(context, name):
    machines.wait_until(
        lambda: _count(context, name) > context.counts[name],
        timeout=2.0,
        what=f"{name} grows",
    )


@behave.then('the counter "{name}" grows')
def wait_for_counter(context, name):
    machines.wait_until(lambda: _count(context, name) > context.counts[name])


@behave.then("the entry host is at rest again")
def check_rest(context):
    def has_settled():
        now = _measure(context)
        context.now = now
        return (
            now["tasks"] <= context.rest["tasks"]
            and now["caller_connections"] == 0
            and now["in_flight"] == 0
            and now["upstream_in_flight"] == 0
        )

    try:
        machines.wait_until(has_settled, timeout=5.0)
    except AssertionError as error:
        raise AssertionError(f"{context.rest} became {context.now}") from error


@behave.then("the plain services have run nothing")
def check_nothing_run(context):
    assert context.fleet.list_executions() == []


@behave.when("a caller streams with a request id of {count:d} characters")
def stream_with_long_id(context, count):
    with sockets.connect(context.entry.address) as sock:
        fields = (f"X-Request-Id: {'x' * count}",)
        sock.sendall(
            odd_requests.make_chat(odd_requests.GOOD_BODY, fields=fields)
        )
        context.answer = sockets.read_answer(sock.makefile("rb"))


@behave.then("the answer is whole and has a request id of its own")
def check_new_id(context):
    assert context.answer.status == 200, context.answer
    body = context.answer.json()
    assert body["usage"]["completion_tokens"] == 3, body
    assert 0 < len(body["id"]) <= 128, body
    assert context.answer.headers["x-request-id"] == body["id"]


@behave.when("a caller streams with a request id of quotes and backslashes")
def stream_with_odd_id(context):
    context.odd_id = 'a"b\\c{d}'
    body = {**json.loads(odd_requests.GOOD_BODY), "stream": True}
    reply = machines.call(
        "POST",
        context.entry.address,
        odd_requests.CHAT,
        body,
        headers={"X-Request-Id": context.odd_id},
    )
    context.events = [
        line.removeprefix("data: ")
        for line in reply.text.splitlines()
        if line.startswith("data: {")
    ]


@behave.then("every event is JSON and has that request id")
def check_odd_id(context):
    ids = [json.loads(event)["id"] for event in context.events]
    assert ids == [context.odd_id] * 3, context.events


@behave.when("a caller sends a good request and expects leave to continue")
def send_expectation(context):
    with sockets.connect(context.entry.address) as sock:
        stream = sock.makefile("rb")
        fields = ("Expect: 100-continue",)
        length = len(odd_requests.GOOD_BODY)
        sock.sendall(odd_requests.make_chat(b"", length=length, fields=fields))
        context.answers = [sockets.read_answer(stream)]
        sock.sendall(odd_requests.GOOD_BODY)
        context.answers.append(sockets.read_answer(stream))


@behave.then("it is told to continue and gets its answer")
def check_continue(context):
    assert [it.status for it in context.answers] == [100, 200]


@behave.when("a caller sends three requests without waiting for answers")
def send_pipelined(context):
    context.ids = [uuid.uuid4().hex for _ in range(3)]
    with sockets.connect(context.entry.address) as sock:
        stream = sock.makefile("rb")
        sock.sendall(
            b"".join(
                odd_requests.make_chat(
                    odd_requests.GOOD_BODY, fields=(f"X-Request-Id: {name}",)
                )
                for name in context.ids
            )
        )
        context.answers = [sockets.read_answer(stream) for _ in range(3)]


@behave.then("it gets three answers in their order")
def check_order(context):
    assert [it.json()["id"] for it in context.answers] == context.ids


def _make_long_chat(tokens: int, request_id: str = "") -> bytes:
    body = {
        **json.loads(odd_requests.GOOD_BODY),
        "max_tokens": tokens,
        "stream": True,
    }
    fields = (f"X-Request-Id: {request_id or uuid.uuid4().hex}",)
    return odd_requests.make_chat(json.dumps(body).encode(), fields=fields)


@behave.when("a caller goes away in the middle of a long stream")
def leave_mid_stream(context):
    with sockets.connect(context.entry.address) as sock:
        sock.sendall(_make_long_chat(30_000))
        for line in sock.makefile("rb"):
            if line.startswith(b"data: "):
                break


@behave.then("no engine runs anything within {seconds:d} seconds")
def check_engines_idle(context, seconds):
    machines.wait_until(
        lambda: (
            not any(
                engine.get("/state")["running"]
                for engine in context.fleet.engines
            )
        ),
        timeout=seconds,
        what="the engines are idle",
    )


@behave.when("a caller asks for a long stream and reads nothing")
def read_nothing(context):
    sock = sockets.connect(context.entry.address, receive_buffer=4096)
    context.add_cleanup(sock.close)
    context.silent = sock
    sock.sendall(_make_long_chat(32_000, request_id="s" * 128))


@behave.then("the entry host held less than {size:d} MB for it")
def check_memory(context, size):
    grown = _measure(context)["memory"] - context.rest["memory"]
    print(f"memory grew by {grown} kB")
    assert grown < size * 1024, grown
    context.silent.close()


@behave.when("{count:d} callers stream at once through a host that takes 32")
def flood(context, count):
    async def run():
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            return await asyncio.gather(
                *[
                    callers.stream_chat(
                        session,
                        context.entry.address,
                        request_id=uuid.uuid4().hex,
                        prompt=f"question {number}",
                        max_tokens=200,
                    )
                    for number in range(count)
                ]
            )

    context.chats = asyncio.run(run())


@behave.then(
    'some are refused as "{reason}" with ran "{ran}" and a time to retry'
)
def check_some_refused(context, reason, ran):
    refused = [chat for chat in context.chats if chat.status != 200]
    assert refused
    for chat in refused:
        assert chat.error["reason"] == reason, chat
        assert chat.error["ran"] == ran, chat
        assert chat.error["retry_after"] > 0, chat


@behave.then("all others get their whole answers")
def check_others(context):
    answered = [chat for chat in context.chats if chat.status == 200]
    assert len(answered) >= 32
    assert all(chat.whole for chat in answered)


@behave.when("a caller opens {count:d} connections to a host that takes 64")
def open_connections(context, count):
    context.socks = []
    for _ in range(count):
        sock = sockets.connect(context.entry.address)
        context.add_cleanup(sock.close)
        context.socks.append(sock)


@behave.then('{count:d} of them are refused as "{reason}"')
def check_refused_connections(context, count, reason):
    machines.wait_until(
        lambda: (
            _count(context, f"refusals.{reason}")
            >= context.counts[f"refusals.{reason}"] + count
        )
    )
    for sock in context.socks[-count:]:
        answer = sockets.read_answer(sock.makefile("rb"))
        assert answer.status == 503, answer
        assert answer.json()["error"]["reason"] == reason, answer


@behave.then("a connection that was taken still serves")
def check_taken_connection(context):
    sock = context.socks[0]
    sock.sendall(odd_requests.make_chat(odd_requests.GOOD_BODY))
    assert sockets.read_answer(sock.makefile("rb")).status == 200
    for sock in context.socks:
        sock.close()


@behave.when("a caller goes away while every engine is killed")
def leave_while_engines_die(context):
    with sockets.connect(context.entry.address) as sock:
        sock.sendall(_make_long_chat(30_000))
        for line in sock.makefile("rb"):
            if line.startswith(b"data: "):
                break
        for engine in context.fleet.engines:
            engine.kill()


@behave.then("one refusal is counted, and one alone")
def check_one_refusal(context):
    def count_refusals():
        now = context.entry.operate("GET", "/counters").json()
        return sum(
            now[name] - context.counts[name]
            for name in now
            if name.startswith("refusals.")
        )

    machines.wait_until(count_refusals)
    check_rest(context)
    assert count_refusals() == 1, count_refusals()


@behave.when("an operator calls with a wrong token")
def call_with_wrong_token(context):
    context.reply = machines.call(
        "GET",
        context.entry.operator_address,
        "/status",
        headers={"Authorization": "Bearer wrong"},
    )


@behave.then('the operator is refused as "{reason}"')
def check_operator_refused(context, reason):
    assert context.reply.status == 401, context.reply
    assert context.reply.json()["error"]["reason"] == reason
