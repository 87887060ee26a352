"""Steps on the memory that requests and responses hold."""

import asyncio
import collections
import io
import json
import random
import time
import uuid

import aiohttp
import behave

from buckthornhold import memory_budgets
from buckthornhold import reasons
from features import environment
from testbed import long_bodies

MB = 1 << 20
SHORT_BYTES = 1 << 10
SECONDS_LEFT = 8.0
#: Time in which what doesn't wait is decided.
DECIDED_SECONDS = 0.05
SERVED_SHARE = 0.95
BODY_BYTES = 4 * MB
WORK_SECONDS = 0.5
MEMORY_MB = 256
SAMPLE_SECONDS = 0.02


class Bench:
    """Bodies that come and go, on a loop of their own."""

    def __init__(self, *, limit, workspaces=1):
        self.loop = asyncio.new_event_loop()
        self.budget = memory_budgets.MemoryBudget(
            limit=limit, count_workspaces=lambda: workspaces
        )
        self.tasks = []
        self.holds = []
        self.granted = []
        self.refused = {}
        self.began = 0.0

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def _hold(self, number, size, workspace):
        hold = self.budget.open(workspace=workspace)
        self.holds.append(hold)
        failure = await hold.reserve(size, seconds_left=SECONDS_LEFT)
        if failure is None:
            self.granted.append(number)
            return
        hold.release()
        self.refused[number] = (time.monotonic() - self.began, failure)

    async def come(self, count, size, workspace=""):
        self.began = time.monotonic()
        for number in range(count):
            self.tasks.append(
                asyncio.create_task(self._hold(number, size, workspace))
            )
        await asyncio.sleep(DECIDED_SECONDS)

    async def end_all(self):
        """Release what is granted, in turn, until nothing waits."""
        while any(hold.long_size for hold in self.holds):
            for hold in self.holds:
                if hold.long_size:
                    hold.release()
                    break
            await asyncio.sleep(0)
        await asyncio.gather(*self.tasks)


@behave.given("memory: a budget of {size:d} MB")
def make_budget(context, size):
    context.bench = Bench(limit=size * MB)


@behave.given("memory: a budget of {size:d} MB for {count:d} workspaces")
def make_shared_budget(context, size, count):
    context.bench = Bench(limit=size * MB, workspaces=count)


@behave.when("memory: {count:d} bodies of {size:d} MB come at once")
def come(context, count, size):
    context.bench.run(context.bench.come(count, size * MB))


@behave.when(
    'memory: {count:d} bodies of {size:d} MB of the workspace "{name}" come '
    "at once"
)
def come_of_workspace(context, count, size, name):
    context.bench.run(context.bench.come(count, size * MB, name))


@behave.then(
    "memory: {count:d} of them have room and the others wait or are refused"
)
def check_granted(context, count):
    assert context.bench.granted == list(range(count)), context.bench.granted


@behave.then("memory: a short body has room at once")
def check_short(context):
    hold = context.bench.budget.open()
    failure = context.bench.run(hold.reserve(SHORT_BYTES, seconds_left=1.0))
    assert failure is None, failure
    hold.release()


@behave.then(
    'memory: a body of {size:d} MB of the workspace "{name}" has room at once'
)
def check_other_workspace(context, size, name):
    bench = context.bench
    hold = bench.budget.open(workspace=name)
    began = time.monotonic()
    failure = bench.run(hold.reserve(size * MB, seconds_left=SECONDS_LEFT))
    assert failure is None, failure
    assert time.monotonic() - began < DECIDED_SECONDS


@behave.when("memory: the bodies that have room are done, one after the other")
def end_bodies(context):
    context.bench.run(context.bench.end_all())


@behave.then("memory: those that waited got room in their order")
def check_order(context):
    granted = context.bench.granted
    assert len(granted) > 2, granted
    assert granted == sorted(granted), granted


@behave.then("memory: nothing is held")
def check_nothing_held(context):
    assert context.bench.budget.held == 0, context.bench.budget.held


@behave.then(
    "memory: at least {count:d} were refused within {seconds:g} seconds"
)
def check_refused_at_once(context, count, seconds):
    refused = [it for it, _ in context.bench.refused.values() if it <= seconds]
    assert len(refused) >= count, context.bench.refused


