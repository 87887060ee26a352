"""Steps on priorities under overload, with a simulated clock."""

import asyncio
import collections
import heapq
import itertools

import behave

from buckthornhold import grammars
from buckthornhold import reasons
from testbed import admission_benches

LIMIT_LINES = """\
limit workspace=marshals priority=3  # asked by: J. Ali: quick questions
limit workspace=rulings priority=1  # asked by: J. Ali: long rulings
"""


@behave.given("priorities: 3 engines behind 3 hosts, marshals before rulings")
def make_bench(context):
    context.runner_loop = asyncio.new_event_loop()
    context.add_cleanup(context.runner_loop.close)
    context.bench = admission_benches.AdmissionBench(
        engine_count=3,
        host_count=3,
        rule_set=grammars.parse_rules(LIMIT_LINES),
        admission=context.config.userdata.get("admission", "fair"),
    )
    context.runner_loop.run_until_complete(context.bench.load_reports())


@behave.when(
    "priorities: in each {step:g} of {seconds:d} seconds {count:d} rulings "
    "of {tokens:d} tokens arrive"
)
def set_rulings(context, step, seconds, count, tokens):
    context.step = step
    context.seconds = seconds
    context.rulings = (count, tokens)


@behave.when("priorities: of marshals {count:d} of {tokens:d} tokens")
def simulate(context, count, tokens):
    bench = context.bench
    context.sent = collections.Counter()
    context.work = collections.Counter()
    context.admitted = collections.Counter()
    context.refusals = []
    numbers = itertools.count()
    events = []
    start = bench.now
    for step in range(round(context.seconds / context.step)):
        step_start = start + step * context.step
        for _ in range(context.rulings[0]):
            request = ("rulings", context.rulings[1])
            heapq.heappush(events, (step_start, next(numbers), request))
        for number in range(count):
            arrival = step_start + number * context.step / count
            request = ("marshals", tokens)
            heapq.heappush(events, (arrival, next(numbers), request))
    free_at = [start] * len(bench.engines)

    async def simulate_events():
        while events:
            bench.now, _, event = heapq.heappop(events)
            if not isinstance(event, tuple):
                bench.record_first_token(event)
                bench.release(event)
                continue
            name, size = event
            context.sent[name] += 1
            engine = bench.next_engine
            outcome = await bench.request_admission(
                size, workspace=name, max_tokens=1
            )
            if isinstance(outcome, reasons.Failure):
                context.refusals.append((name, outcome))
                continue
            context.work[name] += size
            context.admitted[name] += 1
            prefill_start = max(bench.now, free_at[engine])
            free_at[engine] = (
                prefill_start
                + size / admission_benches.PREFILL_TOKENS_PER_SECOND
            )
            heapq.heappush(events, (free_at[engine], next(numbers), outcome))

    context.runner_loop.run_until_complete(simulate_events())
    print(dict(context.sent), dict(context.admitted), dict(context.work))


@behave.when(
    "priorities: streams without a line occupy all slots, and both arrive"
)
def send_while_full(context):
    bench = context.bench
    context.refusals = []

    async def send():
        slots = admission_benches.ENGINE_SLOTS * len(bench.engines)
        for _ in range(slots):
            await bench.request_admission(
                1, workspace="other", max_tokens=2000
            )
        # By then all recorded usage has decayed.
        bench.now += 3600.0
        for name in ("marshals", "rulings"):
            outcome = await bench.request_admission(
                100, workspace=name, max_tokens=2000
            )
            assert isinstance(outcome, reasons.Failure), outcome
            context.refusals.append((name, outcome))

    context.runner_loop.run_until_complete(send())


@behave.then(
    "priorities: at least {percent:d}% of marshals' requests are admitted"
)
def check_marshals(context, percent):
    admitted = context.admitted["marshals"]
    assert admitted >= percent / 100 * context.sent["marshals"], admitted


@behave.then("priorities: rulings are refused as not run, with a retry time")
def check_refused(context):
    refused = [
        refusal for name, refusal in context.refusals if name == "rulings"
    ]
    assert refused
    for failure in refused:
        assert failure.ran is reasons.Ran.NO, failure
        assert failure.retry_after > 0, failure


@behave.then("priorities: some are refused since others have precedence")
def check_reasons(context):
    found = {failure.reason for _, failure in context.refusals}
    assert reasons.Reason.SHARE_EXCEEDED in found, found


@behave.then("priorities: rulings get at least {percent:d}% of the work")
def check_rulings(context, percent):
    total = sum(context.work.values())
    assert context.work["rulings"] >= percent / 100 * total, context.work


@behave.then("priorities: marshals get more than rulings")
def check_more(context):
    assert context.work["marshals"] > context.work["rulings"], context.work


@behave.then(
    "priorities: rulings get at least {percent:d}% of the engines' capacity"
)
def check_all_used(context, percent):
    least = percent / 100 * context.bench.total_prefill_rate * context.seconds
    assert context.work["rulings"] >= least, (context.work, least)
