"""Steps on claims in a store that goes back to a copy."""

import asyncio
import time
import unittest.mock

import behave

from buckthornhold import reasons
from buckthornhold.coordination import claim_records
from buckthornhold.coordination import claim_writers
from features.steps import at_most_once_log_steps

ClaimState = claim_records.ClaimState
REWRITE_SECONDS = 0.8
#: Ids of one run: claimed before the copy, and each by one write after it.
IDS = 4


@behave.fixture
def use_writers(context, count):
    writers = behave.use_fixture(
        at_most_once_log_steps.run_writers, context, count, 600.0
    )
    writers.platform._era = 0
    with unittest.mock.patch.object(
        claim_writers, "REWRITE_SECONDS", REWRITE_SECONDS
    ):
        yield writers
        for claimer in writers.claims:
            writers.run(claimer.close())


@behave.given("eras: {count:d} claim writers of a store, and a copy of it")
def make_writers(context, count):
    context.writers = behave.use_fixture(use_writers, context, count)
    context.count = count
    context.acquired = {}
    context.uncertain = []
    writers = context.writers

    async def run():
        # Each writer knows the store before the copy is taken.
        for number in range(1, count + 1):
            await writers.finish(number, f"early-{number}")
        context.copy = writers.platform.copies.take()

    writers.run(run())


def note(context, request_id, number, decision):
    """Keep who was allowed to run an id."""
    context.decisions.append(decision)
    if isinstance(decision, reasons.Failure):
        return
    if decision.state is ClaimState.ACQUIRED:
        context.acquired.setdefault(request_id, []).append(number)


@behave.when(
    "eras: writer 1 claims ids and the store goes back {when} each write"
)
def claim_and_restore(context, when):
    """Claim some ids; then go back around a write of the last one."""
    context.decisions = []
    writers = context.writers
    store = writers.stores[0]
    put = store.put

    async def put_and_restore(key, value, **kwargs):
        store.put = put
        if when == "before":
            writers.platform.restore_state(context.copy)
        result = await put(key, value, **kwargs)
        if when == "after":
            writers.platform.restore_state(context.copy)
        return result

    async def run():
        for number in range(IDS):
            if number == IDS - 1:
                store.put = put_and_restore
            request_id = f"id-{number}"
            decision = await writers.acquire(1, request_id)
            note(context, request_id, 1, decision)

    writers.run(run())
    assert writers.platform._era == 1


def repeat(context, *, is_slow=False):
    context.decisions = []
    context.unrecorded = []

    async def run():
        for number in range(context.count, 0, -1):
            for index in range(IDS):
                request_id = f"id-{index}"
                claimer = context.writers.claims[number - 1]
                claim = claimer.make_claim(
                    request_id, digest="d", seconds_left=10.0
                )
                decision = await claimer.acquire(claim)
                note(context, request_id, number, decision)
                if not isinstance(decision, reasons.Failure):
                    continue
                if decision.ran is not reasons.Ran.NO:
                    # As callers of claims do before they say "not run".
                    context.uncertain.append(number)
                    context.unrecorded.append((claimer, claim))
                    if not is_slow:
                        await claimer.abandon(claim)

    context.writers.run(run())


async def tell_era(writers):
    """Have all writers know the era, as hosts do when they probe."""
    for store in writers.stores:
        store.eras.learn(1)


@behave.when("eras: each writer repeats these ids at once")
def repeat_at_once(context):
    repeat(context)
    context.writers.run(tell_era(context.writers))


@behave.when(
    "eras: each writer repeats these ids and is slow to record refusals"
)
def repeat_slowly(context):
    repeat(context, is_slow=True)
    assert context.unrecorded, "no refused attempt was written"
    context.writers.run(tell_era(context.writers))


@behave.when("eras: claims were written again and the refusals are recorded")
def record_refusals(context):
    async def run():
        await asyncio.sleep(REWRITE_SECONDS + 0.2)
        for claimer, claim in context.unrecorded:
            await claimer.abandon(claim)

    context.writers.run(run())


@behave.then("eras: no id was acquired twice")
def check_once(context):
    assert context.acquired
    for numbers in context.acquired.values():
        assert len(numbers) == 1, context.acquired


@behave.then("eras: what was refused was not run")
def check_refused(context):
    refused = [
        it for it in context.decisions if isinstance(it, reasons.Failure)
    ]
    assert refused, context.decisions
    # A writer may see the new era by a write of its own, which is recorded
    # as not run.
    assert len(context.uncertain) == len(set(context.uncertain))
    certain = [it for it in refused if it.ran is reasons.Ran.NO]
    assert len(certain) == len(refused) - len(context.uncertain), refused


@behave.when("eras: claims were written again and each writer repeats the ids")
def repeat_later(context):
    context.writers.run(asyncio.sleep(REWRITE_SECONDS + 0.2))
    repeat(context)


