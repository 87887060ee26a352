"""Steps on quotas of several hosts, without a network."""

import collections
import random

import behave

from buckthornhold import quotas
from buckthornhold import routes

PUBLISH_INTERVAL_SECONDS = 0.5
TICK_SECONDS = 0.05


class QuotaBench:
    """Quotas of several hosts that exchange totals once per interval."""

    def __init__(self, *, hosts, workspace, window):
        self.now = 100.0
        self.workspace = workspace
        self.window = window
        self.host_count = hosts
        self.partitioned = False
        self.admitted = []
        self.refused = 0
        self.requested = 0
        self.tally = collections.Counter()
        self.draw = random.Random(2)
        self.generation = 0
        self.early_seconds = 0.0
        self.early_at = 0.0
        self.start_hosts()

    def start_hosts(self):
        self.generation += 1
        self.hosts = [self._make_host() for _ in range(self.host_count)]
        self.published_at = self.now
        self.incarnations = [self.generation] * self.host_count

    def restart_host(self, number):
        self.incarnations[number] += 100
        self.hosts[number] = self._make_host()

    def _make_host(self):
        return quotas.Quotas(
            window_seconds=self.window,
            count_hosts=lambda: 1 if self.partitioned else self.host_count,
            read_limit_share=lambda: (
                1 / self.host_count if self.partitioned else 1.0
            ),
            clock=lambda: self.now,
        )

    def pass_time(self):
        self.now += TICK_SECONDS
        if self.early_seconds and self.now - self.early_at > (
            self.early_seconds
        ):
            # One host after the other, and the others hear of it at once.
            self.early_at = self.now
            self._publish([self.draw.randrange(self.host_count)])
        if self.now - self.published_at < PUBLISH_INTERVAL_SECONDS:
            return
        self.published_at = self.now
        self._publish(range(self.host_count))

    def _publish(self, numbers):
        totals = {
            number: self.hosts[number].publish_admitted((self.workspace,))
            for number in numbers
        }
        if self.partitioned:
            return
        for number, uses in totals.items():
            for other, host in enumerate(self.hosts):
                if other != number:
                    process = (f"host-{number}", self.incarnations[number])
                    host.apply_remote_usage(process, uses)

    def request(self, number, units, kind=""):
        wait = self.hosts[number].admit(self.workspace, units)
        self.tally[kind, not wait] += 1
        self.requested += 1
        if wait:
            self.refused += 1
            return False
        self.admitted.append((self.now, units))
        return True

    def find_busiest_units(self):
        """Return the units of the busiest window."""
        most = 0.0
        for start, _ in self.admitted:
            units = [
                units
                for at, units in self.admitted
                if start <= at < start + self.window
            ]
            most = max(most, sum(units))
        return most


@behave.given(
    "quotas: {hosts:d} hosts, {rate:g} units a second and a burst of "
    "{burst:g}, in {window:g} seconds"
)
def make_bench(context, hosts, rate, burst, window):
    context.bench = QuotaBench(
        hosts=hosts,
        workspace=routes.Workspace(name="w", rate=rate, burst=burst),
        window=window,
    )
    context.draw = random.Random(1)
    # Pass the time in which buckets aren't full yet after a start.
    for _ in range(int(2 * window / TICK_SECONDS)):
        context.bench.pass_time()
    for number in range(hosts):
        context.bench.request(number, 0.0)
    for _ in range(int(2 * window / TICK_SECONDS)):
        context.bench.pass_time()
    context.bench.admitted.clear()


def request_for(context, rate, seconds, pick):
    units = rate * TICK_SECONDS
    for _ in range(int(seconds / TICK_SECONDS)):
        context.bench.request(pick(), units)
        context.bench.pass_time()


@behave.when(
    "quotas: the workspace requests {rate:g} units a second for {seconds:g} "
    "seconds"
)
def request_from_all(context, rate, seconds):
    count = context.bench.host_count
    request_for(context, rate, seconds, lambda: context.draw.randrange(count))


