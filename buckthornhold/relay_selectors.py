"""Relay selectors: choice of the upstream for each attempt of a request."""

import asyncio
import time

from buckthornhold import engine_speeds
from buckthornhold import reasons
from buckthornhold import relay_messages
from buckthornhold import relay_routers
from buckthornhold import relay_upstreams
from buckthornhold.coordination import evidence
from buckthornhold.scheduling import placements

#: Wait before upstreams that refused the request are tried again.
REFUSED_RETRY_PAUSE_SECONDS = 0.05
#: Interval and limit of the wait for an upstream while none is available.
NO_UPSTREAM_POLL_SECONDS = 0.1
NO_UPSTREAM_TIMEOUT_SECONDS = 0.3
#: Time to read a prompt from which on the other hosts are told of it at once.
#: Most shorter ones are read before the next summary.
LONG_PROMPT_SECONDS = 0.25
#: Retry-After of requests for which no upstream was available.
RETRY_AFTER_SECONDS = 0.5


class UpstreamSelector:
    """Selects upstreams for one request, each once before any is repeated.

    ``series`` is the series that the outcome of the last selection counts
    in.
    """

    def __init__(self, *, host, request: relay_messages.RelayRequest) -> None:
        self._host = host
        self._request = request
        self._regions = placements.list_regions(
            request.route.regions,
            request.workspace.regions if request.workspace else (),
        )
        self._tried: set[tuple[str, int]] = set()
        self.series: evidence.Series | None = None
        self._estimate = relay_routers.Estimate()

    @property
    def expectation(self) -> str:
        """What the router expected, for the request's log line."""
        expected = f"expected {self._estimate.seconds:.3f} s"
        if self._estimate.pace:
            expected += (
                f" at pace {self._estimate.pace:.2f} and load "
                f"{self._estimate.load_share:.2f} with "
                f"{self._estimate.saved_tokens} tokens cached"
            )
        return expected

    def learn_first_event(
        self, upstream: relay_upstreams.RelayUpstream, seconds: float
    ) -> None:
        """Let the router learn from the time of the first event."""
        if self._estimate.work is not None and seconds > 0:
            router = self._host.find_router(self._request.service)
            router.learn_first_event(upstream, self._estimate, seconds)

    def learn_interval(
        self, upstream: relay_upstreams.RelayUpstream, seconds: float
    ) -> None:
        """Learn from the mean time between a stream's events."""
        if seconds > 0:
            router = self._host.find_router(self._request.service)
            router.learn_interval(upstream, seconds)
            self._find_speed().learn_interval(seconds, upstream.load)

    def learn_length(self, events: int) -> None:
        """Learn from the number of events of a whole stream."""
        self._find_speed().learn_length(
            events, self._request.workload.output_tokens
        )

    def announce_long_prompt(self) -> None:
        """Tell the other hosts of a prompt that takes an engine long to read.

        They would send short requests to wait behind it.
        """
        seconds = (
            self._request.workload.own_tokens
            * self._find_speed().token_seconds
        )
        if seconds >= LONG_PROMPT_SECONDS:
            self._host.upstreams.announce_load()

    def _find_speed(self) -> engine_speeds.ServiceSpeed:
        return self._host.engine_speeds.find_service(self._request.service)

    def mark_tried(self, upstream: relay_upstreams.RelayUpstream) -> None:
        """Skip an upstream until all others were tried."""
        self._tried.add(upstream.key)

    def has_untried(self) -> bool:
        """Tell whether an upstream is available that was not tried yet."""
        upstreams = self._host.upstreams.list_service(
            self._request.service, self._regions
        )
        return any(upstream.key not in self._tried for upstream in upstreams)

    async def select(
        self, *, is_retry: bool
    ) -> relay_upstreams.RelayUpstream | reasons.Failure:
        """Choose an upstream; wait briefly while none is available.

        ``is_retry`` tells that the request was sent before.
        """
        ends_at = time.monotonic() + NO_UPSTREAM_TIMEOUT_SECONDS
        wait = self._host.upstreams.find_retry_wait(
            self._request.service, self._regions
        )
        if wait and not self._request.route.streamed:
            # The call would only time out. An engine may just be slow, so
            # streams are still sent.
            return _fail(
                "all upstreams are silent, requests to them were abandoned",
                retry_after=wait,
            )
        while True:
            choice = self._host.moves.choose(
                self._request,
                self._host.upstreams.list_service(
                    self._request.service, self._regions
                ),
                is_retry=is_retry,
            )
            candidates = choice.upstreams
            untried = candidates
            if self._tried:
                untried = [
                    upstream
                    for upstream in candidates
                    if upstream.key not in self._tried
                ]
            if untried:
                self.series = choice.series
                return self._choose(untried)
            if not candidates:
                refusal = self._find_placement_refusal(is_retry)
                if refusal is not None:
                    return refusal
            wait = 0.0 if candidates else self._find_cold_wait(is_retry)
            if wait:
                if is_retry and time.monotonic() < ends_at:
                    # It may have run, so it waits for a place for a moment.
                    await asyncio.sleep(NO_UPSTREAM_POLL_SECONDS)
                    continue
                return _fail(
                    "every upstream is cold, with no place for this host now",
                    reason=reasons.Reason.UPSTREAMS_COLD,
                    retry_after=wait,
                )
            wait = self._host.upstreams.find_backoff_wait(
                self._request.service, self._regions
            )
            if wait and not candidates:
                return _fail(
                    "every upstream is leaving or wants no requests",
                    retry_after=wait,
                )
            if candidates and self._tried:
                self._tried.clear()
                await asyncio.sleep(REFUSED_RETRY_PAUSE_SECONDS)
                continue
            if time.monotonic() >= ends_at:
                return _fail(f"no upstream for {self._request.service}")
            await asyncio.sleep(NO_UPSTREAM_POLL_SECONDS)

    def _find_placement_refusal(
        self, is_retry: bool
    ) -> reasons.Failure | None:
        """Return the refusal if no upstream is in a zone that is allowed."""
        known = [
            upstream
            for upstream in self._host.upstreams.list_all()
            if upstream.record.service == self._request.service
        ]
        usable = self._list_usable(known, is_retry)
        return self._host.placements.find_refusal(
            {upstream.record.zone for upstream in usable}, self._regions
        )

    def _find_cold_wait(self, is_retry: bool) -> float:
        """Return the seconds until the first cold upstream is warm.

        0 if the request isn't refused because all that it may use are cold.
        """
        allowed = self._host.upstreams.list_allowed(
            self._request.service, self._regions
        )
        return self._host.upstreams.cold.find_wait(
            self._request.service, self._list_usable(allowed, is_retry)
        )

    def _list_usable(
        self, upstreams: list[relay_upstreams.RelayUpstream], is_retry: bool
    ) -> list[relay_upstreams.RelayUpstream]:
        """Return those that stay and have a version that may be used."""
        staying = [it for it in upstreams if not it.leaving]
        choice = self._host.moves.choose(
            self._request, staying, is_retry=is_retry
        )
        return choice.upstreams

    def _choose(
        self, untried: list[relay_upstreams.RelayUpstream]
    ) -> relay_upstreams.RelayUpstream:
        request = self._request
        router = self._host.find_router(request.service)
        upstream = router.choose(
            self._host.poison_guard.isolate_suspect(request, untried),
            request.workload,
        )
        self._estimate = router.estimate(upstream, request.workload)
        self._host.upstreams.cold.record_request(upstream)
        return upstream


def _fail(
    detail: str,
    *,
    reason: reasons.Reason = reasons.Reason.NO_UPSTREAM,
    retry_after: float = RETRY_AFTER_SECONDS,
) -> reasons.Failure:
    return reasons.Failure(
        reason=reason,
        step="relay",
        detail=detail,
        retry_after=retry_after,
    )
