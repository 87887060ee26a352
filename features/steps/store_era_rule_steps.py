"""Steps on rules in a store that goes back to a copy."""

import asyncio

import behave

from buckthornhold.coordination import revisions

#: Workspaces whose rules are added before the copy, after it, and as the
#: store goes back.
EARLY, LOST, LAST = "early", "lost", "last"


@behave.when(
    "eras: rules are changed and the store goes back {when} write {write:d}"
)
def change_rules(context, when, write):
    agreed = context.agreed
    platform = agreed.platform
    host = agreed.hosts[0]
    # The first write keeps the replaced revision, the second commits.
    put = host.store.put
    writes = []

    async def put_and_restore(key, value, **kwargs):
        writes.append(key)
        due = len(writes) == write
        if due and when == "before":
            platform.restore_state(context.copy)
        result = await put(key, value, **kwargs)
        if due and when == "after":
            platform.restore_state(context.copy)
        return result

    async def run():
        await agreed.add(host, EARLY, 1)
        platform._era = 0
        context.copy = platform.copies.take()
        context.accepted = [EARLY, LOST]
        result = await agreed.add(host, LOST, 2)
        assert isinstance(result, revisions.Revision), result
        # The others know the accepted change when the store loses it.
        await agreed.wait_until(all_know, "all hosts know")
        host.store.put = put_and_restore
        result = await agreed.add(host, LAST, 3)
        if isinstance(result, revisions.Revision):
            context.accepted.append(LAST)

    async def all_know():
        numbers = {it.revisions.current.number for it in agreed.hosts}
        return len(numbers) == 1

    agreed.run(run())
    assert platform._era == 1, "the store did not go back"


@behave.then("eras: hosts and store soon hold all accepted changes")
def check_rules(context):
    agreed = context.agreed

    async def holds_all():
        texts = [it.revisions.current.text for it in agreed.hosts]
        texts.append(await agreed.read_text())
        return all(
            f"workspace={name} " in text
            for name in context.accepted
            for text in texts
        )

    async def run():
        await agreed.wait_until(holds_all, f"all hold {context.accepted}")
        # They keep them.
        await asyncio.sleep(0.5)
        assert await holds_all()
        assert len({it.revisions.current for it in agreed.hosts}) == 1

    agreed.run(run())
