"""Steps for fleets that order upstream hosts from the cloud."""

import asyncio
import json
import pathlib
import time

import aiohttp
import behave

from features import environment
from features.steps import tool_steps
from testbed import callers
from testbed import machines
from testbed import spares

HOST_LOAD = 4
MAX_HOSTS = 9
STREAMS = 9
STREAM_TOKENS = 400
MODEL_VERSION = "race-desk-llm@v1"


@behave.given("a fleet with {count:d} engines and spare hosts in each zone")
def use_spare_fleet(context, count):
    environment.use_fresh_fleet(
        context,
        kind=spares.SpareFleet,
        engines_per_zone=count // 3,
        services_per_zone=0,
        settings=spares.SETTINGS,
    )


def apply(context, *, least, most=MAX_HOSTS):
    text = pathlib.Path("testbed/fleet.rules").read_text()
    rule = spares.RULE.format(load=HOST_LOAD, least=least, most=most)
    for entry in context.fleet.entries:
        reply = entry.operate("PUT", "/rules", {"text": text + rule})
        if reply.status == 200:
            return
    raise AssertionError(reply)


def list_serving(context):
    listing = context.fleet.platform.get("/hosts")
    return [
        host
        for host in listing["hosts"]
        if MODEL_VERSION in host["serves"] and host.get("state") != "leaving"
    ]


def list_cloud_history(context, kind):
    return [
        event
        for event in context.fleet.platform.get("/cloud/history")
        if event["what"] == kind
    ]


def find_holder(context, besides=None):
    """Return the entry host that holds the ordering lease in the store."""
    reply = machines.call(
        "GET", context.fleet.platform.address, "/kv/leases/hosts"
    )
    value = reply.json().get("value")
    if not value:
        return None
    name = json.loads(value)["holder"].partition("/")[0]
    for entry in context.fleet.entries:
        if entry.name == name and entry is not besides:
            return entry
    return None


def wait_holder(context, besides=None):
    return machines.wait_until(
        lambda: find_holder(context, besides), what="a host orders"
    )


def wait_serving(context, count):
    machines.wait_until(
        lambda: len(list_serving(context)) == count,
        what=f"{count} hosts serve",
    )
    # Excess orders would show up in the next rounds.
    time.sleep(5 * spares.SETTINGS["provision_interval"])
    serving = list_serving(context)
    assert len(serving) == count, [host["host"] for host in serving]
    return serving


@behave.when("the rules ask for at least {count:d} hosts")
def ask_at_least(context, count):
    if hasattr(context, "asked"):
        wait_serving(context, context.asked)
    apply(context, least=count)
    context.asked = count


@behave.when("the rules ask for at most {count:d} hosts")
def ask_at_most(context, count):
    apply(context, least=1, most=count)


@behave.then(
    "{count:d} hosts serve, and the cloud had {orders:d} orders of "
    "reclaimable hosts"
)
def check_cheapest_orders(context, count, orders):
    wait_serving(context, count)
    found = [event["host"] for event in list_cloud_history(context, "ordered")]
    assert len(found) == orders, found
    assert all("reclaimable" in host for host in found), found


@behave.then(
    "{count:d} hosts serve, and the cloud had {orders:d} orders in {zone}"
)
def check_orders_in_zone(context, count, orders, zone):
    wait_serving(context, count)
    found = [event["host"] for event in list_cloud_history(context, "ordered")]
    assert len(found) == orders, found
    assert all(zone in host for host in found), found


@behave.then("{count:d} hosts serve, and the cloud had {orders:d} orders")
def check_orders(context, count, orders):
    wait_serving(context, count)
    found = list_cloud_history(context, "ordered")
    assert len(found) == orders, found
    assert len({event["order_id"] for event in found}) == orders, found


@behave.then("the version is served by the hosts that were ordered")
def check_served(context):
    chats = asyncio.run(run_streams(context, STREAMS, 20))
    assert all(chat.whole for chat in chats), chats
    ordered = {
        event["host"] for event in list_cloud_history(context, "ordered")
    }
    used = [
        spare.name
        for spare in context.fleet.spares
        if spare.name in ordered and spare.get("/executions")
    ]
    assert used, ordered


async def run_streams(context, count, tokens, act=None):
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        running = [
            asyncio.create_task(
                callers.stream_chat(
                    session,
                    context.fleet.entries[number % 3].address,
                    request_id=f"stream-{number}-{tokens}",
                    prompt=f"heat {number}",
                    max_tokens=tokens,
                )
            )
            for number in range(count)
        ]
        if act is not None:
            await asyncio.to_thread(act)
        return await asyncio.gather(*running)


@behave.when("the cloud refuses starts in {first} and {second}")
def refuse_zones(context, first, second):
    context.fleet.platform.set_faults(refused_zones=[first, second])


@behave.when("the platform loses the responses to its next {count:d} writes")
def lose_answers(context, count):
    apply(context, least=1)
    wait_holder(context)
    context.fleet.platform.set_faults(lose_answers=count)


@behave.when(
    "the cloud accepts no orders and the rules ask for at least {count:d} "
    "hosts"
)
def ask_without_cloud(context, count):
    context.fleet.platform.set_faults(orders_down=True)
    apply(context, least=count)
    machines.wait_until(
        lambda: list_ordered(context), what="orders are recorded"
    )


