"""Relay suspects: keeps requests that crash upstreams off the next ones.

What was running on an upstream when it crashed is suspected. A request that
was under suspicion already and crashes another upstream is refused from then
on, by all hosts; ``coordination.quarantines`` judges by what they all saw.
"""

import asyncio
import dataclasses
import math
import time

from buckthornhold import reasons
from buckthornhold import relay_messages
from buckthornhold import relay_upstreams
from buckthornhold import tasks
from buckthornhold.coordination import facts
from buckthornhold.coordination import poison_detectors
from buckthornhold.coordination import suspect_slots

#: Time between two clean-ups of crashes that are long past, in seconds.
PRUNE_INTERVAL_SECONDS = 5.0
#: Broken connections of one crash are noticed within this time, in seconds.
BROKEN_CONNECTIONS_WINDOW_SECONDS = 0.03
#: How long a caller's answer waits until other hosts know of a crash,
#: seconds; its next copy may come to one of them at once.
CRASH_PUSH_TIMEOUT_SECONDS = 0.1
#: What all hosts had running on a crashed upstream is known after so long, in
#: seconds; a suspect is judged no sooner.
CRASH_REPORT_SETTLE_SECONDS = 0.1
#: How long a request waits to learn what became of its upstream, in seconds: a
#: connection to a process is taken or refused within milliseconds.
CRASH_CHECK_TIMEOUT_SECONDS = 0.15
#: How long a suspect waits for what the store knows of it, in seconds.
STORE_READ_TIMEOUT_SECONDS = 0.25
#: How long a host that starts waits to learn of earlier crashes, in seconds.
STARTUP_TIMEOUT_SECONDS = 1.0
#: When callers are told to ask again for what crashes upstreams, in seconds.
RETRY_AFTER_SECONDS = 30.0


@dataclasses.dataclass(kw_only=True, eq=False)
class RelayAttempt:
    """One sending of a request to an upstream.

    ``start`` and ``position`` count the events of the caller's stream, when
    it began and now. ``known`` are the crashes for which it was suspected.
    """

    request: relay_messages.RelayRequest
    upstream: relay_upstreams.RelayUpstream
    start: int
    position: int
    prior_crashes: tuple[str, ...]

    def make_suspect(self) -> poison_detectors.Suspect:
        """Return what hosts are told of it when its upstream crashed."""
        return poison_detectors.Suspect(
            fingerprint=self.request.content,
            version=self.upstream.record.version,
            start=self.start,
            position=self.position,
            known=self.prior_crashes,
        )


