"""Prefill backlogs, which estimate how long a new request would wait.

A host knows exactly which of its own requests wait for their first token.
The requests of other hosts it knows late, from load reports, or not at all:
in a fleet of 390 hosts, minutes pass between two requests of one host to
one engine. So a host counts the tokens that its own requests have still to
prefill on all engines of a model, and assumes that a number of hosts, the
sharing hosts, have as many. That number is one while the waits are explained
by this host's own requests, all hosts when they are not, and it decays while
the engines have spare capacity.
"""

from collections.abc import Callable
import dataclasses
import math
import time

from buckthornhold import engines

#: A request is late when it waits this share of the target longer than
#: expected.
LATE_TARGET_SHARE = 0.25
#: Least number of late requests, and their least share of the waiting ones,
#: at which all hosts are assumed to share the engines.
MIN_LATE_REQUESTS = 2
MIN_LATE_REQUEST_SHARE = 0.3
#: Prefills of at least this size are samples of the engines' cache misses.
MIN_CACHE_SAMPLE_TOKENS = 256
#: Weight of the latest sample in the moving average of the cache misses.
CACHE_MISS_EWMA_WEIGHT = 0.2
#: Weight of the latest request in the moving average of the lateness.
LATENESS_EWMA_WEIGHT = 0.25
#: Factor on the sharing hosts for each first-token target without overload.
SHARING_HOSTS_DECAY_FACTOR = 0.7
#: An engine is busy when prefilling its waiting tokens takes this share of
#: the target.
BUSY_WAIT_TARGET_SHARE = 0.5
#: An engine is busy when this share of its slots is in use.
BUSY_SLOTS_SHARE = 0.9
#: Weight of the latest answer in the moving average of the answer times.
ANSWER_EWMA_WEIGHT = 0.1
#: Share of the engines' rate at which refused requests are told to retry.
RETRY_RATE_SHARE = 0.8
MAX_RETRY_AFTER_SECONDS = 30.0


@dataclasses.dataclass(kw_only=True, eq=False)
class AdmittedRequest:
    """An admitted request and its estimated cost.

    ``prefill_tokens`` take ``service_seconds`` on an engine without other
    work. ``expected_wait`` is the wait before that, in seconds. Times are on
    the monotonic clock, in seconds.
    """

    model: str
    workspace: str
    upstream_key: tuple[str, int]
    prefill_tokens: int
    service_seconds: float
    expected_wait: float
    admitted_at: float = 0.0
    first_token_at: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineCapacity:
    """Capacity of a model's engines, from their load reports.

    ``total_prefill_rate`` is in tokens a second and ``slots`` the number of
    concurrent streams, of all engines together. ``engine_prefill_rate`` is
    the mean rate of one engine.
    """

    total_prefill_rate: float
    slots: float
    engine_prefill_rate: float
    step_seconds: float
    busy: bool


