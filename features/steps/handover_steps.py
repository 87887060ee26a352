"""Steps for entry hosts that are lost and callers that reconnect."""

import asyncio
import threading
import uuid

import aiohttp
import behave

from features import environment
from features.steps import streams_steps
from testbed import callers
from testbed import machines
from testbed import reclaims

SETTINGS = {
    "stream_event_timeout": 1.0,
    "first_token_timeout": 3.0,
    "host_list_interval": 0.5,
}
ENGINE_OPTIONS = {"step_base": 0.004, "sampled": True}
FAULT_DELAY_SECONDS = 0.6
#: Callers per host, enough that some use an engine of its zone.
MANY_CALLERS_PER_HOST = 8


@behave.given("a fleet for handovers")
def use_fleet(context):
    environment.use_fresh_fleet(
        context, settings=SETTINGS, engine_options=ENGINE_OPTIONS
    )


@behave.given("a fleet for handovers with deterministic engines")
def use_deterministic_fleet(context):
    options = {**ENGINE_OPTIONS, "sampled": False}
    environment.use_fresh_fleet(
        context, settings=SETTINGS, engine_options=options
    )


@behave.given("a shared fleet for handovers")
def use_shared_fleet(context):
    environment.use_shared_fleet(
        context, settings=SETTINGS, engine_options=ENGINE_OPTIONS
    )


@behave.given("a fleet whose hosts have no memory for records")
def use_full_fleet(context):
    settings = {**SETTINGS, "handover_memory": 1}
    environment.use_fresh_fleet(context, settings=settings)


@behave.given("a fleet for handovers behind relays")
def use_relayed_fleet(context):
    environment.use_fresh_fleet(
        context,
        settings=SETTINGS,
        engine_options=ENGINE_OPTIONS,
        relays=True,
    )


@behave.given("the platform is down")
def break_platform(context):
    context.fleet.platform.set_faults(
        store_down=True, list_down=True, cloud_down=True
    )


@behave.given("{zone} is cut off from everything")
def cut_off(context, zone):
    context.fleet.cut_off(zone)


def run_callers(
    context,
    count,
    act=callers.follow_chat,
    each=streams_steps.CALLERS_PER_HOST,
):
    """Run callers that reconnect, ``each`` of them starting at each host."""
    addresses = [entry.address for entry in context.fleet.entries]

    async def run_one(session, place, number):
        return await act(
            session,
            addresses[place:] + addresses[:place],
            request_id=uuid.uuid4().hex,
            prompt=f"question {number} at {place}",
            max_tokens=count,
            give_up_after=15.0,
        )

    async def run():
        async with aiohttp.ClientSession() as session:
            return await asyncio.gather(
                *[
                    run_one(session, place, number)
                    for place in range(len(addresses))
                    for number in range(each)
                ]
            )

    context.chats = asyncio.run(run())


def run_callers_with_reclaims(context, count, waves, act=callers.follow_chat):
    with reclaims.Reclaims(fleet=context.fleet, waves=waves):
        run_callers(context, count, act)


@behave.when(
    "callers stream {count:d} tokens and the first entry host gets a notice "
    "of {seconds:g} s"
)
def stream_with_notice(context, count, seconds):
    entries = context.fleet.entries[:1]
    wave = reclaims.Wave(FAULT_DELAY_SECONDS, entries, seconds)
    run_callers_with_reclaims(context, count, [wave])


@behave.when(
    "callers stream {count:d} tokens and the first entry host is killed"
)
def stream_with_kill(context, count):
    wave = reclaims.Wave(FAULT_DELAY_SECONDS, context.fleet.entries[:1], 0.0)
    run_callers_with_reclaims(context, count, [wave])


@behave.when(
    "callers stream {count:d} tokens and the first entry host is killed "
    "early in its notice"
)
def stream_with_early_kill(context, count):
    entries = context.fleet.entries[:1]
    waves = [
        reclaims.Wave(0.2, entries, 10.0),
        reclaims.Wave(2.0, entries, 0.0),
    ]
    run_callers_with_reclaims(context, count, waves)


@behave.when(
    "callers stream {count:d} tokens and the first entry host is paused for "
    "{seconds:g} s"
)
def stream_with_pause(context, count, seconds):
    entry = context.fleet.entries[0]
    timers = [
        threading.Timer(FAULT_DELAY_SECONDS, entry.freeze),
        threading.Timer(FAULT_DELAY_SECONDS + seconds, entry.thaw),
    ]
    for timer in timers:
        timer.start()
    run_callers(context, count)
    for timer in timers:
        timer.join()


@behave.when(
    "callers stream {count:d} tokens and the first zone gets a notice of "
    "{seconds:g} s"
)
def stream_with_zone_notice(context, count, seconds):
    fleet = context.fleet
    lost = [fleet.entries[0], fleet.engines[0]]
    run_callers_with_reclaims(
        context, count, [reclaims.Wave(0.3, lost, seconds)]
    )


@behave.when(
    "callers stream {count:d} tokens and the first zone is asked to stop, "
    "with {seconds:g} s left"
)
def stream_with_zone_stop(context, count, seconds):
    fleet = context.fleet
    lost = [fleet.entries[0], fleet.engines[0]]
    wave = reclaims.Wave(0.3, lost, seconds, announced=False)
    run_callers_with_reclaims(context, count, [wave])


