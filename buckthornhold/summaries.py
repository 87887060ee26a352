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
from buckthornhold import summary_sums
from buckthornhold import tasks
from buckthornhold.coordination import host_rankings
from buckthornhold.coordination import members
from buckthornhold.coordination import pause_detectors
from buckthornhold.peers import summaries_pb2
from buckthornhold.peers import summaries_pb2_grpc

#: Time between two summaries, in seconds. Limits and loads of other hosts
#: are known with about this lag.
INTERVAL = 0.5
SEND_TIMEOUT = 0.5
#: Up to so many other hosts are told directly: 12 KB/s is reached at about
#: ten.
MESH_PEERS = 11
#: Hosts of a zone that tell their collector each INTERVAL; in a larger zone
#: each does so less often, and the collector's work stays the same.
ZONE_HOSTS = 16
#: A host that was not heard for so many intervals may be cut off.
FRESH_INTERVALS = 3
#: What a host counted is kept so long after it fell silent, in seconds, as
#: its usage is still to be reported.
KEEP_SECONDS = 60.0
#: Own summaries that are remembered, to be taken out of sums.
KEPT_OWN = 16
#: Intervals in which a figure reaches all hosts by way of two collectors: one
#: to be told, one at each collector, one until the last host asks.
SUM_INTERVALS = 4
PURPOSE = "summaries"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heard:
    """The latest summary of one process of another host, or a sum.

    ``heard_at`` is on the clock that also runs while a process stands
    still; ``clock_lead`` is by how much its time of day is ahead, in
    seconds.
    """

    summary: summaries_pb2.Summary
    heard_at: float
    clock_lead: float


