"""Suspects: this host's part in keeping poison requests off upstreams."""

import asyncio
import collections
import math
import time

from buckthornhold import attempts
from buckthornhold import healths
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

PROGRESS_CHECK_SECONDS = 0.05
POLL_SECONDS = 0.02
#: Broken streams of one crash come in within this time, in seconds.
BROKEN_STREAMS_WAIT_SECONDS = 0.03
#: Peers' own records of a crash come in within this time, in seconds.
PEER_RECORDS_WAIT_SECONDS = 0.1
MAX_PROGRESSED_FINGERPRINTS = 4096


class PoisonGuard(tasks.PeriodicService):
    """Finds crashes, runs suspects apart and refuses poison requests."""

    jitter = 0.0

    def __init__(self, *, host) -> None:
        super().__init__(
            interval=PROGRESS_CHECK_SECONDS,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._detector = poison_detectors.PoisonDetector(
            known=host.exchanges.known,
            publish=host.exchanges.publish,
            crash_retention=host.settings.crash_retention,
            poison_retention=host.settings.poison_retention,
        )
        self._tracker = tracked_requests.RequestTracker()
        self._running: dict[
            attempts.Attempt, tracked_requests.TrackedRequest
        ] = {}
        self._broken_attempts: dict[
            tuple, dict[attempts.Attempt, poison_detectors.Suspect]
        ] = {}
        self._upstream_checks: dict[tuple, asyncio.Task] = {}
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
        """What the fleet's facts on crashes say."""
        return self._detector

    @property
    def has_work(self) -> bool:
        """Whether upstreams crashed that are not forgotten yet."""
        return bool(self._upstream_checks or self._crashes_learned_at)

    def describe(self) -> list[dict]:
        """Return the requests that are refused, as operators read them."""
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
        """Return a refusal, or None when the request may now be sent.

        To be awaited before each attempt; a suspect waits for its turn.
        """
        request = self._tracker.add(contract, prompt)
        if request.examination is not None:
            await asyncio.shield(request.examination)
            request.examination = None
        request.isolated_upstream = ""
        if self._is_poison(request):
            return await self._refuse(request)
        if not self._detector.list_suspected_crashes(request.fingerprint):
            return None
        if not request.upstream_crashed and not contract.resumed:
            await self._wait_for_outcome(request, contract)
        await self._wait_for_turn(request, contract)
        if self._is_poison(request):
            return await self._refuse(request)
        return None

    def filter_candidates(
        self,
        contract: request_contracts.RequestContract,
        candidates: pools.Pool,
    ) -> pools.Pool:
        """Return the candidates that run and that keep suspects apart."""
        crashed = self._list_crashed(candidates)
        candidates = candidates.exclude(crashed) or candidates
        request = self._tracker.find(contract)
        if request is not None and request.isolated_upstream:
            chosen = candidates.filter(
                lambda it: it.name == request.isolated_upstream
            )
            return chosen or candidates
        trials = self._list_isolated_upstreams()
        if not trials:
            return candidates
        return (
            candidates.filter(lambda it: it.name not in trials) or candidates
        )

    def _list_crashed(self, candidates: pools.Pool) -> set[tuple[str, int]]:
        """Return the keys of the candidates that crashed."""
        names = {
            it.rpartition("/")[0]
            for it in self._detector.list_crashed_upstreams()
        }
        names.update(name for name, _ in self._upstream_checks)
        found = candidates.select_by_name(names)
        return {it.key for it in found if self._has_crashed(it)}

    async def check_upstream(
        self, upstream: upstreams.Upstream
    ) -> healths.Health:
        """Find out what became of an upstream whose stream broke."""
        return await asyncio.shield(self._start_check(upstream))

    async def run_once(self) -> None:
        """Clear the suspects that have got further, forget old crashes."""
        self._forget_unlisted_upstreams()
        if not self._crashes_learned_at:
            return
        for attempt, request in self._running.items():
            if attempt.tokens:
                self._clear(request, _read_position(attempt))
        self._detector.prune()
        oldest = time.monotonic() - self._host.settings.crash_retention
        for upstream, moment in list(self._crashes_learned_at.items()):
            if moment < oldest:
                del self._crashes_learned_at[upstream]

    def _forget_unlisted_upstreams(self) -> None:
        if not self._upstream_checks:
            return
        known = {it.key for it in self._host.upstreams.list_all()}
        for key in list(self._upstream_checks):
            if key not in known:
                del self._upstream_checks[key]
                self._broken_attempts.pop(key, None)

    def _is_poison(self, request: tracked_requests.TrackedRequest) -> bool:
        return self._detector.detect_poison(
            request.fingerprint,
            ran_before=request.fingerprint in self._progressed_fingerprints,
        )

    async def _refuse(
        self, request: tracked_requests.TrackedRequest
    ) -> reasons.Failure:
        """Refuse once the other hosts can know why."""
        await self._host.exchanges.wait_pushed(
            self._host.settings.facts_push_timeout
        )
        return reasons.Failure(
            reason=reasons.Reason.POISON_REQUEST,
            step="quarantine",
            ran=reasons.Ran.YES if request.sent else reasons.Ran.NO,
            detail=self._detector.find_poison_reason(request.fingerprint),
        )

    async def _wait_for_outcome(
        self,
        request: tracked_requests.TrackedRequest,
        contract: request_contracts.RequestContract,
    ) -> None:
        """Wait while an equal request elsewhere is on trial, once."""
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

    async def _wait_for_turn(
        self,
        request: tracked_requests.TrackedRequest,
        contract: request_contracts.RequestContract,
    ) -> None:
        """Wait for the request's own slot and for its upstream's."""
        slot_time = self._host.settings.suspect_slot
        waited_since = time.monotonic()
        while not self._detector.find_poison_reason(request.fingerprint):
            strikes = self._detector.list_suspected_crashes(
                request.fingerprint
            )
            names = self._list_upstreams(contract)
            if not strikes or not names:
                return
            turn = suspect_slots.assign_slot(
                self._detector, request.fingerprint, names
            )
            learned = max(
                self._crashes_learned_at.get(upstream, 0.0)
                for upstream in strikes
            )
            now = time.monotonic()
            overdue = now >= learned + turn.slot * slot_time
            longest = (turn.slot + 1) * slot_time
            taken = turn.upstream in self._list_isolated_upstreams()
            if (overdue or not turn.predecessors) and (
                not taken or now - waited_since > longest
            ):
                request.isolated_upstream = turn.upstream
                return
            await asyncio.sleep(POLL_SECONDS)

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
        """Tell whether this incarnation crashed, as far as is known."""
        if upstream.key in self._upstream_checks:
            return True
        return self._detector.has_crashed(_name_incarnation(upstream))

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
        suspect = self._make_suspect(attempt, request)
        if attempt.tokens:
            self._clear(request, _read_position(attempt))
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
        key = attempt.upstream.key
        self._broken_attempts.setdefault(key, {})[attempt] = suspect
        request.examination = self._start_check(attempt.upstream)
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
            time.monotonic() + PEER_RECORDS_WAIT_SECONDS
        )
        self.wake()
        # Peers that run suspects need to know at once which are this host's.
        for upstream in self._host.upstreams.list_all():
            if _name_incarnation(upstream) == crash.upstream:
                self._record_crash(upstream)

    def _make_suspect(
        self,
        attempt: attempts.Attempt,
        request: tracked_requests.TrackedRequest,
    ) -> poison_detectors.Suspect:
        return poison_detectors.Suspect(
            fingerprint=request.fingerprint,
            version=attempt.version,
            start=attempt.emitted_before,
            position=_read_position(attempt),
            known=request.known_crashes,
        )

    def _start_check(self, upstream: upstreams.Upstream) -> asyncio.Task:
        task = self._upstream_checks.get(upstream.key)
        if task is None:
            announced = upstream.leaving
            task = asyncio.create_task(self._run_check(upstream, announced))
            self._upstream_checks[upstream.key] = task
            self.wake()
        return task

    async def _run_check(
        self, upstream: upstreams.Upstream, announced: bool
    ) -> healths.Health:
        health = await healths.check_health(upstream)
        if health is not healths.Health.CRASHED:
            self._broken_attempts.pop(upstream.key, None)
            self._upstream_checks.pop(upstream.key, None)
            return health
        self._host.counters.count_event("upstreams.crashed")
        await asyncio.sleep(BROKEN_STREAMS_WAIT_SECONDS)
        if announced or not self._record_crash(upstream):
            return health
        count = len(self._broken_attempts[upstream.key])
        self._host.logger.bind(step="quarantine", peer=upstream.name).warning(
            f"upstream crashed under {count} requests"
        )
        await self._host.exchanges.wait_pushed(
            self._host.settings.facts_push_timeout
        )
        await asyncio.sleep(PEER_RECORDS_WAIT_SECONDS)
        return health

    def _record_crash(self, upstream: upstreams.Upstream) -> bool:
        """Spread what ran on a crashed upstream; tell if anything did."""
        suspects = self._broken_attempts.setdefault(upstream.key, {})
        for attempt, request in self._running.items():
            if attempt.upstream.key == upstream.key:
                suspects[attempt] = self._make_suspect(attempt, request)
        if not suspects:
            return False
        self._detector.publish_crash(
            poison_detectors.Crash(
                upstream=_name_incarnation(upstream),
                zone=upstream.record.zone,
                host=self._host.settings.host,
                time=time.time(),
                suspects=tuple(suspects.values()),
            )
        )
        return True


def _name_incarnation(upstream: upstreams.Upstream) -> str:
    return f"{upstream.name}/{upstream.record.incarnation}"


def _read_position(attempt: attempts.Attempt) -> int:
    """Return the offset in the answer that an attempt has reached."""
    return attempt.emitted_before + attempt.tokens
