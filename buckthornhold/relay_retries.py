"""Relay retries: whether a request is sent to another upstream, and when."""

import time

from buckthornhold import reasons
from buckthornhold import relay_messages
from buckthornhold import relay_selectors
from buckthornhold import relay_upstreams

#: A repeatable call is retried on another upstream when its response takes
#: longer than this many times the route's target latency, but at least the
#: minimum.
RESPONSE_TIMEOUT_FACTOR = 2.0
MIN_RESPONSE_TIMEOUT_SECONDS = 0.2
#: A resumable stream continues on another upstream when its first event takes
#: longer than this many times the target latency, or a later event longer
#: than this many times the route's longest gap, but at least the minimum.
FIRST_EVENT_TIMEOUT_FACTOR = 3.0
EVENT_TIMEOUT_FACTOR = 4.0
MIN_EVENT_TIMEOUT_SECONDS = 1.0
#: Time left until the deadline below which a request is not retried.
MIN_TIME_LEFT_SECONDS = 0.05
#: Limits the attempts of one request, those that upstreams refuse included.
MAX_ATTEMPTS = 4


class RetryPlan:
    """Plans the retries of one request.

    A request that may have run is only retried if its route allows it, and
    on as many upstreams as the route allows.
    """

    def __init__(self, *, host, request: relay_messages.RelayRequest) -> None:
        self._host = host
        self._request = request
        self._route = request.route
        self._ran_on: set[tuple[str, int]] = set()

    def record_run(self, upstream: relay_upstreams.RelayUpstream) -> None:
        """Record that an upstream may have run the request."""
        self._ran_on.add(upstream.key)

    def may_run_elsewhere(self) -> bool:
        """Tell whether the request may be executed on another upstream."""
        if not self._route.repeatable:
            return False
        return len(self._ran_on) + 1 < self._route.attempts

    def compute_response_timeout(self) -> float | None:
        """Return the timeout for the first event or whole response, if any.

        Only a request that may be retried on another upstream is abandoned
        there before its deadline.
        """
        if not self.may_run_elsewhere():
            return None
        if self._route.streamed:
            return FIRST_EVENT_TIMEOUT_FACTOR * self._route.target
        return max(
            MIN_RESPONSE_TIMEOUT_SECONDS,
            RESPONSE_TIMEOUT_FACTOR * self._route.target,
        )

    def compute_event_timeout(self) -> float | None:
        """Return the timeout for a stream's next event, if any."""
        if not self.may_run_elsewhere() or not self._route.longest_gap:
            return None
        return max(
            MIN_EVENT_TIMEOUT_SECONDS,
            EVENT_TIMEOUT_FACTOR * self._route.longest_gap,
        )

    def plan_retry(
        self,
        failure: reasons.Failure,
        *,
        attempt_count: int,
        resumable: bool,
    ) -> reasons.Failure | None:
        """Return the final failure, or None if the request is retried.

        ``failure`` is that of the last of ``attempt_count`` attempts.
        ``resumable`` tells whether another upstream can continue what the
        client has received.
        """
        final = failure.replace(
            retry_after=failure.retry_after
            or relay_selectors.RETRY_AFTER_SECONDS,
        )
        if self._request.dispatch.abandoned:
            return final.replace(reason=reasons.Reason.CALLER_GONE)
        left = self._request.contract.deadline - time.monotonic()
        if left < MIN_TIME_LEFT_SECONDS or attempt_count >= MAX_ATTEMPTS:
            return final
        if failure.ran is not reasons.Ran.NO and not (
            self._route.repeatable and len(self._ran_on) < self._route.attempts
        ):
            return final
        if not resumable:
            return final
        if not self._host.retry_budgets.acquire(self._request.service):
            return final.replace(
                reason=reasons.Reason.RETRY_BUDGET,
                detail=f"{failure.reason.value}: {failure.detail}",
            )
        self._host.record_retry(self._request, failure)
        self._request.dispatch.prepare_retry()
        return None
