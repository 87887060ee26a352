"""Steps on machine and store failures while payments run."""

import asyncio
import time
import uuid

import aiohttp
import behave

from features import environment
from testbed import callers
from testbed import machines
from testbed import reclaims

#: Deadline of the call; the hosts' timeouts in these fleets are short as well.
PAIR_DEADLINE_SECONDS = 2.0
PAIR_RULES = (
    "call service=entries-app operation=pay repeat=no "
    f"deadline={PAIR_DEADLINE_SECONDS:g}s  # asked by: a scenario\n"
)
PAIR_OPTIONS = {
    "engines_per_zone": 0,
    "relays": True,
    "settings": {
        "claim_timeout": 1.0,
        "claim_peer_timeout": 0.5,
        "platform_timeout": 1.0,
    },
}


@behave.given("a payment fleet with cuts")
def use_fleet_with_cuts(context):
    """Use the feature's shared fleet and restart its stopped hosts."""
    fleet = environment.use_shared_fleet(context, **PAIR_OPTIONS)
    for entry in fleet.entries:
        if not entry.running:
            fleet.start_entry(entry)
    fleet.wait_ready()
    apply_pair_rules(fleet)
    for entry in fleet.entries:
        machines.wait_until(
            lambda entry=entry: asyncio.run(pay_once(entry)),
            what=f"{entry.name} accepts payments",
        )


async def pay_once(entry) -> bool:
    """Return whether a host accepts a payment.

    After a cut or an outage in the previous scenario, a host tries the store
    only once per second.
    """
    async with aiohttp.ClientSession() as session:
        result = await callers.call_service(
            session,
            entry.address,
            "pay",
            request_id=uuid.uuid4().hex,
            body={"runner": "first"},
        )
    return result.status == 200


def apply_pair_rules(fleet):
    rules = fleet.entries[0].operate("GET", "/rules").json()
    if rules["text"] == PAIR_RULES:
        return
    reply = fleet.apply_rules(PAIR_RULES)
    revision = reply.json()["revision"]
    for entry in fleet.entries:
        machines.wait_until(
            lambda entry=entry: (
                entry.operate("GET", "/status").json()["revision"] >= revision
            ),
            what=f"revision {revision} on {entry.name}",
        )


@behave.given("the payments' store loses its next {count:d} replies")
def lose_replies(context, count):
    context.fleet.platform.set_faults(lose_answers=count)


@behave.given("the payments' store is down")
@behave.when("the payments' store goes down")
def stop_store(context):
    context.fleet.platform.set_faults(store_down=True)


@behave.when("the payments' store is up again")
def start_store(context):
    context.fleet.platform.set_faults(store_down=False)


@behave.given("the payments' store takes {seconds:g} seconds")
def slow_store(context, seconds):
    context.fleet.platform.set_faults(slow=seconds)


@behave.given("the payment's zone {number:d} is cut off")
@behave.when("the payment's zone {number:d} is cut off")
def cut_off_zone(context, number):
    context.fleet.cut_off(context.fleet.zones[number - 1])


@behave.when("the payment's zone is healed")
def heal_zone(context):
    context.fleet.heal()


@behave.when("the payment's host {number:d} is killed")
def kill_host(context, number):
    context.fleet.entries[number - 1].kill()


@behave.when("the payment's host {number:d} is restarted")
def restart_host(context, number):
    entry = context.fleet.entries[number - 1]
    context.fleet.start_entry(entry)
    machines.wait_until(entry.is_ready, what=f"{entry.name} is ready")


@behave.when(
    "the payment's host {number:d} is frozen past the call's deadline"
)
def freeze_host(context, number):
    entry = context.fleet.entries[number - 1]
    entry.freeze()
    time.sleep(PAIR_DEADLINE_SECONDS + 0.5)
    entry.thaw()
    context.payment.finish()


def reclaim(context, lost, seconds):
    """Reclaim machines in the background until the zone is gone."""
    fleet = context.fleet

    def record_executions(event, machine):
        if event == "kill" and machine in fleet.services:
            fleet.keep_executions(machine)

    context.reclaims = reclaims.Reclaims(
        fleet=fleet,
        waves=[reclaims.Wave(0.0, lost, seconds)],
        record=record_executions,
    )
    context.reclaims.start()


@behave.given("the payment's service in zone {number:d} refuses all calls")
def refuse_calls(context, number):
    context.fleet.services[number - 1].set_faults(say_not_run=100)


@behave.when(
    "the payment's zone {number:d} is reclaimed with a notice of {seconds:g} s"
)
def reclaim_zone(context, number, seconds):
    fleet = context.fleet
    lost = [fleet.entries[number - 1], fleet.services[number - 1]]
    reclaim(context, lost, seconds)


@behave.when(
    "the payment's host {number:d} is reclaimed with a notice of {seconds:g} s"
)
def reclaim_host(context, number, seconds):
    reclaim(context, [context.fleet.entries[number - 1]], seconds)


@behave.when("the payment's zone is gone")
def wait_until_gone(context):
    context.reclaims.wait()
