"""Steps on the soak: its plans, its checks and a short run."""

import dataclasses
import itertools
import subprocess
import sys

import behave

from testbed import soak_histories
from testbed import soak_plans

SENT_AT = 100.0
EVENTS = 4
RUN_TIMEOUT = 300.0


def make_request(kind, outcome, number=0, sent_at=SENT_AT):
    """Return a request with its run, as a caller sees that outcome."""
    request_id = f"r{number}"
    streamed = kind in ("chat", "ask")
    request = soak_histories.Request(
        request_id=request_id,
        kind=kind,
        host="h",
        method="POST",
        path=f"/{kind}/",
        body="body",
        key="key",
        sent_at=sent_at,
        told_at=sent_at + 1,
    )
    if outcome in ("refused", "denied"):
        request.status = 503 if outcome == "refused" else 401
        request.whole = True
        return request
    request.runs.append(make_run(request, "u1"))
    if outcome in ("served", "broken"):
        request.status = 200
        request.seal = "seal-1"
        request.whole = outcome == "served"
        count = EVENTS if request.whole else EVENTS // 2
        request.event_ids = list(range(1, count + 1)) if streamed else []
        request.answer = "" if streamed else f"u1 {request_id}"
    if outcome == "hung":
        request.gave_up = request.hung = True
    return request


def make_run(request, upstream):
    """Return a run of a request as it was sent."""
    return soak_histories.Run(
        upstream=upstream,
        at=request.sent_at + 0.5,
        method=request.method,
        path=request.path,
        body=request.body,
        workspace="w",
    )


def change_run(request, **changes):
    """Replace fields of a request's run."""
    request.runs[0] = dataclasses.replace(request.runs[0], **changes)


@behave.when("soak: the faults of {count:d} seeds are planned twice")
def plan_twice(context, count):
    context.plans = [
        soak_plans.plan_faults(seed=seed, seconds=12.0)
        for seed in range(count)
    ]
    context.again = [
        soak_plans.plan_faults(seed=seed, seconds=12.0)
        for seed in range(count)
    ]


@behave.then("soak: both plans of each seed are the same")
def check_same_plans(context):
    assert context.plans == context.again
    assert len({str(it) for it in context.plans}) == len(context.plans)


@behave.then("soak: faults of every kind are among them")
def check_all_kinds(context):
    seen = {(it.group, it.kind) for plan in context.plans for it in plan}
    groups = (
        *soak_plans.GROUPS,
        *soak_plans.NETWORK_GROUPS,
        *soak_plans.SILENCE_GROUPS,
        *soak_plans.ANNOUNCED_GROUPS,
        *soak_plans.DARK_GROUPS,
    )
    for group, kinds, _ in groups:
        for kind in kinds:
            assert (group, kind) in seen, (group, kind)


@behave.then("soak: in each plan some faults overlap")
def check_overlap(context):
    for plan in context.plans:
        pairs = itertools.pairwise(plan)
        assert any(later.start < first.ends for first, later in pairs), plan


@behave.then("soak: nothing is brought over a target that has a fault already")
def check_clashes(context):
    for plan in context.plans:
        kept = soak_plans.drop_clashes(plan)
        for first, later in itertools.combinations(kept, 2):
            same = (first.group, first.target) == (later.group, later.target)
            assert not same or later.start >= first.ends


@behave.given("soak: a history of a {kind} request that was {outcome}")
def make_history(context, kind, outcome):
    context.request = make_request(kind, outcome)
    context.history = soak_histories.History(
        workspace="w",
        events=EVENTS,
        seals={"u1": "seal-1", "u2": "seal-2"},
        requests={context.request.request_id: context.request},
    )


@behave.given(
    "soak: {served:d} of {count:d} requests of the calm end are served"
)
def make_calm_end(context, served, count):
    outcomes = ["served"] * served + ["refused"] * (count - served)
    context.history = soak_histories.History(
        workspace="w",
        events=EVENTS,
        seals={"u1": "seal-1"},
        requests={
            f"r{number}": make_request("pay", outcome, number)
            for number, outcome in enumerate(outcomes)
        },
        calm_since=SENT_AT - 1,
    )


