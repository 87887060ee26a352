"""Poison guards: keep requests that crash upstreams off the others."""

import asyncio
import collections
import math
import time

from buckthornhold import attempts
from buckthornhold import crash_checks
from buckthornhold import healths
from buckthornhold import part_guards
from buckthornhold import pools
from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import rules
from buckthornhold import signals
from buckthornhold import tasks
from buckthornhold import tracked_requests
from buckthornhold import upstreams
from buckthornhold.coordination import facts
from buckthornhold.coordination import poison_detectors
from buckthornhold.coordination import suspect_slots

#: Interval at which suspects that made progress are cleared.
PROGRESS_CHECK_SECONDS = 0.05
#: Interval at which a waiting request checks whether it may be sent.
POLL_SECONDS = 0.02
#: Number of fingerprints of requests that produced tokens that are kept.
MAX_PROGRESSED_FINGERPRINTS = 4096


class PoisonGuard(tasks.PeriodicService):
    """Detects crashes, isolates suspects and refuses poison requests.

    A suspect is a request that was running on an upstream when it crashed.
    It is sent alone to an upstream until it is cleared or found to be poison.
    """

    jitter = 0.0

    def __init__(self, *, host) -> None:
        super().__init__(
            interval=PROGRESS_CHECK_SECONDS,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._part_guard = part_guards.PartGuard(
            host=host, start=self._start_in_background
        )
        self._detector = poison_detectors.PoisonDetector(
            known=host.exchanges.known,
            publish=host.exchanges.publish,
            crash_retention=host.settings.crash_retention,
            poison_retention=host.settings.poison_retention,
            is_explained=self._part_guard.detector.is_explained,
        )
        self._tracker = tracked_requests.RequestTracker()
        self._running: dict[
            attempts.Attempt, tracked_requests.TrackedRequest
        ] = {}
        self._checks = crash_checks.CrashChecks(
            host=host,
            detector=self._detector,
            running=self._running,
            wake=self.wake,
            part_guard=self._part_guard,
            find_parts=self._find_parts,
        )
        self._crashes_learned_at: dict[str, float] = {}
        self._progressed_fingerprints: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        host.exchanges.receive_with(self._handle_fact)
        signals.attempt_started.connect(
            self._handle_attempt_started, sender=host
        )
        signals.attempt_finished.connect(
            self._handle_attempt_finished, sender=host
        )
        signals.request_finished.connect(
            self._handle_request_finished, sender=host
        )

    @property
    def detector(self) -> poison_detectors.PoisonDetector:
        """Decides from the fleet's facts which requests are poison."""
        return self._detector

    @property
    def has_work(self) -> bool:
        """Whether crashes or checks of upstreams are still recorded."""
        return bool(self._checks.keys or self._crashes_learned_at)

    def describe(self) -> list[dict]:
        """Return the refused requests, in the form shown to operators."""
        return [
            {
                "fingerprint": fact.key.removeprefix(
                    poison_detectors.POISON_PREFIX
                ),
                "reason": fact.value,
                "until": fact.expires,
            }
            for fact in self._detector.list_poison_facts()
        ]

    async def admit(
        self, contract: request_contracts.RequestContract, prompt: str
    ) -> reasons.Failure | None:
        """Return a refusal, or None when the request may be sent.

        Must be awaited before each attempt. A suspect waits for its slot.
        """
        request = self._tracker.add(contract, prompt)
        if request.upstream_check is not None:
            await asyncio.shield(request.upstream_check)
            request.upstream_check = None
        request.isolated_upstream = ""
        if self._is_poison(request):
            return await self._refuse(request)
        part_reason = await self._part_guard.admit(request.parts)
        if part_reason:
            return await self._refuse(request, part_reason)
        if not self._detector.list_suspected_crashes(request.fingerprint):
            return None
        if not request.upstream_crashed and not contract.resumed:
            await self._wait_for_outcome(request, contract)
        await self._wait_for_slot(request, contract)
        if self._is_poison(request):
            return await self._refuse(request)
        return None

    def filter_candidates(
        self,
        contract: request_contracts.RequestContract,
        candidates: pools.Pool,
    ) -> pools.Pool:
        """Return the candidates that run and keep suspects isolated.

        A suspect gets its own upstream only, other requests get those without
        a suspect. Where that leaves none, the rule is dropped.
        """
        crashed = self._list_crashed(candidates)
        candidates = candidates.exclude(crashed) or candidates
        request = self._tracker.find(contract)
        if request is not None and request.isolated_upstream:
            chosen = candidates.filter(
                lambda upstream: upstream.name == request.isolated_upstream
            )
            return chosen or candidates
        isolated = self._list_isolated_upstreams()
        if not isolated:
            return candidates
        return (
            candidates.filter(lambda upstream: upstream.name not in isolated)
            or candidates
        )

    def _list_crashed(self, candidates: pools.Pool) -> set[tuple[str, int]]:
        """Return the keys of the candidates that crashed."""
        names = {
            incarnation.rpartition("/")[0]
            for incarnation in self._detector.list_crashed_upstreams()
        }
        names.update(name for name, _ in self._checks.keys)
        matches = candidates.select_by_name(names)
        return {
            upstream.key for upstream in matches if self._has_crashed(upstream)
        }

    async def check_upstream(
        self, upstream: upstreams.Upstream
    ) -> healths.Health:
        """Return the health of an upstream whose stream broke."""
        return await asyncio.shield(self._checks.start(upstream))

    async def run_once(self) -> None:
        """Clear suspects that made progress and drop old crashes."""
        self._checks.forget_unlisted()
        if not self._crashes_learned_at:
            return
        for attempt, request in self._running.items():
            if attempt.tokens:
                self._clear(request, crash_checks.read_position(attempt))
                self._part_guard.record_answer(
                    request.parts, attempt.first_token_at
                )
        self._detector.prune()
        self._part_guard.prune()
        oldest = time.monotonic() - self._host.settings.crash_retention
        for upstream, learned_at in list(self._crashes_learned_at.items()):
            if learned_at < oldest:
                del self._crashes_learned_at[upstream]

    def _is_poison(self, request: tracked_requests.TrackedRequest) -> bool:
        return self._detector.detect_poison(
            request.fingerprint,
            ran_before=request.fingerprint in self._progressed_fingerprints,
        )

    async def _refuse(
        self, request: tracked_requests.TrackedRequest, detail: str = ""
    ) -> reasons.Failure:
        """Return a refusal, after the facts behind it are pushed to peers."""
        await self._host.exchanges.wait_pushed(
            self._host.settings.facts_push_timeout
        )
        return reasons.Failure(
            reason=reasons.Reason.POISON_REQUEST,
            step="quarantine",
            ran=reasons.Ran.YES if request.sent else reasons.Ran.NO,
            detail=detail
            or self._detector.find_poison_reason(request.fingerprint),
        )

    async def _wait_for_outcome(
        self,
        request: tracked_requests.TrackedRequest,
        contract: request_contracts.RequestContract,
    ) -> None:
        """Wait while the same request may be isolated on another host.

        A request waits so at most once, up to ``suspect_hold``.
        """
        if not request.held_until:
            hold = self._host.settings.suspect_hold
            request.held_until = time.monotonic() + hold
        while time.monotonic() < request.held_until:
            if self._detector.find_poison_reason(request.fingerprint):
                return
            if not self._detector.list_suspected_crashes(request.fingerprint):
                return
            if not self._list_upstreams(contract):
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _wait_for_slot(
        self,
        request: tracked_requests.TrackedRequest,
        contract: request_contracts.RequestContract,
    ) -> None:
        """Wait for the request's slot, then set its isolated upstream.

        The slot begins when its predecessors are cleared, or at the latest
        when their slots' time is over. The upstream must have no other
        suspect of this host, unless that takes longer than the slots.
        """
        slot_seconds = self._host.settings.suspect_slot
        waiting_since = time.monotonic()
        while not self._detector.find_poison_reason(request.fingerprint):
            crashes = self._detector.list_suspected_crashes(
                request.fingerprint
            )
            names = self._list_upstreams(contract)
            if not crashes or not names:
                return
            slot = suspect_slots.assign_slot(
                self._detector, request.fingerprint, names
            )
            learned_at = max(
                self._crashes_learned_at.get(upstream, 0.0)
                for upstream in crashes
            )
            now = time.monotonic()
            overdue = now >= learned_at + slot.slot * slot_seconds
            max_wait = (slot.slot + 1) * slot_seconds
            occupied = slot.upstream in self._list_isolated_upstreams()
            if (overdue or not slot.predecessors) and (
                not occupied or now - waiting_since > max_wait
            ):
                request.isolated_upstream = slot.upstream
                return
            await asyncio.sleep(POLL_SECONDS)

    def _start_in_background(self, job, *, step: str) -> asyncio.Task:
        return self._host.background.start(job, step=step)

    def _find_parts(
        self, contract: request_contracts.RequestContract
    ) -> tuple[str, ...]:
        request = self._tracker.find(contract)
        return request.parts if request is not None else ()

    def _list_upstreams(
        self, contract: request_contracts.RequestContract
    ) -> list[str]:
        rule = self._host.versions.choose(contract)
        if not isinstance(rule, rules.ServeRule):
            return []
        return [
            upstream.name
            for upstream in self._host.upstreams.list_engines_for_rule(rule)
            if not self._has_crashed(upstream)
            and not self._host.silences.is_lost(upstream)
        ]

    def _has_crashed(self, upstream: upstreams.Upstream) -> bool:
        """Return whether this incarnation crashed or is being checked."""
        if self._checks.includes(upstream):
            return True
        return self._detector.has_crashed(
            crash_checks.name_incarnation(upstream)
        )

    def _list_isolated_upstreams(self) -> set[str]:
        return {
            request.isolated_upstream
            for request in self._running.values()
            if request.isolated_upstream
        }

    def _clear(
        self, request: tracked_requests.TrackedRequest, position: float
    ) -> None:
        if self._detector.clear(request.fingerprint, position):
            request.isolated_upstream = ""

    def _handle_attempt_started(
        self, host, *, attempt: attempts.Attempt
    ) -> None:
        request = self._tracker.find(attempt.contract)
        if request is None:
            return
        request.sent = True
        request.known_crashes = tuple(
            self._detector.list_suspected_crashes(request.fingerprint)
        )
        self._running[attempt] = request

    def _handle_attempt_finished(
        self, host, *, attempt: attempts.Attempt
    ) -> None:
        request = self._running.pop(attempt, None)
        if request is None:
            return
        suspect = crash_checks.make_suspect(attempt, request)
        if attempt.tokens:
            self._clear(request, crash_checks.read_position(attempt))
            self._part_guard.record_answer(
                request.parts, attempt.first_token_at
            )
            self._progressed_fingerprints[request.fingerprint] = None
            self._progressed_fingerprints.move_to_end(request.fingerprint)
            if (
                len(self._progressed_fingerprints)
                > MAX_PROGRESSED_FINGERPRINTS
            ):
                self._progressed_fingerprints.popitem(last=False)
        failure = attempt.failure
        if failure is None or (
            failure.reason is not reasons.Reason.UPSTREAM_BROKEN
        ):
            return
        request.upstream_check = self._checks.add_broken(attempt, suspect)
        request.upstream_crashed = True

    def _handle_request_finished(
        self, host, *, request_id: str, failure
    ) -> None:
        request = self._tracker.find_id(request_id)
        if request is not None and failure is None:
            self._clear(request, math.inf)

    def _handle_fact(self, fact: facts.Fact) -> None:
        if not fact.key.startswith(poison_detectors.CRASH_PREFIX):
            return
        self._detector.apply_fact(fact)
        crash = poison_detectors.load_crash(fact)
        if crash.upstream in self._crashes_learned_at:
            return
        self._crashes_learned_at[crash.upstream] = (
            time.monotonic() + crash_checks.PEER_RECORDS_WAIT_SECONDS
        )
        self.wake()
        # Peers that isolate suspects must soon know those of this host, too.
        for upstream in self._host.upstreams.list_all():
            if crash_checks.name_incarnation(upstream) == crash.upstream:
                self._checks.record_crash(upstream)
