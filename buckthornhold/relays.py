"""Relays: proxying of one request to the upstreams of its service.

Requests and responses pass through unchanged; their bodies are not parsed.
Failed attempts are retried within the retry budget if the route allows it. A
resumable stream continues on another upstream after the last event that the
client received.
"""

import asyncio
import functools
import time

from buckthornhold import event_intervals
from buckthornhold import event_throttles
from buckthornhold import reasons
from buckthornhold import relay_messages
from buckthornhold import relay_poison_guards
from buckthornhold import relay_retries
from buckthornhold import relay_selectors
from buckthornhold import relay_upstreams
from buckthornhold.coordination import evidence

#: How long an upstream that accepted no connection is excluded.
UNREACHABLE_PAUSE_SECONDS = 2.0
#: How long an upstream that refused a request for lack of capacity is
#: excluded.
FULL_PAUSE_SECONDS = 0.1


class Relay:
    """Proxies one request, with its retries and its deadline.

    ``stream_started`` tells whether the client has received part of a
    stream. After that the request can't be refused, only aborted.
    """

    def __init__(
        self,
        *,
        host,
        request: relay_messages.RelayRequest,
        responder: relay_messages.Responder,
    ) -> None:
        self._host = host
        self._request = request
        self._route = request.route
        self._responder = responder
        self._dispatch = request.dispatch
        self._ran = reasons.Ran.NO
        self._retries = relay_retries.RetryPlan(host=host, request=request)
        self._selector = relay_selectors.UpstreamSelector(
            host=host, request=request
        )
        self._current_attempt: relay_poison_guards.RelayAttempt | None = None
        self._forwarded_events = 0
        self._last_event = request.resume_after
        # The same deadline on a clock that also advances while the process
        # is suspended.
        left = request.contract.deadline - time.monotonic()
        self._boot_clock_deadline = host.read_boot_clock() + left
        self._usage_counted = False
        #: The series that counts the event interval of the current stream.
        self._interval_series: evidence.Series | None = None
        self._sent_at = 0.0
        self.stream_started = False
        self.attempt_count = 0
        self.status = 0
        self.upstream: relay_upstreams.RelayUpstream | None = None
        self.first_event_at: float | None = None

    @property
    def expectation(self) -> str:
        """What the router expected, for the request's log line."""
        return self._selector.expectation

    @property
    def ran(self) -> reasons.Ran:
        """Whether an upstream has, or may have, executed the request."""
        return self._ran

    async def run(self) -> reasons.Failure | None:
        """Respond to the client; return the failure if that is impossible."""
        left = self._request.contract.deadline - time.monotonic()
        try:
            async with asyncio.timeout(left):
                return await self._dispatch.run(self._run_attempts())
        except TimeoutError:
            return self._fail(
                reasons.Reason.DEADLINE_PASSED,
                "no complete response before the deadline",
            )

    async def _run_attempts(self) -> reasons.Failure | None:
        while True:
            # State from before a pause of the process is refreshed first.
            await self._host.pauses.wait_until_fresh()
            if self._host.read_boot_clock() >= self._boot_clock_deadline:
                return self._fail(
                    reasons.Reason.DEADLINE_PASSED,
                    "the deadline passed while the process was paused",
                )
            refusal = await self._host.poison_guard.admit(self._request)
            if refusal is not None:
                return refusal.replace(ran=self._ran)
            upstream = await self._selector.select(
                is_retry=self.attempt_count > 0
            )
            if isinstance(upstream, reasons.Failure):
                return upstream.replace(ran=self._ran)
            failure = await self._attempt(upstream)
            if failure is None:
                return None
            refusal = self._plan_retry(failure)
            if refusal is not None:
                return refusal

    async def _attempt(
        self, upstream: relay_upstreams.RelayUpstream
    ) -> reasons.Failure | None:
        """Make one attempt; return its failure, None if it succeeded."""
        self.attempt_count += 1
        self.upstream = upstream
        self._selector.mark_tried(upstream)
        attempt = self._host.poison_guard.begin_attempt(
            self._request, upstream, start=self._forwarded_events
        )
        self._current_attempt = attempt
        tokens = self._request.workload.prompt_tokens
        upstream.record_request(tokens)
        self._selector.announce_long_prompt()
        self._sent_at = time.monotonic()
        waiting = True

        def stop_waiting() -> None:
            nonlocal waiting
            if waiting:
                waiting = False
                upstream.waiting_tokens -= tokens

        failure: reasons.Failure | None = None
        try:
            failure = await self._exchange(upstream, stop_waiting)
        finally:
            self._host.poison_guard.abandon_attempt(attempt)
            stop_waiting()
            upstream.in_flight -= 1
            if failure is not None:
                self._record_failure(upstream, failure)
        await self._host.poison_guard.end_attempt(attempt, failure)
        return failure

    def _record_failure(
        self, upstream: relay_upstreams.RelayUpstream, failure
    ) -> None:
        if failure.ran is reasons.Ran.NO:
            if failure.reason is reasons.Reason.UPSTREAM_UNREACHABLE:
                upstream.pause(UNREACHABLE_PAUSE_SECONDS)
            else:
                upstream.pause(FULL_PAUSE_SECONDS)
            return
        self._ran = reasons.Ran.UNKNOWN
        self._retries.record_run(upstream)
        upstream.record_outcome(failed=True)
        self._count_usage(upstream)

    async def _exchange(
        self, upstream: relay_upstreams.RelayUpstream, stop_waiting
    ) -> reasons.Failure | None:
        limit = self._retries.compute_response_timeout()
        if limit is not None and not self._selector.has_untried():
            limit = None
        response = None
        try:
            try:
                async with asyncio.timeout(limit):
                    response = await self._send_request(upstream)
                    if isinstance(response, reasons.Failure):
                        return response
                    first: (
                        relay_messages.Event | bytes | None | reasons.Failure
                    )
                    if response.streamed:
                        first = await response.read_event()
                    else:
                        first = await response.read_body()
            except TimeoutError:
                if limit is None or self._is_past_deadline():
                    raise
                self._record_version_outcome(upstream, failed=False)
                self._host.upstream_client.drop_idle(upstream)
                return relay_messages.make_timeout_failure(upstream, limit)
            if isinstance(first, reasons.Failure):
                return first
            self._interval_series = self._selector.series
            self._record_version_outcome(
                upstream, failed=response.status >= 500
            )
            upstream.record_activity()
            stop_waiting()
            if not self._route.repeatable:
                # It has run, so it is sent to no other upstream.
                self._request.body.discard()
            if response.streamed:
                self._selector.learn_first_event(
                    upstream, time.monotonic() - self._sent_at
                )
                return await self._forward_stream(upstream, response, first)
            return await self._forward_response(upstream, response, first)
        except asyncio.CancelledError:
            # The client disconnected or the deadline passed; the upstream
            # may still be executing the request.
            if self._dispatch.sent:
                self._ran = reasons.Ran.UNKNOWN
                self._count_usage(upstream)
                self._record_version_outcome(upstream, failed=False)
            if upstream.record_abandoned():
                self._host.upstream_client.drop_idle(upstream)
            raise
        finally:
            if isinstance(response, relay_messages.UpstreamResponse):
                response.close()

    def _record_version_outcome(self, upstream, *, failed: bool) -> None:
        """Record the version's outcome, at most once per attempt."""
        seconds = time.monotonic() - self._sent_at
        self._host.moves.record_attempt(
            self._selector.series, upstream, failed=failed, seconds=seconds
        )
        self._selector.series = None

    async def _send_request(self, upstream):
        return await self._host.upstream_client.open(
            self._request,
            upstream,
            seconds_left=self._request.contract.deadline - time.monotonic(),
            resume_after=self._last_event,
        )

    def _is_past_deadline(self) -> bool:
        return time.monotonic() >= self._request.contract.deadline

    async def _forward_response(
        self, upstream, response: relay_messages.UpstreamResponse, body: bytes
    ) -> reasons.Failure | None:
        """Forward a whole response, unless a retry may give a better one."""
        failed = response.status >= 500
        if failed and self._retries.may_run_elsewhere():
            return relay_messages.make_status_failure(upstream, response)
        self._ran = reasons.Ran.YES
        upstream.record_outcome(failed=failed)
        self._count_usage(upstream)
        if self.stream_started:
            return relay_messages.make_status_failure(upstream, response)
        if (
            response.status in relay_messages.NOT_EXECUTED_STATUSES
            and not self._route.repeatable
        ):
            # The status promises that the request was not executed, but
            # it was.
            self._retries.record_run(upstream)
            return relay_messages.make_status_failure(upstream, response)
        if not failed:
            self._host.retry_budgets.record_success(self._request.service)
        self.status = response.status
        await self._responder.send_response(response, body)
        return None

    async def _forward_stream(
        self,
        upstream,
        response: relay_messages.UpstreamResponse,
        event: relay_messages.Event | None,
    ) -> reasons.Failure | None:
        """Forward the events of a stream until it ends."""
        self._ran = reasons.Ran.UNKNOWN
        self._count_usage(upstream)
        if not self.stream_started:
            self.stream_started = True
            self.status = response.status
            self.first_event_at = time.monotonic()
            await self._responder.start(response)
        pace = event_intervals.EventIntervalMeter(
            notify=functools.partial(self._record_interval, upstream)
        )
        throttle = event_throttles.EventThrottle()
        is_new = not self._forwarded_events
        try:
            while event is not None:
                if not relay_messages.is_later(event, self._last_event):
                    return relay_messages.make_order_failure(
                        upstream, event, self._last_event
                    )
                self._last_event = event.event_id or self._last_event
                await self._responder.send(event.data)
                pace.count_event()
                self._forwarded_events += 1
                self._host.poison_guard.record_event(self._current_attempt)
                await throttle.count_event()
                event = await self._read_next_event(upstream, response)
                if isinstance(event, reasons.Failure):
                    return event
                upstream.record_activity()
        finally:
            pace.finish()
            self._report_delay(upstream, throttle)
        upstream.record_outcome(failed=False)
        self._host.retry_budgets.record_success(self._request.service)
        self._ran = reasons.Ran.YES
        if is_new:
            self._selector.learn_length(self._forwarded_events)
        await self._responder.finish()
        return None

    def _report_delay(
        self, upstream, throttle: event_throttles.EventThrottle
    ) -> None:
        """Report a stream whose upstream sent events too fast."""
        if not throttle.delay_seconds:
            return
        self._host.counters.count_event("relays.throttled")
        self._host.logger.bind(
            step="relay",
            peer=upstream.name,
            request_id=self._request.contract.request_id,
        ).info(
            f"{self._forwarded_events} events came faster than an engine "
            f"makes them, delayed by {throttle.delay_seconds:.2f} s in all"
        )

    def _record_interval(self, upstream, seconds: float) -> None:
        """Record the mean time between a stream's first events."""
        self._host.moves.record_event_interval(
            self._interval_series, upstream, seconds
        )
        self._selector.learn_interval(upstream, seconds)

    async def _read_next_event(
        self, upstream, response: relay_messages.UpstreamResponse
    ):
        limit = self._retries.compute_event_timeout()
        try:
            async with asyncio.timeout(limit):
                return await response.read_event()
        except TimeoutError:
            if limit is None or self._is_past_deadline():
                raise
            return relay_messages.make_timeout_failure(upstream, limit)

    def _count_usage(self, upstream: relay_upstreams.RelayUpstream) -> None:
        """Count the request once in the usage of its workspace."""
        workspace = self._request.workspace
        if self._usage_counted or workspace is None:
            return
        self._usage_counted = True
        age = 0.0
        if not self._route.streamed:
            age = time.monotonic() - self._sent_at
        self._host.usage.count(workspace.name, age=age)

    def _plan_retry(self, failure: reasons.Failure) -> reasons.Failure | None:
        """Return the final failure, or None if the request is retried."""
        final = self._retries.plan_retry(
            failure,
            attempt_count=self.attempt_count,
            resumable=not self.stream_started or bool(self._last_event),
        )
        return final and final.replace(ran=self._ran)

    def _fail(self, reason: reasons.Reason, detail: str) -> reasons.Failure:
        return reasons.Failure(
            reason=reason,
            step="relay",
            ran=self._ran,
            detail=detail,
            retry_after=relay_selectors.RETRY_AFTER_SECONDS,
        )
