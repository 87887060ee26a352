"""Steps on the fair shares of workspaces under overload."""

import asyncio
import pathlib

import behave

from buckthornhold import grammars
from buckthornhold import reasons
from experiments import runs
from features import environment
from testbed import admission_benches
from testbed import workspace_loads

LIMIT_LINES = """\
limit workspace=large share=30%  # asked by: J. Ali: rulings
limit workspace=small share=30%  # asked by: J. Ali: questions
"""


def run(context, coroutine):
    return context.runner_loop.run_until_complete(coroutine)


def make_bench(context, admission):
    bench = admission_benches.AdmissionBench(
        engine_count=3,
        host_count=3,
        rule_set=grammars.parse_rules(context.limit_lines),
        admission=admission,
    )
    run(context, bench.load_reports())
    return bench


@behave.given(
    "shares: 3 engines behind 3 hosts, large and small with 30% each"
)
def make_benches(context):
    context.runner_loop = asyncio.new_event_loop()
    context.add_cleanup(context.runner_loop.close)
    context.limit_lines = LIMIT_LINES
    context.bench = make_bench(context, "fair")
    context.unshared_bench = make_bench(context, "measured")
    context.answering = []


@behave.when("shares: {name:w} sends {count:d} requests of {tokens:d} tokens")
def send_requests(context, name, count, tokens):
    async def send_all(bench):
        return [
            await bench.request_admission(tokens, workspace=name)
            for _ in range(count)
        ]

    context.outcomes = run(context, send_all(context.bench))
    context.unshared_outcomes = run(context, send_all(context.unshared_bench))
    context.answering += [
        (context.bench, outcome) for outcome in context.outcomes
    ]
    context.answering += [
        (context.unshared_bench, outcome)
        for outcome in context.unshared_outcomes
    ]


@behave.when("shares: {seconds:g} seconds pass and all answers end")
def end_answers(context, seconds):
    for bench in (context.bench, context.unshared_bench):
        bench.now += seconds
    for bench, outcome in context.answering:
        if not isinstance(outcome, reasons.Failure):
            bench.record_first_token(outcome)
            bench.release(outcome)
    context.answering = []


@behave.when(
    "shares: {count:d} workspaces without a limit line send {tokens:d} "
    "tokens each"
)
def send_without_lines(context, count, tokens):
    async def send_all():
        for number in range(count):
            await context.bench.request_admission(
                tokens, workspace=f"caller-{number}"
            )

    run(context, send_all())


def count_admitted(outcomes):
    return sum(
        not isinstance(outcome, reasons.Failure) for outcome in outcomes
    )


@behave.then("shares: as many are admitted as without shares")
def check_same(context):
    admitted = count_admitted(context.outcomes)
    assert 0 < admitted == count_admitted(context.unshared_outcomes), admitted


@behave.then("shares: fewer are admitted than without shares")
def check_fewer(context):
    admitted = count_admitted(context.outcomes)
    assert 0 < admitted < count_admitted(context.unshared_outcomes), admitted


@behave.then(
    "shares: the last is refused as over its share, with a retry time"
)
def check_refusal(context):
    failure = context.outcomes[-1]
    assert failure.reason is reasons.Reason.SHARE_EXCEEDED, failure
    assert failure.ran is reasons.Ran.NO, failure
    assert failure.retry_after > 0, failure


@behave.then("shares: all {count:d} are admitted")
def check_all_admitted(context, count):
    assert count_admitted(context.outcomes) == count, context.outcomes


@behave.then("shares: the host keeps the usage of {count:d} limit line")
def check_limit_lines(context, count):
    assert context.bench.count_limit_lines() == count


@behave.given("shares: a fleet of slow engines, large and small with 30% each")
def use_fleet(context):
    environment.use_fresh_fleet(
        context,
        engine_options=runs.ENGINE_OPTIONS,
        settings={
            "admission": context.config.userdata.get("admission", "fair"),
            "lookup_patience": environment.LOOKUP_PATIENCE,
        },
    )
    text = pathlib.Path("testbed/fleet.rules").read_text()
    context.fleet.apply_rules(text + LIMIT_LINES)


@behave.when(
    "shares: large sends {large:d}/s and small {small:d}/s for "
    "{seconds:d} seconds, seed {seed:d}"
)
def send(context, large, small, seconds, seed):
    context.results = asyncio.run(
        workspace_loads.send_loads(
            [
                workspace_loads.WorkspaceLoad(workspace="large", rate=large),
                workspace_loads.WorkspaceLoad(workspace="small", rate=small),
            ],
            addresses=[entry.address for entry in context.fleet.entries],
            seconds=seconds,
            seed=seed,
        )
    )


@behave.then(
    "shares: 6 of 10 of small's requests after {start:g} s have their first "
    "token within {target:g} s"
)
def check_small(context, start, target):
    own = [
        result
        for result in context.results
        if result.workspace == "small" and result.sent_at >= start
    ]
    in_time = [
        result
        for result in own
        if result.chat.whole and result.first_token <= target
    ]
    refusals = [
        result.chat.error["reason"] for result in own if result.chat.error
    ]
    print(f"small: {len(in_time)} of {len(own)} in time, refused {refusals}")
    assert len(in_time) >= 0.6 * len(own), (len(in_time), len(own))


@behave.then(
    "shares: large is refused as over its share, as not run and counted"
)
def check_large_refused(context):
    refused = [
        result.chat
        for result in context.results
        if result.chat.error
        and result.chat.error["reason"] == "share_exceeded"
    ]
    assert refused
    ran_values = [answer.error["ran"] for answer in refused]
    assert set(ran_values) == {"no"}, ran_values
    ran = {
        execution["request_id"]
        for engine in context.fleet.engines
        for execution in engine.get("/executions")
    }
    for chat in refused:
        assert chat.status == 429, chat
        assert chat.error["ran"] == "no", chat
        assert chat.error["retry_after"] > 0, chat
        assert chat.request_id not in ran, chat
    counted = sum(
        entry.operate("GET", "/counters").json()["refusals.share_exceeded"]
        for entry in context.fleet.entries
    )
    assert counted == len(refused), (counted, len(refused))


@behave.then("shares: large gets more answers than small")
def check_large(context):
    served = dict.fromkeys(("large", "small"), 0)
    for result in context.results:
        served[result.workspace] += result.chat.whole
    assert served["large"] > served["small"], served
