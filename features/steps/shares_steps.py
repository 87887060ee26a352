"""Steps on the shares of workspaces while room is short."""

import asyncio
import pathlib

import behave

from buckthornhold import grammars
from buckthornhold import reasons
from experiments import runs
from features import environment
from testbed import admission_benches
from testbed import workspace_loads

LINES = """\
limit workspace=large share=30%  # asked by: J. Ali: rulings
limit workspace=small share=30%  # asked by: J. Ali: questions
"""


def run(context, coroutine):
    return context.runner_loop.run_until_complete(coroutine)


def make_bench(context, admission):
    bench = admission_benches.AdmissionBench(
        engine_count=3,
        host_count=3,
        rule_set=grammars.parse_rules(context.lines),
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
    context.lines = LINES
    context.bench = make_bench(context, "fair")
    context.plain = make_bench(context, "measured")
    context.taken = []


@behave.when("shares: {name:w} asks {count:d} times for {tokens:d} tokens")
def ask(context, name, count, tokens):
    async def ask_all(bench):
        return [
            await bench.request_admission(tokens, workspace=name)
            for _ in range(count)
        ]

    context.outcomes = run(context, ask_all(context.bench))
    context.plain_outcomes = run(context, ask_all(context.plain))
    context.taken += [(context.bench, it) for it in context.outcomes]
    context.taken += [(context.plain, it) for it in context.plain_outcomes]


@behave.when("shares: {seconds:g} seconds pass and all answers end")
def end_answers(context, seconds):
    for bench in (context.bench, context.plain):
        bench.now += seconds
    for bench, place in context.taken:
        if not isinstance(place, reasons.Failure):
            bench.record_first_token(place)
            bench.release(place)
    context.taken = []


@behave.when(
    "shares: {count:d} workspaces that no line names ask for {tokens:d} "
    "tokens each"
)
def ask_unnamed(context, count, tokens):
    async def ask_all():
        for number in range(count):
            await context.bench.request_admission(
                tokens, workspace=f"caller-{number}"
            )

    run(context, ask_all())


def count_taken(outcomes):
    return sum(not isinstance(it, reasons.Failure) for it in outcomes)


@behave.then("shares: as many are taken as without shares")
def check_same(context):
    taken = count_taken(context.outcomes)
    assert 0 < taken == count_taken(context.plain_outcomes), taken


@behave.then("shares: fewer are taken than without shares")
def check_fewer(context):
    taken = count_taken(context.outcomes)
    assert 0 < taken < count_taken(context.plain_outcomes), taken


@behave.then(
    "shares: the last is refused as over its share, to come back later"
)
def check_refusal(context):
    failure = context.outcomes[-1]
    assert failure.reason is reasons.Reason.SHARE_EXCEEDED, failure
    assert failure.ran is reasons.Ran.NO, failure
    assert failure.retry_after > 0, failure


@behave.then("shares: all {count:d} are taken")
def check_all_taken(context, count):
    assert count_taken(context.outcomes) == count, context.outcomes


@behave.then("shares: the host keeps {count:d} account")
def check_accounts(context, count):
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
    context.fleet.apply_rules(text + LINES)


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
            addresses=[it.address for it in context.fleet.entries],
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
        it
        for it in context.results
        if it.workspace == "small" and it.sent_at >= start
    ]
    good = [it for it in own if it.chat.whole and it.first_token <= target]
    told = [it.chat.error["reason"] for it in own if it.chat.error]
    print(f"small: {len(good)} of {len(own)} in time, refused {told}")
    assert len(good) >= 0.6 * len(own), (len(good), len(own))


@behave.then(
    "shares: large is refused as over its share, as not run and counted"
)
def check_large_refused(context):
    refused = [
        it.chat
        for it in context.results
        if it.chat.error and it.chat.error["reason"] == "share_exceeded"
    ]
    assert refused
    words = [it.error["ran"] for it in refused]
    assert set(words) == {"no"}, words
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


@behave.then("shares: large gets the rest")
def check_large(context):
    served = dict.fromkeys(("large", "small"), 0)
    for result in context.results:
        served[result.workspace] += result.chat.whole
    assert served["large"] > served["small"], served
