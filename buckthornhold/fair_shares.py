"""Fair shares of workspaces while the engines of a model are overloaded.

For each limit line of the rules a host keeps the engine time of the requests
that it admitted lately, and compares it with the sum over all lines. It
needs neither the store nor other hosts: a share of what this host admits
doesn't depend on the number of hosts and is the same on both sides of a
network partition.
"""

from collections.abc import Callable
import dataclasses
import enum
import math
import time

from buckthornhold import rules

#: Time constant of the exponential decay of recorded usage.
USAGE_DECAY_SECONDS = 5.0
#: A limit line contends for the engines for this long after a request.
CONTENDING_SECONDS = 5.0
#: Share of its maximum wait that a request without precedence leaves to
#: the others.
RESERVED_WAIT_SHARE = 0.5
#: A request without precedence is still admitted while the wait is below
#: this share of the first-token target.
MIN_WAIT_TARGET_SHARE = 0.1
#: A request with precedence may wait so long that its first token comes
#: within this share of the target.
PRECEDENCE_TARGET_SHARE = 0.85
#: Share of the work that each priority gets, whatever the demand of higher
#: priorities.
MIN_PRIORITY_SHARE = 0.1
#: The usage of a limit line without requests for this long is dropped.
UNUSED_LINE_SECONDS = 60.0
MAX_RETRY_AFTER_SECONDS = 30.0


class Precedence(enum.Enum):
    """Precedence of a request over those of other limit lines."""

    #: No contending limit line has precedence.
    OPEN = "open"
    #: Its limit line has used less than its share, so it has precedence.
    FIRST = "first"
    #: Another contending limit line has precedence.
    BEHIND = "behind"


@dataclasses.dataclass(kw_only=True)
class LineUsage:
    """Decayed engine usage of one limit line's workspaces.

    ``used_seconds`` is in seconds of all engines' work, as of
    ``updated_at``. Times are on the monotonic clock, in seconds.
    """

    share: float = 0.0
    priority: int = 0
    used_seconds: float = 0.0
    updated_at: float = 0.0
    requested_at: float = 0.0
    retries_scheduled_until: float = 0.0
    refused_wait_limit: float = math.inf

    def decay(self, now: float) -> None:
        """Apply the decay up to now."""
        self.used_seconds *= math.exp(
            (self.updated_at - now) / USAGE_DECAY_SECONDS
        )
        self.updated_at = now


class ShareCheck:
    """Precedence of one request; this base class enforces no shares."""

    #: Precedence of the request over those of other limit lines.
    precedence = Precedence.OPEN
    #: Workspace of the limit line that the request counts for.
    name = rules.ANY
    #: Least wait limit, in seconds, by which requests with precedence were
    #: refused.
    wait_limit = math.inf

    def record_refusal(self, max_wait: float, wait: float) -> float | None:
        """Record a refusal; return the seconds until it may be retried.

        The request was refused because its ``wait`` is above ``max_wait``.
        None means after all requests that were refused before.
        """
        return None

    def record_admission(self) -> None:
        """Add the request to its limit line's usage."""


class LineShareCheck(ShareCheck):
    """Precedence of one request by its limit line's usage."""

    def __init__(
        self,
        *,
        name: str,
        precedence: Precedence,
        wait_limit: float,
        usage: LineUsage,
        total_seconds: float,
        work_seconds: float,
    ) -> None:
        self.name = name
        self.precedence = precedence
        self.wait_limit = wait_limit
        self._usage = usage
        self._total_seconds = total_seconds
        self._work_seconds = work_seconds

    def record_refusal(self, max_wait: float, wait: float) -> float | None:
        """Record a refusal; return the seconds until it may be retried.

        The retries of a limit line are spread out, at the rate that its
        current share of the engines can serve.
        """
        usage = self._usage
        if self.precedence is Precedence.OPEN:
            return None
        if self.precedence is Precedence.FIRST:
            usage.refused_wait_limit = max_wait
        now = usage.updated_at
        share = max(usage.share, MIN_PRIORITY_SHARE)
        if self._total_seconds:
            share = max(share, usage.used_seconds / self._total_seconds)
        start = max(usage.retries_scheduled_until, now + wait - max_wait)
        start = min(start, now + MAX_RETRY_AFTER_SECONDS)
        usage.retries_scheduled_until = start + self._work_seconds / share
        return start - now

    def record_admission(self) -> None:
        """Add the request to its limit line's usage."""
        self._usage.used_seconds += self._work_seconds
        self._usage.refused_wait_limit = math.inf


