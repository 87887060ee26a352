"""Zone aggregates: what a collector knows of the other availability zones."""

from collections.abc import Callable

from buckthornhold import received_summaries
from buckthornhold import summary_aggregates
from buckthornhold.coordination import members


class ZoneAggregates:
    """Keeps the latest aggregate of each other zone.

    While hosts differ on who is a zone's collector, two may send aggregates
    of it. Those of the one that ``find_collector`` returns are used, and
    others only if that one sends none.
    """

    def __init__(
        self, *, find_collector: Callable[[str], members.Member | None]
    ) -> None:
        self._find_collector = find_collector
        self._received: dict[str, received_summaries.ReceivedSummary] = {}

    def list_all(self) -> list[received_summaries.ReceivedSummary]:
        """Return the aggregates, one for each zone."""
        return list(self._received.values())

    def drop_older(self, oldest: float) -> None:
        """Drop aggregates received before ``oldest``."""
        for zone, received in list(self._received.items()):
            if received.received_at < oldest:
                del self._received[zone]

    def add(
        self,
        received: received_summaries.ReceivedSummary,
        *,
        max_age_seconds: float,
    ) -> bool:
        """Store an aggregate; return whether it replaces the known one.

        ``max_age_seconds`` is the age from which on the known one isn't used
        any more.
        """
        summary = received.summary
        known = self._received.get(summary.zone)
        if known is not None:
            if not self._replaces(known, received, max_age_seconds):
                return False
            summary_aggregates.carry_over_counts(summary, known.summary)
        self._received[summary.zone] = received
        return True

    def _replaces(
        self,
        known: received_summaries.ReceivedSummary,
        received: received_summaries.ReceivedSummary,
        max_age_seconds: float,
    ) -> bool:
        previous, summary = known.summary, received.summary
        if (previous.host, previous.incarnation) == (
            summary.host,
            summary.incarnation,
        ):
            return summary.number > previous.number
        collector = self._find_collector(summary.zone)
        if collector is not None and summary.host == (
            summary_aggregates.make_name(collector.host)
        ):
            return True
        return received.received_at - known.received_at > max_age_seconds
