"""Relay poison guards: refusal of requests that crash upstreams.

Requests in flight on an upstream when it crashes become suspects. A suspect
that crashes another upstream is refused by all hosts from then on;
``coordination.poison_detectors`` decides that from the crash reports of all
hosts.
"""

import asyncio
import dataclasses
import math
import time

from buckthornhold import part_guards
from buckthornhold import reasons
from buckthornhold import relay_messages
from buckthornhold import relay_upstreams
from buckthornhold import tasks
from buckthornhold.coordination import facts
from buckthornhold.coordination import part_crashes
from buckthornhold.coordination import poison_detectors
from buckthornhold.coordination import suspect_slots

#: Interval between removals of expired crashes.
PRUNE_INTERVAL_SECONDS = 5.0
#: Time within which the broken connections of one crash are detected.
BROKEN_CONNECTIONS_WINDOW_SECONDS = 0.03
#: How long a client's response waits until a crash has been pushed to the
#: other hosts: its next copy may reach one of them at once.
CRASH_PUSH_TIMEOUT_SECONDS = 0.1
#: Time after which the crash reports of all hosts have arrived. No suspect is
#: judged before.
CRASH_REPORT_SETTLE_SECONDS = 0.1
#: How long a failed request waits for the check of its upstream. A process
#: accepts or refuses a connection within milliseconds.
CRASH_CHECK_TIMEOUT_SECONDS = 0.15
#: How long a suspect waits for its facts from the store.
STORE_READ_TIMEOUT_SECONDS = 0.25
#: How long a starting host waits for the facts of earlier crashes.
STARTUP_TIMEOUT_SECONDS = 1.0
#: Retry-After of requests refused because they crash upstreams.
RETRY_AFTER_SECONDS = 30.0


@dataclasses.dataclass(kw_only=True, eq=False)
class RelayAttempt:
    """One attempt of a request on an upstream.

    ``start`` and ``position`` count the events of the client's stream, when
    the attempt began and now. ``prior_crashes`` are the crashes for which
    the request was suspected when the attempt began.
    """

    request: relay_messages.RelayRequest
    upstream: relay_upstreams.RelayUpstream
    start: int
    position: int
    prior_crashes: tuple[str, ...]

    @property
    def answered(self) -> bool:
        """Whether the upstream has sent an event of its answer."""
        return self.position > self.start

    def make_suspect(self) -> poison_detectors.Suspect:
        """Return the attempt as crash reports contain it."""
        return poison_detectors.Suspect(
            fingerprint=self.request.content,
            version=self.upstream.record.version,
            start=self.start,
            position=self.position,
            known=self.prior_crashes,
        )