class Summaries(tasks.PeriodicService):
    """Tells the other hosts of this one and keeps what they tell.

    Sources add what the other parts have to say to each summary.
    ``read_wall`` returns this host's own time of day, in seconds since the
    epoch.
    """

    def __init__(
        self, *, host, read_wall: Callable[[], float] = time.time
    ) -> None:
        super().__init__(
            interval=INTERVAL, logger=host.logger, counters=host.counters
        )
        self._host = host
        self._read_wall = read_wall
        self._number = 0
        self._sources = []
        #: Single hosts by process.
        self._heard: dict[tuple[str, int], Heard] = {}
        #: Processes that were running when the holder wrote its record.
        self._restored: list[summaries_pb2.Summary] = []
        #: Sums of other zones, by zone; collectors have them.
        self._zones: dict[str, Heard] = {}
        #: All other hosts, as the own zone's collector told.
        self._rest: Heard | None = None
        self._sums = summary_sums.Sums()
        self._own: dict[int, summaries_pb2.Summary] = {}
        self._sending = tasks.TaskSet(
            logger=host.logger, counters=host.counters
        )

    @property
    def direct(self) -> bool:
        """Whether the fleet is so small that each host tells each other."""
        return len(self._host.members.list_all()) <= MESH_PEERS

    @property
    def fresh_seconds(self) -> float:
        """Age from which a summary is too old to go by, in seconds."""
        return FRESH_INTERVALS * self._interval

    @property
    def detour_seconds(self) -> float:
        """How much later than directly sums tell of a host, in seconds."""
        return 0.0 if self.direct else SUM_INTERVALS * self._interval

    def add_source(self, fill) -> None:
        """Have ``fill(summary)`` add to each summary that is sent."""
        self._sources.append(fill)

    def find_collector(self) -> members.Member:
        """Return the host that sums up this availability zone."""
        own = self._host.members.own
        present = self._host.members.list_present(zone=own.zone)
        return host_rankings.rank_members(present or [own], purpose=PURPOSE)[0]

    def is_collector(self) -> bool:
        """Tell whether this host sums up its zone, in a large fleet."""
        own = self._host.members.own
        return not self.direct and self.find_collector().host == own.host

    def list_fresh(self) -> list[summaries_pb2.Summary]:
        """Return what was heard lately, of each host once.

        Together they tell of all other hosts, some as sums.
        """
        return [it.summary for it in self._list_fresh()]

    def list_all(self) -> list[summaries_pb2.Summary]:
        """Return the last that is known, of ended processes as well."""
        ended = [it for it in self._restored if not self._is_alive(it)]
        return [*ended, *[it.summary for it in self._list_known()]]

    def count_heard(self) -> int:
        """Return how many other hosts were heard of lately."""
        return sum(max(1, it.hosts) for it in self.list_fresh())

    def count_silent(self) -> int:
        """Return how many hosts may still run but were not heard lately."""
        known = self._host.members.list_all()
        if not self.direct:
            return max(0, len(known) - self.count_heard())
        fresh = {it.host for it in self.list_fresh()}
        return sum(member.host not in fresh for member in known)

    def read_time_of_day(self) -> float:
        """Return the time of day, in seconds since the epoch.

        The middle of this host's clock and those of the hosts that were
        heard lately, so that one clock that jumped changes nothing.
        """
        return self._read_middle(self._list_fresh())

    def _read_middle(self, known: list[Heard]) -> float:
        """Return the middle of this host's clock and those known."""
        leads = []
        for heard in known:
            leads += [heard.clock_lead] * max(1, heard.summary.hosts)
        return self._read_wall() + statistics.median_low([0.0, *leads])

    def take(self, summary: summaries_pb2.Summary) -> None:
        """Take in a summary of another host, or the sum of another zone.

        One that is older than what is known changes nothing.
        """
        if summary.hosts:
            self._take_zone(summary)
            return
        if not self.direct and summary.zone != self._host.settings.zone:
            return
        key = (summary.host, summary.incarnation)
        known = self._heard.get(key)
        if known is not None and known.summary.number >= summary.number:
            return
        if known is not None:
            summary_sums.keep_counts(summary, known.summary)
        self._heard[key] = self._make_heard(summary)
        self._sums.take_in(summary)
        if self.direct or self.is_collector():
            self._host.apply_summary(summary)

    def answer(self, summary: summaries_pb2.Summary):
        """Take in a summary; return the reply, with a sum if asked for."""
        self.take(summary)
        if summary.wants_sum:
            return self._sums.make_reply(
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
        self._interval = INTERVAL * max(1.0, len(zone) / ZONE_HOSTS)
        oldest = pause_detectors.read_clock() - KEEP_SECONDS
        for key, heard in list(self._heard.items()):
            if heard.heard_at < oldest:
                del self._heard[key]
        known = [it.summary for it in self._list_known()]
        self._host.quotas.forget({(it.host, it.incarnation) for it in known})
        self.publish()

    def publish(self) -> None:
        """Send one summary now, each by a task of its own."""
        summary = self._make_summary()
        if self.direct:
            for link in self._host.links.list_all():
                self._start_sending(link, summary)
            return
        collector = self.find_collector()
        if collector.host != self._host.settings.host:
            summary.wants_sum = True
            self._start_sending(self._host.links.find(collector.host), summary)
            return
        self._sums.add_up(
            summary,
            fresh=self.list_fresh(),
            known=[it.summary for it in self._list_known()],
            # Of this zone's own clocks alone: collectors that went by each
            # other's middles would drift by the time that messages take.
            zone_time=self._read_middle(
                [it for it in self._list_fresh() if not it.summary.hosts]
            ),
        )
        for link in self._list_collectors():
            self._start_sending(link, self._sums.zone)

    async def stop(self) -> None:
        """Stop, and end what is being sent."""
        await super().stop()
        await self._sending.cancel()

    def _is_alive(self, restored: summaries_pb2.Summary) -> bool:
        """Tell whether a process, or who summed up, speaks for itself."""
        if (restored.host, restored.incarnation) in self._heard:
            return True
        name = restored.host.removesuffix(summary_sums.SUFFIX)
        return any(
            (it.host, it.incarnation) == (name, restored.incarnation)
            for it in self._host.members.list_all()
        )

    def _list_fresh(self) -> list[Heard]:
        oldest = pause_detectors.read_clock() - self.fresh_seconds
        latest: dict[str, Heard] = {}
        for heard in self._list_known():
            if heard.heard_at < oldest:
                continue
            name = heard.summary.host
            incarnation = heard.summary.incarnation
            known = latest.get(name)
            if known is None or known.summary.incarnation < incarnation:
                latest[name] = heard
        return list(latest.values())

    def _list_known(self) -> list[Heard]:
        if self.direct:
            return list(self._heard.values())
        if self.is_collector():
            return [*self._heard.values(), *self._zones.values()]
        return [self._rest] if self._rest is not None else []

    def _list_collectors(self) -> list:
        """Return the links to the other zones' collectors."""
        present = self._host.members.list_present()
        zones = {it.zone for it in present} - {self._host.settings.zone}
        found = []
        for zone in zones:
            ranked = host_rankings.rank_members(
                [it for it in present if it.zone == zone], purpose=PURPOSE
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
            time_of_day=self._read_wall(),
        )
        for fill in self._sources:
            fill(summary)
        self._own[self._number] = summary
        self._own.pop(self._number - KEPT_OWN, None)
        return summary

    def _take_zone(self, summary: summaries_pb2.Summary) -> None:
        known = self._zones.get(summary.zone)
        if known is not None:
            former = known.summary
            if (former.incarnation, former.number) >= (
                summary.incarnation,
                summary.number,
            ):
                return
            summary_sums.keep_counts(summary, former)
        self._zones[summary.zone] = self._make_heard(summary)
        self._sums.take_in(summary)
        if self.is_collector():
            self._host.apply_summary(summary)

    def _take_sum(self, reply: summaries_pb2.TellReply) -> None:
        """Take in the sum of all hosts, without this one."""
        own = self._own.get(reply.included)
        if not reply.HasField("sum") or own is None:
            return
        total = reply.sum
        if self._rest is not None:
            former = self._rest.summary
            if (former.incarnation, former.number) == (
                total.incarnation,
                total.number,
            ):
                return
        summary_sums.take_out(total, own)
        if self._rest is not None and total.host == self._rest.summary.host:
            summary_sums.keep_counts(total, self._rest.summary)
        self._rest = self._make_heard(total)
        self._host.apply_summary(total)

    def _make_heard(self, summary: summaries_pb2.Summary) -> Heard:
        return Heard(
            summary=summary,
            heard_at=pause_detectors.read_clock(),
            clock_lead=summary.time_of_day - self._read_wall(),
        )

    def _start_sending(self, link, summary: summaries_pb2.Summary) -> None:
        if link is not None:
            self._sending.start(self._send(link, summary), step="send summary")

    async def _send(self, link, summary: summaries_pb2.Summary) -> None:
        if link.member.state is members.MemberState.GONE:
            return
        stub = summaries_pb2_grpc.SummariesStub(link.channel)
        try:
            reply = await stub.Tell(summary, timeout=SEND_TIMEOUT)
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
            self._take_sum(reply)


class SummaryServicer(summaries_pb2_grpc.SummariesServicer):
    """Takes the summaries of other hosts."""

    def __init__(self, *, summaries: Summaries) -> None:
        self._summaries = summaries

    async def Tell(self, request, context):  # noqa: N802
        """Take in a summary."""
        return self._summaries.answer(request)
