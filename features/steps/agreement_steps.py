"""Steps for concurrent changes of several hosts in one process."""

import asyncio
import json
import random

import behave

from buckthornhold import reasons
from buckthornhold.coordination import revisions
from testbed import agreements
from testbed import change_histories


@behave.fixture
def run_agreement(context, count):
    agreement = agreements.Agreement(count)
    yield agreement
    agreement.stop()


@behave.given("agreement among {count:d} hosts on one store")
def make_agreement(context, count):
    context.agreed = behave.use_fixture(run_agreement, context, count)


@behave.when(
    "agreement: two operators change different rules of one base at once"
)
def race_different(context):
    race(context, ["booth", "desk"])


@behave.when(
    "agreement: two operators change the same rule of one base at once"
)
def race_same(context):
    race(context, ["booth", "booth"])


def race(context, workspaces):
    async def run():
        base = agreed.hosts[0].revisions.current
        return await asyncio.gather(
            *[
                agreed.add(agreed.hosts[number], workspace, number + 5, base)
                for number, workspace in enumerate(workspaces)
            ]
        )

    agreed = context.agreed
    context.results = agreed.run(run())


def is_accepted(result):
    return isinstance(result, revisions.Revision)


@behave.then("agreement: both changes are accepted")
def check_both(context):
    assert all(is_accepted(result) for result in context.results), (
        context.results
    )
    numbers = {revision.number for revision in context.results}
    assert len(numbers) == 2, numbers


@behave.then("agreement: the store holds both changes")
def check_both_held(context):
    text = context.agreed.run(context.agreed.read_text())
    for workspace in ("base", "booth", "desk"):
        assert f"workspace={workspace} " in text, text


@behave.then("agreement: one change is accepted")
def check_one(context):
    accepted = [result for result in context.results if is_accepted(result)]
    assert len(accepted) == 1, context.results


@behave.then('agreement: the other is refused as "{reason}" naming that rule')
def check_conflict(context, reason):
    (refused,) = [
        result for result in context.results if not is_accepted(result)
    ]
    assert refused.reason.value == reason, refused
    assert refused.ran is reasons.Ran.NO
    (conflict,) = refused.conflicts
    assert conflict.key == "limit workspace=booth"
    assert conflict.base == ()
    assert conflict.theirs != conflict.mine


@behave.when(
    "agreement: an operator adds a rule to a base that is {count:d} "
    "revisions old"
)
def add_to_old(context, count):
    async def run():
        base = agreed.hosts[0].revisions.current
        for number in range(count):
            await agreed.add(agreed.hosts[0], f"new-{number}", 2)
        return await agreed.add(agreed.hosts[1], f"new-{count}", 2, base)

    agreed = context.agreed
    assert is_accepted(agreed.run(run()))


@behave.then("agreement: the store holds all {count:d} changes")
def check_all_held(context, count):
    text = context.agreed.run(context.agreed.read_text())
    for number in range(count):
        assert f"workspace=new-{number} " in text, text


@behave.when("agreement: an operator proposes the current text once more")
def propose_same(context):
    host = context.agreed.hosts[0]
    context.number = host.revisions.current.number
    context.result = context.agreed.run(
        host.changes.propose(
            host.revisions.current.text, who="ann", base=context.number
        )
    )


@behave.then("agreement: it is accepted without a new revision")
def check_unchanged(context):
    assert context.result.number == context.number, context.result


@behave.given(
    "agreement: the store loses the responses of the next {count:d} writes"
)
def lose_answers(context, count):
    agreed = context.agreed
    agreed.run(agreed.call("POST", "/faults", {"lose_answers": count}))


@behave.given("agreement: the store is down")
def set_down(context):
    for host in context.agreed.hosts:
        host.store.down = True


@behave.given(
    "agreement: the store goes down when it has {fate} the next commit"
)
def set_fate(context, fate):
    fates = {"taken": "answer", "lost": "lose"}
    context.agreed.hosts[0].store.next_write = fates[fate]


@behave.when("agreement: the store is back")
def set_up(context):
    for host in context.agreed.hosts:
        host.store.down = False


@behave.when("agreement: an operator adds a rule")
def add_rule(context):
    agreed = context.agreed
    context.number = agreed.hosts[0].revisions.current.number
    context.result = agreed.run(agreed.add(agreed.hosts[0], "booth", 3))


@behave.then("agreement: it is accepted and committed once")
def check_committed_once(context):
    assert is_accepted(context.result), context.result
    assert context.result.number == context.number + 1, context.result
    text = context.agreed.run(context.agreed.read_text())
    assert text.count("workspace=booth ") == 1, text


@behave.then('agreement: it is refused as "{reason}" with ran "{ran}"')
def check_refused(context, reason, ran):
    assert context.result.reason.value == reason, context.result
    assert context.result.ran.value == ran, context.result


@behave.then("agreement: the store does not hold that change")
def check_not_held(context):
    set_up(context)
    text = context.agreed.run(context.agreed.read_text())
    assert "workspace=booth " not in text, text


