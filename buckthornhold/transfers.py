"""Transfers: streams carried over from upstreams that leave.

Recomputing a stream's context on another upstream costs most for the
longest ones, so those go first, by their KV cache where time and room allow
it. Transfers and recomputations are bounded for the whole host, so that a
wave of reclaims does not overrun the upstreams that stay.
"""

import asyncio
from collections.abc import Callable
import contextlib
import heapq
import itertools
import math
import time

from buckthornhold import attempts
from buckthornhold import reasons
from buckthornhold import settings
from buckthornhold import signals
from buckthornhold import streams
from buckthornhold import upstreams

TARGETS_TRIED = 2
#: First guess of the seconds to carry over one token of context.
CARRY_SECONDS_PER_TOKEN = 0.0001
CARRY_SECONDS_WEIGHT = 0.2
RECHECK_SECONDS = 0.5
#: Longest wait for the list when an engine itself says that it leaves: a
#: quarter of what it may have left when nobody says how long.
NOTICE_TIMEOUT_SECONDS = 0.5


class Slots:
    """A bounded number of slots; the costliest waiter gets the next one.

    Who waited for ``patience`` seconds goes on without a slot: pacing must
    not become a reason for failing.
    """

    def __init__(self, *, count: int, patience: float) -> None:
        self._free = count
        self._patience = patience
        self._waiters: list[tuple[float, int, asyncio.Future]] = []
        self._numbers = itertools.count()

    @contextlib.asynccontextmanager
    async def hold(self, cost: float):
        """Hold one slot."""
        release = await self.acquire(cost)
        try:
            yield
        finally:
            release()

    async def acquire(self, cost: float) -> Callable[[], None]:
        """Wait for a slot; return what gives it back, however often."""
        held = [1] if await self._acquire(cost) else []

        def release() -> None:
            if held:
                held.pop()
                self._release()

        return release

    async def _acquire(self, cost: float) -> bool:
        if self._free > 0:
            self._free -= 1
            return True
        waiter = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (-cost, next(self._numbers), waiter))
        try:
            async with asyncio.timeout(self._patience):
                await waiter
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._release()
            raise
        return True

    def _release(self) -> None:
        while self._waiters:
            _, _, waiter = heapq.heappop(self._waiters)
            if not waiter.done():
                waiter.set_result(None)
                return
        self._free += 1


class Transfers:
    """Moves this host's streams away from upstreams that leave."""

    def __init__(self, *, host, config: settings.Settings) -> None:
        self._host = host
        self._settings = config
        self._carry_slots = Slots(
            count=config.carry_slots, patience=config.transfer_patience
        )
        self.recompute_slots = Slots(
            count=config.recompute_slots, patience=config.transfer_patience
        )
        self._seconds_per_token = CARRY_SECONDS_PER_TOKEN
        signals.upstream_leaving.connect(self._start, sender=host)
        signals.attempt_started.connect(self._check_start, sender=host)

    def _start(self, sender, upstream: upstreams.Upstream) -> None:
        if upstream.engine is None:
            return
        self._host.background.start(
            self._clear(upstream), step="clear upstream"
        )

    def _check_start(self, sender, attempt: attempts.Attempt) -> None:
        """Move a stream that was taken over from a leaving upstream."""
        if not attempt.upstream.leaving:
            return
        request_id = attempt.contract.request_id
        stream = self._host.answers.find_running(request_id)
        if stream is not None:
            self._host.background.start(
                self._move(stream, attempt.upstream), step="move stream"
            )

    async def _clear(self, upstream: upstreams.Upstream) -> None:
        """Move every stream off an upstream, the costliest first.

        An engine's own word that it leaves may overtake the list, which says
        how long its streams may still take.
        """
        if upstream.leaves_at == math.inf:
            await self._host.upstreams.refresh_list(NOTICE_TIMEOUT_SECONDS)
        moving = sorted(
            self._host.answers.list_on(upstream),
            key=lambda stream: -stream.cost,
        )
        await asyncio.gather(*[self._move(it, upstream) for it in moving])

    async def _move(
        self, stream: streams.Stream, upstream: upstreams.Upstream
    ) -> None:
        while stream.is_on(upstream):
            if not self._can_finish(stream, upstream):
                break
            await asyncio.sleep(RECHECK_SECONDS)
        async with self._carry_slots.hold(stream.cost):
            tried: set[tuple[str, int]] = {upstream.key}
            for _ in range(TARGETS_TRIED):
                if not stream.is_on(upstream):
                    return
                target = stream.find_target(tried)
                if target is None:
                    break
                if await self._carry(stream, upstream, target):
                    await stream.move_to(target)
                    self._host.counters.count_event("streams.carried")
                    return
                tried.add(target.key)
        if stream.is_on(upstream):
            await self._resume_elsewhere(stream, upstream)

    async def _resume_elsewhere(
        self, stream: streams.Stream, upstream: upstreams.Upstream
    ) -> None:
        """Have the context computed again where there is room."""
        target = stream.find_target({upstream.key})
        if target is None:
            return
        async with self.recompute_slots.hold(stream.cost):
            if stream.is_on(upstream):
                await stream.move_to(target)
                self._host.counters.count_event("streams.recomputed")

    def _find_time_left(self, upstream: upstreams.Upstream) -> float:
        """Return the seconds until an upstream goes, as far as is known."""
        if upstream.leaves_at == math.inf:
            return self._settings.unknown_notice
        return upstream.leaves_at - time.monotonic()

    def _can_finish(
        self, stream: streams.Stream, upstream: upstreams.Upstream
    ) -> bool:
        """Tell whether a stream surely ends before its upstream goes.

        Notices are read from a list that lags, hence the margin.
        """
        left = self._find_time_left(upstream) - self._settings.notice_margin
        return stream.estimate_seconds_left() < left

    async def _carry(
        self,
        stream: streams.Stream,
        upstream: upstreams.Upstream,
        target: upstreams.Upstream,
    ) -> bool:
        """Carry a stream's KV cache to a target that has room for it."""
        left = self._find_time_left(upstream)
        cost = stream.cost
        if cost * self._seconds_per_token > left:
            return False
        request_id = stream.contract.request_id
        started = time.monotonic()
        target.in_flight += 1
        try:
            async with asyncio.timeout(left):
                blob = await upstream.engine.export_cache(request_id)
                if isinstance(blob, reasons.Failure):
                    return False
                failure = await target.engine.import_cache(request_id, blob)
        except TimeoutError:
            return False
        finally:
            target.in_flight -= 1
        if failure is not None:
            if failure.reason is reasons.Reason.UPSTREAM_LEAVING:
                self._host.upstreams.mark_leaving(target)
            return False
        seconds = (time.monotonic() - started) / cost
        self._seconds_per_token += CARRY_SECONDS_WEIGHT * (
            seconds - self._seconds_per_token
        )
        return True
