"""Steps on relay hosts over a store that goes back to a copy."""

import asyncio
import time

import behave

from buckthornhold import rosters
from buckthornhold.coordination import store_eras
from testbed import relay_fleets

#: Time in which hosts register again and the role is taken, on a busy machine.
SETTLE_SECONDS = 15.0


@behave.fixture
def run_fleet(context, count):
    fleet = relay_fleets.RelayFleet(hosts=count)
    fleet.store.era = 0
    fleet.start()
    yield fleet
    fleet.stop()


def wait_for(fleet, check, seconds, what):
    async def wait():
        give_up_at = time.monotonic() + seconds
        while not check():
            assert time.monotonic() < give_up_at, what
            await asyncio.sleep(0.02)

    fleet.run(wait())


@behave.given("eras: {count:d} relay hosts over a store that names its era")
def start_fleet(context, count):
    fleet = context.fleet = behave.use_fixture(run_fleet, context, count)
    wait_for(
        fleet,
        lambda: any(host.duty.held for host in fleet.hosts),
        SETTLE_SECONDS,
        "a host holds the duties",
    )


def have_version(fleet):
    return all(
        host.configurations.version == fleet.version for host in fleet.hosts
    )


@behave.when(
    "eras: the store goes back to a copy without the newest configuration"
)
def restore(context):
    fleet = context.fleet
    state = fleet.store.copies.take()
    # All leases are of the lost seconds, and their ids are issued again.
    state["leases"] = {}
    state["next_lease"] = 1
    state["items"] = {
        key: item for key, item in state["items"].items() if not item["lease"]
    }
    fleet.configure()
    wait_for(fleet, lambda: have_version(fleet), 5.0, "it is in force")
    fleet.store.restore(state)


@behave.then("eras: the newest configuration stays in force at each host")
def check_stays(context):
    fleet = context.fleet
    wait_for(
        fleet,
        lambda: all(host.eras.current == 1 for host in fleet.hosts),
        SETTLE_SECONDS,
        "all hosts see the new era",
    )
    fleet.run(asyncio.sleep(0.5))
    assert have_version(fleet)


@behave.when("eras: the operator writes a configuration without the key")
def configure(context):
    context.fleet.configure(keys=("another",))


@behave.then("eras: it is in force at each host within {seconds:g} seconds")
def check_in_force(context, seconds):
    fleet = context.fleet
    wait_for(fleet, lambda: have_version(fleet), seconds, "it is in force")


@behave.then("eras: one host holds the duties with a token of the new era")
def check_duties(context):
    fleet = context.fleet

    def is_held():
        fences = [host.duty.fence for host in fleet.hosts if host.duty.held]
        return len(fences) == 1 and fences[0] > store_eras.FENCES_PER_ERA

    wait_for(fleet, is_held, SETTLE_SECONDS, "one host holds the duties")


@behave.then("eras: both hosts are in the roster under leases of the new era")
def check_roster(context):
    fleet = context.fleet

    def is_listed():
        items = [
            item
            for key, item in fleet.store.items.items()
            if key.startswith(rosters.PREFIX)
        ]
        leases = {item["lease"] for item in items}
        return len(leases) == len(fleet.hosts) and leases <= set(
            fleet.store._leases
        )

    wait_for(fleet, is_listed, SETTLE_SECONDS, "both are in the roster")
