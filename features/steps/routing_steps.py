"""Steps on the choice of upstreams, with a host that isn't started."""

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
RUNNING = 60


def run(context, job):
    """Run a coroutine on the scenario's event loop."""
    return context.runner.run(job)


def call(context, function, *arguments):
    """Call a function on the scenario's event loop."""

    async def call_there():
        return function(*arguments)

    return run(context, call_there())


def start_host(context, **values):
    """Start the scenario's hosts and have them closed behind it."""
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
    """Return a prompt's start."""
    return f"{number:08}" * 32


def choose(entry_host, number) -> str:
    """Return the name of the engine that a prompt would go to."""
    contract = entry_host.make_contract(
        PROMPT_TOKENS, prefix=make_prompt(number)
    )
    return entry_host.plan_attempt(contract).upstream.name


@contextlib.contextmanager
def count_looks():
    """Count how often a load is looked at."""
    counts = collections.Counter()
    plain = {
        name: getattr(load_trackers.LoadTracker, name)
        for name in ("estimate_requests", "find_report")
    }

    def make(name):
        def look(self, upstream):
            counts[name] += 1
            return plain[name](self, upstream)

        return look

    try:
        for name in plain:
            setattr(load_trackers.LoadTracker, name, make(name))
        yield counts
    finally:
        for name, function in plain.items():
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
def start_some(context, hosts, count):
    context.entry_hosts = [
        start_host(context, router="prefix", engine_count=count)
        for _ in range(hosts)
    ]
    records = [offline_hosts.make_engine_record(it) for it in range(count)]
    context.records = tuple(reversed(records))
    call(context, context.entry_hosts[0].apply_hosts, context.records)


@behave.when("routing: {count:d} requests are planned and admitted")
def plan_and_admit(context, count):
    async def go():
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

    with count_looks() as counts:
        run(context, go())
    context.looks = sum(counts.values()) / count
    print(f"{context.looks:.1f} loads looked at for each request")


@behave.then("routing: at most {most:d} loads were looked at for each")
def check_looks(context, most):
    assert context.looks <= most, context.looks


@behave.when("routing: one host sees {count:d} random changes, seed {seed:d}")
def change_much(context, count, seed):
    shuffled = random.Random(seed)
    entry_host = context.entry_hosts[1]
    listed = list(context.records)
    others = [offline_hosts.make_engine_record(it) for it in range(60, 120)]
    for _ in range(count):
        coming = shuffled.choice(others)
        if coming in listed:
            listed.remove(coming)
        else:
            listed.append(coming)
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
    assert all(it == first for it in others)


@behave.when(
    "routing: it chooses for {count:d} prompts before and after one engine "
    "goes"
)
def lose_one(context, count):
    context.before = [choose(context.entry_host, it) for it in range(count)]
    context.gone = context.before[0]
    call(context, drop, context)
    context.after = [choose(context.entry_host, it) for it in range(count)]


@behave.then("routing: only the prompts of that engine have moved")
def check_moved(context):
    for before, after in zip(context.before, context.after, strict=True):
        assert (before != after) is (before == context.gone)


@behave.then("routing: they have moved to at least {least:d} others")
def check_spread(context, least):
    found = {
        after
        for before, after in zip(context.before, context.after, strict=True)
        if before == context.gone
    }
    assert len(found) >= least, found


@behave.when("routing: it ranks the engines for {count:d} prompts")
def rank_all(context, count):
    pool = context.entry_host.upstreams.list_engines(offline_hosts.MODEL, "v1")
    context.firsts = collections.Counter(
        next(pool.rank(make_prompt(it))).name for it in range(count)
    )


@behave.then("routing: each is the first for at least {share:g} of the mean")
def check_parts(context, share):
    mean = sum(context.firsts.values()) / context.count
    assert len(context.firsts) == context.count
    least = min(context.firsts.values()) / mean
    print(f"least {least:.2f} of the mean")
    assert least >= share, least


def find_chosen(context):
    return next(
        it
        for it in context.entry_host.upstreams.list_all()
        if it.name == context.gone
    )


