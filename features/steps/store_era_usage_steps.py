"""Steps on usage windows of a restored store, without a network."""

import asyncio
import json
import types

import behave
import loguru

from buckthornhold import counters
from buckthornhold import usages
from testbed import era_stores

WINDOW = 100
WINDOW_SECONDS = 5.0


class Cloud(usages.FencedClient):
    """Takes reports and keeps them all."""

    def __init__(self):
        self.reports = []

    async def report_usage(self, window, counts, *, fence):
        """Keep a report."""
        self.reports.append((window, dict(counts)))

    async def order_upstreams(self, *args, **kwargs):
        """Not used."""


class Host:
    """A host with the parts that a reporter needs."""

    def __init__(self, *, backend, cloud, count):
        self.store = era_stores.EraStore(backend=backend)
        self.eras = self.store.eras
        self.logger = loguru.logger
        self.counters = counters.Counters(address=None, prefix="")
        self.settings = types.SimpleNamespace(
            bounds=types.SimpleNamespace(
                usage_window=WINDOW_SECONDS, usage_late=10.0
            )
        )
        self.duty = types.SimpleNamespace(held=False, fence=1)
        self.time_of_day = (WINDOW + 2) * WINDOW_SECONDS
        self.usage = types.SimpleNamespace(
            find_current_window=lambda: WINDOW + 1,
            counts={WINDOW: {"shop": count}},
        )
        self.summaries = types.SimpleNamespace(
            aggregation_delay_seconds=0.0,
            read_time_of_day=lambda: self.time_of_day,
            count_silent_hosts=lambda: 0,
            list_all=list,
        )
        self.broadcasts = self
        self.followers = []
        self.told = 0
        self.reporter = usages.UsageReporter(host=self, calls=cloud)

    def add_topic(self, name, *, read, read_version, apply):
        """Register the totals' topic."""
        self.read = read
        self.apply = apply

    def publish(self, topic):
        """Tell the followers the totals at once."""
        self.told += 1
        for follower in self.followers:
            follower.apply(self.read())


def run(host, steps):
    async def report():
        host.duty.held = True
        for _ in range(steps):
            await host.reporter.run_once()
        host.duty.held = False

    loguru.logger.disable("buckthornhold")
    asyncio.run(report())
    loguru.logger.enable("buckthornhold")


@behave.given("eras: a holder of the duties and a host that follows it")
def make_hosts(context):
    backend = context.backend = era_stores.EraBackend()
    backend.take_copy()
    context.cloud = Cloud()
    make = {"backend": backend, "cloud": context.cloud}
    context.holder = Host(count=7, **make)
    context.other = Host(count=9, **make)
    context.holder.followers.append(context.other)
    for host in (context.holder, context.other):
        host.reporter._start_window = WINDOW


@behave.when(
    "eras: the store goes back {when} write {write:d} of a window's report"
)
def report_and_restore(context, when, write):
    backend = context.backend
    backend.plan = (write, when)
    # The third write doesn't happen: the total is lost after its report.
    run(context.holder, 2)
    if backend.era == 0:
        assert context.cloud.reports
        backend.restore()


@behave.when("eras: the {name} host reports with other counts of its own")
def report_again(context, name):
    host = context.holder if name == "same" else context.other
    host.usage.counts[WINDOW]["shop"] += 5
    host.reporter._reported.clear()
    run(host, 6)


@behave.then("eras: the window was reported with one count")
def check_reports(context):
    reports = {json.dumps(report) for report in context.cloud.reports}
    assert len(reports) == 1, context.cloud.reports


@behave.then("eras: the store has the reported total")
def check_total(context):
    stored = json.loads(context.backend.items[f"usage/{WINDOW}"][1])
    assert stored == context.cloud.reports[0][1], stored


@behave.when("eras: the store names no era and a window is reported")
def report_without_eras(context):
    context.backend.names_era = False
    context.holder = Host(
        backend=context.backend, cloud=context.cloud, count=7
    )
    context.holder.reporter._start_window = WINDOW
    run(context.holder, 1)


@behave.then("eras: it was reported in one step and no other host was told")
def check_at_once(context):
    assert len(context.cloud.reports) == 1
    assert context.holder.told == 0