def look_up(context):
    host = context.agreed.hosts[1]
    change_id = context.result.change_id
    return context.agreed.run(host.changes.look_up(change_id))


@behave.then("agreement: a lookup on another host finds the change")
def check_found(context):
    assert look_up(context) == context.number + 1


@behave.then("agreement: a lookup on another host does not find the change")
def check_not_found(context):
    found = look_up(context)
    assert found.reason is reasons.Reason.CHANGE_NOT_FOUND, found
    assert found.ran is reasons.Ran.NO


@behave.when("agreement: the lost commit reaches the store late")
def write_late(context):
    (write,) = context.agreed.hosts[0].store.held
    context.late = context.agreed.run(write())
    assert context.late.reason is reasons.Reason.STORE_CONFLICT, context.late


@behave.given(
    "agreement: the next response is lost and the same rule changed again"
)
def lose_and_change(context):
    async def change_again():
        await agreed.add(agreed.hosts[1], "booth", 77)

    agreed = context.agreed
    agreed.hosts[0].store.next_write = "answer"
    agreed.hosts[0].store.after_loss = change_again


@behave.given("agreement: the next commit is lost and the same rule changed")
def lose_commit_and_change(context):
    lose_and_change(context)
    context.agreed.hosts[0].store.next_write = "lose"


@behave.given(
    "agreement: the store goes down when it has taken the next commit, which "
    "a peer reports"
)
def lose_and_receive_from_peer(context):
    async def receive():
        body = await agreed.read_entry()
        host.revisions.apply_if_newer(revisions.load_revision(body["value"]))
        host.store.down = True

    agreed = context.agreed
    host = agreed.hosts[0]
    host.store.next_write = "answer"
    host.store.after_loss = receive


@behave.then("agreement: the store holds the other operator's change")
def check_other_held(context):
    text = context.agreed.run(context.agreed.read_text())
    assert "workspace=booth rate=77/s" in text, text


@behave.given("agreement: the first host tries each change only once")
def allow_one_try(context):
    agreed = context.agreed
    hurried = agreed.make_host("hurried", timeout=0.0)
    agreed.run(hurried.revisions.refresh())
    agreed.run(agreed.hosts[0].revisions.stop())
    agreed.hosts[0] = hurried


@behave.then(
    "agreement: it is accepted as the revision before the current one"
)
def check_overtaken(context):
    agreed = context.agreed
    assert is_accepted(context.result), context.result
    assert context.result.number == context.number + 1, context.result
    text = agreed.run(agreed.read_text())
    assert "workspace=booth rate=77/s" in text, text


@behave.when(
    "agreement: {count:d} operators make {changes:d} changes each with seed "
    "{seed:d}"
)
def race_many(context, count, changes, seed):
    async def operate(number):
        chance = random.Random(f"{seed}/{number}")
        host = agreed.make_host(f"op-{number}", chance=0.3, seed=seed + number)
        await host.revisions.refresh()
        for turn in range(changes):
            change = f"{number}-{turn}"
            own = chance.random() < 0.6
            workspace = change if own else f"shared-{chance.randrange(4)}"
            rate = 100 * number + turn + 1
            line = agreements.LIMIT.format(workspace, rate, host.name)
            base = host.revisions.current
            lines = [
                existing
                for existing in base.text.splitlines()
                if f"workspace={workspace} " not in existing
            ]
            result = await host.changes.propose(
                "\n".join([*lines, line]) + "\n",
                who=host.name,
                base=base.number,
            )
            await record(host, change, line, own, result)
            await host.revisions.refresh()

    async def record(host, change, line, own, result):
        outcome = "accepted" if is_accepted(result) else "refused"
        if outcome == "refused" and result.ran is not reasons.Ran.NO:
            outcome = "unknown"
        context.outcomes.append(outcome)
        if not own and outcome == "accepted":
            return
        agreed.history.append(
            {"kind": "proposed", "change": change, "line": line}
        )
        agreed.history.append(
            {"kind": "answered", "change": change, "outcome": outcome}
        )
        if outcome != "unknown":
            return
        found = await host.changes.look_up(result.change_id)
        known = isinstance(found, int) or found.ran is reasons.Ran.NO
        agreed.history.append(
            {
                "kind": "looked_up",
                "change": change,
                "found": isinstance(found, int) if known else None,
            }
        )

    async def run():
        await asyncio.gather(*[operate(number) for number in range(count)])
        text = await agreed.read_text()
        agreed.history.append({"kind": "final", "text": text})

    print("seed", seed)
    context.outcomes = []
    agreed = context.agreed
    agreed.run(run())


@behave.then(
    "agreement: the history shows no lost and no falsely reported change"
)
def check_race(context):
    lines = [json.dumps(event) for event in context.agreed.history]
    assert change_histories.check_history(lines) == []
    counts = {
        outcome: context.outcomes.count(outcome)
        for outcome in context.outcomes
    }
    assert counts.get("accepted", 0) > len(context.outcomes) / 2, counts
    assert counts.get("unknown", 0) == 0, counts