@behave.when(
    "quotas: the workspace requests {count:d} times {units:g} units at once "
    "at one host, each second for {seconds:d} seconds"
)
def request_in_clumps(context, count, units, seconds):
    for _ in range(seconds):
        number = context.draw.randrange(context.bench.host_count)
        for _ in range(count):
            context.bench.request(number, units)
        for _ in range(int(1 / TICK_SECONDS)):
            context.bench.pass_time()


@behave.when(
    "quotas: the workspace requests {rate:g} units a second from host "
    "{number:d} for {seconds:g} seconds"
)
def request_from_one(context, number, rate, seconds):
    request_for(context, rate, seconds, lambda: number - 1)


@behave.when("quotas: a host sends a summary early, each {seconds:g} seconds")
def publish_early(context, seconds):
    context.bench.early_seconds = seconds


@behave.when("quotas: a host reports that it admitted {units:g} units")
def report_units(context, units):
    bench = context.bench
    for host in bench.hosts:
        for total in (0.0, units):
            host.apply_remote_usage(("odd", 1), {bench.workspace.name: total})


@behave.when("quotas: {seconds:g} seconds pass")
def pass_seconds(context, seconds):
    for _ in range(int(seconds / TICK_SECONDS)):
        context.bench.pass_time()


@behave.when("quotas: the hosts are partitioned from each other")
def cut_hosts(context):
    context.bench.partitioned = True


@behave.when("quotas: all hosts restart after {seconds:g} seconds")
def restart_all(context, seconds):
    for _ in range(int(seconds / TICK_SECONDS)):
        context.bench.pass_time()
    context.bench.start_hosts()


@behave.then(
    "quotas: each {span:g} seconds after the first {first:g} admit at least "
    "{units:g} units"
)
def check_steady(context, span, first, units):
    admitted = context.bench.admitted
    start = admitted[0][0] + first
    while start + span <= admitted[-1][0]:
        in_span = sum(
            size for at, size in admitted if start <= at < start + span
        )
        assert in_span >= units, (start, in_span)
        start += span


@behave.when("quotas: host {number:d} restarts")
def restart_one(context, number):
    context.bench.restart_host(number - 1)
    context.bench.refused = 0
    context.bench.requested = 0


@behave.then(
    "quotas: less than {part:g}% of the last 5 seconds' requests are refused"
)
def check_few_refused(context, part):
    bench = context.bench
    print(f"{bench.refused} of {bench.requested} refused")
    assert bench.refused < part / 100 * bench.requested, bench.refused


@behave.when(
    "quotas: small requests of {small:g} units and large ones of {large:g} "
    "compete"
)
def compete(context, small, large):
    bench = context.bench
    for number in range(800):
        bench.request(context.draw.randrange(3), small, "small")
        if number % 8 == 0:
            bench.request(context.draw.randrange(3), large, "large")
        bench.pass_time()


@behave.when(
    "quotas: {units:g} units are admitted and refunded {count:d} times"
)
def admit_and_refund(context, units, count):
    for _ in range(count):
        context.bench.request(0, units)
        context.bench.hosts[0].refund(context.bench.workspace, units)
        context.bench.pass_time()


@behave.then("quotas: nothing is refused")
def check_none_refused(context):
    assert context.bench.refused == 0, context.bench.refused


@behave.then(
    "quotas: any 8 seconds admit at most {units:g} units plus {part:g}% and "
    "{count:d} requests"
)
def check_most(context, units, part, count):
    most = context.bench.find_busiest_units()
    largest = max(units for _, units in context.bench.admitted)
    print(f"busiest window: {most:.0f} units, largest request {largest:g}")
    assert most <= units * (1 + part / 100) + count * largest, most


@behave.then("quotas: the busiest 8 seconds admit at least {units:g} units")
def check_least(context, units):
    assert context.bench.find_busiest_units() >= units, (
        context.bench.find_busiest_units()
    )


@behave.then(
    "quotas: large ones are admitted at least half as often as small ones"
)
def check_sizes(context):
    tally = context.bench.tally

    def find_share(kind):
        return tally[kind, True] / (tally[kind, True] + tally[kind, False])

    shares = find_share("small"), find_share("large")
    print(f"small {shares[0]:.2f}, large {shares[1]:.2f}")
    assert shares[1] >= shares[0] / 2, shares
