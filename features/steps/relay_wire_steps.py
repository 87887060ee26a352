"""Steps for relay hosts with a stand-in for the platform."""

import asyncio
import time

import aiohttp
import behave

from testbed import relay_fleets

DEADLINE_SECONDS = 4.0


@behave.fixture
def run_relay_fleet(context, hosts):
    fleet = relay_fleets.RelayFleet(hosts=hosts)
    fleet.start()
    yield fleet
    fleet.stop()


@behave.given("wire: a relay host")
def use_host(context):
    context.fleet = behave.use_fixture(run_relay_fleet, context, hosts=1)


@behave.given("wire: {count:d} relay hosts")
def use_hosts(context, count):
    context.fleet = behave.use_fixture(run_relay_fleet, context, hosts=count)


def list_workers(context, path):
    kind = "plain" if path in ("/pay/", "/look/") else "model"
    workers = context.fleet.workers
    return [
        worker for name, worker in workers.items() if name.startswith(kind)
    ]


@behave.when("wire: a call is sent with headers that only the system may set")
def send_with_own_headers(context):
    fleet = context.fleet
    context.answer = fleet.run(
        fleet.send(
            "/pay/a%2Fb/../c?x=1&y=%20",
            request_id="id-1",
            headers={
                "Tenant": "others",
                "Expect-Instance": "somebody",
                "Hold": "1",
                "Pin-Ms": "5",
                "Kv-From": "1.2.3.4:5/6",
                "Request-Priority": "0",
                "X-Own": "kept",
                "Connection": "x-hop",
                "X-Hop": "dropped",
            },
        )
    )


@behave.then(
    "wire: the upstream received the call's bytes and the system's headers"
)
def check_seen(context):
    seen = [
        request
        for worker in context.fleet.workers.values()
        for request in worker.seen
    ]
    assert len(seen) == 1, seen
    found = {name.lower(): value for name, value in seen[0].items()}
    assert found["path"] == "/pay/a%2Fb/../c?x=1&y=%20", found["path"]
    assert found["body"] == "body", found
    assert found["attempt-id"] == "id-1", found
    assert found["tenant"] == "shops", found
    assert found["expect-instance"].startswith("plain-"), found
    assert 0 < int(found["deadline-ms"]) <= 1500, found
    assert found["x-own"] == "kept", found
    for name in (
        "hold",
        "pin-ms",
        "kv-from",
        "request-priority",
        "x-hop",
        "authorization",
    ):
        assert name not in found, (name, found)


@behave.then("wire: the client received the upstream's status, body and seal")
def check_answer(context):
    answer = context.answer
    assert answer.status == 200, answer.status
    assert answer.headers["Attempt-Id"] == "id-1", answer.headers
    name = answer.headers["Server-Seal"].removeprefix("seal-of-")
    assert answer.body == f"{name} id-1".encode(), answer.body


@behave.when(
    "wire: both upstreams of {path} end the next requests with {fault}"
)
def script(context, path, fault):
    for worker in list_workers(context, path):
        worker.script += [fault] * (6 if fault in ("extra", "not_run") else 1)
    if path == "/ask/" and fault == "cut":
        # The second attempt, which resumes the stream, succeeds.
        for worker in list_workers(context, path):
            worker.script = ["cut"]
        context.sound_second = True


@behave.when("wire: {path} is requested")
def send_request(context, path):
    fleet = context.fleet

    async def run():
        if getattr(context, "sound_second", False):
            asyncio.get_running_loop().call_later(0.01, clear)
        return await fleet.send(path)

    def clear():
        for worker in list_workers(context, path):
            worker.script.clear()

    context.path = path
    context.sent_at = time.monotonic()
    context.answer = fleet.run(run())


