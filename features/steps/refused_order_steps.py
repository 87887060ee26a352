"""Steps for orders of upstreams that the platform refuses."""

import asyncio
import base64
import collections
import time

import behave

from testbed import relay_fleets

SCALE = {
    "min": 2,
    "max": 6,
    "bootS": 1.0,
    "zonePrices": {"a": 1.0, "b": 1.0},
}
FENCE_KEY = "fences/duties"
START_SECONDS = 4.0
POLL_SECONDS = 0.05


@behave.fixture
def run_duty_fleet(context, hosts):
    fleet = relay_fleets.RelayFleet(hosts=hosts)
    fleet.start()
    yield fleet
    fleet.stop()


@behave.given(
    "duties: {count:d} relay hosts that order upstreams in the zones a and b"
)
def use_hosts(context, count):
    context.fleet = behave.use_fixture(run_duty_fleet, context, hosts=count)
    context.scale = SCALE


@behave.given(
    "duties: the price of reclaimable upstreams is {price} of the others'"
)
def set_price(context, price):
    if price != "no":
        context.scale = {**SCALE, "spotPrice": float(price)}


def list_orders(context, zone=""):
    return [
        call
        for call in context.fleet.cloud.calls
        if call.path == "/scale" and zone in ("", call.body["zone"])
    ]


async def wait_until(condition, seconds):
    """Return whether a condition holds within some seconds."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        if condition():
            return True
        await asyncio.sleep(POLL_SECONDS)
    return False


def begin_orders(context):
    """Let hosts order, and wait until one has."""
    fleet = context.fleet
    fleet.configure(scale=context.scale)
    started = fleet.run(
        wait_until(lambda: list_orders(context), START_SECONDS)
    )
    assert started, fleet.cloud.calls


@behave.when("duties: zone b has nothing to give for {seconds:g} seconds")
def dry_zone(context, seconds):
    context.fleet.cloud.dry_zones = {"b"}
    begin_orders(context)
    context.fleet.run(asyncio.sleep(seconds))


@behave.when(
    "duties: the fencing token was raised by {count:d} for orders in zone "
    "{zone}"
)
def raise_fence(context, count, zone):
    fleet = context.fleet
    if not list_orders(context):
        begin_orders(context)
    fence = fleet.cloud.calls[-1].fence + count
    fleet.store._put(FENCE_KEY, base64.b64encode(b"%d" % fence).decode(), 0)
    subject = f"/scale {relay_fleets.MODEL_SERVICE} {zone}"
    fleet.cloud.fences[subject] = fence
    context.raised_to = fence
    context.raised_at = time.monotonic()
    # Another order is due there: nothing of the service is listed.
    for name in [it for it in fleet.workers if it.startswith("model")]:
        fleet.store.remove(f"servers/{name}")


@behave.then("duties: one host made all calls, under one fencing token")
def check_one_holder(context):
    calls = context.fleet.cloud.calls
    holders = {(call.holder, call.fence) for call in calls}
    assert len(holders) == 1, holders


@behave.then("duties: the usage of each window was reported")
def check_usage(context):
    windows = sorted(context.fleet.cloud.usage)
    expected = list(range(windows[0], windows[-1] + 1))
    assert windows == expected, windows
    assert len(windows) >= 5, windows


@behave.then("duties: at most {count:d} orders of each kind were refused")
def check_refused_orders(context, count):
    refused = collections.Counter(
        bool(it.body.get("spot"))
        for it in list_orders(context)
        if it.status == 409
    )
    assert refused, context.fleet.cloud.calls
    assert max(refused.values()) <= count, refused


@behave.then("duties: at most {count:d} calls were refused")
def check_refused_calls(context, count):
    refused = [
        it
        for it in context.fleet.cloud.calls
        if it.status == 409 and it.at >= context.raised_at
    ]
    assert len(refused) <= count, refused


@behave.then(
    "duties: zone b is asked again within {seconds:g} seconds of having some"
)
def check_asked_again(context, seconds):
    context.fleet.cloud.dry_zones = set()
    asked = context.fleet.run(
        wait_until(
            lambda: any(
                it.status == 200 and it.body["zone"] == "b"
                for it in list_orders(context)
            ),
            seconds,
        )
    )
    assert asked, list_orders(context)


@behave.then(
    "duties: orders are taken under a higher token within {seconds:g} seconds "
    "of the refusal"
)
def check_taken(context, seconds):
    refused = context.fleet.run(
        wait_until(
            lambda: any(
                it.status == 409 and it.at >= context.raised_at
                for it in list_orders(context)
            ),
            START_SECONDS,
        )
    )
    assert refused, context.fleet.cloud.calls
    taken = context.fleet.run(
        wait_until(
            lambda: any(
                it.status == 200 and it.fence > context.raised_to
                for it in list_orders(context)
            ),
            seconds,
        )
    )
    assert taken, context.fleet.cloud.calls


@behave.when("duties: the answers to {count:d} orders are lost")
def lose_answers(context, count):
    context.fleet.cloud.lost_answers = count
    begin_orders(context)
    context.fleet.run(
        wait_until(lambda: not context.fleet.cloud.lost_answers, START_SECONDS)
    )
    context.lost = count


@behave.then("duties: orders are repeated until they are answered")
def check_repeated(context):
    repeated = context.fleet.run(
        wait_until(
            lambda: len(list_orders(context)) > context.lost, START_SECONDS
        )
    )
    assert repeated, list_orders(context)