class RelayPoisonGuard(tasks.PeriodicService):
    """Finds crashes, keeps suspects apart and refuses what crashes again."""

    def __init__(self, *, host) -> None:
        super().__init__(
            interval=PRUNE_INTERVAL_SECONDS,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._detector = poison_detectors.PoisonDetector(
            known=host.exchanges.known,
            publish=host.exchanges.publish,
            crash_retention=host.settings.crash_retention,
            poison_retention=host.settings.poison_retention,
            read_time=host.summaries.read_time_of_day,
        )
        self._started_at = time.monotonic()
        self._running_attempts: set[RelayAttempt] = set()
        self._broken_attempts: dict[tuple[str, int], list[RelayAttempt]] = {}
        self._crash_checks: dict[tuple[str, int], asyncio.Task] = {}
        #: When this host learned of each crash, on the monotonic clock.
        self._received_at: dict[str, float] = {}
        host.exchanges.receive_with(self._receive_fact)

    @property
    def ready(self) -> bool:
        """Whether earlier crashes are known, or can't be learned of now."""
        waited = time.monotonic() - self._started_at
        return self._host.exchanges.synced or waited >= STARTUP_TIMEOUT_SECONDS

    async def run_once(self) -> None:
        """Forget old crashes."""
        self._detector.prune()
        oldest = time.monotonic() - self._host.settings.crash_retention
        for upstream, moment in list(self._received_at.items()):
            if moment < oldest:
                del self._received_at[upstream]

    async def admit(
        self, request: relay_messages.RelayRequest
    ) -> reasons.Failure | None:
        """Return why a request may not be sent, if it may not."""
        content = request.content
        if self._detector.find_poison_reason(content):
            return self._make_refusal(content)
        if not self._detector.list_suspected_crashes(content):
            return None
        await self._wait_for_crash_reports(content)
        if self._detector.detect_poison(content, ran_before=True):
            return self._make_refusal(content)
        # Hosts that can't be reached may know more of a suspect.
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
        found: list[relay_upstreams.RelayUpstream],
    ) -> list[relay_upstreams.RelayUpstream]:
        """Return the upstreams at which a suspect does not meet another one.

        Two suspects on one upstream that crashes stay under suspicion both.
        All hosts work out the same places for the suspects that they know.
        """
        if not found or not self._detector.list_suspected_crashes(
            request.content
        ):
            return found
        turn = suspect_slots.assign_slot(
            self._detector, request.content, [it.name for it in found]
        )
        taken = {
            it.upstream.key
            for it in self._running_attempts
            if it.prior_crashes
        }
        free = [it for it in found if it.key not in taken]
        own = [it for it in free if it.name == turn.upstream]
        return own or free or found

    def begin_attempt(
        self,
        request: relay_messages.RelayRequest,
        upstream: relay_upstreams.RelayUpstream,
        *,
        start: int,
    ) -> RelayAttempt:
        """Note that a request is sent; ``start`` events were passed on."""
        sending = RelayAttempt(
            request=request,
            upstream=upstream,
            start=start,
            position=start,
            prior_crashes=tuple(
                self._detector.list_suspected_crashes(request.content)
            ),
        )
        self._running_attempts.add(sending)
        return sending

    def record_event(self, sending: RelayAttempt) -> None:
        """Count an event; a suspect that gets further is cleared by it."""
        sending.position += 1
        if sending.prior_crashes:
            self._detector.clear(sending.request.content, sending.position)

    def abandon_attempt(self, sending: RelayAttempt) -> None:
        """Note that a sending was given up."""
        self._running_attempts.discard(sending)

    async def end_attempt(
        self, sending: RelayAttempt, failure: reasons.Failure | None
    ) -> None:
        """Note how a sending ended; find out whether its upstream crashed."""
        self._running_attempts.discard(sending)
        if failure is None:
            self._detector.clear(sending.request.content, math.inf)
            return
        if failure.reason is not reasons.Reason.UPSTREAM_BROKEN:
            return
        self._broken_attempts.setdefault(sending.upstream.key, []).append(
            sending
        )
        task = self._start_crash_check(sending.upstream)
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
        announced = upstream.leaving
        try:
            if await self._host.upstream_client.is_listening(upstream):
                self._broken_attempts.pop(key, None)
                return
            await asyncio.sleep(BROKEN_CONNECTIONS_WINDOW_SECONDS)
            suspects = self._list_affected(key)
            self._broken_attempts.pop(key, None)
            if announced or not suspects:
                return
            self._publish_crash(upstream, suspects)
            await self._host.exchanges.wait_pushed(CRASH_PUSH_TIMEOUT_SECONDS)
        finally:
            del self._crash_checks[key]

    def _list_affected(self, key: tuple[str, int]) -> list[RelayAttempt]:
        running = [
            it for it in self._running_attempts if it.upstream.key == key
        ]
        return [*self._broken_attempts.get(key, ()), *running]

    def _publish_crash(
        self,
        upstream: relay_upstreams.RelayUpstream,
        suspects: list[RelayAttempt],
    ) -> None:
        """Tell all hosts what ran on an upstream that crashed."""
        self._host.counters.count_event("upstreams.crashed")
        ids = [it.request.contract.request_id for it in suspects]
        self._logger.bind(step="quarantine", peer=upstream.name).warning(
            f"upstream crashed with {len(suspects)} requests in flight, "
            f"{sum(bool(one.prior_crashes) for one in suspects)} of them "
            f"under suspicion before: {', '.join(ids)}"
        )
        self._detector.publish_crash(
            poison_detectors.Crash(
                upstream=relay_upstreams.make_process_name(upstream),
                zone=upstream.record.zone,
                host=self._host.settings.host,
                time=self._host.summaries.read_time_of_day(),
                suspects=tuple(it.make_suspect() for it in suspects),
            )
        )
        for sending in suspects:
            if sending.prior_crashes:
                self._host.background.start(
                    self._detect_poison(sending.request.content),
                    step="convict",
                )

    async def _detect_poison(self, content: str) -> None:
        await self._wait_for_crash_reports(content)
        self._detector.detect_poison(content, ran_before=True)

    async def _wait_for_crash_reports(self, content: str) -> None:
        """Wait until all hosts had time to tell of a suspect's crashes."""
        learned_at = [
            self._received_at.get(upstream, 0.0)
            for upstream in self._detector.list_suspected_crashes(content)
        ]
        left = (
            max(learned_at, default=0.0)
            + CRASH_REPORT_SETTLE_SECONDS
            - time.monotonic()
        )
        if left > 0:
            await asyncio.sleep(left)

    def _receive_fact(self, fact: facts.Fact) -> None:
        """Take in a crash; tell the others what this host had there."""
        if fact.key.startswith(poison_detectors.POISON_PREFIX):
            self._logger.bind(step="quarantine", peer=fact.key).warning(
                f"requests with this content are refused: {fact.value}"
            )
        if not fact.key.startswith(poison_detectors.CRASH_PREFIX):
            return
        self._detector.apply_fact(fact)
        crash = poison_detectors.load_crash(fact)
        self._received_at.setdefault(crash.upstream, time.monotonic())
        if crash.host == self._host.settings.host:
            return
        for sending in self._running_attempts:
            name = relay_upstreams.make_process_name(sending.upstream)
            if name == crash.upstream:
                self._start_crash_check(sending.upstream)
                return

    def _make_refusal(self, content: str) -> reasons.Failure:
        return reasons.Failure(
            reason=reasons.Reason.POISON_REQUEST,
            step="quarantine",
            detail=self._detector.find_poison_reason(content),
            retry_after=RETRY_AFTER_SECONDS,
        )
