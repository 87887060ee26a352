"""Summaries: what each relaying host tells the others of itself.

A few times a second each host says what it has taken of the workspaces'
limits, what it has in flight at upstreams, and the requests that it has
counted. All figures are totals or states, so a lost message costs nothing but
its age.

Few hosts tell each other directly. In a larger fleet each host tells its
availability zone's collector, which answers with the sum of all hosts; the
collectors exchange the sums of their zones. So what a host sends and takes
does not grow with the fleet, but for the collector's part, which grows with
its zone.
"""

from collections.abc import Callable
import dataclasses
import statistics
import time

import grpc.aio

from buckthornhold import probes
from buckthornhold import summary_aggregates
from buckthornhold import tasks
from buckthornhold.coordination import host_rankings
from buckthornhold.coordination import members
from buckthornhold.coordination import pause_detectors
from buckthornhold.peers import summaries_pb2
from buckthornhold.peers import summaries_pb2_grpc

#: Time between two summaries, in seconds. Limits and loads of other hosts
#: are known with about this lag.
INTERVAL_SECONDS = 0.5
SEND_TIMEOUT_SECONDS = 0.5
#: Up to so many other hosts are told directly: 12 KB/s is reached at about
#: ten.
FULL_MESH_MAX_PEERS = 11
#: Hosts of a zone that tell their collector each INTERVAL; in a larger zone
#: each does so less often, and the collector's work stays the same.
FULL_RATE_ZONE_HOSTS = 16
#: A host that was not heard for so many intervals may be cut off.
MAX_AGE_INTERVALS = 3
#: What a host counted is kept so long after it fell silent, in seconds, as
#: its usage is still to be reported.
RETENTION_SECONDS = 60.0
#: Own summaries that are remembered, to be taken out of sums.
MAX_OWN_SUMMARIES = 16
#: Intervals in which a figure reaches all hosts by way of two collectors: one
#: to be told, one at each collector, one until the last host asks.
AGGREGATION_DELAY_INTERVALS = 4
COLLECTOR_PURPOSE = "summaries"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReceivedSummary:
    """The latest summary of one process of another host, or a sum.

    ``heard_at`` is on the clock that also runs while a process stands
    still; ``clock_lead`` is by how much its time of day is ahead, in
    seconds.
    """

    summary: summaries_pb2.Summary
    received_at: float
    clock_offset: float


