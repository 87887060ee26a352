"""Steps on the path of relayed requests, with scripted upstreams."""

import asyncio
import time
import types

import behave

from buckthornhold import admissions
from buckthornhold import counters
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

EVENTS = 6
EVENTS_BEFORE_FAULT = 3
SLOW_GAP_SECONDS = 0.2
PACE_SLACK = 0.1
TARGET_SECONDS = 0.1
TIMEOUT_SECONDS = 3.0
SERIES = evidence.Series(move="m", step=1, workspace="route", new=True)
KINDS = {
    "unsafe": {},
    "safe": {"idempotent": True},
    "stream": {"streamed": True},
    "resumable": {"streamed": True, "resumable": True, "longest_gap": 0.1},
}


class ScriptedAnswer(relay_messages.UpstreamResponse):
    """An answer that ends as its script's word says."""

    def __init__(self, word, first):
        self._word = word
        self._number = first
        self.closed = False

    @property
    def status(self):
        return int(self._word) if self._word.isdecimal() else 200

    @property
    def streamed(self):
        return self._word.endswith("events")

    async def read_body(self):
        if self._word == "cut":
            return fail(reasons.Reason.UPSTREAM_BROKEN)
        if self._word == "slow":
            await asyncio.sleep(0.3)
        return b"body"

    async def read_event(self):
        done = self._number >= EVENTS_BEFORE_FAULT
        if self._word == "cut_events" and done:
            return fail(reasons.Reason.UPSTREAM_BROKEN)
        if self._word == "mute_events" and done:
            await asyncio.Event().wait()
        if self._number == EVENTS:
            return None
        if self._word == "slow_events":
            await asyncio.sleep(SLOW_GAP_SECONDS)
        self._number += 1
        data = f"id: {self._number}\n\n".encode()
        return relay_messages.Event(event_id=str(self._number), data=data)

    def close(self):
        self.closed = True


class ScriptedClient(relay_messages.UpstreamClient):
    """Upstreams that follow a script."""

    def __init__(self, words):
        self._words = list(words)
        self.answers = []
        self.asked = []

    async def open(self, request, upstream, *, seconds_left, resume_after):
        self.asked.append(upstream.name)
        word = self._words.pop(0)
        if word == "not_run":
            return fail(reasons.Reason.UPSTREAM_REFUSED, reasons.Ran.NO)
        if word == "unreachable":
            return fail(reasons.Reason.UPSTREAM_UNREACHABLE, reasons.Ran.NO)
        if word == "lost":
            return fail(reasons.Reason.UPSTREAM_BROKEN)
        if word == "crossed":
            return fail(reasons.Reason.ANSWER_CROSSED)
        if word == "hang":
            await asyncio.Event().wait()
        answer = ScriptedAnswer(word, int(resume_after or 0))
        self.answers.append(answer)
        return answer

    def drop_idle(self, upstream):
        pass

    async def is_listening(self, upstream):
        return True


class Caller(relay_messages.Responder):
    """Keeps what the caller gets."""

    def __init__(self):
        self.status = None
        self.events = []
        self.whole = False

    async def send_response(self, answer, body):
        self.status = answer.status

    async def start(self, answer):
        self.status = answer.status

    async def send(self, data):
        self.events.append(int(data.split()[1]))

    async def finish(self):
        self.whole = True


def fail(reason, ran=reasons.Ran.UNKNOWN):
    return reasons.Failure(reason=reason, step="script", ran=ran)


async def never_refuse(request):
    return None


async def ignore_end(sending, failure):
    return None


