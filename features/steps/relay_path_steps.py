"""Steps for relayed requests to scripted upstreams."""

import asyncio
import time
import types

import behave

from buckthornhold import admissions
from buckthornhold import cold_upstreams
from buckthornhold import counters
from buckthornhold import engine_speeds
from buckthornhold import logs
from buckthornhold import metrics
from buckthornhold import reasons
from buckthornhold import relay_messages
from buckthornhold import relay_moves
from buckthornhold import relay_requests
from buckthornhold import relay_routers
from buckthornhold import relay_upstreams
from buckthornhold import request_contracts
from buckthornhold import routes
from buckthornhold import tasks
from buckthornhold import upstream_directories
from buckthornhold.coordination import evidence
from buckthornhold.scheduling import placements
from testbed import scripted_upstreams

INTERVAL_TOLERANCE_SECONDS = 0.1
TARGET_LATENCY_SECONDS = 0.1
TIMEOUT_SECONDS = 3.0
SERIES = evidence.Series(move="m", step=1, workspace="route", new=True)
KINDS = {
    "unsafe": {},
    "safe": {"idempotent": True},
    "stream": {"streamed": True},
    "resumable": {"streamed": True, "resumable": True, "longest_gap": 0.1},
}


async def never_refuse(request):
    return None


async def ignore_end(sending, failure):
    return None


def make_host(upstream_count):
    logger = logs.bind(host="h", zone="a")
    counts = counters.Counters(address=None, prefix="")
    refunded = []
    host = types.SimpleNamespace(
        logger=logger,
        counters=counts,
        metrics=metrics.Metrics(counts=counts),
        admissions=admissions.AdmissionController(
            max_in_flight=10, retry_after=1.0
        ),
        background=tasks.TaskSet(logger=logger, counters=counts),
        configurations=types.SimpleNamespace(version=1),
        quotas=types.SimpleNamespace(
            refund=lambda workspace, units, urgency=0: refunded.append(units)
        ),
        refunded=refunded,
        counted_workspaces=[],
        retries=[],
        event_intervals=[],
        budget=10,
        engine_speeds=engine_speeds.EngineSpeeds(),
    )
    host.usage = types.SimpleNamespace(
        count=lambda name, age: host.counted_workspaces.append(name)
    )
    upstreams = [
        relay_upstreams.RelayUpstream(
            record=upstream_directories.UpstreamRecord(
                name=f"u{number}", service="s", address="", zone="a", slots=4
            )
        )
        for number in range(upstream_count)
    ]
    host.suspended_seconds = 0.0
    host.read_boot_clock = lambda: time.monotonic() + host.suspended_seconds

    async def return_at_once():
        return None

    host.pauses = types.SimpleNamespace(wait_until_fresh=return_at_once)
    host.retry_wait_seconds = 0.0
    host.upstreams = types.SimpleNamespace(
        list_all=lambda: upstreams,
        list_allowed=lambda service, regions: upstreams,
        list_service=lambda service, regions: upstreams,
        find_retry_wait=lambda service, regions: host.retry_wait_seconds,
        find_backoff_wait=lambda service, regions: 0.0,
        cold=cold_upstreams.ColdUpstreams(host=host),
    )
    host.placements = placements.Placements()
    host.placements.set_evacuated(())
    host.moves = types.SimpleNamespace(
        choose=lambda request, upstreams, is_retry: relay_moves.VersionChoice(
            upstreams=upstreams, series=SERIES
        ),
        record_attempt=lambda series, upstream, failed, seconds: None,
        record_event_interval=lambda series, upstream, gap: (
            host.event_intervals.append(gap)
        ),
    )
    host.poison_guard = types.SimpleNamespace(
        admit=never_refuse,
        isolate_suspect=lambda request, upstreams: upstreams,
        begin_attempt=lambda request, upstream, start: None,
        record_event=lambda sending: None,
        abandon_attempt=lambda sending: None,
        end_attempt=ignore_end,
    )
    router = relay_routers.LeastLoadedRouter(zone="a")
    host.find_router = lambda service: router
    host.record_retry = lambda request, failure: host.retries.append(failure)

    def acquire_retry(service):
        host.budget -= 1
        return host.budget >= 0

    host.retry_budgets = types.SimpleNamespace(
        acquire=acquire_retry, record_success=lambda service: None
    )
    return host


def make_request(context):
    loop_time = asyncio.get_running_loop().time()
    return relay_messages.RelayRequest(
        contract=request_contracts.RequestContract(
            request_id="r1",
            workspace="w",
            route="route",
            deadline=loop_time + TIMEOUT_SECONDS,
        ),
        route=context.route,
        service="s",
        workload=relay_routers.Workload(),
        message=None,
        workspace=routes.Workspace(name="w"),
    )


