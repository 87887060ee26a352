"""Steps on leases: processes that want a role, and keepers in one process."""

import asyncio
import json
import pathlib
import random
import tempfile
import time

import behave

from buckthornhold.coordination import pause_detectors
from testbed import fleets
from testbed import holders
from testbed import machines
from testbed import roles as roles_bed

TTL = 1.5
FAST_TTL = 0.3


@behave.fixture
def run_holders(context, count):
    """Run a platform and some processes that want one role."""
    folder = tempfile.TemporaryDirectory()
    context.folder = pathlib.Path(folder.name)
    prefix = fleets.make_prefix()

    def make(kind, name, number, **kwargs):
        return kind(
            name=name,
            zone="",
            ip=f"{prefix}.{number}",
            log_path=context.folder / f"{name}.log",
            **kwargs,
        )

    platform = make(machines.StandInMachine, "platform", 1, port=7200)
    platform.start(
        "buckthornhold.standins.platforms", "--address", platform.address
    )
    machines.wait_until(platform.is_up, what="the platform is up")
    context.platform = platform
    context.holders = {
        f"holder-{number}": make(machines.Machine, f"holder-{number}", number)
        for number in range(2, 2 + count)
    }
    for name, machine in context.holders.items():
        machine.start(
            "testbed.holders",
            "--platform",
            platform.address,
            "--name",
            name,
            "--history",
            str(context.folder / f"{name}.jsonl"),
            "--ttl",
            str(TTL),
        )
    yield
    for machine in [*context.holders.values(), platform]:
        if machine.running:
            machine.thaw()
            machine.kill()
    folder.cleanup()


def read_history(context):
    return [
        line
        for path in sorted(context.folder.glob("*.jsonl"))
        for line in path.read_text().splitlines(keepends=True)
        if line.endswith("\n")
    ]


def find_last(context, kind="taken"):
    events = [json.loads(line) for line in read_history(context)]
    events = [event for event in events if event["kind"] == kind]
    return max(events, key=lambda it: it["time"], default=None)


def wait_for_holder(context, after):
    def check():
        last = find_last(context)
        return last is not None and last["fence"] > after

    machines.wait_until(check, timeout=10, what="the role is taken")
    context.taken = find_last(context)


@behave.given("leases with {count:d} processes that want one role")
def start_holders(context, count):
    behave.use_fixture(run_holders, context, count)
    wait_for_holder(context, 0)


@behave.when("leases: the holder is paused for longer than its lease")
def pause_holder(context):
    context.paused = context.holders[context.taken["holder"]]
    context.paused.freeze()


@behave.then("leases: another process takes the role meanwhile")
def check_taken(context):
    before = context.taken
    wait_for_holder(context, before["fence"])
    assert context.taken["holder"] != before["holder"], context.taken


@behave.when("leases: the paused process goes on")
def thaw_holder(context):
    context.paused.thaw()
    time.sleep(0.5)


@behave.when("leases: the holder is killed")
def kill_holder(context):
    context.holders[context.taken["holder"]].kill()


@behave.when("leases: the store loses answers and the holder is killed")
def lose_answers_and_kill(context):
    context.platform.set_faults(lose_answers=3)
    kill_holder(context)


@behave.when("leases: the store is down for longer than a lease")
def break_store(context):
    context.platform.set_faults(store_down=True)
    time.sleep(TTL + 0.5)


@behave.then("leases: nobody holds the role at the end of the outage")
def check_nobody(context):
    last = find_last(context, "acted")
    assert last["time"] < pause_detectors.read_boot_clock() - 0.5, last
    context.platform.set_faults(store_down=False)


@behave.then("leases: after the outage a process takes the role")
def check_taken_again(context):
    wait_for_holder(context, context.taken["fence"])


@behave.then(
    "leases: the history shows one holder at a time and rising numbers"
)
def check_holders(context):
    time.sleep(0.3)
    assert holders.check_holders(read_history(context)) == []