@behave.then("wire: the client gets {result:w}")
def check_result(context, result):
    answer = context.answer
    if result in ("whole", "broken"):
        assert answer.status == 200, answer.status
        assert answer.broken == (result == "broken"), answer.body
        ids = answer.event_ids
        assert ids == list(range(1, len(ids) + 1)), ids
        whole = len(ids) == relay_fleets.EVENTS
        assert whole == (result == "whole"), ids
        return
    assert answer.status == int(result), (answer.status, answer.body)
    sealed = "Server-Seal" in answer.headers
    assert sealed == (result in ("200", "500")), answer.headers
    if result == "503":
        assert float(answer.headers["Retry-After"]) > 0, answer.headers
        ran = [worker.ran for worker in list_workers(context, context.path)]
        assert not any(ran), ran


@behave.when("wire: a body of {size:d} MB is sent to {path}")
def send_large(context, size, path):
    context.path = path
    context.answer = context.fleet.run(
        context.fleet.send(path, body=b"x" * (size << 20))
    )


async def fetch(address, path):
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{address}{path}") as response:
            return response.status, await response.text()


@behave.then(
    "wire: the metrics count a call with {status:d} and a refusal of "
    "{reason:w}"
)
def check_metrics(context, status, reason):
    listen = context.fleet.hosts[0].settings.listen
    found = context.fleet.run(fetch(listen.metrics, "/metrics"))
    assert found[0] == 200, found
    lines = found[1].splitlines()
    wanted = (
        f'buckthornhold_requests_total{{kind="call",outcome="{status}"}} 1.0',
        f'buckthornhold_refusals_total{{name="{reason}"}} 1.0',
    )
    for line in wanted:
        assert line in lines, (line, found[1])


@behave.then("wire: the load balancer finds the host ready")
def check_ready(context):
    listen = context.fleet.hosts[0].settings.listen
    path = "/buckthornhold/readiness"
    assert context.fleet.run(fetch(listen.ready, path))[0] == 200
    context.fleet.hosts[0]._stopping = True
    assert context.fleet.run(fetch(listen.ready, path))[0] == 503


@behave.when("wire: {path} is requested {count:d} times with pauses")
def send_with_pauses(context, path, count):
    async def run():
        answers = []
        for number in range(count):
            answers.append(
                await context.fleet.send(path, request_id=f"often-{number}")
            )
            await asyncio.sleep(0.15)
        return answers

    context.answers = context.fleet.run(run())


@behave.then("wire: each client gets its own response")
def check_own_answers(context):
    for number, answer in enumerate(context.answers):
        assert answer.status == 200, (number, answer.status)
        own = f"often-{number}".encode()
        assert answer.body.endswith(own), (number, answer.body)


@behave.then("wire: {path} gives {status:d}")
def check_status(context, path, status):
    answer = context.fleet.run(context.fleet.send(path))
    assert answer.status == status, (answer.status, answer.body)


@behave.then("wire: {path} gives {status:d} with the key unknown")
def check_unknown_key(context, path, status):
    answer = context.fleet.run(context.fleet.send(path, key="unknown"))
    assert answer.status == status, answer.status


@behave.then("wire: {path} gives {status:d} without a key")
def check_no_key(context, path, status):
    answer = context.fleet.run(context.fleet.send(path, key=None))
    assert answer.status == status, answer.status


@behave.then("wire: {path} gives {status:d} without an id")
def check_no_id(context, path, status):
    answer = context.fleet.run(
        context.fleet.send(path, headers={"Attempt-Id": ""})
    )
    assert answer.status == status, answer.status


@behave.then("wire: {path} gives {status:d} with bad token counts")
def check_bad_counts(context, path, status):
    answer = context.fleet.run(
        context.fleet.send(path, headers={"Token-Counts": "many"})
    )
    assert answer.status == status, answer.status


@behave.then("wire: no upstream executed anything")
def check_none_ran(context):
    assert not any(worker.ran for worker in context.fleet.workers.values())


@behave.when("wire: a configuration without the key is written")
def remove_key(context):
    context.fleet.configure(keys=("another",))