class RelayPoisonGuard(tasks.PeriodicService):
    """Detects crashes, isolates suspects and refuses poison requests."""

    def __init__(self, *, host) -> None:
        super().__init__(
            interval=PRUNE_INTERVAL_SECONDS,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._part_guard = part_guards.PartGuard(
            host=host,
            start=host.background.start,
            read_time=host.summaries.read_time_of_day,
        )
        self._detector = poison_detectors.PoisonDetector(
            known=host.exchanges.known,
            publish=host.exchanges.publish,
            crash_retention=host.settings.crash_retention,
            poison_retention=host.settings.poison_retention,
            read_time=host.summaries.read_time_of_day,
            is_explained=self._part_guard.detector.is_explained,
        )
        self._started_at = time.monotonic()
        self._running_attempts: set[RelayAttempt] = set()
        self._broken_attempts: dict[tuple[str, int], list[RelayAttempt]] = {}
        self._crash_checks: dict[tuple[str, int], asyncio.Task] = {}
        #: When this host received each crash, on the monotonic clock.
        self._received_at: dict[str, float] = {}
        host.exchanges.receive_with(self._receive_fact)

    @property
    def ready(self) -> bool:
        """Whether earlier crashes were read or the wait for them timed out."""
        waited = time.monotonic() - self._started_at
        return self._host.exchanges.synced or waited >= STARTUP_TIMEOUT_SECONDS

    async def run_once(self) -> None:
        """Remove expired crashes."""
        self._detector.prune()
        self._part_guard.prune()
        oldest = time.monotonic() - self._host.settings.crash_retention
        for upstream, moment in list(self._received_at.items()):
            if moment < oldest:
                del self._received_at[upstream]

    async def admit(
        self, request: relay_messages.RelayRequest
    ) -> reasons.Failure | None:
        """Return the refusal of a request that must not run, else None."""
        content = request.content
        if self._detector.find_poison_reason(content):
            return self._make_refusal(content)
        part_reason = await self._part_guard.admit(request.parts)
        if part_reason:
            return _make_refusal(part_reason)
        if not self._detector.list_suspected_crashes(content):
            return None
        await self._wait_for_crash_reports(content)
        if self._detector.detect_poison(content, ran_before=True):
            return self._make_refusal(content)
        # The store may have facts from hosts that can't be reached.
        try:
            async with asyncio.timeout(STORE_READ_TIMEOUT_SECONDS):
                await self._host.exchanges.read_fact(
                    poison_detectors.POISON_PREFIX + content
                )
        except TimeoutError:
            self._logger.bind(step="quarantine", peer=content).info(
                "no answer from the store about a suspect within "
                f"{STORE_READ_TIMEOUT_SECONDS} s, deciding by the facts known"
            )
        if self._detector.find_poison_reason(content):
            return self._make_refusal(content)
        return None

    def isolate_suspect(
        self,
        request: relay_messages.RelayRequest,
        upstreams: list[relay_upstreams.RelayUpstream],
    ) -> list[relay_upstreams.RelayUpstream]:
        """Return the upstreams on which a suspect runs apart from others.

        If two suspects run on an upstream that crashes, both stay suspects.
        All hosts compute the same assignment from the suspects they know.
        """
        if not upstreams or not self._detector.list_suspected_crashes(
            request.content
        ):
            return upstreams
        slot = suspect_slots.assign_slot(
            self._detector,
            request.content,
            [upstream.name for upstream in upstreams],
        )
        occupied = {
            attempt.upstream.key
            for attempt in self._running_attempts
            if attempt.prior_crashes
        }
        free = [
            upstream for upstream in upstreams if upstream.key not in occupied
        ]
        assigned = [
            upstream for upstream in free if upstream.name == slot.upstream
        ]
        return assigned or free or upstreams

    def begin_attempt(
        self,
        request: relay_messages.RelayRequest,
        upstream: relay_upstreams.RelayUpstream,
        *,
        start: int,
    ) -> RelayAttempt:
        """Register an attempt; ``start`` events were forwarded before it."""
        attempt = RelayAttempt(
            request=request,
            upstream=upstream,
            start=start,
            position=start,
            prior_crashes=tuple(
                self._detector.list_suspected_crashes(request.content)
            ),
        )
        self._running_attempts.add(attempt)
        return attempt

    def record_event(self, attempt: RelayAttempt) -> None:
        """Count an event; it clears a suspect that got further than before."""
        if not attempt.answered:
            self._part_guard.record_answer(attempt.request.parts)
        attempt.position += 1
        if attempt.prior_crashes:
            self._detector.clear(attempt.request.content, attempt.position)

    def abandon_attempt(self, attempt: RelayAttempt) -> None:
        """Unregister an attempt that was abandoned."""
        self._running_attempts.discard(attempt)

    async def end_attempt(
        self, attempt: RelayAttempt, failure: reasons.Failure | None
    ) -> None:
        """Record an attempt's end; check whether its upstream crashed."""
        self._running_attempts.discard(attempt)
        if failure is None:
            self._detector.clear(attempt.request.content, math.inf)
            if not attempt.answered:
                self._part_guard.record_answer(attempt.request.parts)
            return
        if failure.reason is not reasons.Reason.UPSTREAM_BROKEN:
            return
        self._broken_attempts.setdefault(attempt.upstream.key, []).append(
            attempt
        )
        task = self._start_crash_check(attempt.upstream)
        await asyncio.wait([task], timeout=CRASH_CHECK_TIMEOUT_SECONDS)

    def _start_crash_check(
        self, upstream: relay_upstreams.RelayUpstream
    ) -> asyncio.Task:
        task = self._crash_checks.get(upstream.key)
        if task is None:
            task = self._host.background.start(
                self._check_crash(upstream), step="examine upstream"
            )
            self._crash_checks[upstream.key] = task
        return task

    async def _check_crash(
        self, upstream: relay_upstreams.RelayUpstream
    ) -> None:
        key = upstream.key
        was_leaving = upstream.leaving
        try:
            if await self._host.upstream_client.is_listening(upstream):
                self._broken_attempts.pop(key, None)
                return
            await asyncio.sleep(BROKEN_CONNECTIONS_WINDOW_SECONDS)
            suspects = self._list_affected(key)
            self._broken_attempts.pop(key, None)
            if was_leaving or not suspects:
                return
            self._publish_crash(upstream, suspects)
            await self._host.exchanges.wait_pushed(CRASH_PUSH_TIMEOUT_SECONDS)
        finally:
            del self._crash_checks[key]

    def _list_affected(self, key: tuple[str, int]) -> list[RelayAttempt]:
        running = [
            attempt
            for attempt in self._running_attempts
            if attempt.upstream.key == key
        ]
        return [*self._broken_attempts.get(key, ()), *running]

    def _publish_crash(
        self,
        upstream: relay_upstreams.RelayUpstream,
        suspects: list[RelayAttempt],
    ) -> None:
        """Publish the requests that were in flight on a crashed upstream."""
        self._host.counters.count_event("upstreams.crashed")
        ids = [suspect.request.contract.request_id for suspect in suspects]
        self._logger.bind(step="quarantine", peer=upstream.name).warning(
            f"upstream crashed with {len(suspects)} requests in flight, "
            f"{sum(bool(suspect.prior_crashes) for suspect in suspects)} of "
            f"them suspects before: {', '.join(ids)}; those not answered "
            f"have the parts {_describe_parts(suspects)}"
        )
        self._detector.publish_crash(
            poison_detectors.Crash(
                upstream=relay_upstreams.make_process_name(upstream),
                zone=upstream.record.zone,
                host=self._host.settings.host,
                time=self._host.summaries.read_time_of_day(),
                suspects=tuple(suspect.make_suspect() for suspect in suspects),
            )
        )
        self._part_guard.publish_crash(
            relay_upstreams.make_process_name(upstream),
            (
                part_crashes.PartSuspect(
                    content=attempt.request.content,
                    parts=attempt.request.parts,
                )
                for attempt in suspects
                if not attempt.answered
            ),
        )
        for attempt in suspects:
            if attempt.prior_crashes:
                self._host.background.start(
                    self._detect_poison(attempt.request.content),
                    step="convict",
                )

    async def _detect_poison(self, content: str) -> None:
        await self._wait_for_crash_reports(content)
        self._detector.detect_poison(content, ran_before=True)

    async def _wait_for_crash_reports(self, content: str) -> None:
        """Wait until all hosts had time to report a suspect's crashes."""
        received_at = [
            self._received_at.get(upstream, 0.0)
            for upstream in self._detector.list_suspected_crashes(content)
        ]
        wait = (
            max(received_at, default=0.0)
            + CRASH_REPORT_SETTLE_SECONDS
            - time.monotonic()
        )
        if wait > 0:
            await asyncio.sleep(wait)

    def _receive_fact(self, fact: facts.Fact) -> None:
        """Apply a crash; report this host's own requests on that upstream."""
        if fact.key.startswith(poison_detectors.POISON_PREFIX):
            self._logger.bind(step="quarantine", peer=fact.key).warning(
                f"requests with this content are now refused: {fact.value}"
            )
        if not fact.key.startswith(poison_detectors.CRASH_PREFIX):
            return
        self._detector.apply_fact(fact)
        crash = poison_detectors.load_crash(fact)
        self._received_at.setdefault(crash.upstream, time.monotonic())
        if crash.host == self._host.settings.host:
            return
        for attempt in self._running_attempts:
            process_name = relay_upstreams.make_process_name(attempt.upstream)
            if process_name == crash.upstream:
                self._start_crash_check(attempt.upstream)
                return

    def _make_refusal(self, content: str) -> reasons.Failure:
        return _make_refusal(self._detector.find_poison_reason(content))


def _make_refusal(detail: str) -> reasons.Failure:
    return reasons.Failure(
        reason=reasons.Reason.POISON_REQUEST,
        step="quarantine",
        detail=detail,
        retry_after=RETRY_AFTER_SECONDS,
    )


def _describe_parts(attempts: list[RelayAttempt]) -> str:
    """Return the parts of requests that were not answered, for the log."""
    parts = {
        part
        for attempt in attempts
        if not attempt.answered
        for part in attempt.request.parts
    }
    return ", ".join(sorted(parts)) or "(none)"
