"""Steps for what upstreams say of themselves in their answers."""

import asyncio
import itertools
import random
import time

import behave

from buckthornhold import backoffs

#: Words of the stand-in's script by the answer that a step names.
WORDS = {
    "a refusal": "not_run",
    "a response": "200",
    "an error": "500",
    "a stream's head": "200",
}
LEAVING = {"Server-Leaving": "1"}
#: Time in which requests that are on their way when an upstream asks for none
#: may still reach it.
UNDER_WAY_SECONDS = 0.5
MAX_TRIES = 40


def list_upstreams(fleet, path):
    kind = "model" if path in ("/chat/", "/ask/") else "plain"
    return [
        worker
        for name, worker in sorted(fleet.workers.items())
        if name.startswith(kind)
    ]


@behave.given("wire: the store is {state}")
def set_store(context, state):
    context.fleet.store.down = state == "down"


def make_say(context, path, fields, words):
    """Have one upstream answer with some headers until it is reached."""
    fleet = context.fleet
    worker = list_upstreams(fleet, path)[0]
    worker.extra_fields = fields
    worker.script = list(words)
    context.worker = worker
    before = len(worker.ran)

    async def run():
        for _ in range(MAX_TRIES):
            refused = not worker.script
            if len(worker.ran) > before or refused:
                return
            await fleet.send(path)
        raise AssertionError("no request has reached it")

    fleet.run(run())


@behave.when("wire: one upstream of {path} says that it leaves in {answer}")
def say_leaving(context, path, answer):
    make_say(context, path, LEAVING, [WORDS[answer]])


@behave.then("wire: it gets no more requests to {path} from that host")
def check_host(context, path):
    check_none(context, path, hosts=[0])


@behave.then(
    "wire: within 1 second it gets no more requests to {path} from any host"
)
def check_hosts(context, path):
    context.fleet.run(asyncio.sleep(1.0))
    check_none(context, path, hosts=range(len(context.fleet.hosts)))


def check_none(context, path, *, hosts):
    fleet = context.fleet
    before = len(context.worker.ran)

    async def run():
        for number, host in itertools.product(range(10), hosts):
            answer = await fleet.send(path, host=host)
            assert answer.status == 200, (number, host, answer.status)

    fleet.run(run())
    assert len(context.worker.ran) == before


@behave.when("wire: it starts anew under its name")
def start_anew(context):
    context.worker.extra_fields = {}
    context.fleet.list_worker(
        context.worker.name, born=time.time_ns() // 1_000_000
    )
    context.fleet.run(asyncio.sleep(0.5))


@behave.then("wire: it gets requests to {path} again")
def check_again(context, path):
    fleet = context.fleet
    before = len(context.worker.ran)

    async def run():
        for _ in range(MAX_TRIES):
            await fleet.send(path)
            if len(context.worker.ran) > before:
                return
        raise AssertionError("no request has reached it")

    fleet.run(run())


@behave.when("wire: all upstreams of {path} say that they leave")
def say_all_leaving(context, path):
    fleet = context.fleet
    for worker in list_upstreams(fleet, path):
        worker.extra_fields = LEAVING
    for _ in list_upstreams(fleet, path):
        fleet.run(fleet.send(path))


@behave.then(
    "wire: {path} is refused within {limit:g} s with a Retry-After of "
    "{least:g} to {most:g} s"
)
def check_refused(context, path, limit, least, most):
    fleet = context.fleet
    sent_at = time.monotonic()
    answer = fleet.run(fleet.send(path))
    seconds = time.monotonic() - sent_at
    assert answer.status == 503, answer.status
    assert seconds <= limit, seconds
    retry_after = float(answer.headers["Retry-After"])
    assert least <= retry_after <= most, retry_after


@behave.when(
    "wire: one upstream of {path} refuses with a Retry-After of {seconds}"
)
def refuse_with_time(context, path, seconds):
    worker = list_upstreams(context.fleet, path)[0]
    worker.extra_fields = {"Retry-After": seconds}
    worker.script = ["not_run"] * 1000
    context.worker = worker
    context.refusals_left = [(time.monotonic(), len(worker.script))]


@behave.when(
    "wire: {count:d} requests at once are sent to {path} again and again for "
    "{seconds:g} s"
)
def send_again(context, count, path, seconds):
    fleet = context.fleet
    worker = context.worker
    context.statuses = []

    async def send(ends_at):
        while time.monotonic() < ends_at:
            answer = await fleet.send(path)
            context.statuses.append(answer.status)
            context.refusals_left.append(
                (time.monotonic(), len(worker.script))
            )

    async def run():
        ends_at = time.monotonic() + seconds
        await asyncio.gather(*[send(ends_at) for _ in range(count)])

    fleet.run(run())


@behave.then(
    "wire: at most {count:d} requests reached it after the first half second"
)
def check_reached(context, count):
    first = next(
        moment
        for (moment, left), (_, before) in zip(
            context.refusals_left[1:], context.refusals_left, strict=False
        )
        if left < before
    )
    left = [
        left
        for moment, left in context.refusals_left
        if moment >= first + UNDER_WAY_SECONDS
    ]
    assert left, "no request was sent after the first half second"
    assert left[0] - left[-1] <= count, (left[0], left[-1])


@behave.then("wire: all of the requests were answered with 200")
def check_all_answered(context):
    assert set(context.statuses) == {200}, set(context.statuses)


@behave.when(
    "wire: all upstreams of {path} refuse with a Retry-After of {seconds}"
)
def refuse_all(context, path, seconds):
    fleet = context.fleet
    for worker in list_upstreams(fleet, path):
        worker.extra_fields = {"Retry-After": seconds}
        worker.script = ["not_run"]
    context.worker = worker
    answer = fleet.run(fleet.send(path))
    assert answer.status == 503, answer.status


@behave.when("wire: they refuse no more, and {seconds:g} s pass")
def stop_refusing(context, seconds):
    for worker in context.fleet.workers.values():
        worker.script = []
        worker.extra_fields = {}
    context.fleet.run(asyncio.sleep(seconds))


@behave.then("a Retry-After of {text} is read as {seconds}")
def check_value(context, text, seconds):
    found = backoffs.parse_retry_after("" if text == "nothing" else text)
    expected = None if seconds == "none" else float(seconds)
    assert found == expected, found


@behave.then("at most {most:d} of {hosts:d} hosts return within any second")
def check_returns(context, most, hosts):
    source = random.Random(hosts)
    now = 0.0
    fleet = [
        backoffs.Backoffs(
            count_hosts=lambda: hosts, clock=lambda: now, draw=source.random
        )
        for _ in range(hosts)
    ]
    for host in fleet:
        host.begin(("engine", 1), 2.0)
    returns = {}
    for tick in range(1200):
        now = tick / 100
        for number, host in enumerate(fleet):
            if number not in returns and host.admits(("engine", 1), 0):
                returns[number] = now
    assert len(returns) == hosts
    assert min(returns.values()) >= 2.0
    largest = max(
        sum(moment <= other < moment + 1.0 for other in returns.values())
        for moment in returns.values()
    )
    print(f"{largest} of {hosts} hosts return within a second")
    assert largest <= most, largest