@behave.when(
    "eras: the other host takes over {count:d} windows of which it knows "
    "the last"
)
def take_over(context, count):
    host = context.other
    last = WINDOW + count - 1
    for window in range(WINDOW, last + 1):
        host.usage.counts[window] = {"shop": 1}
    host.usage.find_current_window = lambda: last + 1
    host.time_of_day = (last + 2) * WINDOW_SECONDS
    host.followers.append(context.holder)
    host.reporter._totals.add(last, {"shop": 1})
    host.publish("usage-totals")
    host.told = 0
    run(host, 4)


@behave.then(
    "eras: it reported all {count:d} windows and announced each total once"
)
def check_taken_over(context, count):
    reported = {window for window, _ in context.cloud.reports}
    assert reported == set(range(WINDOW, WINDOW + count)), reported
    assert context.other.told == count - 1, context.other.told


@behave.then("eras: the first host knows all {count:d} totals")
def check_known(context, count):
    totals = context.holder.reporter._totals
    windows = range(WINDOW, WINDOW + count)
    assert all(totals.find(it) for it in windows), totals._totals


@behave.when("eras: two hosts know one total each and exchange them")
def exchange_totals(context):
    hosts = (context.holder, context.other)
    for number, host in enumerate(hosts):
        host.reporter._totals.add(WINDOW + number, {"shop": 1})
    # Whoever is behind pulls, as by probes.
    for _ in range(2):
        first, second = sorted(
            hosts, key=lambda it: it.reporter._totals.version
        )
        first.apply(second.read())


@behave.then("eras: each of them knows both totals")
def check_exchanged(context):
    for host in (context.holder, context.other):
        totals = host.reporter._totals
        assert totals.find(WINDOW) and totals.find(WINDOW + 1), totals._totals


def use_era(context, era):
    """Have the store be in an era that hosts have known since its start."""
    context.backend.era = era
    context.holder = Host(
        backend=context.backend, cloud=context.cloud, count=7
    )
    host = context.holder
    host.usage.find_current_window = lambda: WINDOW
    host.time_of_day = WINDOW * WINDOW_SECONDS
    run(host, 1)
    assert not context.cloud.reports
    context.backend.take_copy()


@behave.when(
    "eras: a window is reported and its total is lost with era {era:d}"
)
def report_and_lose(context, era):
    use_era(context, era)
    host = context.holder
    host.usage.find_current_window = lambda: WINDOW + 1
    host.time_of_day = (WINDOW + 2) * WINDOW_SECONDS
    run(host, 2)
    assert context.cloud.reports
    context.backend.restore()


@behave.when(
    "eras: another process starts with {count:d} counts of that window"
)
def start_other_process(context, count):
    host = Host(backend=context.backend, cloud=context.cloud, count=count)
    if not count:
        del host.usage.counts[WINDOW]
    run(host, 4)
    context.process = host


@behave.then("eras: the process reports the next window")
def check_next(context):
    host = context.process
    host.usage.counts[WINDOW + 1] = {"shop": 3}
    host.usage.find_current_window = lambda: WINDOW + 2
    host.time_of_day = (WINDOW + 3) * WINDOW_SECONDS
    run(host, 4)
    assert (WINDOW + 1, {"shop": 3}) in context.cloud.reports


@behave.when(
    "eras: all processes end in era {era:d} before a window is reported"
)
def end_before_report(context, era):
    use_era(context, era)


@behave.when("eras: a window is reported while the other host {cut}")
def report_untold(context, cut):
    context.holder.followers.clear()
    run(context.holder, 2)
    assert context.cloud.reports
    other = context.other
    if cut == "misses a host for a moment":
        other.summaries.count_silent_hosts = lambda: 1
        asyncio.run(other.reporter.run_once())
        other.summaries.count_silent_hosts = lambda: 0
        return
    other.reporter._start_window = WINDOW - 4
    asyncio.run(other.reporter.run_once())


@behave.when("eras: the store goes back and the other host takes over")
def restore_and_take_over(context):
    context.backend.restore()
    run(context.other, 4)