@behave.then("wire: {path} is soon refused with {status:d}")
def check_soon(context, path, status):
    async def run():
        ends = time.monotonic() + DEADLINE_SECONDS
        while True:
            answer = await context.fleet.send(path)
            if answer.status == status:
                return
            assert time.monotonic() < ends, answer.status
            await asyncio.sleep(0.05)

    context.fleet.run(run())


@behave.when("wire: the store compacts its history")
def forget_history(context):
    context.fleet.store.forget_history()


@behave.when("wire: {name} drains")
def drain(context, name):
    context.fleet.list_worker(name, state="draining")


@behave.then("wire: {name} soon gets no requests from any host")
def check_drained(context, name):
    fleet = context.fleet

    async def run():
        ends = time.monotonic() + DEADLINE_SECONDS
        while True:
            before = len(fleet.workers[name].ran)
            for number in range(20):
                host = number % len(fleet.hosts)
                answer = await fleet.send("/pay/", host=host)
                assert answer.status == 200, answer.status
            if len(fleet.workers[name].ran) == before:
                return
            assert time.monotonic() < ends
            await asyncio.sleep(0.05)

    fleet.run(run())


@behave.when("wire: the store becomes unreachable")
def lose_store(context):
    context.fleet.store.down = True
    context.fleet.run(asyncio.sleep(0.5))


@behave.when("wire: the store is reachable again")
def return_store(context):
    context.fleet.store.down = False


@behave.when(
    "wire: the store loses the replies to the next {count:d} writes of sums"
)
def lose_answers(context, count):
    store = context.fleet.store
    put = store._put

    def put_and_lose(key, value, lease):
        put(key, value, lease)
        context.lost = getattr(context, "lost", 0)
        if key.startswith("usage/") and context.lost < count:
            context.lost += 1
            store.lost_answers = 1

    store._put = put_and_lose


@behave.when("wire: /pay/ is requested at both hosts for {seconds:g} seconds")
def send_to_both(context, seconds):
    fleet = context.fleet

    async def run():
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            for host in range(len(fleet.hosts)):
                answer = await fleet.send("/pay/", host=host)
                assert answer.status == 200, answer.status
            await asyncio.sleep(0.02)

    fleet.run(run())


@behave.when(
    "wire: {seconds:g} seconds later all hosts are killed and start again"
)
def restart_all(context, seconds):
    context.fleet.run(asyncio.sleep(seconds))
    context.fleet.run(context.fleet.restart_hosts())


@behave.then("wire: the usage of all windows adds up to the executed requests")
def check_usage(context):
    fleet = context.fleet
    ran = sum(len(worker.ran) for worker in fleet.workers.values())

    def count_reported():
        return sum(
            window.get("shops", 0) for window in fleet.cloud.usage.values()
        )

    async def run():
        ends = time.monotonic() + 15
        while count_reported() < ran and time.monotonic() < ends:
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)

    fleet.run(run())
    assert count_reported() == ran, (fleet.cloud.usage, ran)
    assert not fleet.cloud.conflicts, fleet.cloud.conflicts


@behave.when("wire: the workspace is limited to {rate:d} tokens a second")
def limit(context, rate):
    context.fleet.configure(unit="tokens", ratePerS=rate, burst=rate)
    context.fleet.run(asyncio.sleep(0.5))


@behave.then(
    "wire: one of {count:d} requests of {tokens:d} tokens is refused with "
    "{status:d}"
)
def check_limited(context, count, tokens, status):
    fleet = context.fleet

    async def run():
        return [
            await fleet.send(
                "/chat/", headers={"Token-Counts": f"{tokens - 10},10"}
            )
            for _ in range(count)
        ]

    answers = fleet.run(run())
    refused = [reply for reply in answers if reply.status == status]
    assert refused and len(refused) < count, [
        reply.status for reply in answers
    ]
    for answer in refused:
        assert float(answer.headers["Retry-After"]) > 0, answer.headers
