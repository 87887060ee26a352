"""Steps on leases: candidate processes, and electors in one process."""

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

TTL_SECONDS = 1.5
SHORT_TTL_SECONDS = 0.3


@behave.fixture
def run_holders(context, count):
    """Run a platform and processes that compete for one role."""
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
            str(TTL_SECONDS),
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
    return max(events, key=lambda event: event["time"], default=None)


def wait_for_holder(context, after):
    def check():
        last = find_last(context)
        return last is not None and last["fence"] > after

    machines.wait_until(check, timeout=10, what="the role is acquired")
    context.acquired = find_last(context)


@behave.given("leases with {count:d} processes that compete for one role")
def start_holders(context, count):
    behave.use_fixture(run_holders, context, count)
    wait_for_holder(context, 0)


@behave.when("leases: the holder is paused for longer than its lease")
def pause_holder(context):
    context.paused = context.holders[context.acquired["holder"]]
    context.paused.freeze()


@behave.then("leases: another process acquires the role")
def check_acquired(context):
    before = context.acquired
    wait_for_holder(context, before["fence"])
    assert context.acquired["holder"] != before["holder"], context.acquired


@behave.when("leases: the paused process resumes")
def thaw_holder(context):
    context.paused.thaw()
    time.sleep(0.5)


@behave.when("leases: the holder is killed")
def kill_holder(context):
    context.holders[context.acquired["holder"]].kill()


@behave.when("leases: the store's replies are lost and the holder is killed")
def lose_replies_and_kill(context):
    context.platform.set_faults(lose_answers=3)
    kill_holder(context)


@behave.when("leases: the store is down for longer than a lease")
def break_store(context):
    context.platform.set_faults(store_down=True)
    time.sleep(TTL_SECONDS + 0.5)


@behave.then("leases: nobody holds the role at the end of the outage")
def check_no_holder(context):
    last = find_last(context, "acted")
    assert last["time"] < pause_detectors.read_boot_clock() - 0.5, last
    context.platform.set_faults(store_down=False)


@behave.then("leases: after the outage a process acquires the role")
def check_acquired_again(context):
    wait_for_holder(context, context.acquired["fence"])


@behave.then(
    "leases: the history shows one holder at a time and increasing tokens"
)
def check_holders(context):
    time.sleep(0.3)
    assert holders.check_holders(read_history(context)) == []


@behave.given(
    "leases with {count:d} electors and {share:d}% of the replies lost, seed "
    "{seed:d}"
)
def make_electors(context, count, share, seed):
    print("seed", seed)
    random.seed(seed)
    roles = context.roles = behave.use_fixture(roles_bed.run_roles, context)
    context.saved = roles.run(roles.call("GET", "/dump"))
    for number in range(count):
        roles.add_keeper(
            ttl=SHORT_TTL_SECONDS,
            chance=share / 100,
            seed=1000 * seed + number,
        )
    for elector in roles.keepers:
        roles.run(elector.start())


@behave.when("leases: they run for {count:d} short lease TTLs")
def run_electors(context, count):
    async def run():
        for _ in range(count * 10):
            holding = [
                candidate
                for candidate in roles.keepers
                if candidate.active_lease is not None
            ]
            context.counts.append(len(holding))
            for elector in holding:
                roles.record("acted", elector.name, elector.active_lease.fence)
            await asyncio.sleep(SHORT_TTL_SECONDS / 10)

    context.counts = []
    roles = context.roles
    roles.run(run())


@behave.then("leases: there were never two holders and the tokens increased")
def check_single_holder(context):
    assert max(context.counts) == 1, max(context.counts)
    assert holders.check_holders(context.roles.history) == []


@behave.then("leases: the role was held for at least {percent:d}% of the time")
def check_held_share(context, percent):
    share = 100 * sum(context.counts) / len(context.counts)
    assert share >= percent, share


@behave.when("leases: an elector acquires the role and the reply is lost")
def lose_acquisition_reply(context):
    async def do_nothing():
        pass

    context.first = context.roles.add_keeper(ttl=4 * SHORT_TTL_SECONDS)
    store = context.first._store
    store._prefix = "leases/"
    store.next_write = "answer"
    store.after_loss = do_nothing
    context.roles.run(context.first.run_once())


@behave.then("leases: that elector holds the role after one attempt")
def check_resolved(context):
    assert context.first.active_lease is not None
    assert context.first._store.next_write == ""


@behave.when(
    "leases: an elector has a token and another acquires and releases the role"
)
def overtake(context):
    async def grant(ttl):
        await other.run_once()
        context.other_fence = other.active_lease.fence
        await other.release()
        return await granted(ttl)

    context.first = context.roles.add_keeper(ttl=4 * SHORT_TTL_SECONDS)
    other = context.roles.add_keeper(ttl=4 * SHORT_TTL_SECONDS)
    granted = context.first._store.grant_lease
    context.first._store.grant_lease = grant
    context.roles.run(context.first.run_once())


@behave.then(
    "leases: the first elector does not hold the role with the lower token"
)
def check_not_holder(context):
    assert context.first.active_lease is None, context.first.active_lease
    context.first._store.grant_lease = None


@behave.when(
    "leases: the store is restored to before the role was first acquired"
)
def restore_roles(context):
    roles = context.roles
    elector = roles.run(roles.wait_holder())
    context.fence = elector.active_lease.fence
    roles.run(roles.call("POST", "/restore", context.saved))
    roles.platform._leases.clear()


@behave.then("leases: the role is acquired again with a higher token")
def check_higher(context):
    async def wait():
        while True:
            elector = await roles.wait_holder()
            if elector.active_lease.fence > context.fence:
                return
            await asyncio.sleep(0.01)

    roles = context.roles
    roles.run(asyncio.wait_for(wait(), 4))


@behave.when("leases: the holder releases the role")
def release_role(context):
    roles = context.roles
    context.first = roles.run(roles.wait_holder())
    context.until = context.first.active_lease.expires_at
    roles.run(context.first.stop())
    roles.run(context.first.release())


@behave.then(
    "leases: the other acquires it well before the lease would expire"
)
def check_acquired_early(context):
    roles = context.roles
    roles.run(roles.wait_holder(besides=(context.first,)))
    assert pause_detectors.read_boot_clock() < context.until