@behave.then(
    "memory: their Retry-After are spread over {seconds:g} second or more"
)
def check_spread(context, seconds):
    found = [it.retry_after for _, it in context.bench.refused.values()]
    assert max(found) - min(found) >= seconds, found
    for _, failure in context.bench.refused.values():
        assert failure.reason is reasons.Reason.HOST_FULL, failure
        assert failure.ran is reasons.Ran.NO, failure


@behave.then(
    "memory: those that waited are refused within {seconds:g} seconds"
)
def check_waited(context, seconds):
    bench = context.bench
    bench.run(asyncio.sleep(seconds))
    assert all(
        task.done() or number in bench.granted
        for number, task in enumerate(bench.tasks)
    )
    assert bench.refused


@behave.when("memory: {count:d} seeded bodies come, wait, go and end early")
def run_seeded(context, count):
    bench = context.bench
    rng = random.Random(35)
    print("seed 35")
    bench.most = 0

    async def use(number):
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        hold = bench.budget.open(workspace=rng.choice("ab"))
        patience = rng.choice((0.01, 0.1, 5.0))
        try:
            async with asyncio.timeout(patience):
                size = rng.randrange(1, 4 * MB)
                failure = await hold.reserve(size, seconds_left=SECONDS_LEFT)
                bench.most = max(bench.most, bench.budget.held)
                if failure is None:
                    await asyncio.sleep(rng.uniform(0.0, 0.05))
                    hold.try_resize(rng.randrange(1, 4 * MB))
                    bench.most = max(bench.most, bench.budget.held)
        except TimeoutError:
            return
        finally:
            hold.release()

    async def run():
        await asyncio.gather(*[use(number) for number in range(count)])

    bench.run(run())


@behave.then("memory: the budget was never exceeded")
def check_never_exceeded(context):
    bench = context.bench
    assert 0 < bench.most <= bench.budget.limit, bench.most


@behave.when(
    "memory: a relay host of 256 MB gets {clients:d} long requests at once, "
    "{kind:w}"
)
def send_long(context, clients, kind):
    context.measured = asyncio.run(long_bodies.measure(clients, kind))
    print(json.dumps(context.measured))


@behave.then("memory: its process never had more than {size:d} MB")
def check_peak(context, size):
    assert context.measured["peak_mb"] <= size, context.measured


@behave.then("memory: at least {count:d} of the long requests were served")
def check_served(context, count):
    served = context.measured["long"].get("200", 0)
    assert served >= count, context.measured


@behave.then("memory: nearly all short requests were served meanwhile")
def check_short_served(context):
    counts = context.measured["short"]
    served = counts.get("200", 0) / sum(counts.values())
    assert served >= SERVED_SHARE, context.measured


@behave.when(
    "memory: an entry host of 256 MB gets {count:d} calls of 4 MB at once"
)
def send_calls(context, count):
    fleet = environment.use_fresh_fleet(
        context,
        zones=("zone-a",),
        engines_per_zone=0,
        settings={"memory_limit": MEMORY_MB * MB},
    )
    entry = fleet.entries[0]
    for service in fleet.services:
        service.set_faults(slow=WORK_SECONDS)
    body = bytes(BODY_BYTES)
    counts = collections.Counter()
    context.refusals = []

    async def send(session):
        try:
            async with session.post(
                f"http://{entry.address}/services/entries-app/pay",
                data=io.BytesIO(body),
                headers={"X-Request-Id": uuid.uuid4().hex},
            ) as response:
                answer = await response.json()
                counts[str(response.status)] += 1
                if response.status != 200:
                    context.refusals.append(answer["error"])
        except (aiohttp.ClientError, TimeoutError) as error:
            counts[type(error).__name__] += 1

    async def run():
        peak = 0.0
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=60.0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            sending = [
                asyncio.create_task(send(session)) for _ in range(count)
            ]
            while not all(task.done() for task in sending):
                peak = max(peak, long_bodies.read_memory_mb(entry.pid))
                await asyncio.sleep(SAMPLE_SECONDS)
        return peak

    peak = asyncio.run(run())
    context.measured = {"peak_mb": peak, "long": dict(counts)}
    print(context.measured)


@behave.then(
    'memory: the others were refused as "{reason}" with a time to retry'
)
def check_refusals(context, reason):
    assert context.refusals, context.measured
    for refusal in context.refusals:
        assert refusal["reason"] == reason, refusal
        assert refusal["retry_after"], refusal
        assert refusal["ran"] == "no", refusal
