"""Queueing models of engines and plain services, for seeded runs.

They run in simulated time, without a network.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

#: Length of the stretches in which a noisy engine is slow or not, the share
#: of the slow ones, and the factor on the times in them.
NOISE_STRETCH_SECONDS = 0.6
NOISE_SHARE = 0.15
NOISE_FACTOR = 2.5
#: Seconds of one decoding step, in all, for each running request and for each
#: prompt token that is read in it, on an engine of pace 1.
STEP_SECONDS = 0.02
RUNNING_SECONDS = 0.0005
TOKEN_SECONDS = 25e-6
#: Prompt tokens that an engine reads in one step.
CHUNK_TOKENS = 512


class Timeline:
    """Runs planned actions in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._actions: list[tuple[float, int, Callable]] = []
        self._order = itertools.count()

    def plan(self, seconds: float, act: Callable[[], None]) -> None:
        """Call ``act`` so many seconds from now."""
        heapq.heappush(
            self._actions, (self.now + seconds, next(self._order), act)
        )

    def run(self, seconds: float) -> None:
        """Run all actions of the next seconds."""
        ends_at = self.now + seconds
        while self._actions and self._actions[0][0] < ends_at:
            self.now, _, act = heapq.heappop(self._actions)
            act()
        self.now = ends_at


@dataclasses.dataclass(kw_only=True, eq=False)
class ModelRequest:
    """A request to an engine; the callbacks get the time since its start.

    ``on_stream_end`` gets the mean seconds between two events.
    """

    prefix: str
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    on_first_event: Callable[[float], None]
    on_end: Callable[[float], None]
    sent_at: float = 0.0
    first_at: float = 0.0
    unread_tokens: int = 0


class ModelEngine:
    """Reads prompts in chunks, first come first served, between steps.

    Each step decodes one token of each running request. The prefix cache
    evicts the least recently used prefix.
    """

    def __init__(
        self,
        *,
        timeline: Timeline,
        pace: float,
        slots: int,
        cache_tokens: int,
        noise: random.Random | None,
    ) -> None:
        self.pace = pace
        self.slots = slots
        self._timeline = timeline
        self._cache_tokens = cache_tokens
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._noise = noise
        self._stretch = (-1, 1.0)
        self._queued: collections.deque[ModelRequest] = collections.deque()
        self._reading: collections.deque[ModelRequest] = collections.deque()
        self._running: list[tuple[int, int, ModelRequest]] = []
        self._order = itertools.count()
        self._steps = 0
        self._busy = False
        #: Work of the requests sent here, in seconds of an engine of pace 1.
        self.work_seconds = 0.0
        self.read_again_tokens = 0
        self.request_count = 0

    @property
    def in_flight(self) -> int:
        """Requests at the engine."""
        return len(self._queued) + len(self._reading) + len(self._running)

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens to read before a new request's."""
        return sum(it.unread_tokens for it in self._reading) + sum(
            it.own_tokens for it in self._queued
        )

    def holds(self, prefix: str) -> bool:
        """Tell whether a prefix is cached."""
        return prefix in self._cache

    def find_pace(self) -> float:
        """Return the factor on the times at this moment."""
        if self._noise is None:
            return self.pace
        stretch = int(self._timeline.now / NOISE_STRETCH_SECONDS)
        if stretch != self._stretch[0]:
            slow = self._noise.random() < NOISE_SHARE
            self._stretch = (stretch, NOISE_FACTOR if slow else 1.0)
        return self.pace * self._stretch[1]

    def send(self, request: ModelRequest) -> None:
        """Take a request."""
        self.request_count += 1
        request.sent_at = self._timeline.now
        self._queued.append(request)
        if not self._busy:
            self._busy = True
            self._start_step()

    def _admit(self) -> None:
        while (
            self._queued
            and len(self._reading) + len(self._running) < self.slots
        ):
            request = self._queued.popleft()
            request.unread_tokens = request.own_tokens
            if request.prefix and not self._use_cache(request):
                request.unread_tokens += request.shared_tokens
                self.read_again_tokens += request.shared_tokens
            self.work_seconds += (
                request.unread_tokens * TOKEN_SECONDS
                + request.output_tokens * STEP_SECONDS / self.slots
            )
            self._reading.append(request)

    def _use_cache(self, request: ModelRequest) -> bool:
        held = request.prefix in self._cache
        self._cache[request.prefix] = request.shared_tokens
        self._cache.move_to_end(request.prefix)
        while sum(self._cache.values()) > self._cache_tokens:
            self._cache.popitem(last=False)
        return held

    def _start_step(self) -> None:
        self._admit()
        left = CHUNK_TOKENS
        done = []
        while self._reading and left:
            part = min(left, self._reading[0].unread_tokens)
            self._reading[0].unread_tokens -= part
            left -= part
            if not self._reading[0].unread_tokens:
                done.append(self._reading.popleft())
        seconds = (
            STEP_SECONDS
            + len(self._running) * RUNNING_SECONDS
            + (CHUNK_TOKENS - left) * TOKEN_SECONDS
        ) * self.find_pace()
        self._timeline.plan(seconds, lambda: self._end_step(done))

    def _end_step(self, done: list[ModelRequest]) -> None:
        now = self._timeline.now
        self._steps += 1
        for request in done:
            request.first_at = now
            request.on_first_event(now - request.sent_at)
            ends = self._steps + request.output_tokens
            heapq.heappush(self._running, (ends, next(self._order), request))
        while self._running and self._running[0][0] <= self._steps:
            request = heapq.heappop(self._running)[2]
            request.on_end((now - request.first_at) / request.output_tokens)
        self._busy = bool(self._queued or self._reading or self._running)
        if self._busy:
            self._start_step()


class ModelService:
    """A plain upstream: a number of slots, and no queue behind them."""

    def __init__(self, *, timeline: Timeline, slots: int) -> None:
        self._timeline = timeline
        self.slots = slots
        self.in_flight = 0
        self.request_count = 0
        self.refused_count = 0

    def send(self, seconds: float, on_end: Callable[[], None]) -> bool:
        """Run a call of so many seconds; False if all slots are in use."""
        if self.in_flight >= self.slots:
            self.refused_count += 1
            return False
        self.in_flight += 1
        self.request_count += 1

        def end() -> None:
            self.in_flight -= 1
            on_end()

        self._timeline.plan(seconds, end)
        return True
