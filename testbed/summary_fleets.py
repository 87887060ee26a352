"""Summary fleets: hosts that pass summaries on without a network."""

import dataclasses
import types

from buckthornhold import counters
from buckthornhold import logs
from buckthornhold import store_readers
from buckthornhold import summaries
from buckthornhold.coordination import host_rankings
from buckthornhold.coordination import members
from buckthornhold.peers import summaries_pb2

ZONES = ("a", "b", "c")
WINDOW = 100
REQUESTS = 3
DEMAND = 0.5
COUNT = 7
INCARNATION = 1000


class LocalSummaries(summaries.SummaryExchange):
    """Passes summaries on within a fleet that counts and may drop them."""

    def __init__(self, *, host, fleet):
        self.jump = 0.0
        super().__init__(
            host=host,
            store_age=store_readers.StoreAge(prefixes=("op/",)),
            read_wall_clock=lambda: fleet.now + self.jump,
        )
        self._fleet = fleet

    def _start_sending(self, link, summary):
        if link is None:
            return
        fleet = self._fleet
        own = self._host.settings.host
        fleet.sent[own] = fleet.sent.get(own, 0) + 1
        if not fleet.is_reached(own, link.host):
            return
        message = summaries_pb2.Summary.FromString(summary.SerializeToString())
        fleet.now += fleet.latency_seconds
        reply = fleet.hosts[link.host].summaries.handle(message)
        fleet.now += fleet.latency_seconds
        if summary.wants_sum:
            self._apply_fleet_aggregate(reply)


class Fleet:
    """Hosts that know the same members."""

    def __init__(self, count, *, step=0):
        self.now = 1000.0
        self.latency_seconds = 0.0
        self.hosts = {}
        self.sent = {}
        self.partitioned_zone = ""
        self.members = [
            members.Member(
                host=f"h{number}",
                zone=ZONES[number % len(ZONES)],
                address=f"h{number}:1",
                incarnation=INCARNATION + step * number,
            )
            for number in range(count)
        ]
        for member in self.members:
            self.hosts[member.host] = self._make_host(member)

    def is_reached(self, sender, receiver):
        """Return whether messages between two hosts arrive."""
        zones = [self.hosts[name].settings.zone for name in (sender, receiver)]
        return self.partitioned_zone not in zones or len(set(zones)) == 1

    def restart(self, name, counts):
        """Start a host's next process, which loads a checkpoint's counts."""
        index = [known.host for known in self.members].index(name)
        member = dataclasses.replace(
            self.members[index],
            incarnation=self.members[index].incarnation + 1,
        )
        self.members[index] = member
        self.hosts[name] = self._make_host(member)
        self.hosts[name].extra_count = -COUNT
        self.hosts[name].summaries.restore_counts(counts)

    def _make_host(self, member):
        logger = logs.bind(host=member.host, zone=member.zone)
        counts = counters.Counters(address=None, prefix="")

        def list_present(*, zone=None):
            return [
                known
                for known in self.members
                if known.host in self.hosts and zone in (None, known.zone)
            ]

        host = types.SimpleNamespace(
            settings=types.SimpleNamespace(host=member.host, zone=member.zone),
            incarnation=member.incarnation,
            logger=logger,
            counters=counts,
            quotas=types.SimpleNamespace(retain=lambda processes: None),
            usage=types.SimpleNamespace(counts={WINDOW: {"w": COUNT}}),
            admitted_units=0.0,
            extra_count=0,
            remote_totals={},
            remote_units=0.0,
            members=types.SimpleNamespace(
                own=member,
                list_present=list_present,
                rank_present=lambda *, zone, purpose: (
                    host_rankings.rank_members(
                        list_present(zone=zone), purpose=purpose
                    )
                ),
                count_all=lambda: len(list_present()) - 1,
                list_all=lambda: [
                    other for other in list_present() if other != member
                ],
            ),
        )
        host.links = types.SimpleNamespace(
            find=lambda name: self.hosts[name].members.own,
            list_all=lambda: host.members.list_all(),
        )
        host.apply_summary = lambda summary, age=0.0: add_remote_units(
            host, summary
        )
        host.summaries = LocalSummaries(host=host, fleet=self)
        host.summaries.add_source(lambda summary: fill(host, summary))
        return host

    async def pass_round(self):
        """Let each host send its summary, then pass an interval."""
        self.sent.clear()
        for host in list(self.hosts.values()):
            await host.summaries.run_once()
        self.now += summaries.INTERVAL_SECONDS


def fill(host, summary):
    """Fill the parts of a summary that a host's sources would."""
    summary.uses.add(workspace="w", units=host.admitted_units)
    summary.loads.add(upstream="u", requests=REQUESTS, tokens=2, ended=9)
    summary.demands["s"] = DEMAND
    counts = {"w": COUNT + host.extra_count}
    summary.counts.add(window=WINDOW, counts=counts)


def add_remote_units(host, summary):
    """Add up the increase of the units that others admitted, as quotas do."""
    process = (summary.host, summary.incarnation)
    for use in summary.uses:
        before = host.remote_totals.get(process, use.units)
        host.remote_totals[process] = use.units
        host.remote_units += use.units - before