@behave.then("eras: each id that was acquired is held by its owner")
def check_held(context):
    states = {
        it.state for it in context.decisions if it.state is not ClaimState.HELD
    }
    # An id whose claim was refused before is free and acquired now.
    assert states <= {ClaimState.ACQUIRED}, context.decisions
    held = [it for it in context.decisions if it.state is ClaimState.HELD]
    assert len(held) >= (IDS - 1) * context.count, context.decisions
    owners = {it.claim.request_id: it.claim.host for it in held}
    for request_id, numbers in context.acquired.items():
        owner = f"host-{numbers[0] - 1}"
        assert owners.get(request_id, owner) == owner, owners


@behave.when("eras: the store goes back and ids are made after it")
def restore_and_make(context):
    context.decisions = []
    writers = context.writers
    writers.platform.restore_state(context.copy)

    async def run():
        made_at = time.time() + claim_writers.CLOCK_MARGIN_SECONDS + 1
        await writers.stores[0].get("anything")
        context.decisions.append(
            await writers.acquire(1, "late", made_at=made_at)
        )

    writers.run(run())


@behave.then("eras: they are acquired at once")
def check_acquired(context):
    assert context.decisions[0].state is ClaimState.ACQUIRED


@behave.when(
    "eras: writer 2 alone knows a lost claim and its first read {fails}"
)
def lose_known_claim(context, fails):
    writers = context.writers
    writers.platform._era = 0
    store = writers.stores[1]
    get = store.get

    async def get_once(key):
        store.get = get
        if fails == "raises":
            raise ValueError("not an entry")
        return reasons.Failure(
            reason=reasons.Reason.STORE_UNAVAILABLE, step="get"
        )

    async def run():
        await store.get("anything")
        copy = writers.platform.copies.take()
        await writers.acquire(1, "id")
        await writers.acquire(2, "id")
        await writers.claims[0].close()
        writers.platform.restore_state(copy)
        await writers.stores[2].get("anything")
        store.get = get_once
        store.eras.learn(1)
        await asyncio.sleep(REWRITE_SECONDS + 0.2)
        context.decision = await writers.acquire(3, "id")
        for claimer in writers.claims:
            await claimer.close()

    with unittest.mock.patch.object(
        claim_writers, "REWRITE_SECONDS", REWRITE_SECONDS
    ):
        writers.run(run())


@behave.then("eras: writer 3 finds the claim held by writer 1")
def check_held_by_first(context):
    assert context.decision.state is ClaimState.HELD, context.decision
    assert context.decision.claim.host == "host-0"


@behave.when(
    "eras: ids that say when they were made are claimed and all writers end"
)
def claim_and_end(context):
    context.made_at = time.time()
    claim_two_and_end(context)


@behave.when("eras: ids without a time are claimed and all writers end")
def claim_untimed_and_end(context):
    context.made_at = None
    claim_two_and_end(context)


def claim_two_and_end(context):
    writers = context.writers

    async def run():
        for number in (1, 2):
            decision = await acquire(context, number, f"id-{number}")
            assert decision.state is ClaimState.ACQUIRED, decision
        for claimer in writers.claims:
            await claimer.close()

    writers.run(run())


async def acquire(context, number, request_id, *, age=0.0):
    """Acquire an id that was made some seconds before the writers ended."""
    made_at = context.made_at
    if made_at is not None:
        made_at -= age
    return await context.writers.acquire(number, request_id, made_at=made_at)


@behave.when("eras: other writers start {when} the store goes back")
def start_others(context, when):
    writers = context.writers
    if when != "and not":
        writers.platform.restore_state(context.copy)

    async def start():
        await writers.add_writers()
        for store in writers.stores:
            await store.get("anything")
        await asyncio.sleep(REWRITE_SECONDS + 0.2)

    writers.run(start())
    if when.startswith("later"):
        # The second ones find the time that the first ones have written.
        writers.run(acquire(context, 1, "other"))
        writers.run(start())


@behave.then("eras: none of these ids is acquired again")
def check_not_again(context):
    async def run():
        return [
            await acquire(context, by, f"id-{number}")
            for number in (1, 2)
            for by in (1, 2)
        ]

    for decision in context.writers.run(run()):
        assert decision.state in (ClaimState.EXPIRED, ClaimState.HELD), (
            decision
        )


@behave.then("eras: an id that was not claimed is {state:w}")
def check_unclaimed(context, state):
    expected = {
        "expired": ClaimState.EXPIRED,
        "acquired": ClaimState.ACQUIRED,
    }[state]
    decision = context.writers.run(acquire(context, 1, "unclaimed", age=1.0))
    assert decision.state is expected, decision


@behave.then("eras: an id that is made later is acquired")
def check_later(context):
    later = -claim_writers.CLOCK_MARGIN_SECONDS - 2 * REWRITE_SECONDS - 2
    decision = context.writers.run(acquire(context, 2, "later", age=later))
    assert decision.state is ClaimState.ACQUIRED, decision
