"""Upstream outcomes: which upstreams fail more than the others."""

import dataclasses
import math

#: Half-life of the weight of an upstream's outcomes.
OUTCOME_HALF_LIFE_SECONDS = 4.0
#: Weight of outcomes below which an upstream's failures are not judged.
MIN_OUTCOMES = 4.0
#: An upstream is excluded if the failed share of its requests exceeds this
#: one and exceeds the median share of the service's upstreams by this factor.
MIN_EXCLUDED_FAILED_SHARE = 0.25
EXCLUDED_FAILED_FACTOR = 2.5


@dataclasses.dataclass(kw_only=True)
class Outcomes:
    """Counts of an upstream's outcomes, with exponential decay."""

    ended: float = 0.0
    failed: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float, *, ended: float, failed: float) -> None:
        """Add outcomes; ``now`` is on the monotonic clock."""
        factor = 0.5 ** ((now - self.updated_at) / OUTCOME_HALF_LIFE_SECONDS)
        self.ended = self.ended * factor + ended
        self.failed = self.failed * factor + failed
        self.updated_at = now

    @property
    def failed_share(self) -> float:
        """Share of the requests that failed, 0 while the counts are low."""
        if self.ended < MIN_OUTCOMES:
            return 0.0
        return self.failed / self.ended


def exclude_failing(upstreams: list) -> list:
    """Return the upstreams without those that fail more than the others.

    Each has its ``Outcomes`` as ``outcomes``.
    """
    if len(upstreams) < 2:
        return upstreams
    shares = sorted(upstream.outcomes.failed_share for upstream in upstreams)
    median = shares[(len(shares) - 1) // 2]
    limit = max(MIN_EXCLUDED_FAILED_SHARE, median * EXCLUDED_FAILED_FACTOR)
    healthy = [
        upstream
        for upstream in upstreams
        if upstream.outcomes.failed_share <= limit
    ]
    # If most of them fail, the cause lies elsewhere.
    if len(healthy) < math.ceil(len(upstreams) / 2):
        return upstreams
    return healthy
