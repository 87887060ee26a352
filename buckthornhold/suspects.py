"""Suspects: this host's part in keeping poison requests off upstreams."""

import asyncio
import collections
import math
import time

from buckthornhold import attempts
from buckthornhold import contracts
from buckthornhold import healths
from buckthornhold import pools
from buckthornhold import reasons
from buckthornhold import rules
from buckthornhold import signals
from buckthornhold import tasks
from buckthornhold import upstreams
from buckthornhold import watched_requests
from buckthornhold.coordination import facts
from buckthornhold.coordination import poison_detectors
from buckthornhold.coordination import suspect_slots

WATCH_INTERVAL = 0.05
POLL_INTERVAL = 0.02
#: Broken streams of one crash come in within this time, in seconds.
GATHER_TIME = 0.03
#: Peers' own records of a crash come in within this time, in seconds.
SETTLE_TIME = 0.1
REMEMBERED_FINGERPRINTS = 4096


class Suspects(tasks.PeriodicService):
    """Finds crashes, runs suspects apart and refuses poison requests."""

    jitter = 0.0

    def __init__(self, *, host) -> None:
        super().__init__(
            interval=WATCH_INTERVAL,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._judge = poison_detectors.PoisonDetector(
            known=host.exchanges.known,
            publish=host.exchanges.publish,
            crash_retention=host.settings.crash_retention,
            poison_retention=host.settings.poison_retention,
        )
        self._requests = watched_requests.Requests()
        self._running: dict[attempts.Attempt, watched_requests.Request] = {}
        self._broken: dict[
            tuple, dict[attempts.Attempt, poison_detectors.Suspect]
        ] = {}
        self._examinations: dict[tuple, asyncio.Task] = {}
        self._learned_at: dict[str, float] = {}
        self._progressed: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        host.exchanges.receive_with(self._take_fact)
        signals.attempt_started.connect(self._take_start, sender=host)
        signals.attempt_finished.connect(self._take_end, sender=host)
        signals.request_finished.connect(self._take_answer, sender=host)

    @property
    def judge(self) -> poison_detectors.PoisonDetector:
        """What the fleet's facts on crashes say."""
        return self._judge

    @property
    def has_work(self) -> bool:
        """Whether upstreams crashed that are not forgotten yet."""
        return bool(self._examinations or self._learned_at)

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
            for fact in self._judge.list_poison_facts()
        ]

    async def admit(
        self, contract: contracts.Contract, prompt: str
    ) -> reasons.Failure | None:
        """Return a refusal, or None when the request may now be sent.

        To be awaited before each attempt; a suspect waits for its turn.
        """
        request = self._requests.add(contract, prompt)
        if request.examination is not None:
            await asyncio.shield(request.examination)
            request.examination = None
        request.trial = ""
        if self._judge_request(request):
            return await self._refuse(request)
        if not self._judge.list_suspected_crashes(request.fingerprint):
            return None
        if not request.crashed and not contract.resumed:
            await self._wait_for_outcome(request, contract)
        await self._wait_for_turn(request, contract)
        if self._judge_request(request):
            return await self._refuse(request)
        return None

    def narrow(
        self,
        contract: contracts.Contract,
        candidates: pools.Pool,
    ) -> pools.Pool:
        """Return the candidates that run and that keep suspects apart."""
        crashed = self._list_crashed(candidates)
        candidates = candidates.exclude(crashed) or candidates
        request = self._requests.find(contract)
        if request is not None and request.trial:
            chosen = candidates.filter(lambda it: it.name == request.trial)
            return chosen or candidates
        trials = self._list_trials()
        if not trials:
            return candidates
        return (
            candidates.filter(lambda it: it.name not in trials) or candidates
        )

    def _list_crashed(self, candidates: pools.Pool) -> set[tuple[str, int]]:
        """Return the keys of the candidates that crashed."""
        names = {
            it.rpartition("/")[0]
            for it in self._judge.list_crashed_upstreams()
        }
        names.update(name for name, _ in self._examinations)
        found = candidates.select_by_name(names)
        return {it.key for it in found if self._has_crashed(it)}

    async def examine(self, upstream: upstreams.Upstream) -> healths.Health:
        """Find out what became of an upstream whose stream broke."""
        return await asyncio.shield(self._start_examination(upstream))

    async def run_once(self) -> None:
        """Clear the suspects that have got further, forget old crashes."""
        self._forget_upstreams()
        if not self._learned_at:
            return
        for attempt, request in self._running.items():
            if attempt.tokens:
                self._clear(request, _find_position(attempt))
        self._judge.prune()
        oldest = time.monotonic() - self._host.settings.crash_retention
        for upstream, moment in list(self._learned_at.items()):
            if moment < oldest:
                del self._learned_at[upstream]

    def _forget_upstreams(self) -> None:
        if not self._examinations:
            return
        known = {it.key for it in self._host.upstreams.list_all()}
        for key in list(self._examinations):
            if key not in known:
                del self._examinations[key]
                self._broken.pop(key, None)

    def _judge_request(self, request: watched_requests.Request) -> bool:
        return self._judge.detect_poison(
            request.fingerprint,
            ran_before=request.fingerprint in self._progressed,
        )

    async def _refuse(
        self, request: watched_requests.Request
    ) -> reasons.Failure:
        """Refuse once the other hosts can know why."""
        await self._host.exchanges.wait_pushed(
            self._host.settings.facts_push_timeout
        )
        return reasons.Failure(
            reason=reasons.Reason.POISON_REQUEST,
            step="quarantine",
            ran=reasons.Ran.YES if request.sent else reasons.Ran.NO,
            detail=self._judge.find_poison_reason(request.fingerprint),
        )

    async def _wait_for_outcome(
        self, request: watched_requests.Request, contract: contracts.Contract
    ) -> None:
        """Wait while an equal request elsewhere is on trial, once."""
        if not request.held_until:
            hold = self._host.settings.suspect_hold
            request.held_until = time.monotonic() + hold
        while time.monotonic() < request.held_until:
            if self._judge.find_poison_reason(request.fingerprint):
                return
            if not self._judge.list_suspected_crashes(request.fingerprint):
                return
            if not self._list_upstreams(contract):
                return
            await asyncio.sleep(POLL_INTERVAL)

    async def _wait_for_turn(
        self, request: watched_requests.Request, contract: contracts.Contract
    ) -> None:
        """Wait for the request's own slot and for its upstream's."""
        slot_time = self._host.settings.suspect_slot
        waited_since = time.monotonic()
        while not self._judge.find_poison_reason(request.fingerprint):
            strikes = self._judge.list_suspected_crashes(request.fingerprint)
            names = self._list_upstreams(contract)
            if not strikes or not names:
                return
            turn = suspect_slots.assign_slot(
                self._judge, request.fingerprint, names
            )
            learned = max(
                self._learned_at.get(upstream, 0.0) for upstream in strikes
            )
            now = time.monotonic()
            overdue = now >= learned + turn.slot * slot_time
            longest = (turn.slot + 1) * slot_time
            taken = turn.upstream in self._list_trials()
            if (overdue or not turn.predecessors) and (
                not taken or now - waited_since > longest
            ):
                request.trial = turn.upstream
                return
            await asyncio.sleep(POLL_INTERVAL)

    def _list_upstreams(self, contract: contracts.Contract) -> list[str]:
        rule = self._host.versions.choose(contract)
        if not isinstance(rule, rules.ServeRule):
            return []
        return [
            upstream.name
            for upstream in self._host.upstreams.list_allowed(rule)
            if not self._has_crashed(upstream)
            and not self._host.silences.is_lost(upstream)
        ]

    def _has_crashed(self, upstream: upstreams.Upstream) -> bool:
        """Tell whether this incarnation crashed, as far as is known."""
        if upstream.key in self._examinations:
            return True
        return self._judge.has_crashed(_name_incarnation(upstream))

    def _list_trials(self) -> set[str]:
        return {
            request.trial
            for request in self._running.values()
            if request.trial
        }

    def _clear(
        self, request: watched_requests.Request, position: float
    ) -> None:
        if self._judge.clear(request.fingerprint, position):
            request.trial = ""

    def _take_start(self, host, *, attempt: attempts.Attempt) -> None:
        request = self._requests.find(attempt.contract)
        if request is None:
            return
        request.sent = True
        request.known = tuple(
            self._judge.list_suspected_crashes(request.fingerprint)
        )
        self._running[attempt] = request

    def _take_end(self, host, *, attempt: attempts.Attempt) -> None:
        request = self._running.pop(attempt, None)
        if request is None:
            return
        suspect = self._make_suspect(attempt, request)
        if attempt.tokens:
            self._clear(request, _find_position(attempt))
            self._progressed[request.fingerprint] = None
            self._progressed.move_to_end(request.fingerprint)
            if len(self._progressed) > REMEMBERED_FINGERPRINTS:
                self._progressed.popitem(last=False)
        failure = attempt.failure
        if failure is None or (
            failure.reason is not reasons.Reason.UPSTREAM_BROKEN
        ):
            return
        key = attempt.upstream.key
        self._broken.setdefault(key, {})[attempt] = suspect
        request.examination = self._start_examination(attempt.upstream)
        request.crashed = True

    def _take_answer(self, host, *, request_id: str, failure) -> None:
        request = self._requests.find_id(request_id)
        if request is not None and failure is None:
            self._clear(request, math.inf)

    def _take_fact(self, fact: facts.Fact) -> None:
        if not fact.key.startswith(poison_detectors.CRASH_PREFIX):
            return
        self._judge.apply_fact(fact)
        crash = poison_detectors.load_crash(fact)
        if crash.upstream in self._learned_at:
            return
        self._learned_at[crash.upstream] = time.monotonic() + SETTLE_TIME
        self.wake()
        # Peers that run suspects need to know at once which are this host's.
        for upstream in self._host.upstreams.list_all():
            if _name_incarnation(upstream) == crash.upstream:
                self._record_crash(upstream)

    def _make_suspect(
        self, attempt: attempts.Attempt, request: watched_requests.Request
    ) -> poison_detectors.Suspect:
        return poison_detectors.Suspect(
            fingerprint=request.fingerprint,
            version=attempt.version,
            start=attempt.emitted_before,
            position=_find_position(attempt),
            known=request.known,
        )

    def _start_examination(self, upstream: upstreams.Upstream) -> asyncio.Task:
        task = self._examinations.get(upstream.key)
        if task is None:
            announced = upstream.leaving
            task = asyncio.create_task(
                self._examine_upstream(upstream, announced)
            )
            self._examinations[upstream.key] = task
            self.wake()
        return task

    async def _examine_upstream(
        self, upstream: upstreams.Upstream, announced: bool
    ) -> healths.Health:
        health = await healths.check_health(upstream)
        if health is not healths.Health.CRASHED:
            self._broken.pop(upstream.key, None)
            self._examinations.pop(upstream.key, None)
            return health
        self._host.counters.count_event("upstreams.crashed")
        await asyncio.sleep(GATHER_TIME)
        if announced or not self._record_crash(upstream):
            return health
        count = len(self._broken[upstream.key])
        self._host.logger.bind(step="quarantine", peer=upstream.name).warning(
            f"upstream crashed under {count} requests"
        )
        await self._host.exchanges.wait_pushed(
            self._host.settings.facts_push_timeout
        )
        await asyncio.sleep(SETTLE_TIME)
        return health

    def _record_crash(self, upstream: upstreams.Upstream) -> bool:
        """Spread what ran on a crashed upstream; tell if anything did."""
        suspects = self._broken.setdefault(upstream.key, {})
        for attempt, request in self._running.items():
            if attempt.upstream.key == upstream.key:
                suspects[attempt] = self._make_suspect(attempt, request)
        if not suspects:
            return False
        self._judge.publish_crash(
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


def _find_position(attempt: attempts.Attempt) -> int:
    """Return the offset in the answer that an attempt has reached."""
    return attempt.emitted_before + attempt.tokens
