"""Steps on the choice of upstreams by a host that isn't started."""

import asyncio
import collections
import contextlib
import random
import time

import behave

from buckthornhold import attempt_plans
from buckthornhold import attempts
from buckthornhold import hosts
from buckthornhold import load_trackers
from buckthornhold import reasons
from buckthornhold import signals
from buckthornhold.coordination import poison_detectors
from testbed import offline_hosts

PROMPT_TOKENS = 300
LOADED_REQUESTS = 60


def run(context, job):
    """Run a coroutine on the scenario's event loop."""
    return context.runner.run(job)


def call(context, function, *arguments):
    """Call a function on the scenario's event loop."""

    async def call_on_loop():
        return function(*arguments)

    return run(context, call_on_loop())


def start_host(context, **values):
    """Return a new host, which is closed after the scenario."""
    if not hasattr(context, "runner"):
        context.runner = asyncio.Runner()
        context.add_cleanup(context.runner.close)
    entry_host = run(
        context,
        offline_hosts.make_host(host_count=9, load_interval=0.001, **values),
    )
    context.add_cleanup(lambda: run(context, entry_host.on_shutdown()))
    return entry_host


def make_prompt(number) -> str:
    """Return the prefix of a prompt."""
    return f"{number:08}" * 32


def choose(entry_host, number) -> str:
    """Return the name of the engine that is chosen for a prompt."""
    contract = entry_host.make_contract(
        PROMPT_TOKENS, prefix=make_prompt(number)
    )
    return entry_host.plan_attempt(contract).upstream.name


@contextlib.contextmanager
def count_load_reads():
    """Count how often a load estimate or report is read."""
    counts = collections.Counter()
    originals = {
        name: getattr(load_trackers.LoadTracker, name)
        for name in ("estimate_requests", "find_report")
    }

    def make(name):
        def read(self, upstream):
            counts[name] += 1
            return originals[name](self, upstream)

        return read

    try:
        for name in originals:
            setattr(load_trackers.LoadTracker, name, make(name))
        yield counts
    finally:
        for name, function in originals.items():
            setattr(load_trackers.LoadTracker, name, function)


@behave.given(
    "routing: a host with the router {router} that knows {count:d} engines"
)
def start_one(context, router, count):
    context.count = count
    context.entry_host = start_host(context, router=router, engine_count=count)


@behave.given(
    "routing: {hosts:d} hosts that know the same {count:d} engines in another "
    "order"
)
def start_reordered(context, hosts, count):
    context.entry_hosts = [
        start_host(context, router="prefix", engine_count=count)
        for _ in range(hosts)
    ]
    records = [
        offline_hosts.make_engine_record(number) for number in range(count)
    ]
    context.records = tuple(reversed(records))
    call(context, context.entry_hosts[0].apply_hosts, context.records)


@behave.when("routing: {count:d} requests are planned and admitted")
def plan_and_admit(context, count):
    async def plan_all():
        for _ in range(count):
            attempt = context.entry_host.plan_attempt(
                context.entry_host.make_contract(PROMPT_TOKENS)
            )
            assert not isinstance(
                context.entry_host.admit(attempt), reasons.Failure
            )
            signals.attempt_started.send(context.entry_host, attempt=attempt)
            attempt.upstream.in_flight += 1
            await context.entry_host.await_load_reports()

    with count_load_reads() as counts:
        run(context, plan_all())
    context.reads = sum(counts.values()) / count
    print(f"{context.reads:.1f} loads read for each request")


@behave.then("routing: at most {most:d} loads were read for each")
def check_reads(context, most):
    assert context.reads <= most, context.reads


@behave.when("routing: one host sees {count:d} random changes, seed {seed:d}")
def apply_random_changes(context, count, seed):
    generator = random.Random(seed)
    entry_host = context.entry_hosts[1]
    listed = list(context.records)
    others = [
        offline_hosts.make_engine_record(number) for number in range(60, 120)
    ]
    for _ in range(count):
        changed = generator.choice(others)
        if changed in listed:
            listed.remove(changed)
        else:
            listed.append(changed)
        call(context, entry_host.apply_hosts, tuple(listed))
        choose(entry_host, 0)
    call(context, entry_host.apply_hosts, context.records)


@behave.when("routing: all hosts choose for {count:d} prompts")
def choose_everywhere(context, count):
    context.chosen = [
        [choose(entry_host, number) for number in range(count)]
        for entry_host in context.entry_hosts
    ]


@behave.then("routing: all hosts chose the same")
def check_same(context):
    first, *others = context.chosen
    assert len(set(first)) > 1
    assert all(names == first for names in others)


@behave.when(
    "routing: it chooses for {count:d} prompts before and after the loss of "
    "one"
)
def lose_engine(context, count):
    context.before = [
        choose(context.entry_host, number) for number in range(count)
    ]
    context.lost_engine = context.before[0]
    call(context, unlist, context)
    context.after = [
        choose(context.entry_host, number) for number in range(count)
    ]


@behave.then("routing: only the prompts of that engine have moved")
def check_moved(context):
    for before, after in zip(context.before, context.after, strict=True):
        assert (before != after) is (before == context.lost_engine)


@behave.then("routing: they have moved to at least {least:d} others")
def check_spread(context, least):
    found = {
        after
        for before, after in zip(context.before, context.after, strict=True)
        if before == context.lost_engine
    }
    assert len(found) >= least, found


