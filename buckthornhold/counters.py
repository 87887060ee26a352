"""Statsd counters, one for each refusal and retry reason."""

import statsd

from buckthornhold import reasons
from buckthornhold import settings


def list_names() -> list[str]:
    """Return the name of every counter the daemon can send."""
    names = [f"refusals.{reason.value}" for reason in reasons.Reason]
    names += [f"retries.{reason.value}" for reason in reasons.RetryReason]
    names += [f"events.{name}" for name in EVENT_NAMES]
    return names


EVENT_NAMES = (
    "requests.model",
    "requests.service",
    "answers.late_dropped",
    "handovers.held",
    "handovers.unanswered",
    "handovers.unheld",
    "broadcasts.pulled",
    "broadcasts.pushed",
    "broadcasts.pushed_whole",
    "callers.stalled",
    "hosts.paused",
    "leases.era_ended",
    "leases.eras_mixed",
    "leases.lapsed",
    "leases.renewals_failed",
    "leases.taken",
    "limits.ended",
    "limits.reached",
    "members.changed",
    "members.doubted",
    "store.eras_changed",
    "streams.carried",
    "streams.handed_over",
    "streams.returned",
    "streams.recomputed",
    "streams.regenerated",
    "orders.fenced",
    "orders.overridden",
    "relays.repeated",
    "relays.throttled",
    "summaries.malformed",
    "summaries.unsent",
    "reads.joined",
    "reads.answered_again",
    "reads.abandoned",
    "claims.taken",
    "claims.repeats_answered",
    "claims.outcomes_recorded",
    "claims.outcomes_unrecorded",
    "revisions.adopted",
    "revisions.brought_forward",
    "revisions.changes_lost",
    "revisions.older_ignored",
    "revisions.store_went_back",
    "tasks.errors",
    "evacuations.begun",
    "evacuations.ended",
    "facts.push_failed",
    "provisions.ordered",
    "provisions.refused",
    "provisions.released",
    "paces.slow",
    "paces.normal",
    "moves.running",
    "moves.done",
    "moves.taken_back",
    "moves.rechecked",
    "upstreams.announced_leaving",
    "upstreams.backed_off",
    "upstreams.cold",
    "upstreams.crashed",
    "upstreams.silent",
    "usage.totals_replaced",
    "usage.windows_skipped",
    "versions.withdrawn",
)


class Counters:
    """Counts events, to statsd when an address is set and in memory.

    The totals in memory serve the operators' port; they start at zero with
    the process.
    """

    def __init__(self, *, address: str | None, prefix: str) -> None:
        self._totals = dict.fromkeys(list_names(), 0)
        self._client = None
        if address:
            ip, port = settings.split_address(address)
            self._client = statsd.StatsClient(ip, port, prefix=prefix)

    @property
    def totals(self) -> dict[str, int]:
        """Counts since the process started, by counter name."""
        return dict(self._totals)

    def count_refusal(self, reason: reasons.Reason) -> None:
        """Count one final refusal."""
        self._count(f"refusals.{reason.value}")

    def count_retry(self, reason: reasons.RetryReason) -> None:
        """Count one repeated attempt."""
        self._count(f"retries.{reason.value}")

    def count_event(self, name: str, amount: int = 1) -> None:
        """Count a named event of ``EVENT_NAMES``."""
        self._count(f"events.{name}", amount)

    def _count(self, name: str, amount: int = 1) -> None:
        self._totals[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)
