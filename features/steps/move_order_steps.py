"""Steps for operators' orders to move a service to another version."""

import asyncio
import base64
import json
import time

import behave

from testbed import relay_fleets

MOVE_SECONDS = 4.0
#: Most requests go to the new version, so that few of them suffice for a
#: decision.
EXPOSURE_SHARE = 0.9
PAUSE_SECONDS = 0.04
STATUS_TIMEOUT_SECONDS = 10.0
MAX_REQUESTS = 1000
NEW_WORKERS = ("plain-3", "plain-4")
STATUS_PREFIX = "status/rollout/"


@behave.fixture
def run_move_fleet(context, hosts):
    fleet = relay_fleets.RelayFleet(hosts=hosts, exposure_share=EXPOSURE_SHARE)
    fleet.start()
    yield fleet
    fleet.stop()


@behave.given(
    "move orders: {count:d} relay hosts and upstreams of versions v1 and v2"
)
def use_hosts(context, count):
    context.fleet = behave.use_fixture(run_move_fleet, context, hosts=count)


@behave.given("move orders: the upstreams of v2 answer {how}")
def set_answers(context, how):
    context.fails = how == "500"


async def start_new_workers(context):
    for name in NEW_WORKERS:
        await context.fleet.add_worker(name, 0, version="v2")
        if context.fails:
            context.fleet.workers[name].script = ["500"] * MAX_REQUESTS


def read_status(context):
    """Return the status of the move that was published last."""
    item = context.fleet.store.items.get(
        STATUS_PREFIX + relay_fleets.PLAIN_SERVICE
    )
    if item is None:
        return {}
    return json.loads(base64.b64decode(item["value"]))


@behave.when(
    "move orders: the operator orders v2 within {seconds:g} s while clients "
    "send"
)
def order_move(context, seconds):
    fleet = context.fleet

    async def run():
        service = relay_fleets.PLAIN_SERVICE
        fleet.store.write(
            f"op/rollout/{service}",
            {"service": service, "target": "v2", "durationS": seconds},
        )
        await start_new_workers(context)
        ends = time.monotonic() + seconds + STATUS_TIMEOUT_SECONDS
        sending = set()
        number = 0
        while time.monotonic() < ends:
            if read_status(context).get("state") not in (None, "running"):
                break
            number += 1
            call = fleet.send("/look/", host=number % 2)
            sending.add(asyncio.create_task(call))
            await asyncio.sleep(PAUSE_SECONDS)
        await asyncio.gather(*sending)

    fleet.run(run())


@behave.then('move orders: the published state is "{state}"')
def check_told(context, state):
    status = read_status(context)
    assert status["state"] == state, status
    assert status["target"] == "v2", status


def count_runs(context):
    return {
        name: len(worker.ran)
        for name, worker in context.fleet.workers.items()
        if name.startswith("plain")
    }


@behave.then("move orders: new requests run on {version:w} alone")
def check_version(context, version):
    fleet = context.fleet

    async def send_requests():
        # The other host learns the final state a moment later.
        await asyncio.sleep(1.0)
        before = count_runs(context)
        for number in range(20):
            answer = await fleet.send("/look/", host=number % 2)
            assert answer.status == 200, answer.status
        return before

    before = fleet.run(send_requests())
    grown = {
        name
        for name, runs in count_runs(context).items()
        if runs > before[name]
    }
    allowed = set(NEW_WORKERS)
    if version == "v1":
        allowed = set(before) - allowed
    assert grown and grown <= allowed, grown


@behave.then("move orders: no request was executed twice")
def check_once(context):
    for name, worker in context.fleet.workers.items():
        assert len(worker.ran) == len(set(worker.ran)), name
