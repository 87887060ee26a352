"""Steps on upstreams that are leaving."""

import random
import threading
import time

import behave

from features import environment
from features.steps import streams_steps
from measurements import departures
from testbed import callers
from testbed import machines
from testbed import reclaims

SETTINGS = {
    "stream_event_timeout": 1.0,
    "first_token_timeout": 3.0,
    "host_list_interval": 0.5,
}
SEED = 20261204
ENGINE_OPTIONS = {"step_base": 0.004, "sampled": True}


@behave.given("a fleet for reclaims")
def use_fleet(context):
    environment.use_fresh_fleet(
        context, settings=SETTINGS, engine_options=ENGINE_OPTIONS
    )


@behave.given("a fleet for reclaims behind relays")
def use_relayed_fleet(context):
    environment.use_fresh_fleet(
        context,
        settings=SETTINGS,
        engine_options=ENGINE_OPTIONS,
        relays=True,
    )


@behave.given("a fleet with default settings")
def use_default_settings_fleet(context):
    environment.use_fresh_fleet(
        context, engines_per_zone=0, services_per_zone=0
    )


@behave.when("{count:d} listed upstreams get notices one after the other")
def give_notices(context, count):
    draw = random.Random(SEED)
    context.seconds = []
    for name in departures.list_upstreams(context.fleet, count):
        time.sleep(draw.random())
        _, last = departures.time_notice(context.fleet, name)
        context.seconds.append(last)


@behave.then("every entry host knows of each within {seconds:g} s")
def check_known_of_each(context, seconds):
    assert max(context.seconds) <= seconds, context.seconds


@behave.given("the platform's list is down")
def break_list(context):
    context.fleet.platform.set_faults(list_down=True)


@behave.given("{zone} is cut off from the platform")
def cut_off_platform(context, zone):
    context.fleet.cut((zone, "platform"))


@behave.given("the last entry host is paused")
def pause_last(context):
    context.fleet.entries[-1].freeze()


@behave.given("all other engines refuse imports")
def refuse_imports(context):
    for engine in context.fleet.engines[1:]:
        engine.set_faults(refuse_import=True)


@behave.when("the first engine gets a notice of {seconds:g} s")
def give_notice(context, seconds):
    context.fleet.give_notice(context.fleet.engines[0], seconds)
    context.noticed_at = time.monotonic()


@behave.when("only the first engine knows that it leaves")
def set_leaving(context):
    context.fleet.engines[0].set_faults(leaving=True)
    context.noticed_at = time.monotonic()


@behave.when(
    "callers stream through the first entry host until a request is refused"
)
def stream_until_refused(context):
    engine = context.fleet.engines[0]
    for _ in range(20):
        streams_steps.run_callers(
            context, callers.stream_chat, context.fleet.entries[:1], 3
        )
        if engine.get("/refusals"):
            break
    context.noticed_at = time.monotonic()


def list_hosts_unaware(context, entries):
    name = context.fleet.engines[0].name
    return [
        entry.name
        for entry in entries
        if not any(
            upstream["leaving"]
            for upstream in entry.operate("GET", "/status").json()["upstreams"]
            if upstream["host"] == name
        )
    ]


def check_known(context, entries, seconds):
    left = context.noticed_at + seconds - time.monotonic()
    machines.wait_until(
        lambda: not list_hosts_unaware(context, entries),
        timeout=max(left, 0.0),
        what="all hosts know that the engine leaves",
    )
    print(f"known after {time.monotonic() - context.noticed_at:.2f} s")


@behave.then(
    "every entry host knows within {seconds:g} s that the first engine leaves"
)
def check_known_everywhere(context, seconds):
    check_known(context, context.fleet.entries, seconds)


@behave.then(
    "every running entry host knows within {seconds:g} s that the first "
    "engine leaves"
)
def check_known_where_running(context, seconds):
    check_known(context, context.fleet.entries[:-1], seconds)


