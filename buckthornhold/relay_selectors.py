"""Relay searches: the upstream to which a relayed request is sent next."""

import asyncio
import time

from buckthornhold import reasons
from buckthornhold import relay_messages
from buckthornhold import relay_upstreams
from buckthornhold.coordination import evidence

#: Wait before upstreams that refused it are asked once more, in seconds.
REFUSED_RETRY_PAUSE_SECONDS = 0.05
#: Wait before another try where no upstream can be sent to, in seconds, and
#: for how long that is tried.
NO_UPSTREAM_POLL_SECONDS = 0.1
NO_UPSTREAM_TIMEOUT_SECONDS = 0.3
#: When callers of what could not be served are told to ask again, seconds.
RETRY_AFTER_SECONDS = 0.5


class UpstreamSelector:
    """Finds upstreams for one request, each once before any twice.

    ``series`` is where the outcome at the upstream found last counts, and
    ``expected`` what the router expected until its first event, in seconds.
    """

    def __init__(self, *, host, request: relay_messages.RelayRequest) -> None:
        self._host = host
        self._request = request
        self._tried: set[tuple[str, int]] = set()
        self.series: evidence.Series | None = None
        self.expected_seconds = 0.0

    def mark_tried(self, upstream: relay_upstreams.RelayUpstream) -> None:
        """Pass an upstream over until all others were tried."""
        self._tried.add(upstream.key)

    def has_untried(self) -> bool:
        """Tell whether an upstream is left that was not tried."""
        found = self._host.upstreams.list_service(self._request.service)
        return any(it.key not in self._tried for it in found)

    async def select(
        self, *, again: bool
    ) -> relay_upstreams.RelayUpstream | reasons.Failure:
        """Choose an upstream; wait a little where there is none.

        ``again`` tells that the request was sent before.
        """
        ends_at = time.monotonic() + NO_UPSTREAM_TIMEOUT_SECONDS
        wait = self._host.upstreams.find_retry_wait(self._request.service)
        if wait and not self._request.route.streamed:
            # It would wait there in vain. An engine may be only slow.
            return _fail(
                "requests were given up at every upstream without a word",
                retry_after=wait,
            )
        while True:
            choice = self._host.moves.choose(
                self._request,
                self._host.upstreams.list_service(self._request.service),
                again=again,
            )
            found = choice.upstreams
            fresh = [it for it in found if it.key not in self._tried]
            if fresh:
                self.series = choice.series
                return self._choose(fresh)
            if found and self._tried:
                self._tried.clear()
                await asyncio.sleep(REFUSED_RETRY_PAUSE_SECONDS)
                continue
            if time.monotonic() >= ends_at:
                return _fail(f"no upstream for {self._request.service}")
            await asyncio.sleep(NO_UPSTREAM_POLL_SECONDS)

    def _choose(
        self, fresh: list[relay_upstreams.RelayUpstream]
    ) -> relay_upstreams.RelayUpstream:
        request = self._request
        router = self._host.find_router(request.service)
        chosen = router.choose(
            self._host.poison_guard.isolate_suspect(request, fresh),
            request.workload,
        )
        self.expected_seconds = router.estimate_costs(
            [chosen], request.workload
        )[0]
        return chosen


def _fail(
    detail: str, *, retry_after: float = RETRY_AFTER_SECONDS
) -> reasons.Failure:
    return reasons.Failure(
        reason=reasons.Reason.NO_UPSTREAM,
        step="relay",
        detail=detail,
        retry_after=retry_after,
    )