def make_host(upstream_count):
    logger = logs.bind(host="h", zone="a")
    counts = counters.Counters(address=None, prefix="")
    host = types.SimpleNamespace(
        logger=logger,
        counters=counts,
        metrics=metrics.Metrics(counts=counts),
        admissions=admissions.AdmissionController(
            max_in_flight=10, body_budget=1000, retry_after=1.0
        ),
        background=tasks.TaskSet(logger=logger, counters=counts),
        configurations=types.SimpleNamespace(version=1),
        quotas=types.SimpleNamespace(refund=lambda workspace, units: None),
        counted=[],
        repeats=[],
        gaps=[],
        budget=10,
    )
    host.usage = types.SimpleNamespace(
        count=lambda name, age: host.counted.append(name)
    )
    found = [
        relay_upstreams.RelayUpstream(
            record=upstream_directories.UpstreamRecord(
                name=f"u{number}", service="s", address="", zone="a", slots=4
            )
        )
        for number in range(upstream_count)
    ]
    host.stood_still = 0.0
    host.read_boot_clock = lambda: time.monotonic() + host.stood_still

    async def stay_fresh():
        return None

    host.pauses = types.SimpleNamespace(wait_until_fresh=stay_fresh)
    host.return_seconds = 0.0
    host.upstreams = types.SimpleNamespace(
        list_service=lambda service: found,
        find_retry_wait=lambda service: host.return_seconds,
    )
    host.moves = types.SimpleNamespace(
        choose=lambda request, found, is_retry: relay_moves.VersionChoice(
            upstreams=found, series=SERIES
        ),
        record_attempt=lambda series, upstream, failed, seconds: None,
        record_event_interval=lambda series, upstream, gap: host.gaps.append(
            gap
        ),
    )
    host.poison_guard = types.SimpleNamespace(
        admit=never_refuse,
        isolate_suspect=lambda request, found: found,
        begin_attempt=lambda request, upstream, start: None,
        record_event=lambda sending: None,
        abandon_attempt=lambda sending: None,
        end_attempt=ignore_end,
    )
    router = relay_routers.LeastLoadedRouter(zone="a")
    host.find_router = lambda service: router
    host.record_retry = lambda request, failure: host.repeats.append(failure)

    def take_retry(service):
        host.budget -= 1
        return host.budget >= 0

    host.retry_budgets = types.SimpleNamespace(
        acquire=take_retry, record_success=lambda service: None
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
        target=TARGET_SECONDS,
        timeout=TIMEOUT_SECONDS,
        attempts=attempts,
        **KINDS[kind],
    )
    context.host = make_host(count)


@behave.given(
    "relays: the host stands still for {seconds:g} seconds before it sends"
)
def stand_still(context, seconds):
    async def wait_fresh():
        context.host.stood_still = seconds

    context.host.pauses.wait_until_fresh = wait_fresh


@behave.given(
    "relays: the host reads again what it knows for {seconds:g} seconds"
)
def read_again(context, seconds):
    async def wait_fresh():
        await asyncio.sleep(seconds)

    context.host.pauses.wait_until_fresh = wait_fresh


@behave.then("relays: nothing was sent")
def check_nothing_sent(context):
    assert not context.host.upstream_client.asked


@behave.given("relays: all upstreams have said nothing for long")
def mute_all(context):
    context.host.return_seconds = 1.5


@behave.then("relays: the refusal says to come back in {seconds:g} seconds")
def check_return(context, seconds):
    assert context.failure.retry_after == seconds, context.failure
    assert context.failure.ran is reasons.Ran.NO, context.failure


@behave.given("relays: no repeat is left of the budget")
def use_budget_up(context):
    context.host.budget = 0


@behave.when("relays: upstreams answer {script}")
def run_script(context, script):
    words = [it.strip() for it in script.split(",")]
    context.host.upstream_client = ScriptedClient(words)
    context.caller = Caller()

    async def run():
        relaying = relay_requests.RelayHandler(host=context.host)
        return await relaying.run(make_request(context), context.caller)

    context.failure = asyncio.run(run())


@behave.when("relays: the caller leaves while the upstream works")
def leave(context):
    context.host.upstream_client = ScriptedClient(["slow"])
    context.caller = Caller()

    async def run():
        relaying = relay_requests.RelayHandler(host=context.host)
        task = asyncio.create_task(
            relaying.run(make_request(context), context.caller)
        )
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.wait([task])
        await context.host.background.wait(5.0)

    asyncio.run(run())


@behave.then("relays: the caller gets {result:w} after {sendings:d} sendings")
def check_result(context, result, sendings):
    failure = context.failure
    caller = context.caller
    if failure is None:
        found = "whole" if caller.whole else str(caller.status)
    elif caller.status is not None:
        found = "broken"
    else:
        found = str(int(relay_requests.choose_status(failure)))
    assert found == result, (found, failure)
    asked = context.host.upstream_client.asked
    assert len(asked) == sendings, asked
    assert len(set(asked)) == len(asked), asked


@behave.then("relays: the caller's events are in order, each once")
def check_events(context):
    events = context.caller.events
    assert events == list(range(1, len(events) + 1)), events
    if context.caller.whole:
        assert len(events) == EVENTS, events


@behave.then("relays: its pace is counted once, with {seconds:g} s an event")
def check_pace(context, seconds):
    assert len(context.host.gaps) == 1, context.host.gaps
    assert abs(context.host.gaps[0] - seconds) < PACE_SLACK, context.host.gaps


@behave.then("relays: the refusal says when to come back")
def check_retry_after(context):
    assert context.failure.retry_after > 0, context.failure
    assert context.failure.ran is reasons.Ran.NO, context.failure


@behave.then("relays: the upstream's answer is closed")
def check_closed(context):
    answers = context.host.upstream_client.answers
    assert [it.closed for it in answers] == [True], answers
    assert context.caller.status is None


@behave.then("relays: the call goes on and is counted")
def check_counted(context):
    assert context.caller.status == 200
    assert context.host.counted == ["w"], context.host.counted