def list_ordered(context):
    reply = machines.call(
        "GET",
        context.fleet.platform.address,
        f"/kv/provisions/{MODEL_VERSION}",
    )
    return json.loads(reply.json()["value"] or "[]")


@behave.when("the ordering host is killed with its orders recorded")
def kill_holder(context):
    assert not list_cloud_history(context, "ordered")
    context.killed = wait_holder(context)
    context.killed.kill()


@behave.when("the cloud accepts orders again")
def restore_cloud(context):
    wait_holder(context, besides=context.killed)
    context.fleet.platform.set_faults(orders_down=False)


@behave.when("the ordering host is frozen until another has taken over")
def freeze_holder(context):
    wait_serving(context, context.asked)
    context.frozen = wait_holder(context)
    context.frozen.freeze()
    wait_holder(context, besides=context.frozen)


@behave.when("the frozen host resumes")
def thaw_holder(context):
    context.frozen.thaw()


@behave.when("the store goes down and an ordered host is reclaimed")
def reclaim_without_store(context):
    wait_serving(context, context.asked)
    context.fleet.platform.set_faults(store_down=True)
    ordered = list_cloud_history(context, "ordered")[0]["host"]
    spare = next(host for host in context.fleet.spares if host.name == ordered)
    context.fleet.unlist_host(spare)
    spare.kill()


@behave.then("no host is ordered for {seconds:d} seconds")
def check_nothing_ordered(context, seconds):
    before = len(list_cloud_history(context, "ordered"))
    time.sleep(seconds)
    assert len(list_cloud_history(context, "ordered")) == before


@behave.when("the store is back")
def restore_store(context):
    context.fleet.platform.set_faults(store_down=False)


@behave.when("the rules ask for at least {count:d} hosts while streams run")
def ask_less(context, count):
    wait_serving(context, context.asked)
    context.chats = asyncio.run(
        run_streams(
            context,
            STREAMS,
            STREAM_TOKENS,
            lambda: apply(context, least=count),
        )
    )


@behave.then(
    "{count:d} hosts serve, and the cloud had {released:d} releases of hosts "
    "it had started"
)
def check_releases(context, count, released):
    wait_serving(context, count)
    found = [
        event["host"] for event in list_cloud_history(context, "released")
    ]
    ordered = [
        event["host"] for event in list_cloud_history(context, "ordered")
    ]
    assert sorted(found) == sorted(ordered), (found, ordered)
    assert len(found) == released, found


@behave.then("each stream was whole")
def check_whole(context):
    assert all(chat.whole for chat in context.chats), context.chats


def list_serving_in(context, zone):
    """Wait for all requested hosts; return a zone's serving machines."""
    serving = wait_serving(context, context.asked)
    names = {host["host"] for host in serving if host["zone"] == zone}
    fleet = context.fleet
    found = [
        machine
        for machine in [*fleet.engines, *fleet.spares]
        if machine.name in names
    ]
    assert found
    return found


@behave.when("the platform goes down and the ordering host is killed")
def kill_holder_in_outage(context):
    context.lost = list_serving_in(context, "zone-a")
    holder = wait_holder(context)
    context.fleet.platform.set_faults(
        store_down=True, cloud_down=True, list_down=True
    )
    holder.kill()


@behave.when("the hosts of zone-a are lost")
def lose_hosts(context):
    context.fleet.platform.set_faults(refused_zones=["zone-a"])
    for machine in context.lost:
        context.fleet.unlist_host(machine)
        machine.kill()


@behave.when("the platform is back")
def restore_platform(context):
    context.fleet.platform.set_faults(
        store_down=False, cloud_down=False, list_down=False
    )
    lost = {machine.name for machine in context.lost}
    machines.wait_until(
        lambda: not lost & {host["host"] for host in list_serving(context)},
        what="the lost hosts are off the list",
    )


@behave.then("each order of the cloud is for a different host")
def check_orders_differ(context):
    found = [event["host"] for event in list_cloud_history(context, "ordered")]
    assert len(set(found)) == len(found), found


@behave.when("the hosts of {zone} get notice of {seconds:d} seconds")
def give_zone_notice(context, zone, seconds):
    fleet = context.fleet
    leaving = list_serving_in(context, zone)
    fleet.platform.set_faults(refused_zones=[zone])
    for machine in leaving:
        fleet.give_notice(machine, seconds)
    time.sleep(seconds)
    for machine in leaving:
        fleet.unlist_host(machine)
        machine.kill()


@behave.then("{count:d} hosts serve in {first} and {second} alone")
def check_serving_zones(context, count, first, second):
    serving = wait_serving(context, count)
    assert {host["zone"] for host in serving} == {first, second}, serving


@behave.when("an engine reports {count:d} requests")
def report_wrongly(context, count):
    context.fleet.engines[0].set_faults(reported_queue=count)


@behave.then("the tool shows the ordered hosts and who ordered them")
def check_tool_shows(context):
    holder = wait_holder(context)
    output = tool_steps.run_tool(context, "capacity", entry=1)
    assert f"hosts are ordered by {holder.name}" in output, output
    for ordered in list_cloud_history(context, "ordered"):
        assert ordered["host"] in output, output
    assert output.count("listed") == 2, output
