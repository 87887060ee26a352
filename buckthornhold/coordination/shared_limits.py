"""Limits over all hosts that need no call per request.

Each host admits its equal part of a rate. The balancer spreads callers
evenly, so the parts add up to the rate without any talk.
"""

from collections.abc import Callable
import time

#: A bucket holds what its rate gives in this time, and one request at least.
BURST_SECONDS = 1.0

#: Names are callers' words, so the bucket used longest ago makes room.
MAX_BUCKETS = 4096


class TokenBucket:
    """A token bucket whose rate may change; it starts full."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._level: float | None = None
        self._filled_at = clock()

    def acquire(self, *, rate: float) -> float:
        """Take one token; return 0, or the seconds until there is one."""
        depth = max(1.0, rate * BURST_SECONDS)
        now = self._clock()
        if self._level is None:
            self._level = depth
        filled = self._level + (now - self._filled_at) * rate
        self._level = min(depth, filled)
        self._filled_at = now
        if self._level >= 1.0:
            self._level -= 1.0
            return 0.0
        return (1.0 - self._level) / rate


class SharedLimits:
    """This host's part of rates that all hosts share.

    ``count_hosts`` returns how many hosts share them. It should count those
    on the other side of a cut too, as long as they may serve: then the sum
    over all hosts stays at or below the rate during the cut, whoever is
    reached. Each host may hold one request more than its part, so up to one
    request a host comes on top of the rate in a burst. Needs nothing but a
    clock.
    """

    def __init__(
        self,
        *,
        count_hosts: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._count_hosts = count_hosts
        self._clock = clock
        self._buckets: dict[str, TokenBucket] = {}

    def acquire(self, name: str, *, rate: float) -> float:
        """Take one request of a shared rate.

        ``rate`` is in requests per second over all hosts. Returns 0 when
        the request is within it, else the seconds until one would be.
        """
        bucket = self._buckets.pop(name, None) or TokenBucket(
            clock=self._clock
        )
        self._buckets[name] = bucket
        if len(self._buckets) > MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]
        part = rate / max(1, self._count_hosts())
        return bucket.acquire(rate=part)
