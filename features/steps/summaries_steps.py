"""Steps on summaries that are passed from host to host without a network."""

import asyncio

import behave

from buckthornhold import summaries
from buckthornhold.peers import summaries_pb2
from testbed import boot_clocks
from testbed import summary_fleets


def pass_rounds(context, count):
    fleet = context.fleet

    async def run():
        for _ in range(count):
            await fleet.pass_round()

    context.loop.run_until_complete(run())


@behave.given("summaries: {count:d} hosts in 3 zones")
def make_fleet(context, count):
    start_fleet(context, summary_fleets.Fleet(count))


@behave.given(
    "summaries: {count:d} hosts in 3 zones, each started {order} the one "
    "before"
)
def make_ordered_fleet(context, count, order):
    start_fleet(
        context,
        summary_fleets.Fleet(count, step=1 if order == "after" else -1),
    )


def start_fleet(context, fleet):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.fleet = fleet
    boot_clocks.use_bench_clock(context, lambda: context.fleet.now)


@behave.when(
    "summaries: each has requests in flight and {count:d} rounds pass"
)
def pass_first(context, count):
    pass_rounds(context, count)


@behave.when(
    "summaries: each host admits {units:d} units more in each of {count:d} "
    "rounds"
)
def admit_more(context, units, count):
    for _ in range(count):
        for host in context.fleet.hosts.values():
            host.admitted_units += units
        pass_rounds(context, 1)
    pass_rounds(context, 4)


@behave.when("summaries: a collector is killed and {count:d} rounds pass")
def kill_collector(context, count):
    fleet = context.fleet
    host = next(iter(fleet.hosts.values()))
    name = host.summaries.find_collector().host
    del fleet.hosts[name]
    pass_rounds(context, count)
    context.killed = name


@behave.when(
    "summaries: one zone's collector after the other is killed and {count:d} "
    "rounds pass"
)
def kill_collectors(context, count):
    fleet = context.fleet
    for zone in summary_fleets.ZONES:
        host = next(
            host for host in fleet.hosts.values() if host.settings.zone == zone
        )
        del fleet.hosts[host.summaries.find_collector().host]
        pass_rounds(context, count)


@behave.when(
    "summaries: another host sends the aggregate of half a zone, and "
    "{count:d} rounds pass"
)
def send_second_aggregate(context, count):
    fleet = context.fleet
    other = next(
        host
        for host in fleet.hosts.values()
        if not host.summaries.is_collector()
    )
    aggregate = summaries_pb2.Summary(
        host=f"{other.settings.host}/sum",
        zone=other.settings.zone,
        incarnation=other.incarnation,
        number=1000,
        hosts=4,
        time_of_day=fleet.now,
    )
    for host in fleet.hosts.values():
        if host.settings.zone != other.settings.zone:
            host.summaries.handle(aggregate)
    pass_rounds(context, count)


@behave.when("summaries: a zone is partitioned off and {count:d} rounds pass")
def partition_zone(context, count):
    context.fleet.partitioned_zone = summary_fleets.ZONES[0]
    pass_rounds(context, count)


@behave.when(
    "summaries: a collector's time of day jumps by {seconds:d} s and "
    "{count:d} rounds pass"
)
def jump(context, seconds, count):
    fleet = context.fleet
    host = next(iter(fleet.hosts.values()))
    name = host.summaries.find_collector().host
    fleet.hosts[name].summaries.jump = seconds
    pass_rounds(context, count)


@behave.then(
    "summaries: each host knows the others' loads, demands and counts"
)
def check_known(context):
    fleet = context.fleet
    others = len(fleet.hosts) - 1
    for name, host in fleet.hosts.items():
        requests = tokens = 0
        demand = 0.0
        for summary in host.summaries.list_fresh():
            demand += summary.demands["s"]
            for load in summary.loads:
                requests += load.requests
                tokens += load.tokens
        assert requests == summary_fleets.REQUESTS * others, (name, requests)
        assert tokens == 2 * others, (name, tokens)
        assert abs(demand - summary_fleets.DEMAND * others) < 1e-6, (
            name,
            demand,
        )
        counted = sum(
            item.counts["w"]
            for summary in host.summaries.list_all()
            for item in summary.counts
            if item.window == summary_fleets.WINDOW
        )
        # The counts of a killed host are kept where they were known.
        hosts = range(others, len(fleet.members))
        assert counted in [summary_fleets.COUNT * it for it in hosts], (
            name,
            counted,
        )


@behave.then("summaries: all other hosts report to each host")
def check_reporting(context):
    fleet = context.fleet
    for name, host in fleet.hosts.items():
        reporting = host.summaries.count_reporting_hosts()
        assert reporting == len(fleet.hosts) - 1, (name, reporting)
        assert host.summaries.count_silent_hosts() == 0, name