@behave.given(
    "soak: {count:d} calls ran {seconds:g} seconds after their callers had "
    "left a host that was {state}"
)
def make_departed(context, count, seconds, state):
    requests = [make_request("pay", "left", it) for it in range(count)]
    for request in requests:
        request.gave_up = True
        change_run(request, at=request.told_at + seconds)
    context.history = soak_histories.History(
        workspace="w",
        events=EVENTS,
        seals={"u1": "seal-1"},
        requests={it.request_id: it for it in requests},
    )
    if state == "frozen":
        disturb(context)


@behave.when("soak: nothing else happens")
def do_nothing(context):
    assert context.request.request_id in context.history.requests


@behave.when("soak: it runs a second time")
def run_again(context):
    context.request.runs.append(make_run(context.request, "u2"))


@behave.when("soak: a request runs that nobody sent")
def run_unasked(context):
    context.history.unasked.append("r-of-nobody")


@behave.when("soak: its key was taken away")
def revoke(context):
    context.history.revoked["key"] = SENT_AT - 3.5


@behave.when("soak: its key was taken away lately")
def revoke_lately(context):
    context.history.revoked["key"] = SENT_AT - 2.5


@behave.when("soak: its key was taken away in a cut")
def revoke_in_cut(context):
    revoke(context)
    disturb(context)


@behave.when("soak: its upstream left before")
def drain(context):
    context.history.drained["u1"].append((SENT_AT - 3, SENT_AT + 5))


@behave.when("soak: its upstream left just before")
def drain_lately(context):
    context.history.drained["u1"].append((SENT_AT - 2, SENT_AT + 5))


@behave.when("soak: it ran with another body")
def change_body(context):
    change_run(context.request, body="another")


@behave.when("soak: it ran for another workspace")
def change_workspace(context):
    change_run(context.request, workspace="another")


@behave.when("soak: its answer is another request's")
def cross_answer(context):
    context.request.answer = "u1 another"


@behave.when("soak: its answer has no seal")
def take_seal(context):
    context.request.seal = ""


@behave.when("soak: an event is missing")
def drop_event(context):
    del context.request.event_ids[0]


@behave.when("soak: an event came twice")
def double_event(context):
    context.request.event_ids.insert(0, 1)


@behave.when("soak: its host was told to stop")
def stop_host(context):
    context.history.planned["h"].append(SENT_AT - 1)


@behave.when("soak: its host was told to stop in a cut")
def stop_in_cut(context):
    stop_host(context)
    disturb(context)


@behave.when("soak: its upstream broke off at a stop")
def break_off_at_stop(context):
    stop_host(context)
    change_run(context.request, odd=True)


@behave.when("soak: its host was frozen")
def disturb(context):
    context.history.disturbed["h"].append((SENT_AT - 6, SENT_AT - 3))


@behave.then('soak: the check says "{finding}"')
def check_finding(context, finding):
    found = soak_histories.check(context.history)
    assert len(found) == 1, found
    assert finding in found[0], found


@behave.then('soak: the check says ""')
def check_no_finding(context):
    found = soak_histories.check(context.history)
    assert not found, found


@behave.when(
    "soak: seed {seed:d} is played for {seconds:d} seconds over {hosts:d} "
    "hosts"
)
def play_seed(context, seed, seconds, hosts):
    context.played = subprocess.run(
        [
            sys.executable,
            "-m",
            "testbed.soak",
            "--untimed",
            f"--seed={seed}",
            f"--seconds={seconds}",
            f"--hosts={hosts}",
        ],
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT,
    )


@behave.then("soak: no promise was broken")
def check_kept(context):
    played = context.played
    assert played.returncode == 0, played.stdout + played.stderr