@behave.when("every entry host knows that the first engine leaves")
def wait_until_known(context):
    check_known(context, context.fleet.entries, 10.0)


@behave.when(
    "after {seconds:g} s the last entry host resumes and gets requests at once"
)
def resume_last(context, seconds):
    time.sleep(seconds)
    context.fleet.engines[0].set_faults(leaving=True)
    context.resumed_at = time.time()
    threading.Timer(0.2, context.fleet.entries[-1].thaw).start()
    streams_steps.run_callers(
        context, callers.stream_chat, context.fleet.entries[-1:], 3, each=8
    )


@behave.then("the first engine got no requests since the host resumed")
def check_sent_nothing(context):
    engine = context.fleet.engines[0]
    sent = engine.get("/refusals") + engine.get("/executions")
    late = [
        request for request in sent if request["time"] > context.resumed_at
    ]
    assert not late, late


@behave.when("the first engine is killed and restarted")
def restart_first_engine(context):
    engine = context.fleet.engines[0]
    engine.kill()
    context.fleet.restart_engine(engine)


@behave.then(
    "every entry host sends requests to the first engine within {seconds:g} s"
)
def check_receives_requests(context, seconds):
    engine = context.fleet.engines[0]
    for entry in context.fleet.entries:
        before = len(engine.get("/executions"))

        def receives_request(entry=entry, before=before):
            streams_steps.run_callers(
                context, callers.stream_chat, [entry], 3, each=6
            )
            return len(engine.get("/executions")) > before

        machines.wait_until(
            receives_request, timeout=seconds, what="a request is sent"
        )


def stream_under_reclaims(context, count, waves):
    """Stream through all hosts while engines are reclaimed in waves.

    Each wave is (seconds after the start, machines, seconds of notice).
    """
    with reclaims.Reclaims(fleet=context.fleet, waves=waves):
        streams_steps.run_callers(
            context, callers.stream_chat, context.fleet.entries, count
        )


@behave.when(
    "callers stream {count:d} tokens and the first engine gets a notice of "
    "{seconds:g} s"
)
def stream_under_notice(context, count, seconds):
    waves = [reclaims.Wave(0.5, context.fleet.engines[:1], seconds)]
    stream_under_reclaims(context, count, waves)


@behave.when(
    "callers stream {count:d} tokens and two engines get notices of "
    "{seconds:g} s in turn"
)
def stream_under_two_waves(context, count, seconds):
    waves = [
        reclaims.Wave(1.0, context.fleet.engines[:1], seconds),
        reclaims.Wave(2.0, context.fleet.engines[1:2], seconds),
    ]
    stream_under_reclaims(context, count, waves)


@behave.when(
    "callers stream {count:d} tokens and only the first engine reports that "
    "it leaves"
)
def stream_under_report(context, count):
    waves = [
        reclaims.Wave(0.5, context.fleet.engines[:1], 2.0, announced=False)
    ]
    stream_under_reclaims(context, count, waves)


def sum_totals(context, name):
    return sum(
        engine.get("/state")["totals"].get(name, 0)
        for engine in context.fleet.engines
        if engine.running
    )


@behave.then("streams were moved with their cache")
def check_moved_with_cache(context):
    assert sum_totals(context, "imported") > 0


@behave.then("streams were moved without their cache")
def check_moved_without_cache(context):
    assert sum_totals(context, "imported") == 0
    assert sum_totals(context, "moved_in") > 0


@behave.then("no stream was moved")
def check_not_moved(context):
    assert sum_totals(context, "moved_in") == 0


@behave.then("at most {share:g} tokens were recomputed per token moved")
def check_recomputed_share(context, share):
    moved = sum_totals(context, "moved_context")
    recomputed = sum_totals(context, "recomputed")
    print(f"{recomputed} of {moved} tokens moved were recomputed")
    assert recomputed <= share * moved