@behave.when("routing: it ranks the engines for {count:d} prompts")
def rank_all(context, count):
    pool = context.entry_host.upstreams.list_engines(offline_hosts.MODEL, "v1")
    context.firsts = collections.Counter(
        next(pool.rank(make_prompt(number))).name for number in range(count)
    )


@behave.then("routing: each is the first for at least {share:g} of the mean")
def check_distribution(context, share):
    mean = sum(context.firsts.values()) / context.count
    assert len(context.firsts) == context.count
    least = min(context.firsts.values()) / mean
    print(f"least {least:.2f} of the mean")
    assert least >= share, least


def find_chosen(context):
    return next(
        upstream
        for upstream in context.entry_host.upstreams.list_all()
        if upstream.name == context.lost_engine
    )


def list_records(context):
    return [
        upstream.record for upstream in context.entry_host.upstreams.list_all()
    ]


def unlist(context):
    context.entry_host.apply_hosts(
        tuple(
            record
            for record in list_records(context)
            if record.host != context.lost_engine
        )
    )


def mark_leaving(context):
    context.entry_host.upstreams.mark_leaving(find_chosen(context))


def list_leaving(context):
    state = hosts.HostState.LEAVING
    records = [
        record.model_copy(update={"state": state})
        if record.host == context.lost_engine
        else record
        for record in list_records(context)
    ]
    context.entry_host.apply_hosts(tuple(records))


def drain(context):
    context.entry_host.adopt_rules(
        f"{offline_hosts.RULES}"
        f"drain host={context.lost_engine}  # asked by: a scenario\n"
    )


def fail_to_connect(context):
    attempt = attempts.Attempt(
        contract=context.entry_host.make_contract(PROMPT_TOKENS),
        number=0,
        upstream=find_chosen(context),
        version="v1",
    )
    attempt.failure = reasons.Failure(
        reason=reasons.Reason.UPSTREAM_UNREACHABLE, step="connect"
    )
    signals.attempt_finished.send(context.entry_host, attempt=attempt)


def report_crash(context):
    fact = poison_detectors.Crash(
        upstream=f"{context.lost_engine}/1",
        zone="zone-0",
        host="entry-1",
        time=time.time(),
        suspects=(),
    ).make_fact(expires=time.time() + 60.0)
    context.entry_host.quarantines.detector.apply_fact(fact)


def report_load(context):
    find_chosen(context).engine.running = LOADED_REQUESTS
    context.entry_host.loads.refresh(find_chosen(context))


EVENTS = {
    "is marked as leaving": mark_leaving,
    "is listed as leaving": list_leaving,
    "is no longer listed": unlist,
    "is drained by a rule": drain,
    "was unreachable": fail_to_connect,
    "has crashed": report_crash,
    "reports 60 requests": report_load,
}


@behave.when("routing: the engine chosen for a prompt was tried before")
def fail_one_attempt(context):
    contract = context.entry_host.make_contract(
        PROMPT_TOKENS, prefix=make_prompt(1)
    )
    plan = attempt_plans.AttemptPlan(
        host=context.entry_host, contract=contract, epoch=0
    )
    attempt = plan.make_attempt()
    context.lost_engine = attempt.upstream.name
    attempt.failure = reasons.Failure(
        reason=reasons.Reason.UPSTREAM_REFUSED, step="engine"
    )
    plan.record_failure(attempt)
    context.chosen_after = plan.make_attempt().upstream.name


@behave.when("routing: the engine chosen for a prompt {event}")
def trigger_event(context, event):
    context.lost_engine = choose(context.entry_host, 1)
    call(context, EVENTS[event], context)
    run(context, context.entry_host.await_load_reports())
    context.chosen_after = choose(context.entry_host, 1)


@behave.when(
    "routing: all engines report {count:d} requests, and the chosen one "
    "{most:d}"
)
def load_engines(context, count, most):
    context.lost_engine = choose(context.entry_host, 1)
    for upstream in context.entry_host.upstreams.list_all():
        upstream.engine.running = count
    find_chosen(context).engine.running = most
    run(context, context.entry_host.refresh_loads())
    context.chosen_after = choose(context.entry_host, 1)


@behave.then("routing: another is chosen for that prompt at once")
def check_other(context):
    assert context.chosen_after != context.lost_engine, context.chosen_after


@behave.then(
    "routing: it is chosen again once it responds to a probe, not before"
)
def check_chosen_again(context):
    assert context.chosen_after != context.lost_engine
    assert choose(context.entry_host, 1) != context.lost_engine

    async def probe():
        await context.entry_host.silences.run_once()
        await context.entry_host.await_load_reports()

    run(context, probe())
    assert choose(context.entry_host, 1) == context.lost_engine


@behave.when("routing: a rule allows only {host_class} hosts of {zone:S}")
def restrict(context, host_class, zone):
    context.allowed = (host_class, zone)
    rule = offline_hosts.RULES.replace(
        "version=v1", f"version=v1 zones={zone} classes={host_class}"
    )
    context.entry_host.adopt_rules(rule)


@behave.then("routing: all prompts go to such hosts")
def check_allowed(context):
    records = {listed.host: listed for listed in list_records(context)}
    chosen = {choose(context.entry_host, number) for number in range(200)}
    assert len(chosen) > 1
    for name in chosen:
        record = records[name]
        assert (record.host_class, record.zone) == context.allowed, record
