"""Summaries: the state that relaying hosts exchange with each other.

A few times a second each host sends the units that it admitted within the
workspaces' limits, its requests in flight by upstream, and its request
counts. All figures are totals or current states, so a lost message only
makes them older.

In a small fleet every host sends to every other (full mesh). In a larger one
each host sends to its availability zone's collector, which replies with the
aggregate of all hosts; the collectors exchange the aggregates of their zones.
So a host's traffic does not grow with the fleet, and a collector's grows with
its zone only.
"""

from collections.abc import Callable
import time

import grpc.aio

from buckthornhold import probes
from buckthornhold import received_summaries
from buckthornhold import store_readers
from buckthornhold import summary_aggregates
from buckthornhold import tasks
from buckthornhold import zone_aggregates
from buckthornhold.coordination import members
from buckthornhold.coordination import pause_detectors
from buckthornhold.peers import summaries_pb2
from buckthornhold.peers import summaries_pb2_grpc

#: Time between two summaries. Usage of limits and loads of other hosts are
#: known with about this delay.
INTERVAL_SECONDS = 0.5
SEND_TIMEOUT_SECONDS = 0.5
#: Number of other hosts up to which the fleet is a full mesh. A host sends
#: 12 KB/s at about ten.
FULL_MESH_MAX_PEERS = 11
#: Hosts in a zone up to which each sends at INTERVAL_SECONDS. Those of larger
#: zones send less often, so that the collector's load stays the same.
FULL_RATE_ZONE_HOSTS = 16
#: Intervals without a summary after which a host may be partitioned off.
MAX_AGE_INTERVALS = 3
#: How long the counts of a silent host are kept: its usage is still to be
#: reported.
RETENTION_SECONDS = 60.0
#: Own summaries that are kept to subtract them from aggregates.
MAX_OWN_SUMMARIES = 16
#: Intervals in which a figure reaches all hosts through two collectors: one
#: until it is sent, one at each collector, one until the last host asks.
AGGREGATION_DELAY_INTERVALS = 4


