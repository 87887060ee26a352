"""Steps on member tables and pause detectors, without processes."""

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


@behave.given("a member table with {count:d} new hosts")
def make_full_table(context, count):
    context.notified = []
    context.member_table = members.MemberTable(
        own=make_member("own"), notify=context.notified.append
    )
    context.names = {f"host-{number}" for number in range(count)}
    for name in context.names:
        context.member_table.apply(make_member(name))


@behave.then(
    "a member table never puts more than {limit:d} records into a message"
)
def check_limit(context, limit):
    for number in range(300):
        receiver = f"host-{number % len(context.names)}"
        selected = context.member_table.select_updates(receiver)
        assert len(selected) <= limit, len(selected)


@behave.then("a member table has notified its subscriber of {count:d} hosts")
def check_notified(context, count):
    assert {member.host for member in context.notified} == context.names, (
        context.notified
    )
    assert len(context.notified) == count


@behave.then(
    "a member table has sent updates of all of them after {count:d} messages"
)
def check_all_sent(context, count):
    sent = set()
    for _ in range(count):
        sent |= {
            member.host
            for member in context.member_table.select_updates("host-0")
        }
    assert sent == context.names, len(sent)


@behave.given("a member table with a host of incarnation {number:d}")
def make_table(context, number):
    context.member_table = members.MemberTable(own=make_member("own"))
    context.member_table.apply(make_member("other", number))


@behave.when(
    "a member table receives a record that incarnation {number:d} is leaving"
)
def receive_old(context, number):
    record = make_member("other", number, sequence=9)
    context.member_table.apply(
        record.replace(state=members.MemberState.LEAVING)
    )


@behave.then('a member table shows it as incarnation {number:d} and "{state}"')
def check_shown(context, number, state):
    seen = context.member_table.find("other")
    assert (seen.incarnation, seen.state.name.lower()) == (number, state)
    assert seen in context.member_table.list_ready()


@behave.when(
    "a member table receives a doubt about it and then its refutation"
)
def receive_refuted(context):
    doubted = make_member("other", doubt=members.Doubt.SILENT)
    assert context.member_table.apply(doubted)
    assert context.member_table.list_ready() == []
    assert context.member_table.apply(make_member("other", sequence=1))


@behave.when("a member table receives the old doubt again")
def receive_doubt_again(context):
    doubted = make_member("other", doubt=members.Doubt.REFUSED)
    assert not context.member_table.apply(doubted)


@behave.when("a member table receives a doubt about its own host")
def receive_own_doubt(context):
    context.member_table.apply(make_member("own", doubt=members.Doubt.SILENT))


@behave.then("a member table publishes its own state with a higher sequence")
def check_refuted(context):
    assert context.member_table.own.sequence == 1
    assert context.member_table.own.doubt is members.Doubt.NONE


@behave.when("a member table receives a newer incarnation of its own host")
def receive_newer_own(context):
    context.member_table.apply(make_member("own", 6))


@behave.then("a member table reports that it is superseded")
def check_superseded(context):
    assert context.member_table.superseded


@behave.given("a pause detector with a slow refresher")
def make_detector(context):
    context.now = 100.0
    context.detector = pause_detectors.PauseDetector(
        threshold=1.0,
        refresh_timeout=5.0,
        logger=loguru.logger,
        clock=lambda: context.now,
    )


@behave.when("its clock jumps by {seconds:d} seconds")
def jump_clock(context, seconds):
    async def run():
        refreshed = asyncio.Event()
        context.detector.add_refresher(refreshed.wait)
        await context.detector.start()
        context.fresh_values = [context.detector.fresh]
        context.now += seconds
        context.fresh_values.append(context.detector.fresh)
        await asyncio.sleep(0.1)
        context.fresh_values.append(context.detector.fresh)
        refreshed.set()
        await asyncio.sleep(0.1)
        context.fresh_values.append(context.detector.fresh)
        await context.detector.stop()

    asyncio.run(run())


@behave.then("it is not fresh until the refresher has ended")
def check_freshness(context):
    assert context.fresh_values == [True, False, False, True], (
        context.fresh_values
    )


@behave.then("it reports a pause since the time before the jump")
def check_paused_since(context):
    assert context.detector.paused_since(100.0)
    assert not context.detector.paused_since(131.0)