def list_records(context):
    return [it.record for it in context.entry_host.upstreams.list_all()]


def drop(context):
    context.entry_host.apply_hosts(
        tuple(it for it in list_records(context) if it.host != context.gone)
    )


def leave(context):
    context.entry_host.upstreams.mark_leaving(find_chosen(context))


def list_leaving(context):
    state = hosts.HostState.LEAVING
    records = [
        it.model_copy(update={"state": state})
        if it.host == context.gone
        else it
        for it in list_records(context)
    ]
    context.entry_host.apply_hosts(tuple(records))


def drain(context):
    context.entry_host.adopt_rules(
        f"{offline_hosts.RULES}"
        f"drain host={context.gone}  # asked by: a scenario\n"
    )


def fail_to_reach(context):
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


def crash(context):
    fact = poison_detectors.Crash(
        upstream=f"{context.gone}/1",
        zone="zone-0",
        host="entry-1",
        time=time.time(),
        suspects=(),
    ).make_fact(expires=time.time() + 60.0)
    context.entry_host.quarantines.detector.apply_fact(fact)


def report_load(context):
    find_chosen(context).engine.running = RUNNING
    context.entry_host.loads.refresh(find_chosen(context))


EVENTS = {
    "leaves": leave,
    "is listed as leaving": list_leaving,
    "is listed no more": drop,
    "is drained by a rule": drain,
    "could not be reached": fail_to_reach,
    "was seen to crash": crash,
    "reports 60 requests": report_load,
}


@behave.when("routing: the engine chosen for a prompt was tried before")
def try_one(context):
    contract = context.entry_host.make_contract(
        PROMPT_TOKENS, prefix=make_prompt(1)
    )
    plan = attempt_plans.AttemptPlan(
        host=context.entry_host, contract=contract, epoch=0
    )
    attempt = plan.make_attempt()
    context.gone = attempt.upstream.name
    attempt.failure = reasons.Failure(
        reason=reasons.Reason.UPSTREAM_REFUSED, step="engine"
    )
    plan.record_failure(attempt)
    context.now = plan.make_attempt().upstream.name


@behave.when("routing: the engine chosen for a prompt {event}")
def meet(context, event):
    context.gone = choose(context.entry_host, 1)
    call(context, EVENTS[event], context)
    run(context, context.entry_host.await_load_reports())
    context.now = choose(context.entry_host, 1)


@behave.when(
    "routing: all engines report {count:d} requests, and the chosen one "
    "{most:d}"
)
def load_all(context, count, most):
    context.gone = choose(context.entry_host, 1)
    for upstream in context.entry_host.upstreams.list_all():
        upstream.engine.running = count
    find_chosen(context).engine.running = most
    run(context, context.entry_host.refresh_loads())
    context.now = choose(context.entry_host, 1)


@behave.then("routing: another is chosen for that prompt at once")
def check_other(context):
    assert context.now != context.gone, context.now


@behave.then(
    "routing: it is chosen again once it was asked and answered, not before"
)
def check_again(context):
    assert context.now != context.gone
    assert choose(context.entry_host, 1) != context.gone

    async def ask():
        await context.entry_host.silences.run_once()
        await context.entry_host.await_load_reports()

    run(context, ask())
    assert choose(context.entry_host, 1) == context.gone


@behave.when("routing: a rule allows only {host_class} hosts of {zone:S}")
def allow(context, host_class, zone):
    context.allowed = (host_class, zone)
    rule = offline_hosts.RULES.replace(
        "version=v1", f"version=v1 zones={zone} classes={host_class}"
    )
    context.entry_host.adopt_rules(rule)


@behave.then("routing: all prompts go to such hosts")
def check_allowed(context):
    records = {it.host: it for it in list_records(context)}
    chosen = {choose(context.entry_host, it) for it in range(200)}
    assert len(chosen) > 1
    for name in chosen:
        record = records[name]
        assert (record.host_class, record.zone) == context.allowed, record
