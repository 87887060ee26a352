"""Backlogs: how long a new request of a model would wait.

A host knows exactly what it has sent itself and has no first token of yet.
What other hosts sent is known late, from load reports, or not at all: with
390 hosts a host sends an engine a request in minutes. So a host counts the
tokens that its own requests have still to prefill on all engines of a
model, and takes for granted that ``sharers`` hosts do as it does. That is
one as long as requests are as fast as this host's own requests explain, all
hosts at once when they are not, and falls slowly while engines have room.
"""

from collections.abc import Callable
import dataclasses
import math
import time

from buckthornhold import engines

#: A request is late when it waits this part of the target too long.
LATE_TARGET_SHARE = 0.25
#: Waiting requests that are late before this host counts on others' load:
#: so many, and such a part of all that wait.
MIN_LATE_REQUESTS = 2
MIN_LATE_REQUEST_SHARE = 0.3
#: Prefills from this size on tell how much the engines have cached.
MIN_CACHE_SAMPLE_TOKENS = 256
#: Weight of the latest such prefill.
CACHE_MISS_EWMA_WEIGHT = 0.2
#: Weight of the latest request in the mean lateness.
LATENESS_EWMA_WEIGHT = 0.25
#: How much fewer sharers there seem to be after each target's time.
SHARING_HOSTS_DECAY_FACTOR = 0.7
#: An engine is busy when its waiting tokens take this part of the target.
BUSY_WAIT_TARGET_SHARE = 0.5
#: Part of the slots in use at which an engine is busy.
BUSY_SLOTS_SHARE = 0.9
#: Weight of the latest answer in the mean time of an answer.
ANSWER_EWMA_WEIGHT = 0.1
#: Part of the engines' rate that refused requests are told to come back at.
RETRY_RATE_SHARE = 0.8
MAX_RETRY_AFTER_SECONDS = 30.0