class FairShares:
    """Usage of one model's engines by the limit lines of the rules.

    It keeps no more entries than there are limit lines in the rules, since
    all workspaces without a line of their own share one. Entries of removed
    lines are dropped when the first request of a new line comes.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._usages: dict[str, LineUsage] = {}

    @property
    def line_count(self) -> int:
        """Number of limit lines whose usage is kept."""
        return len(self._usages)

    def check(
        self, limit: rules.LimitRule, *, work_seconds: float
    ) -> ShareCheck:
        """Record a request of a limit line and return its precedence.

        ``work_seconds`` is its cost in seconds of all engines' work.
        """
        now = self._clock()
        usage = self._find_usage(limit, now)
        usage.requested_at = now
        total_seconds = 0.0
        seconds_by_priority: dict[int, float] = {}
        contending = []
        for other in self._usages.values():
            other.decay(now)
            total_seconds += other.used_seconds
            used_seconds = seconds_by_priority.get(other.priority, 0.0)
            seconds_by_priority[other.priority] = (
                used_seconds + other.used_seconds
            )
            if other is not usage and (
                now - other.requested_at < CONTENDING_SECONDS
            ):
                contending.append(other)
        totals = _UsageTotals(
            total_seconds=total_seconds,
            seconds_by_priority=seconds_by_priority,
        )
        return LineShareCheck(
            name=limit.workspace,
            precedence=totals.find_precedence(usage, contending),
            wait_limit=totals.find_wait_limit(contending),
            usage=usage,
            total_seconds=total_seconds,
            work_seconds=work_seconds,
        )

    def _find_usage(self, limit: rules.LimitRule, now: float) -> LineUsage:
        usage = self._usages.get(limit.workspace)
        if usage is None:
            for name, old in list(self._usages.items()):
                if now - old.requested_at > UNUSED_LINE_SECONDS:
                    del self._usages[name]
            usage = self._usages[limit.workspace] = LineUsage(updated_at=now)
        usage.share = limit.share
        usage.priority = limit.priority
        return usage


@dataclasses.dataclass(frozen=True, kw_only=True)
class _UsageTotals:
    """Usage of all limit lines together and of each priority's lines."""

    total_seconds: float
    seconds_by_priority: dict[int, float]

    def find_precedence(
        self, usage: LineUsage, contending: list[LineUsage]
    ) -> Precedence:
        if self._is_under_share(usage):
            return Precedence.FIRST
        for other in contending:
            if other.priority > usage.priority or self._is_under_share(other):
                return Precedence.BEHIND
        return Precedence.OPEN

    def find_wait_limit(self, contending: list[LineUsage]) -> float:
        """Return the least limit that refused a line under its share."""
        under_share = filter(self._is_under_share, contending)
        return min(
            (usage.refused_wait_limit for usage in under_share),
            default=math.inf,
        )

    def _is_under_share(self, usage: LineUsage) -> bool:
        """Tell whether a limit line has used less than its share.

        The lines of one priority have a minimum share together, too.
        """
        if usage.used_seconds < usage.share * self.total_seconds:
            return True
        used_seconds = self.seconds_by_priority[usage.priority]
        return used_seconds < MIN_PRIORITY_SHARE * self.total_seconds


def find_max_wait(
    check: ShareCheck,
    max_wait: float,
    *,
    precedence_max_wait: float,
    target: float,
    prefill_seconds: float,
) -> float:
    """Return how long a request may wait by its precedence, in seconds.

    ``max_wait`` is the limit without shares and ``precedence_max_wait`` the
    longest wait that still meets the target. ``prefill_seconds`` is the
    request's prefill on this host's part of the engines: a request without
    precedence must leave capacity to others after its own prefill. However
    long that is, it is admitted while almost nothing waits.
    """
    if check.precedence is Precedence.FIRST:
        return max(max_wait, precedence_max_wait)
    if check.precedence is Precedence.BEHIND:
        reserved = max_wait * RESERVED_WAIT_SHARE + prefill_seconds / 2
        left = min(max_wait - reserved, check.wait_limit - prefill_seconds)
        return min(max_wait, max(target * MIN_WAIT_TARGET_SHARE, left))
    return max_wait