@behave.given(
    "relays: a {kind:w} route with {attempts:d} attempts and {count:d} "
    "upstreams"
)
def make_route(context, kind, attempts, count):
    context.route = routes.Route(
        name="route",
        host="h",
        path_prefix="/",
        shares=(routes.Share(service="s", weight=1.0),),
        target=TARGET_LATENCY_SECONDS,
        timeout=TIMEOUT_SECONDS,
        attempts=attempts,
        **KINDS[kind],
    )
    context.host = make_host(count)


@behave.given(
    "relays: the host is suspended for {seconds:g} seconds before it sends"
)
def stand_still(context, seconds):
    async def wait_fresh():
        context.host.suspended_seconds = seconds

    context.host.pauses.wait_until_fresh = wait_fresh


@behave.given("relays: the refresh after a pause takes {seconds:g} seconds")
def delay_refresh(context, seconds):
    async def wait_fresh():
        await asyncio.sleep(seconds)

    context.host.pauses.wait_until_fresh = wait_fresh


@behave.then("relays: nothing was sent")
def check_nothing_sent(context):
    assert not context.host.upstream_client.attempted


@behave.then("relays: {count:d} upstreams received the request")
def check_sent(context, count):
    client = context.host.upstream_client
    assert len(client.sent) == count, (client.attempted, client.sent)


@behave.then("relays: the request's quota is refunded")
def check_refund(context):
    assert context.host.refunded == [1.0], context.host.refunded
    assert not context.host.counted_workspaces


@behave.given("relays: all upstreams are silent")
def silence_all(context):
    context.host.retry_wait_seconds = 1.5


@behave.then("relays: the refusal has a Retry-After of {seconds:g} seconds")
def check_retry_after_value(context, seconds):
    assert context.failure.retry_after == seconds, context.failure
    assert context.failure.ran is reasons.Ran.NO, context.failure


@behave.given("relays: the retry budget is exhausted")
def exhaust_budget(context):
    context.host.budget = 0


@behave.when("relays: upstreams answer {script}")
def run_script(context, script):
    entries = [entry.strip() for entry in script.split(",")]
    context.host.upstream_client = scripted_upstreams.ScriptedClient(entries)
    context.client = scripted_upstreams.RecordingClient()

    async def run():
        relaying = relay_requests.RelayHandler(host=context.host)
        return await relaying.run(make_request(context), context.client)

    context.failure = asyncio.run(run())


@behave.when("relays: the client disconnects while the upstream works")
def disconnect(context):
    disconnect_early(context, "slow")


@behave.when("relays: the client disconnects while upstreams answer {script}")
def disconnect_early(context, script):
    entries = [entry.strip() for entry in script.split(",")]
    context.host.upstream_client = scripted_upstreams.ScriptedClient(entries)
    context.client = scripted_upstreams.RecordingClient()

    async def run():
        relaying = relay_requests.RelayHandler(host=context.host)
        task = asyncio.create_task(
            relaying.run(make_request(context), context.client)
        )
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.wait([task])
        await context.host.background.wait(5.0)

    asyncio.run(run())


@behave.then("relays: the client gets {result:w} after {sent:d} attempts")
def check_result(context, result, sent):
    failure = context.failure
    caller = context.client
    if failure is None:
        outcome = "whole" if caller.whole else str(caller.status)
    elif caller.status is not None:
        outcome = "broken"
    else:
        outcome = str(int(relay_requests.choose_status(failure)))
    assert outcome == result, (outcome, failure)
    attempted = context.host.upstream_client.attempted
    assert len(attempted) == sent, attempted
    assert len(set(attempted)) == len(attempted), attempted


@behave.then("relays: the client's events are in order, each once")
def check_events(context):
    events = context.client.events
    assert events == list(range(1, len(events) + 1)), events
    if context.client.whole:
        assert len(events) == scripted_upstreams.EVENTS, events


@behave.then(
    "relays: its event interval is recorded once, as {seconds:g} s an event"
)
def check_event_interval(context, seconds):
    assert len(context.host.event_intervals) == 1, context.host.event_intervals
    assert (
        abs(context.host.event_intervals[0] - seconds)
        < INTERVAL_TOLERANCE_SECONDS
    ), context.host.event_intervals


@behave.then("relays: the refusal has a Retry-After")
def check_retry_after(context):
    assert context.failure.retry_after > 0, context.failure
    assert context.failure.ran is reasons.Ran.NO, context.failure


@behave.then("relays: the upstream's response is closed")
def check_closed(context):
    responses = context.host.upstream_client.responses
    assert [response.closed for response in responses] == [True], responses
    assert context.client.status is None


@behave.then("relays: the call completes and is counted")
def check_counted(context):
    assert context.client.status == 200
    assert context.host.counted_workspaces == ["w"], (
        context.host.counted_workspaces
    )
