"""Steps on limits over all hosts, on tables without network."""

import collections
import random

import behave

from buckthornhold import quotas
from buckthornhold import routes

TELL_SECONDS = 0.5
TICK_SECONDS = 0.05


class QuotaBench:
    """Hosts whose summaries arrive one interval after they were made."""

    def __init__(self, *, hosts, workspace, window):
        self.now = 100.0
        self.workspace = workspace
        self.window = window
        self.host_count = hosts
        self.cut = False
        self.taken = []
        self.refused = 0
        self.asked = 0
        self.tally = collections.Counter()
        self.process = 0
        self.start_hosts()

    def start_hosts(self):
        self.process += 1
        self.hosts = [self._make_host() for _ in range(self.host_count)]
        self.told_at = self.now
        self.numbers = [self.process] * self.host_count

    def start_host(self, number):
        self.numbers[number] += 100
        self.hosts[number] = self._make_host()

    def _make_host(self):
        return quotas.Quotas(
            window_seconds=self.window,
            count_hosts=lambda: 1 if self.cut else self.host_count,
            read_limit_share=lambda: 1 / self.host_count if self.cut else 1.0,
            clock=lambda: self.now,
        )

    def pass_time(self):
        self.now += TICK_SECONDS
        if self.now - self.told_at < TELL_SECONDS:
            return
        self.told_at = self.now
        told = [it.publish_admitted((self.workspace,)) for it in self.hosts]
        if self.cut:
            return
        for number, uses in enumerate(told):
            for other, host in enumerate(self.hosts):
                if other != number:
                    process = (f"host-{number}", self.numbers[number])
                    host.apply_remote_usage(process, uses)

    def ask(self, number, units, kind=""):
        wait = self.hosts[number].admit(self.workspace, units)
        self.tally[kind, not wait] += 1
        self.asked += 1
        if wait:
            self.refused += 1
            return False
        self.taken.append((self.now, units))
        return True

    def find_most(self):
        """Return the units of the busiest window."""
        most = 0.0
        for start, _ in self.taken:
            units = [
                units
                for at, units in self.taken
                if start <= at < start + self.window
            ]
            most = max(most, sum(units))
        return most


@behave.given(
    "quotas: {hosts:d} hosts, {rate:g} units a second and {burst:g} at once, "
    "in {window:g} seconds"
)
def make_bench(context, hosts, rate, burst, window):
    context.bench = QuotaBench(
        hosts=hosts,
        workspace=routes.Workspace(name="w", rate=rate, burst=burst),
        window=window,
    )
    context.draw = random.Random(1)
    # What a process does not know of the time before it has passed.
    for _ in range(int(2 * window / TICK_SECONDS)):
        context.bench.pass_time()
    for number in range(hosts):
        context.bench.ask(number, 0.0)
    for _ in range(int(2 * window / TICK_SECONDS)):
        context.bench.pass_time()
    context.bench.taken.clear()


def ask_for(context, rate, seconds, pick):
    units = rate * TICK_SECONDS
    for _ in range(int(seconds / TICK_SECONDS)):
        context.bench.ask(pick(), units)
        context.bench.pass_time()


@behave.when(
    "quotas: the workspace asks for {rate:g} units a second for {seconds:g} "
    "seconds"
)
def ask_all(context, rate, seconds):
    count = context.bench.host_count
    ask_for(context, rate, seconds, lambda: context.draw.randrange(count))


@behave.when(
    "quotas: the workspace asks host {number:d} for {rate:g} units a second "
    "for {seconds:g} seconds"
)
def ask_one(context, number, rate, seconds):
    ask_for(context, rate, seconds, lambda: number - 1)


@behave.when("quotas: the hosts are cut from each other")
def cut_hosts(context):
    context.bench.cut = True


@behave.when("quotas: all hosts start again after {seconds:g} seconds")
def start_again(context, seconds):
    for _ in range(int(seconds / TICK_SECONDS)):
        context.bench.pass_time()
    context.bench.start_hosts()


@behave.then(
    "quotas: each {span:g} seconds after the first {first:g} hold at least "
    "{units:g} units"
)
def check_steady(context, span, first, units):
    taken = context.bench.taken
    start = taken[0][0] + first
    while start + span <= taken[-1][0]:
        found = sum(it for at, it in taken if start <= at < start + span)
        assert found >= units, (start, found)
        start += span


@behave.when("quotas: host {number:d} starts again")
def start_one_again(context, number):
    context.bench.start_host(number - 1)
    context.bench.refused = 0
    context.bench.asked = 0


@behave.then(
    "quotas: less than {part:g}% of the last 5 seconds' requests are refused"
)
def check_few_refused(context, part):
    bench = context.bench
    print(f"{bench.refused} of {bench.asked} refused")
    assert bench.refused < part / 100 * bench.asked, bench.refused


@behave.when(
    "quotas: small requests of {small:g} units and large ones of {large:g} "
    "compete"
)
def compete(context, small, large):
    bench = context.bench
    for number in range(800):
        bench.ask(context.draw.randrange(3), small, "small")
        if number % 8 == 0:
            bench.ask(context.draw.randrange(3), large, "large")
        bench.pass_time()


@behave.when(
    "quotas: {units:g} units are taken and given back {count:d} times"
)
def take_and_return(context, units, count):
    for _ in range(count):
        context.bench.ask(0, units)
        context.bench.hosts[0].refund(context.bench.workspace, units)
        context.bench.pass_time()


@behave.then("quotas: nothing is refused")
def check_none_refused(context):
    assert context.bench.refused == 0, context.bench.refused


@behave.then(
    "quotas: no 8 seconds hold more than {units:g} units and {part:g}% and "
    "{count:d} requests more"
)
def check_most(context, units, part, count):
    most = context.bench.find_most()
    largest = max(units for _, units in context.bench.taken)
    print(f"busiest window: {most:.0f} units, largest request {largest:g}")
    assert most <= units * (1 + part / 100) + count * largest, most


@behave.then("quotas: the busiest 8 seconds hold at least {units:g} units")
def check_least(context, units):
    assert context.bench.find_most() >= units, context.bench.find_most()


@behave.then(
    "quotas: large ones are taken at least half as often as small ones"
)
def check_sizes(context):
    tally = context.bench.tally

    def find_share(kind):
        return tally[kind, True] / (tally[kind, True] + tally[kind, False])

    shares = find_share("small"), find_share("large")
    print(f"small {shares[0]:.2f}, large {shares[1]:.2f}")
    assert shares[1] >= shares[0] / 2, shares
