"""Steps for a store that is restored from an older backup."""

import asyncio
import json

import behave

from buckthornhold.coordination import revisions
from testbed import change_histories


@behave.given("agreement: the store was backed up {count:d} changes ago")
def save_store(context, count):
    async def run():
        context.saved = await agreed.call("GET", "/dump")
        for number in range(count):
            await agreed.add(agreed.hosts[0], f"new-{number}", 2)
        await agreed.wait_until(all_know, "all hosts know")

    async def all_know():
        numbers = {host.revisions.current.number for host in agreed.hosts}
        return len(numbers) == 1

    agreed = context.agreed
    agreed.run(run())


@behave.when("agreement: the store is restored from the backup")
def restore_store(context):
    agreed = context.agreed
    for host in agreed.hosts:
        host.store.down = True
    agreed.run(agreed.call("POST", "/restore", context.saved))


@behave.when("agreement: a fresh host adds a rule to it")
def add_by_fresh(context):
    change_by_fresh(context, "fresh")


@behave.when("agreement: a fresh host changes that rule")
def change_known_rule(context):
    change_by_fresh(context, "new-0")


def change_by_fresh(context, workspace):
    async def run():
        fresh = agreed.make_host("fresh")
        result = await agreed.add(fresh, workspace, 9)
        agreed.hosts.append(fresh)
        await fresh.revisions.start()
        return result

    agreed = context.agreed
    result = agreed.run(run())
    assert isinstance(result, revisions.Revision), result


def wait_restored(context, wanted):
    """Bring the store up and wait until it holds the wanted rules."""

    async def run():
        for host in agreed.hosts:
            host.store.down = False
        await agreed.wait_until(holds_all, wanted)
        await agreed.wait_until(all_know, "all hosts know")
        await asyncio.sleep(0.3)

    async def holds_all():
        text = await agreed.read_text()
        return all(f"workspace={rule} " in text for rule in wanted)

    async def all_know():
        numbers = {host.revisions.current.number for host in agreed.hosts}
        return len(numbers) == 1

    agreed = context.agreed
    agreed.run(run())


@behave.then("agreement: the hosts repair it and no host's revision falls")
def check_repaired(context):
    wait_restored(context, ["base", "new-0", "new-1", "new-2"])
    check_rising(context)


def check_rising(context):
    lines = [json.dumps(event) for event in context.agreed.history]
    lines.append(json.dumps({"kind": "final", "text": ""}))
    adopted = [
        json.dumps(event)
        for event in context.agreed.history
        if event["host"] != "fresh"
    ]
    assert change_histories.check_history([*adopted, lines[-1]]) == []


@behave.then(
    "agreement: the store eventually holds all changes in a newer revision"
)
def check_merged(context):
    wait_restored(context, ["base", "new-0", "new-1", "new-2", "fresh"])
    check_rising(context)


@behave.then(
    "agreement: the newest accepted rule stays and the loss is counted"
)
def check_loss(context):
    wait_restored(context, ["base", "new-0 rate=2/s"])
    lost = sum(host.count("changes_lost") for host in context.agreed.hosts)
    assert lost > 0
    check_rising(context)


@behave.then("agreement: all hosts hold the same revision")
def check_same_revision(context):
    held = {host.revisions.current.change_id for host in context.agreed.hosts}
    assert len(held) == 1, held
