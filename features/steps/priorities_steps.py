"""Steps on priorities while room is short, with a set clock."""

import asyncio
import collections
import heapq
import itertools

import behave

from buckthornhold import grammars
from buckthornhold import reasons
from testbed import admission_benches

LINES = """\
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
        rule_set=grammars.parse_rules(LINES),
        admission=context.config.userdata.get("admission", "fair"),
    )
    context.runner_loop.run_until_complete(context.bench.load_reports())


@behave.when(
    "priorities: in each {step:g} of {seconds:d} seconds {count:d} rulings "
    "of {tokens:d} tokens ask"
)
def set_rulings(context, step, seconds, count, tokens):
    context.step = step
    context.seconds = seconds
    context.rulings = (count, tokens)


@behave.when("priorities: of marshals {count:d} of {tokens:d} tokens")
def drive(context, count, tokens):
    bench = context.bench
    context.asked = collections.Counter()
    context.work = collections.Counter()
    context.counts = collections.Counter()
    context.refusals = []
    numbers = itertools.count()
    events = []
    start = bench.now
    for turn in range(round(context.seconds / context.step)):
        at = start + turn * context.step
        for _ in range(context.rulings[0]):
            ask = ("rulings", context.rulings[1])
            heapq.heappush(events, (at, next(numbers), ask))
        for number in range(count):
            when = at + number * context.step / count
            ask = ("marshals", tokens)
            heapq.heappush(events, (when, next(numbers), ask))
    free_at = [start] * len(bench.engines)

    async def run():
        while events:
            bench.now, _, event = heapq.heappop(events)
            if not isinstance(event, tuple):
                bench.record_first_token(event)
                bench.release(event)
                continue
            name, size = event
            context.asked[name] += 1
            engine = bench.next_engine
            place = await bench.request_admission(
                size, workspace=name, max_tokens=1
            )
            if isinstance(place, reasons.Failure):
                context.refusals.append((name, place))
                continue
            context.work[name] += size
            context.counts[name] += 1
            begins = max(bench.now, free_at[engine])
            free_at[engine] = (
                begins + size / admission_benches.PREFILL_TOKENS_PER_SECOND
            )
            heapq.heappush(events, (free_at[engine], next(numbers), place))

    context.runner_loop.run_until_complete(run())
    print(dict(context.asked), dict(context.counts), dict(context.work))


@behave.when("priorities: streams of no line hold all slots, and both ask")
def ask_while_full(context):
    bench = context.bench
    context.refusals = []

    async def run():
        slots = admission_benches.ENGINE_SLOTS * len(bench.engines)
        for _ in range(slots):
            await bench.request_admission(
                1, workspace="other", max_tokens=2000
            )
        # Long after them, so that nothing counts as used any more.
        bench.now += 3600.0
        for name in ("marshals", "rulings"):
            place = await bench.request_admission(
                100, workspace=name, max_tokens=2000
            )
            assert isinstance(place, reasons.Failure), place
            context.refusals.append((name, place))

    context.runner_loop.run_until_complete(run())


@behave.then(
    "priorities: at least {percent:d}% of marshals' requests are taken"
)
def check_marshals(context, percent):
    taken = context.counts["marshals"]
    assert taken >= percent / 100 * context.asked["marshals"], taken


@behave.then("priorities: rulings are refused as not run, to come back later")
def check_refused(context):
    refused = [it for name, it in context.refusals if name == "rulings"]
    assert refused
    for failure in refused:
        assert failure.ran is reasons.Ran.NO, failure
        assert failure.retry_after > 0, failure


@behave.then("priorities: some of them since others go first")
def check_reasons(context):
    found = {it.reason for _, it in context.refusals}
    assert reasons.Reason.SHARE_EXCEEDED in found, found


@behave.then("priorities: rulings get at least {percent:d}% of the work")
def check_rulings(context, percent):
    total = sum(context.work.values())
    assert context.work["rulings"] >= percent / 100 * total, context.work


@behave.then("priorities: marshals get more than rulings")
def check_more(context):
    assert context.work["marshals"] > context.work["rulings"], context.work


@behave.then(
    "priorities: rulings get at least {percent:d}% of what the engines can do"
)
def check_all_used(context, percent):
    least = percent / 100 * context.bench.total_prefill_rate * context.seconds
    assert context.work["rulings"] >= least, (context.work, least)