@behave.then("summaries: a host sends at most {count:d} messages a round")
def check_sent(context, count):
    assert max(context.fleet.sent.values()) <= count, context.fleet.sent


@behave.then(
    "summaries: each host knows of {units:d} units admitted by others"
)
def check_units(context, units):
    for name, host in context.fleet.hosts.items():
        assert abs(host.remote_units - units) < 1e-6, (name, host.remote_units)


@behave.then(
    "summaries: in the zone {reporting:d} hosts report to each and {silent:d} "
    "are silent"
)
def check_inside(context, reporting, silent):
    check_sides(context, reporting, silent, inside=True)


@behave.then(
    "summaries: outside it {reporting:d} hosts report to each and {silent:d} "
    "are silent"
)
def check_outside(context, reporting, silent):
    check_sides(context, reporting, silent, inside=False)


def check_sides(context, reporting, silent, *, inside):
    for name, host in context.fleet.hosts.items():
        if (
            host.settings.zone == context.fleet.partitioned_zone
        ) is not inside:
            continue
        assert host.summaries.count_reporting_hosts() == reporting, (
            name,
            host.summaries.count_reporting_hosts(),
        )
        assert host.summaries.count_silent_hosts() == silent, name


@behave.then(
    "summaries: every host's time of day is right within {seconds:g} s"
)
def check_time(context, seconds):

    for name, host in context.fleet.hosts.items():
        off = host.summaries.read_time_of_day() - context.fleet.now
        assert abs(off) < seconds, (name, off)


@behave.when("summaries: each host counts {count:d} requests more")
def count_more(context, count):
    for host in context.fleet.hosts.values():
        host.extra_count += count


@behave.when("summaries: the aggregation delay passes")
def pass_aggregation_delay(context):
    host = next(iter(context.fleet.hosts.values()))
    rounds = (
        host.summaries.aggregation_delay_seconds / summaries.INTERVAL_SECONDS
    )
    pass_rounds(context, round(rounds))


@behave.then(
    "summaries: each host knows of {count:d} more requests of each other"
)
def check_more(context, count):
    others = len(context.fleet.hosts) - 1
    for name, host in context.fleet.hosts.items():
        counted = sum(
            item.counts["w"]
            for summary in host.summaries.list_all()
            for item in summary.counts
            if item.window == summary_fleets.WINDOW
        )
        assert counted == (summary_fleets.COUNT + count) * others, (
            name,
            counted,
        )


@behave.when(
    "summaries: {count:d} rounds pass and each message takes {transit:d} ms"
)
def pass_slow_rounds(context, count, transit):
    context.fleet.latency_seconds = transit / 1000
    pass_rounds(context, count)


def count_known(host):
    """Return the known requests of all processes but the host's own."""
    return sum(
        item.counts["w"]
        for summary in host.summaries.list_all()
        for item in summary.counts
        if item.window == summary_fleets.WINDOW
    )


@behave.when("summaries: a host restarts with the checkpoint of another")
def restart_one(context):
    fleet = context.fleet
    names = list(fleet.hosts)
    counts = fleet.hosts[names[0]].summaries.export_counts()
    # No other host knows a collector's own counts, so pick another host.
    name = next(
        other
        for other in names[1:]
        if not fleet.hosts[other].summaries.is_collector()
    )
    fleet.restart(name, counts)
    context.restarted = fleet.hosts[name]
    pass_rounds(context, 6)


@behave.then("summaries: it knows all others' counts and its own earlier ones")
def check_restarted(context):
    known = count_known(context.restarted)
    assert known == summary_fleets.COUNT * len(context.fleet.hosts), known


@behave.when("summaries: all hosts restart with the checkpoint of one")
def restart_all(context):
    restart_from(context, next(iter(context.fleet.hosts)))


@behave.when("summaries: all hosts restart with the checkpoint of a collector")
def restart_all_from_collector(context):
    host = next(iter(context.fleet.hosts.values()))
    restart_from(context, host.summaries.find_collector().host)


def restart_from(context, writer):
    fleet = context.fleet
    names = list(fleet.hosts)
    counts = fleet.hosts[writer].summaries.export_counts()
    for name in names:
        fleet.restart(name, counts)
    pass_rounds(context, 6)


@behave.then("summaries: each knows all earlier counts, once")
def check_all_restarted(context):
    for name, host in context.fleet.hosts.items():
        known = count_known(host)
        assert known == summary_fleets.COUNT * len(context.fleet.hosts), (
            name,
            known,
        )