@behave.given(
    "leases with {count:d} keepers and {share:d}% of the answers lost, seed "
    "{seed:d}"
)
def make_keepers(context, count, share, seed):
    print("seed", seed)
    random.seed(seed)
    roles = context.roles = behave.use_fixture(roles_bed.run_roles, context)
    context.saved = roles.run(roles.call("GET", "/dump"))
    for number in range(count):
        roles.add_keeper(
            ttl=FAST_TTL, chance=share / 100, seed=1000 * seed + number
        )
    for keeper in roles.keepers:
        roles.run(keeper.start())


@behave.when("leases: they run for {count:d} leases on a fast clock")
def run_keepers(context, count):
    async def run():
        for _ in range(count * 10):
            believing = [
                it for it in roles.keepers if it.active_lease is not None
            ]
            context.counts.append(len(believing))
            for keeper in believing:
                roles.record("acted", keeper.name, keeper.active_lease.fence)
            await asyncio.sleep(FAST_TTL / 10)

    context.counts = []
    roles = context.roles
    roles.run(run())


@behave.then("leases: there were never two holders and the numbers rose")
def check_never_two(context):
    assert max(context.counts) == 1, max(context.counts)
    assert holders.check_holders(context.roles.history) == []


@behave.then("leases: the role was held for at least {percent:d}% of the time")
def check_held_share(context, percent):
    share = 100 * sum(context.counts) / len(context.counts)
    assert share >= percent, share


@behave.when("leases: a keeper takes the role and the answer to that is lost")
def lose_taking(context):
    async def do_nothing():
        pass

    context.first = context.roles.add_keeper(ttl=4 * FAST_TTL)
    store = context.first._store
    store._prefix = "leases/"
    store.next_write = "answer"
    store.after_loss = do_nothing
    context.roles.run(context.first.run_once())


@behave.then("leases: that keeper holds the role after one try")
def check_settled(context):
    assert context.first.active_lease is not None
    assert context.first._store.next_write == ""


@behave.when(
    "leases: a keeper has drawn its number and another holds and gives up"
)
def overtake(context):
    async def grant(ttl):
        await other.run_once()
        context.other_fence = other.active_lease.fence
        await other.release()
        return await granted(ttl)

    context.first = context.roles.add_keeper(ttl=4 * FAST_TTL)
    other = context.roles.add_keeper(ttl=4 * FAST_TTL)
    granted = context.first._store.grant_lease
    context.first._store.grant_lease = grant
    context.roles.run(context.first.run_once())


@behave.then(
    "leases: the first keeper is not the holder with the lower number"
)
def check_gave_way(context):
    assert context.first.active_lease is None, context.first.active_lease
    context.first._store.grant_lease = None


@behave.when(
    "leases: the store is restored to before the role was first taken"
)
def restore_roles(context):
    roles = context.roles
    keeper = roles.run(roles.wait_holder())
    context.fence = keeper.active_lease.fence
    roles.run(roles.call("POST", "/restore", context.saved))
    roles.platform._leases.clear()


@behave.then("leases: the role is taken again with a higher number")
def check_higher(context):
    async def wait():
        while True:
            keeper = await roles.wait_holder()
            if keeper.active_lease.fence > context.fence:
                return
            await asyncio.sleep(0.01)

    roles = context.roles
    roles.run(asyncio.wait_for(wait(), 4))


@behave.when("leases: the holder gives the role up")
def give_up(context):
    roles = context.roles
    context.first = roles.run(roles.wait_holder())
    context.until = context.first.active_lease.expires_at
    roles.run(context.first.stop())
    roles.run(context.first.release())


@behave.then("leases: the other takes it long before the lease would lapse")
def check_taken_early(context):
    roles = context.roles
    roles.run(roles.wait_holder(besides=(context.first,)))
    assert pause_detectors.read_boot_clock() < context.until