@behave.when(
    "callers stream {count:d} tokens and two entry hosts get notices of "
    "{seconds:g} s in turn"
)
def stream_with_two_notices(context, count, seconds):
    first, second, _ = context.fleet.entries
    waves = [
        reclaims.Wave(0.3, [first], seconds),
        reclaims.Wave(1.3, [second], seconds),
    ]
    run_callers_with_reclaims(context, count, waves)


@behave.when(
    "callers stream {count:d} tokens and two entry hosts are killed "
    "{seconds:g} s apart"
)
def stream_with_two_kills_apart(context, count, seconds):
    first, second, _ = context.fleet.entries
    waves = [
        reclaims.Wave(0.3, [first], 0.0),
        reclaims.Wave(0.3 + seconds, [second], 0.0),
    ]
    threading.Timer(0.5, context.fleet.unlist_host, [first]).start()
    run_callers_with_reclaims(context, count, waves)


def count_on(entry, engine):
    """Return how many streams of an entry host run on an engine."""
    (upstream,) = [
        status
        for status in entry.operate("GET", "/status").json()["upstreams"]
        if status["host"] == engine.name
    ]
    return upstream["in_flight"]


def stream_with_chosen_kill(context, count, seconds, choose, **options):
    """Kill the machines that ``choose`` selects while streams run."""

    def kill():
        context.killed = choose(context.fleet)
        for machine in context.killed:
            machine.kill()

    timer = threading.Timer(seconds, kill)
    timer.start()
    run_callers(context, count, **options)
    timer.join()
    assert context.killed


@behave.when(
    "callers stream {count:d} tokens and the first entry host and the engine "
    "that it uses most are killed"
)
def stream_with_double_kill(context, count):
    def choose(fleet):
        entry = fleet.entries[0]
        return [
            entry,
            max(fleet.engines, key=lambda engine: count_on(entry, engine)),
        ]

    stream_with_chosen_kill(context, count, FAULT_DELAY_SECONDS, choose)


@behave.when(
    "callers request {count:d} unstreamed tokens and the first entry host "
    "gets a notice of {seconds:g} s"
)
def request_with_notice(context, count, seconds):
    wave = reclaims.Wave(0.1, context.fleet.entries[:1], seconds)
    with reclaims.Reclaims(fleet=context.fleet, waves=[wave]):
        streams_steps.run_callers(
            context, callers.fetch_chat, context.fleet.entries[:1], count
        )


@behave.when(
    "callers repeat {count:d} unstreamed tokens and the first entry host is "
    "killed"
)
def repeat_with_kill(context, count):
    wave = reclaims.Wave(FAULT_DELAY_SECONDS, context.fleet.entries[:1], 0.0)
    run_callers_with_reclaims(context, count, [wave], act=callers.follow_whole)


@behave.when(
    "callers stream {count:d} tokens and the zone that uses its own engine "
    "most is killed after {seconds:g} s"
)
def stream_with_zone_kill(context, count, seconds):
    def choose(fleet):
        pairs = zip(fleet.entries, fleet.engines, strict=True)
        entry, _ = max(pairs, key=lambda pair: count_on(*pair))
        return [
            machine
            for machine in fleet.all_machines
            if machine.zone == entry.zone
        ]

    stream_with_chosen_kill(
        context, count, seconds, choose, each=MANY_CALLERS_PER_HOST
    )


@behave.then("some callers' text was regenerated")
def check_regenerated(context):
    counted = [
        entry.operate("GET", "/counters").json()["events.streams.regenerated"]
        for entry in context.fleet.entries
        if entry.running
    ]
    assert sum(counted) > 0, counted


@behave.then("callers of the first entry host reconnected")
def check_reconnected(context):
    each = streams_steps.CALLERS_PER_HOST
    assert any(chat.returns for chat in context.chats[:each])


@behave.then("no connection was closed before its caller was notified")
def check_notified(context):
    assert not any(chat.cuts for chat in context.chats), [
        str(chat) for chat in context.chats
    ]


@behave.then('each caller gets its own whole answer or the error "{reason}"')
def check_whole_or_error(context, reason):
    whole = 0
    for chat in context.chats:
        if chat.whole:
            whole += 1
            continue
        assert not chat.ended, str(chat)
        assert chat.error["reason"] == reason, str(chat)
    print(f"{whole} of {len(context.chats)} whole")


@behave.then("each caller of the first entry host is told where to reconnect")
def check_redirected(context):
    for chat in context.chats:
        assert chat.status == 503, str(chat)
        assert chat.error["reason"] == "stream_moved", str(chat)
        assert chat.error["ran"] != "no", str(chat)
        assert chat.retry_after, str(chat)
        path = f"/v1/chat/completions/{chat.request_id}"
        assert chat.location == path, str(chat)


@behave.then("each gets its whole answer from another host")
def check_found(context):
    for chat in context.chats:
        reply = machines.call(
            "GET", context.fleet.entries[1].address, chat.location
        )
        chat.status = reply.status
        callers.take_whole(chat, reply.json())
        assert chat.whole, reply


@behave.when(
    "callers stream {count:d} tokens and two entry hosts are killed at once"
)
def stream_with_two_kills(context, count):
    wave = reclaims.Wave(FAULT_DELAY_SECONDS, context.fleet.entries[:2], 0.0)
    run_callers_with_reclaims(context, count, [wave])


@behave.then("some callers get that error with an unknown outcome")
def check_unknown_outcome(context):
    failed = [chat for chat in context.chats if not chat.whole]
    assert failed
    for chat in failed:
        assert chat.error["ran"] == "unknown", chat.error
