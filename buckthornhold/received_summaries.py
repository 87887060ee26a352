"""Received summaries: what a host keeps of the other hosts' summaries."""

from collections.abc import Container
from collections.abc import Iterable
import dataclasses
import math
import statistics

from buckthornhold import summary_aggregates
from buckthornhold.coordination import members
from buckthornhold.peers import summaries_pb2


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReceivedSummary:
    """The latest summary of another host's process, or an aggregate.

    ``received_at`` is on the clock that also runs while the process is
    paused. ``clock_offset`` is the sender's time of day minus this host's,
    in seconds.
    """

    summary: summaries_pb2.Summary
    received_at: float
    clock_offset: float


def find_malformed(summary: summaries_pb2.Summary) -> str:
    """Return the name of a malformed field, "" if none is.

    A figure that isn't finite would spoil every sum and median that it is
    part of, and an age below 0 would make old state look new.
    """
    figures = [
        ("time_of_day", summary.time_of_day),
        ("store_age", summary.store_age),
        *(("uses", use.units) for use in summary.uses),
        *(("uses", use.small_requested) for use in summary.uses),
        *(
            ("uses", units)
            for use in summary.uses
            for units in use.requested.values()
        ),
        *(("demands", demand) for demand in summary.demands.values()),
    ]
    for name, figure in figures:
        if not math.isfinite(figure):
            return name
    return "store_age" if summary.store_age < 0 else ""


def find_median_clock(
    own_time: float, received: Iterable[ReceivedSummary]
) -> float:
    """Return the median of this host's clock and those of the senders."""
    offsets = []
    for item in received:
        offsets += [item.clock_offset] * max(1, item.summary.hosts)
    return own_time + statistics.median_low([0.0, *offsets])


def list_latest(
    received: Iterable[ReceivedSummary], *, oldest: float
) -> list[ReceivedSummary]:
    """Return those received since ``oldest``, of each host's last process."""
    latest: dict[str, ReceivedSummary] = {}
    for item in received:
        if item.received_at < oldest:
            continue
        name = item.summary.host
        known = latest.get(name)
        if (
            known is None
            or known.summary.incarnation < item.summary.incarnation
        ):
            latest[name] = item
    return list(latest.values())


def dump_counts(summaries: Iterable[summaries_pb2.Summary]) -> list[bytes]:
    """Return the counts in summaries, as messages."""
    return [
        summaries_pb2.Summary(
            host=summary.host,
            incarnation=summary.incarnation,
            number=summary.number,
            counts=summary.counts,
        ).SerializeToString()
        for summary in summaries
        if summary.counts
    ]


class RestoredCounts:
    """Counts from a checkpoint, of the processes that ran at its time."""

    def __init__(self) -> None:
        self._summaries: list[summaries_pb2.Summary] = []

    def load(self, messages: Iterable[bytes]) -> None:
        """Load what ``dump_counts`` returned."""
        self._summaries = [
            summaries_pb2.Summary.FromString(message) for message in messages
        ]

    def list_ended(
        self,
        *,
        received: Container[tuple[str, int]],
        present: Iterable[members.Member],
    ) -> list[summaries_pb2.Summary]:
        """Return the counts of processes that don't run any more.

        ``received`` are the processes whose summaries were received and
        ``present`` the members. A running process, or the host that sent an
        aggregate, reports its own counts.
        """
        running = {(member.host, member.incarnation) for member in present}
        return [
            summary
            for summary in self._summaries
            if (summary.host, summary.incarnation) not in received
            and (
                summary.host.removesuffix(summary_aggregates.AGGREGATE_SUFFIX),
                summary.incarnation,
            )
            not in running
        ]