class SummaryExchange(tasks.PeriodicService):
    """Sends this host's summaries and keeps those of the other hosts.

    Sources are callbacks that fill parts of each summary.
    ``read_wall_clock`` returns this host's own time of day, in seconds since
    the epoch. ``store_age`` is the age of what this host knows of the store;
    summaries carry it.
    """

    def __init__(
        self,
        *,
        host,
        store_age: store_readers.StoreAge,
        read_wall_clock: Callable[[], float] = time.time,
    ) -> None:
        super().__init__(
            interval=INTERVAL_SECONDS,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._read_wall_clock = read_wall_clock
        self._store_age = store_age
        self._number = 0
        self._sources = []
        #: Summaries of single hosts, by process.
        self._received: dict[
            tuple[str, int], received_summaries.ReceivedSummary
        ] = {}
        self._restored = received_summaries.RestoredCounts()
        #: Aggregates of other zones; only collectors receive them.
        self._zone_aggregates = zone_aggregates.ZoneAggregates(
            find_collector=self._find_zone_collector
        )
        #: Aggregate of all other hosts, from the own zone's collector.
        self._rest_of_fleet: received_summaries.ReceivedSummary | None = None
        self._aggregator = summary_aggregates.SummaryAggregator()
        #: Latest own summaries, by number, and when they were made.
        self._own_summaries: dict[int, tuple] = {}
        self._sending = tasks.TaskSet(
            logger=host.logger, counters=host.counters
        )

    @property
    def full_mesh(self) -> bool:
        """Whether the fleet is small enough to send to every other host."""
        return self._host.members.count_all() <= FULL_MESH_MAX_PEERS

    @property
    def max_age_seconds(self) -> float:
        """Age from which a summary is too old to be used, in seconds."""
        return MAX_AGE_INTERVALS * self._interval

    @property
    def aggregation_delay_seconds(self) -> float:
        """Delay that aggregation adds to a host's figures, in seconds."""
        return (
            0.0
            if self.full_mesh
            else AGGREGATION_DELAY_INTERVALS * self._interval
        )

    def add_source(self, fill) -> None:
        """Call ``fill(summary)`` for each summary before it is sent."""
        self._sources.append(fill)

    def find_collector(self) -> members.Member:
        """Return the host that aggregates this availability zone."""
        own = self._host.members.own
        return self._find_zone_collector(own.zone) or own

    def is_collector(self) -> bool:
        """Return whether this host aggregates its zone, in a large fleet."""
        own = self._host.members.own
        return not self.full_mesh and self.find_collector().host == own.host

    def list_fresh(self) -> list[summaries_pb2.Summary]:
        """Return the recent summaries, one for each host.

        Together they cover all reporting hosts, some by aggregates.
        """
        return [received.summary for received in self.list_fresh_received()]

    def list_fresh_received(self) -> list[received_summaries.ReceivedSummary]:
        """Return the recent summaries with the times of their receipt."""
        oldest = pause_detectors.read_boot_clock() - self.max_age_seconds
        return received_summaries.list_latest(
            self._list_known(), oldest=oldest
        )

    def list_all(self) -> list[summaries_pb2.Summary]:
        """Return all known summaries, also those of ended processes."""
        ended = self._restored.list_ended(
            received=self._received, present=self._host.members.list_all()
        )
        return [*ended, *[received.summary for received in self._list_known()]]

    def count_reporting_hosts(self) -> int:
        """Return the number of other hosts with a recent summary."""
        return sum(max(1, summary.hosts) for summary in self.list_fresh())

    def count_silent_hosts(self) -> int:
        """Return the number of member hosts without a recent summary."""
        known = self._host.members.list_all()
        if not self.full_mesh:
            return max(0, len(known) - self.count_reporting_hosts())
        fresh = {summary.host for summary in self.list_fresh()}
        return sum(member.host not in fresh for member in known)

    def read_time_of_day(self) -> float:
        """Return the time of day, in seconds since the epoch.

        It is the median of this host's clock and those of the hosts with
        recent summaries, so that a single clock that jumped has no effect.
        """
        return received_summaries.find_median_clock(
            self._read_wall_clock(), self.list_fresh_received()
        )

    def apply(self, summary: summaries_pb2.Summary) -> None:
        """Store a summary of another host, or the aggregate of a zone.

        One that is malformed, or older than the stored one, is ignored.
        """
        if self._is_malformed(summary):
            return
        self._store_age.apply_summary(summary)
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
        """Apply a summary; return the reply, with an aggregate if wanted."""
        self.apply(summary)
        if not summary.wants_sum:
            return summaries_pb2.TellReply()
        reply = self._aggregator.make_reply(
            summary.host, time_of_day=self.read_time_of_day()
        )
        if reply.HasField("sum"):
            self._store_age.fill_summary(reply.sum)
        return reply

    def export_counts(self) -> list[bytes]:
        """Return the counts of all processes, also the own, as messages."""
        own = self._make_summary()
        own.ClearField("counts")
        for window, counts in self._host.usage.counts.items():
            own.counts.add(window=window, counts=counts)
        return received_summaries.dump_counts([own, *self.list_all()])

    def restore_counts(self, messages: list[bytes]) -> None:
        """Load exported counts; only those of ended processes are used."""
        self._restored.load(messages)

    async def run_once(self) -> None:
        """Send one summary, and drop received ones that are too old."""
        zone = self._host.members.list_present(zone=self._host.settings.zone)
        self._interval = INTERVAL_SECONDS * max(
            1.0, len(zone) / FULL_RATE_ZONE_HOSTS
        )
        oldest = pause_detectors.read_boot_clock() - RETENTION_SECONDS
        for key, received in list(self._received.items()):
            if received.received_at < oldest:
                del self._received[key]
        self._zone_aggregates.drop_older(oldest)
        known = [stored.summary for stored in self._list_known()]
        self._host.quotas.retain(
            {(summary.host, summary.incarnation) for summary in known}
        )
        self.publish()

    def publish(self) -> None:
        """Send one summary now, to each receiver in a task of its own."""
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
            known=[received.summary for received in self._list_known()],
            # Only from this zone's own clocks: if collectors used each
            # other's medians, they would drift by the messages' latency.
            zone_time=received_summaries.find_median_clock(
                self._read_wall_clock(),
                [
                    received
                    for received in self.list_fresh_received()
                    if not received.summary.hosts
                ],
            ),
        )
        self._store_age.fill_summary(self._aggregator.zone_aggregate)
        for link in self._list_collectors():
            self._start_sending(link, self._aggregator.zone_aggregate)

    async def stop(self) -> None:
        """Stop, and cancel messages that are being sent."""
        await super().stop()
        await self._sending.cancel()

    def _list_known(self) -> list[received_summaries.ReceivedSummary]:
        if self.full_mesh:
            return list(self._received.values())
        if self.is_collector():
            return [
                *self._received.values(),
                *self._zone_aggregates.list_all(),
            ]
        return [self._rest_of_fleet] if self._rest_of_fleet is not None else []

    def _list_collectors(self) -> list:
        """Return the links to the other zones' collectors."""
        present = self._host.members.list_present()
        zones = {member.zone for member in present} - {
            self._host.settings.zone
        }
        links = []
        for zone in zones:
            collector = self._find_zone_collector(zone)
            link = self._host.links.find(collector.host)
            if link is not None:
                links.append(link)
        return links

    def _find_zone_collector(self, zone: str) -> members.Member | None:
        """Return the host that aggregates a zone, None without members."""
        ranked = self._host.members.rank_present(
            zone=zone, purpose=store_readers.PURPOSE
        )
        return ranked[0] if ranked else None

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
        self._store_age.fill_summary(summary)
        now = pause_detectors.read_boot_clock()
        self._own_summaries[self._number] = summary, now
        self._own_summaries.pop(self._number - MAX_OWN_SUMMARIES, None)
        return summary

    def _apply_zone_aggregate(self, summary: summaries_pb2.Summary) -> None:
        replaces = self._zone_aggregates.add(
            self._make_received(summary), max_age_seconds=self.max_age_seconds
        )
        if not replaces:
            return
        self._aggregator.add(summary)
        if self.is_collector():
            self._host.apply_summary(summary)

    def _apply_fleet_aggregate(self, reply: summaries_pb2.TellReply) -> None:
        """Store the aggregate of all hosts, after subtracting this one."""
        own, made_at = self._own_summaries.get(reply.included, (None, 0.0))
        if not reply.HasField("sum") or own is None:
            return
        total = reply.sum
        if self._is_malformed(total):
            return
        self._store_age.apply_summary(total)
        if self._rest_of_fleet is not None:
            previous = self._rest_of_fleet.summary
            if (previous.incarnation, previous.number) == (
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
        age = pause_detectors.read_boot_clock() - made_at
        self._host.apply_summary(total, age=age)

    def _is_malformed(self, summary: summaries_pb2.Summary) -> bool:
        """Tell whether a figure can't be used; log and count it."""
        field = received_summaries.find_malformed(summary)
        if not field:
            return False
        self._counters.count_event("summaries.malformed")
        self._logger.bind(step="read summary", peer=summary.host).warning(
            f"summary {summary.number} ignored: {field} is malformed"
        )
        return True

    def _make_received(
        self, summary: summaries_pb2.Summary
    ) -> received_summaries.ReceivedSummary:
        return received_summaries.ReceivedSummary(
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
