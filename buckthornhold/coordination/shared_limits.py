"""Fleet-wide rate limits that need no network call per request.

Each host admits an equal share of a rate. The load balancer distributes
clients evenly, so the shares add up to the rate without communication.
"""

from collections.abc import Callable
import time

#: A bucket's capacity is its rate times this, and at least one request.
BURST_SECONDS = 1.0

#: Clients choose the names, so the least recently used bucket is evicted.
MAX_BUCKETS = 4096


class TokenBucket:
    """A token bucket with a variable rate that starts full."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._level: float | None = None
        self._filled_at = clock()

    def acquire(self, *, rate: float) -> float:
        """Take a token; return 0, or the seconds until one is available."""
        capacity = max(1.0, rate * BURST_SECONDS)
        now = self._clock()
        if self._level is None:
            self._level = capacity
        filled = self._level + (now - self._filled_at) * rate
        self._level = min(capacity, filled)
        self._filled_at = now
        if self._level >= 1.0:
            self._level -= 1.0
            return 0.0
        return (1.0 - self._level) / rate


class SharedLimits:
    """This host's share of rates that all hosts share.

    ``count_hosts`` returns the number of hosts that share them. It should
    include hosts behind a network partition as long as they may serve: then
    the sum over all hosts stays within the rate during the partition. A
    bucket holds at least one request, so a burst may exceed the rate by up to
    one request per host. Needs only a clock.
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
        """Admit one request under a shared rate.

        ``rate`` is in requests per second over all hosts. Returns 0 if the
        request is within the rate, else the seconds until one would be.
        """
        bucket = self._buckets.pop(name, None) or TokenBucket(
            clock=self._clock
        )
        self._buckets[name] = bucket
        if len(self._buckets) > MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]
        share = rate / max(1, self._count_hosts())
        return bucket.acquire(rate=share)