class SummaryExchange(tasks.PeriodicService):
    """Tells the other hosts of this one and keeps what they tell.

    Sources add what the other parts have to say to each summary.
    ``read_wall`` returns this host's own time of day, in seconds since the
    epoch.
    """

    def __init__(
        self, *, host, read_wall_clock: Callable[[], float] = time.time
    ) -> None:
        super().__init__(
            interval=INTERVAL_SECONDS,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._read_wall_clock = read_wall_clock
        self._number = 0
        self._sources = []
        #: Single hosts by process.
        self._received: dict[tuple[str, int], ReceivedSummary] = {}
        #: Processes that were running when the holder wrote its record.
        self._restored: list[summaries_pb2.Summary] = []
        #: Sums of other zones, by zone; collectors have them.
        self._zone_aggregates: dict[str, ReceivedSummary] = {}
        #: All other hosts, as the own zone's collector told.
        self._rest_of_fleet: ReceivedSummary | None = None
        self._aggregator = summary_aggregates.SummaryAggregator()
        self._own_summaries: dict[int, summaries_pb2.Summary] = {}
        self._sending = tasks.TaskSet(
            logger=host.logger, counters=host.counters
        )

    @property
    def full_mesh(self) -> bool:
        """Whether the fleet is so small that each host tells each other."""
        return len(self._host.members.list_all()) <= FULL_MESH_MAX_PEERS

    @property
    def max_age_seconds(self) -> float:
        """Age from which a summary is too old to go by, in seconds."""
        return MAX_AGE_INTERVALS * self._interval

    @property
    def aggregation_delay_seconds(self) -> float:
        """How much later than directly sums tell of a host, in seconds."""
        return (
            0.0
            if self.full_mesh
            else AGGREGATION_DELAY_INTERVALS * self._interval
        )

    def add_source(self, fill) -> None:
        """Have ``fill(summary)`` add to each summary that is sent."""
        self._sources.append(fill)

    def find_collector(self) -> members.Member:
        """Return the host that sums up this availability zone."""
        own = self._host.members.own
        present = self._host.members.list_present(zone=own.zone)
        return host_rankings.rank_members(
            present or [own], purpose=COLLECTOR_PURPOSE
        )[0]

    def is_collector(self) -> bool:
        """Tell whether this host sums up its zone, in a large fleet."""
        own = self._host.members.own
        return not self.full_mesh and self.find_collector().host == own.host

    def list_fresh(self) -> list[summaries_pb2.Summary]:
        """Return what was heard lately, of each host once.

        Together they tell of all other hosts, some as sums.
        """
        return [it.summary for it in self._list_fresh()]

    def list_all(self) -> list[summaries_pb2.Summary]:
        """Return the last that is known, of ended processes as well."""
        ended = [it for it in self._restored if not self._is_superseded(it)]
        return [*ended, *[it.summary for it in self._list_known()]]

    def count_reporting_hosts(self) -> int:
        """Return how many other hosts were heard of lately."""
        return sum(max(1, it.hosts) for it in self.list_fresh())

    def count_silent_hosts(self) -> int:
        """Return how many hosts may still run but were not heard lately."""
        known = self._host.members.list_all()
        if not self.full_mesh:
            return max(0, len(known) - self.count_reporting_hosts())
        fresh = {it.host for it in self.list_fresh()}
        return sum(member.host not in fresh for member in known)

    def read_time_of_day(self) -> float:
        """Return the time of day, in seconds since the epoch.

        The middle of this host's clock and those of the hosts that were
        heard lately, so that one clock that jumped changes nothing.
        """
        return self._read_median_clock(self._list_fresh())

    def _read_median_clock(self, known: list[ReceivedSummary]) -> float:
        """Return the middle of this host's clock and those known."""
        leads = []
        for heard in known:
            leads += [heard.clock_offset] * max(1, heard.summary.hosts)
        return self._read_wall_clock() + statistics.median_low([0.0, *leads])

    def apply(self, summary: summaries_pb2.Summary) -> None:
        """Take in a summary of another host, or the sum of another zone.

        One that is older than what is known changes nothing.
        """
        if summary.hosts:
            self._apply_zone_aggregate(summary)
            return
        if not self.full_mesh and summary.zone != self._host.settings.zone:
            return
        key = (summary.host, summary.incarnation)
        known = self._received.get(key)
        if known is not None and known.summary.number >= summary.number:
            return
        if known is not None:
            summary_aggregates.carry_over_counts(summary, known.summary)
        self._received[key] = self._make_received(summary)
        self._aggregator.add(summary)
        if self.full_mesh or self.is_collector():
            self._host.apply_summary(summary)

    def handle(self, summary: summaries_pb2.Summary):
        """Take in a summary; return the reply, with a sum if asked for."""
        self.apply(summary)
        if summary.wants_sum:
            return self._aggregator.make_reply(
                summary.host, time_of_day=self.read_time_of_day()
            )
        return summaries_pb2.TellReply()

    def export_counts(self) -> list[bytes]:
        """Return the counts of all processes, own included, as messages."""
        own = self._make_summary()
        own.ClearField("counts")
        for window, counts in self._host.usage.counts.items():
            own.counts.add(window=window, counts=counts)
        return [
            summaries_pb2.Summary(
                host=it.host,
                incarnation=it.incarnation,
                number=it.number,
                counts=it.counts,
            ).SerializeToString()
            for it in [own, *self.list_all()]
            if it.counts
        ]

    def restore_counts(self, messages: list[bytes]) -> None:
        """Take in exported counts; those of ended processes are used."""
        self._restored = [
            summaries_pb2.Summary.FromString(message) for message in messages
        ]

    async def run_once(self) -> None:
        """Send one summary, and forget old ones."""
        zone = self._host.members.list_present(zone=self._host.settings.zone)
        self._interval = INTERVAL_SECONDS * max(
            1.0, len(zone) / FULL_RATE_ZONE_HOSTS
        )
        oldest = pause_detectors.read_boot_clock() - RETENTION_SECONDS
        for key, heard in list(self._received.items()):
            if heard.received_at < oldest:
                del self._received[key]
        known = [it.summary for it in self._list_known()]
        self._host.quotas.retain({(it.host, it.incarnation) for it in known})
        self.publish()

    def publish(self) -> None:
        """Send one summary now, each by a task of its own."""
        summary = self._make_summary()
        if self.full_mesh:
            for link in self._host.links.list_all():
                self._start_sending(link, summary)
            return
        collector = self.find_collector()
        if collector.host != self._host.settings.host:
            summary.wants_sum = True
            self._start_sending(self._host.links.find(collector.host), summary)
            return
        self._aggregator.aggregate(
            summary,
            fresh=self.list_fresh(),
            known=[it.summary for it in self._list_known()],
            # Of this zone's own clocks alone: collectors that went by each
            # other's middles would drift by the time that messages take.
            zone_time=self._read_median_clock(
                [it for it in self._list_fresh() if not it.summary.hosts]
            ),
        )
        for link in self._list_collectors():
            self._start_sending(link, self._aggregator.zone_aggregate)

    async def stop(self) -> None:
        """Stop, and end what is being sent."""
        await super().stop()
        await self._sending.cancel()

    def _is_superseded(self, restored: summaries_pb2.Summary) -> bool:
        """Tell whether a process, or who summed up, speaks for itself."""
        if (restored.host, restored.incarnation) in self._received:
            return True
        name = restored.host.removesuffix(summary_aggregates.AGGREGATE_SUFFIX)
        return any(
            (it.host, it.incarnation) == (name, restored.incarnation)
            for it in self._host.members.list_all()
        )

    def _list_fresh(self) -> list[ReceivedSummary]:
        oldest = pause_detectors.read_boot_clock() - self.max_age_seconds
        latest: dict[str, ReceivedSummary] = {}
        for heard in self._list_known():
            if heard.received_at < oldest:
                continue
            name = heard.summary.host
            incarnation = heard.summary.incarnation
            known = latest.get(name)
            if known is None or known.summary.incarnation < incarnation:
                latest[name] = heard
        return list(latest.values())

    def _list_known(self) -> list[ReceivedSummary]:
        if self.full_mesh:
            return list(self._received.values())
        if self.is_collector():
            return [*self._received.values(), *self._zone_aggregates.values()]
        return [self._rest_of_fleet] if self._rest_of_fleet is not None else []

    def _list_collectors(self) -> list:
        """Return the links to the other zones' collectors."""
        present = self._host.members.list_present()
        zones = {it.zone for it in present} - {self._host.settings.zone}
        found = []
        for zone in zones:
            ranked = host_rankings.rank_members(
                [it for it in present if it.zone == zone],
                purpose=COLLECTOR_PURPOSE,
            )
            link = self._host.links.find(ranked[0].host)
            if link is not None:
                found.append(link)
        return found

    def _make_summary(self) -> summaries_pb2.Summary:
        self._number += 1
        summary = summaries_pb2.Summary(
            host=self._host.settings.host,
            zone=self._host.settings.zone,
            incarnation=self._host.incarnation,
            number=self._number,
            time_of_day=self._read_wall_clock(),
        )
        for fill in self._sources:
            fill(summary)
        self._own_summaries[self._number] = summary
        self._own_summaries.pop(self._number - MAX_OWN_SUMMARIES, None)
        return summary

    def _apply_zone_aggregate(self, summary: summaries_pb2.Summary) -> None:
        known = self._zone_aggregates.get(summary.zone)
        if known is not None:
            former = known.summary
            if (former.incarnation, former.number) >= (
                summary.incarnation,
                summary.number,
            ):
                return
            summary_aggregates.carry_over_counts(summary, former)
        self._zone_aggregates[summary.zone] = self._make_received(summary)
        self._aggregator.add(summary)
        if self.is_collector():
            self._host.apply_summary(summary)

    def _apply_fleet_aggregate(self, reply: summaries_pb2.TellReply) -> None:
        """Take in the sum of all hosts, without this one."""
        own = self._own_summaries.get(reply.included)
        if not reply.HasField("sum") or own is None:
            return
        total = reply.sum
        if self._rest_of_fleet is not None:
            former = self._rest_of_fleet.summary
            if (former.incarnation, former.number) == (
                total.incarnation,
                total.number,
            ):
                return
        summary_aggregates.subtract_summary(total, own)
        if (
            self._rest_of_fleet is not None
            and total.host == self._rest_of_fleet.summary.host
        ):
            summary_aggregates.carry_over_counts(
                total, self._rest_of_fleet.summary
            )
        self._rest_of_fleet = self._make_received(total)
        self._host.apply_summary(total)

    def _make_received(
        self, summary: summaries_pb2.Summary
    ) -> ReceivedSummary:
        return ReceivedSummary(
            summary=summary,
            received_at=pause_detectors.read_boot_clock(),
            clock_offset=summary.time_of_day - self._read_wall_clock(),
        )

    def _start_sending(self, link, summary: summaries_pb2.Summary) -> None:
        if link is not None:
            self._sending.start(self._send(link, summary), step="send summary")

    async def _send(self, link, summary: summaries_pb2.Summary) -> None:
        if link.member.state is members.MemberState.GONE:
            return
        stub = summaries_pb2_grpc.SummariesStub(link.channel)
        try:
            reply = await stub.Tell(summary, timeout=SEND_TIMEOUT_SECONDS)
        except grpc.aio.AioRpcError as error:
            failure = probes.describe_error(
                error, step="send summary", peer=link.address
            )
            self._logger.bind(step=failure.step, peer=failure.peer).debug(
                failure.detail
            )
            self._counters.count_event("summaries.unsent")
            return
        if summary.wants_sum:
            self._apply_fleet_aggregate(reply)


class SummaryServicer(summaries_pb2_grpc.SummariesServicer):
    """Takes the summaries of other hosts."""

    def __init__(self, *, summaries: SummaryExchange) -> None:
        self._summaries = summaries

    async def Tell(self, request, context):  # noqa: N802
        """Take in a summary."""
        return self._summaries.handle(request)