@dataclasses.dataclass(kw_only=True, eq=False)
class AdmittedRequest:
    """A request's place among those that are taken.

    ``tokens`` are those to prefill, which take ``own_seconds`` on an engine
    without other work. ``expected`` is the wait before that. Times are on
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
    """What the engines of a model can do, from their reports.

    ``rate`` is in tokens prefilled a second, ``slots`` the streams at once,
    of all engines together.
    """

    total_prefill_rate: float
    slots: float
    engine_prefill_rate: float
    step_seconds: float
    busy: bool


class PrefillBacklog:
    """This host's requests of one model that have no first token yet.

    ``level`` counts the tokens to prefill as if the engines worked for this
    host and its sharers evenly, so that what it admits stays below its part
    also while nothing is known of its latest requests.
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
        """Part of the tokens thought to be missing that really are.

        The rest is cached on the engines by other hosts' requests.
        """
        return self._cache_miss_share

    @property
    def sharing_hosts(self) -> float:
        """How many hosts seem to use the engines as this one does."""
        return self._sharing_hosts

    def observe(self, capacity: EngineCapacity, *, host_count: int) -> None:
        """Take in what can be seen now of the engines and requests."""
        now = self._clock()
        self._host_count = host_count
        part = capacity.total_prefill_rate / self._sharing_hosts
        self._bucket_tokens -= (now - self._bucket_updated_at) * part
        self._bucket_tokens = max(0.0, self._bucket_tokens)
        self._lateness *= math.exp(
            (self._bucket_updated_at - now) / self._target
        )
        self._bucket_updated_at = now
        late = sum(map(self._is_late, self._waiting))
        if capacity.busy or late >= max(
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
        prefill = max(
            self._waiting_tokens, self._bucket_tokens
        ) / self._find_host_rate(capacity)
        prefill += max(0.0, self._lateness)
        slots = capacity.slots / self._sharing_hosts
        missing = self._admitted_count + 1 - slots
        if missing <= 0 or not slots:
            return prefill
        answer = self._answer_seconds or max_tokens * capacity.step_seconds
        return prefill + missing * answer / slots

    def schedule_retry(
        self, tokens: int, excess: float, capacity: EngineCapacity
    ) -> float:
        """Return when a refused request may come back, in seconds.

        Requests refused before it are expected back first, one after the
        other, so that they don't come all at once.
        """
        now = self._clock()
        start = max(self._retries_scheduled_until, now + excess)
        start = min(start, now + MAX_RETRY_AFTER_SECONDS)
        rate = self._find_host_rate(capacity) * RETRY_RATE_SHARE
        self._retries_scheduled_until = start + tokens / rate
        return start - now

    def add(self, place: AdmittedRequest) -> None:
        """Count a request that is taken now."""
        place.admitted_at = self._clock()
        self._waiting[place] = None
        self._admitted_count += 1
        self._waiting_tokens += place.prefill_tokens
        self._bucket_tokens = max(
            self._bucket_tokens, self._waiting_tokens - place.prefill_tokens
        )
        self._bucket_tokens += place.prefill_tokens

    def record_first_token(self, place: AdmittedRequest) -> None:
        """Count a request's tokens as prefilled."""
        place.first_token_at = self._clock()
        self._remove_waiting(place)
        self._update_cache_miss_share(place)
        change = (
            self._measure_wait(place) - place.expected_wait - self._lateness
        )
        self._lateness += LATENESS_EWMA_WEIGHT * change
        if self._lateness > LATE_TARGET_SHARE * self._target:
            self._assume_all_hosts_share()

    def remove(self, place: AdmittedRequest) -> None:
        """Forget a request that is over."""
        self._remove_waiting(place)
        self._admitted_count -= 1
        if not place.first_token_at:
            return
        seconds = self._clock() - place.admitted_at
        if not self._answer_seconds:
            self._answer_seconds = seconds
        change = seconds - self._answer_seconds
        self._answer_seconds += ANSWER_EWMA_WEIGHT * change

    def _update_cache_miss_share(self, place: AdmittedRequest) -> None:
        """Learn from a long prefill how much of it was cached after all."""
        if place.prefill_tokens < MIN_CACHE_SAMPLE_TOKENS:
            return
        seconds = place.first_token_at - place.admitted_at
        share = self._cache_miss_share * seconds / place.service_seconds
        change = min(1.0, share) - self._cache_miss_share
        self._cache_miss_share += CACHE_MISS_EWMA_WEIGHT * change

    def _remove_waiting(self, place: AdmittedRequest) -> None:
        if place in self._waiting:
            del self._waiting[place]
            self._waiting_tokens -= place.prefill_tokens

    def _measure_wait(self, place: AdmittedRequest) -> float:
        """Return how long a request waited, or does, for others."""
        until = place.first_token_at or self._clock()
        return until - place.admitted_at - place.service_seconds

    def _is_late(self, place: AdmittedRequest) -> bool:
        return (
            self._measure_wait(place)
            > place.expected_wait + LATE_TARGET_SHARE * self._target
        )

    def _assume_all_hosts_share(self) -> None:
        """Count on all hosts to use the engines as this one does."""
        self._sharing_hosts = float(self._host_count)
        self._sharing_updated_at = self._clock()
        self._bucket_tokens = max(self._bucket_tokens, self._waiting_tokens)

    def _find_host_rate(self, capacity: EngineCapacity) -> float:
        return capacity.total_prefill_rate / self._sharing_hosts


def estimate_capacity(
    reports: list[engines.Load], *, engine_count: int, target: float
) -> EngineCapacity | None:
    """Return what all engines can do, as those that reported can.

    None if no engine has told its speed yet.
    """
    count = len(reports)
    if not count:
        return None
    engine_prefill_rate = sum(it.prefill_rate for it in reports) / count
    slots = sum(it.slots for it in reports)
    running = sum(it.running + it.queued for it in reports)
    waiting = sum(it.waiting_tokens for it in reports)
    return EngineCapacity(
        total_prefill_rate=engine_prefill_rate * engine_count,
        slots=slots / count * engine_count,
        engine_prefill_rate=engine_prefill_rate,
        step_seconds=sum(it.step_seconds for it in reports) / count,
        busy=(
            waiting / count
            > BUSY_WAIT_TARGET_SHARE * target * engine_prefill_rate
            or running > BUSY_SLOTS_SHARE * slots
        ),
    )
