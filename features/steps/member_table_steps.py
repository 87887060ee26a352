"""Steps on what one host holds of the others, without processes."""

import asyncio

import behave
import loguru

from buckthornhold.coordination import members
from buckthornhold.coordination import pause_detectors

OPTIONS = {
    "entries_per_zone": 2,
    "engines_per_zone": 0,
    "services_per_zone": 0,
    "relays": True,
}


def make_member(name, incarnation=5, **kwargs):
    return members.Member(
        host=name,
        zone="zone-a",
        address=f"{name}:1",
        incarnation=incarnation,
        state=members.MemberState.READY,
        **kwargs,
    )


@behave.given("a members table that has just heard of {count:d} hosts")
def make_full_table(context, count):
    context.told = []
    context.members_table = members.MemberTable(
        own=make_member("own"), notify=context.told.append
    )
    context.names = {f"host-{number}" for number in range(count)}
    for name in context.names:
        context.members_table.apply(make_member(name))


@behave.then(
    "a members table never puts more than {limit:d} records into a message"
)
def check_limit(context, limit):
    for number in range(300):
        receiver = f"host-{number % len(context.names)}"
        picked = context.members_table.select_updates(receiver)
        assert len(picked) <= limit, len(picked)


@behave.then("a members table has told its parts of {count:d} hosts")
def check_told(context, count):
    assert {it.host for it in context.told} == context.names, context.told
    assert len(context.told) == count


@behave.then(
    "a members table has told of all of them after {count:d} messages"
)
def check_all_told(context, count):
    told = set()
    for _ in range(count):
        told |= {
            it.host for it in context.members_table.select_updates("host-0")
        }
    assert told == context.names, len(told)


@behave.given("a members table with a host of incarnation {number:d}")
def make_table(context, number):
    context.members_table = members.MemberTable(own=make_member("own"))
    context.members_table.apply(make_member("other", number))


@behave.when(
    "a members table hears that incarnation {number:d} of it is leaving"
)
def hear_old(context, number):
    record = make_member("other", number, sequence=9)
    context.members_table.apply(
        record.replace(state=members.MemberState.LEAVING)
    )


@behave.then(
    'a members table shows it as incarnation {number:d} and "{state}"'
)
def check_shown(context, number, state):
    seen = context.members_table.find("other")
    assert (seen.incarnation, seen.state.name.lower()) == (number, state)
    assert seen in context.members_table.list_ready()


@behave.when("a members table hears a doubt of it and then its refutation")
def hear_refuted(context):
    doubted = make_member("other", doubt=members.Doubt.SILENT)
    assert context.members_table.apply(doubted)
    assert context.members_table.list_ready() == []
    assert context.members_table.apply(make_member("other", sequence=1))


@behave.when("a members table hears the old doubt once more")
def hear_doubt_again(context):
    doubted = make_member("other", doubt=members.Doubt.REFUSED)
    assert not context.members_table.apply(doubted)


@behave.when("a members table hears a doubt of its own host")
def hear_own_doubt(context):
    context.members_table.apply(make_member("own", doubt=members.Doubt.SILENT))


@behave.then("a members table says its own state with a higher sequence")
def check_refuted(context):
    assert context.members_table.own.sequence == 1
    assert context.members_table.own.doubt is members.Doubt.NONE


@behave.when("a members table hears of a newer incarnation of its own host")
def hear_newer_own(context):
    context.members_table.apply(make_member("own", 6))


@behave.then("a members table says that it is superseded")
def check_superseded(context):
    assert context.members_table.superseded


@behave.given("a pauses part with a refresher that takes a while")
def make_pauses(context):
    context.now = 100.0
    context.part = pause_detectors.PauseDetector(
        threshold=1.0,
        refresh_timeout=5.0,
        logger=loguru.logger,
        clock=lambda: context.now,
    )


@behave.when("its clock jumps by {seconds:d} seconds")
def jump(context, seconds):
    async def run():
        may_end = asyncio.Event()
        context.part.add_refresher(may_end.wait)
        await context.part.start()
        context.views = [context.part.fresh]
        context.now += seconds
        context.views.append(context.part.fresh)
        await asyncio.sleep(0.1)
        context.views.append(context.part.fresh)
        may_end.set()
        await asyncio.sleep(0.1)
        context.views.append(context.part.fresh)
        await context.part.stop()

    asyncio.run(run())


@behave.then("it is not fresh until the refresher has ended")
def check_freshness(context):
    assert context.views == [True, False, False, True], context.views


@behave.then("it says that it paused since the moment before")
def check_paused_since(context):
    assert context.part.paused_since(100.0)
    assert not context.part.paused_since(131.0)