class PrefillBacklog:
    """This host's requests of one model that wait for their first token.

    A leaky bucket counts the tokens to prefill as if the engines worked
    evenly for this host and the sharing hosts. So the admitted work stays
    below this host's part also while nothing is known of its latest
    requests.
    """

    def __init__(
        self, *, target: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._target = target
        self._clock = clock
        self._waiting: dict[AdmittedRequest, None] = {}
        self._admitted_count = 0
        self._waiting_tokens = 0
        self._bucket_tokens = 0.0
        self._bucket_updated_at = self._clock()
        self._sharing_hosts = 1.0
        self._host_count = 1
        self._sharing_updated_at = 0.0
        self._answer_seconds = 0.0
        self._lateness = 0.0
        self._cache_miss_share = 1.0
        self._retries_scheduled_until = 0.0

    @property
    def cache_miss_share(self) -> float:
        """Share of the tokens estimated to be missing that really are.

        The rest is in the engines' caches from other hosts' requests.
        """
        return self._cache_miss_share

    @property
    def sharing_hosts(self) -> float:
        """Estimated number of hosts that load the engines as this one does."""
        return self._sharing_hosts

    def observe(self, capacity: EngineCapacity, *, host_count: int) -> None:
        """Update the estimates from the engines' and requests' state."""
        now = self._clock()
        self._host_count = host_count
        rate = capacity.total_prefill_rate / self._sharing_hosts
        self._bucket_tokens -= (now - self._bucket_updated_at) * rate
        self._bucket_tokens = max(0.0, self._bucket_tokens)
        self._lateness *= math.exp(
            (self._bucket_updated_at - now) / self._target
        )
        self._bucket_updated_at = now
        late_count = sum(map(self._is_late, self._waiting))
        if capacity.busy or late_count >= max(
            MIN_LATE_REQUESTS, MIN_LATE_REQUEST_SHARE * len(self._waiting)
        ):
            self._assume_all_hosts_share()
            return
        if now - self._sharing_updated_at > self._target:
            self._sharing_hosts = max(
                1.0, self._sharing_hosts * SHARING_HOSTS_DECAY_FACTOR
            )
            self._sharing_updated_at = now

    def estimate_wait(
        self, capacity: EngineCapacity, *, max_tokens: int
    ) -> float:
        """Return how long a request would wait for others, in seconds."""
        wait = max(
            self._waiting_tokens, self._bucket_tokens
        ) / self._find_host_rate(capacity)
        wait += max(0.0, self._lateness)
        slots = capacity.slots / self._sharing_hosts
        missing = self._admitted_count + 1 - slots
        if missing <= 0 or not slots:
            return wait
        answer_seconds = (
            self._answer_seconds or max_tokens * capacity.step_seconds
        )
        return wait + missing * answer_seconds / slots

    def schedule_retry(
        self, tokens: int, excess: float, capacity: EngineCapacity
    ) -> float:
        """Return the seconds after which a refused request may be retried.

        ``excess`` is by how much its wait was too long, in seconds. The
        retries are spread out in the order of the refusals, so that they
        don't come all at once.
        """
        now = self._clock()
        start = max(self._retries_scheduled_until, now + excess)
        start = min(start, now + MAX_RETRY_AFTER_SECONDS)
        rate = self._find_host_rate(capacity) * RETRY_RATE_SHARE
        self._retries_scheduled_until = start + tokens / rate
        return start - now

    def add(self, admitted: AdmittedRequest) -> None:
        """Add a request that is admitted now."""
        admitted.admitted_at = self._clock()
        self._waiting[admitted] = None
        self._admitted_count += 1
        self._waiting_tokens += admitted.prefill_tokens
        self._bucket_tokens = max(
            self._bucket_tokens, self._waiting_tokens - admitted.prefill_tokens
        )
        self._bucket_tokens += admitted.prefill_tokens

    def record_first_token(self, admitted: AdmittedRequest) -> None:
        """Remove a request's tokens, which are prefilled now."""
        admitted.first_token_at = self._clock()
        self._remove_waiting(admitted)
        self._update_cache_miss_share(admitted)
        change = (
            self._measure_wait(admitted)
            - admitted.expected_wait
            - self._lateness
        )
        self._lateness += LATENESS_EWMA_WEIGHT * change
        if self._lateness > LATE_TARGET_SHARE * self._target:
            self._assume_all_hosts_share()

    def remove(self, admitted: AdmittedRequest) -> None:
        """Remove a finished request."""
        self._remove_waiting(admitted)
        self._admitted_count -= 1
        if not admitted.first_token_at:
            return
        seconds = self._clock() - admitted.admitted_at
        if not self._answer_seconds:
            self._answer_seconds = seconds
        change = seconds - self._answer_seconds
        self._answer_seconds += ANSWER_EWMA_WEIGHT * change

    def _update_cache_miss_share(self, admitted: AdmittedRequest) -> None:
        """Estimate from a long prefill how much of it was cached."""
        if admitted.prefill_tokens < MIN_CACHE_SAMPLE_TOKENS:
            return
        seconds = admitted.first_token_at - admitted.admitted_at
        share = self._cache_miss_share * seconds / admitted.service_seconds
        change = min(1.0, share) - self._cache_miss_share
        self._cache_miss_share += CACHE_MISS_EWMA_WEIGHT * change

    def _remove_waiting(self, admitted: AdmittedRequest) -> None:
        if admitted in self._waiting:
            del self._waiting[admitted]
            self._waiting_tokens -= admitted.prefill_tokens

    def _measure_wait(self, admitted: AdmittedRequest) -> float:
        """Return how long a request has waited for others, in seconds."""
        until = admitted.first_token_at or self._clock()
        return until - admitted.admitted_at - admitted.service_seconds

    def _is_late(self, admitted: AdmittedRequest) -> bool:
        return (
            self._measure_wait(admitted)
            > admitted.expected_wait + LATE_TARGET_SHARE * self._target
        )

    def _assume_all_hosts_share(self) -> None:
        """Assume that all hosts load the engines as this one does."""
        self._sharing_hosts = float(self._host_count)
        self._sharing_updated_at = self._clock()
        self._bucket_tokens = max(self._bucket_tokens, self._waiting_tokens)

    def _find_host_rate(self, capacity: EngineCapacity) -> float:
        return capacity.total_prefill_rate / self._sharing_hosts


def estimate_capacity(
    reports: list[engines.Load], *, engine_count: int, target: float
) -> EngineCapacity | None:
    """Estimate the capacity of all engines from those that have reported.

    None if no engine has reported its prefill rate yet.
    """
    count = len(reports)
    if not count:
        return None
    engine_prefill_rate = (
        sum(report.prefill_rate for report in reports) / count
    )
    slots = sum(report.slots for report in reports)
    running = sum(report.running + report.queued for report in reports)
    waiting_tokens = sum(report.waiting_tokens for report in reports)
    return EngineCapacity(
        total_prefill_rate=engine_prefill_rate * engine_count,
        slots=slots / count * engine_count,
        engine_prefill_rate=engine_prefill_rate,
        step_seconds=sum(report.step_seconds for report in reports) / count,
        busy=(
            waiting_tokens / count
            > BUSY_WAIT_TARGET_SHARE * target * engine_prefill_rate
            or running > BUSY_SLOTS_SHARE * slots
        ),
    )
