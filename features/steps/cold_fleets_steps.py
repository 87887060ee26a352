"""Steps on cold upstreams: simulated fleets whose hosts differ in view."""

import behave

from buckthornhold.scheduling import cold_starts
from testbed import cold_fleets

STARTS_AT = 10.0
COLD_SECONDS = 6.0
#: Demand as a multiple of what all upstreams bear while they are cold.
DEMAND_FACTOR = 4


def kill_third(fleet):
    for host in fleet.draw.sample(fleet.hosts, len(fleet.hosts) // 3):
        fleet.at(STARTS_AT + fleet.draw.uniform(-3, 3), fleet.kill, host)


def join_third(fleet):
    for number in range(len(fleet.hosts) // 3):
        zone = cold_fleets.ZONES[number % 3]
        fleet.at(STARTS_AT + fleet.draw.uniform(-4, 2), fleet.join, zone)


def replace_third(fleet):
    for host in fleet.draw.sample(fleet.hosts, len(fleet.hosts) // 3):
        moment = STARTS_AT + fleet.draw.uniform(-8, 2)
        fleet.at(moment, fleet.kill, host)
        fleet.at(moment + 1.0, fleet.join, host.zone)


def cut_hosts(fleet, begins, share):
    group = []
    for zone in cold_fleets.ZONES:
        hosts = fleet.list_zone(zone)
        count = max(1, int(share * len(hosts)))
        group += fleet.draw.sample(hosts, count)
    begins_at = STARTS_AT + fleet.draw.uniform(*begins)
    fleet.at(begins_at, fleet.cut, group, until=STARTS_AT + 3.5)


TROUBLES = {
    "all is well": lambda fleet: None,
    "a third of the hosts is killed": kill_third,
    "a third more hosts join": join_third,
    "a third of the hosts is replaced": replace_third,
    "hosts are partitioned": lambda fleet: cut_hosts(fleet, (-3, 2), 0.5),
    "hosts are partitioned for long": lambda fleet: cut_hosts(
        fleet, (-7.5, -6.5), 0.45
    ),
}


@behave.given("cold: {hosts:d} hosts and {upstreams:d} upstreams")
def choose_fleet(context, hosts, upstreams):
    context.sizes = {"hosts": hosts, "upstreams": upstreams}


@behave.when("cold: all upstreams start while {trouble}, with {seeds:d} seeds")
def start_cold(context, trouble, seeds):
    context.fleets = []
    for seed in range(seeds):
        fleet = cold_fleets.Fleet(**context.sizes, seed=seed)
        for upstream in fleet.upstreams:
            fleet.at(
                STARTS_AT, fleet.make_cold, upstream, seconds=COLD_SECONDS
            )
            fleet.at(STARTS_AT, fleet.write_entry, upstream)
        demand = DEMAND_FACTOR * cold_fleets.RATE * len(fleet.upstreams)
        ends_at = STARTS_AT + COLD_SECONDS
        fleet.at(STARTS_AT, fleet.send_requests, demand, until=ends_at)
        TROUBLES[trouble](fleet)
        fleet.run(ends_at)
        context.fleets.append(fleet)


@behave.when(
    "cold: {count:d} upstreams turn cold that get {warm:d} requests a second"
)
def turn_cold(context, count, warm):
    fleet = cold_fleets.Fleet(**context.sizes, seed=1)
    for number, upstream in enumerate(fleet.upstreams):
        fleet.at(fleet.draw.uniform(0, 1.2), fleet.write_entry, upstream)
        if number < count:
            fleet.at(
                STARTS_AT, fleet.make_cold, upstream, seconds=COLD_SECONDS
            )
    ends_at = STARTS_AT + COLD_SECONDS
    demand = warm * len(fleet.upstreams)
    fleet.at(STARTS_AT - 1, fleet.send_requests, demand, until=ends_at)
    fleet.run(ends_at)
    context.fleets = [fleet]


@behave.then(
    "cold: at most {most:d} requests reach an upstream in any second after "
    "the news"
)
def check_most_later(context, most):
    skipped = cold_starts.NEWS_SECONDS
    found = [fleet.find_most(skipped=skipped) for fleet in context.fleets]
    print(f"most requests in a second after the news: {found}")
    assert max(found) <= most, found


@behave.then("cold: at most {most:d} requests reach an upstream in any second")
def check_most(context, most):
    found = [fleet.find_most() for fleet in context.fleets]
    print(f"most requests in a second: {found}")
    assert max(found) <= most, found


@behave.then(
    "cold: at least {use:g} of the cold rate is used after {seconds:g} seconds"
)
def check_use(context, use, seconds):
    found = [fleet.compute_use(skipped=seconds) for fleet in context.fleets]
    print(f"share of the cold rate: {[f'{share:.2f}' for share in found]}")
    assert sum(found) / len(found) >= use, found


@behave.then(
    "cold: a host that sees {present:d} of {hosts:d} hosts and knows of "
    "{silent:d} silent ones {result}, after {age:d} s and with {summaries:w} "
    "summaries"
)
def check_view(context, present, hosts, silent, result, age, summaries):
    view = cold_starts.ZoneView(
        hosts=tuple(f"h{number}" for number in range(hosts)),
        present=present,
        silent=silent,
        informed=summaries == "recent",
        age=age,
    )
    assert view.may_send == (result == "may send"), view
