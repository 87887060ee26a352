"""Streams: model requests, kept going over failed attempts."""

import asyncio
from collections.abc import Callable
import contextlib
import math
import time

from buckthornhold import attempt_plans
from buckthornhold import attempts
from buckthornhold import checks
from buckthornhold import deliveries
from buckthornhold import engines
from buckthornhold import prompt_prefixes
from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import signals
from buckthornhold import upstreams
from buckthornhold import waits
from buckthornhold import watches

#: Failures after which a started answer waits for an upstream.
MISSING_UPSTREAM_REASONS = (
    reasons.Reason.NO_UPSTREAM,
    reasons.Reason.ZONE_EVACUATED,
)
MOVE_TIMEOUT_SECONDS = 5.0
HAND_OVER_TIMEOUT_SECONDS = 0.5


class Stream:
    """One model request and the tokens that were emitted for it.

    The wait for the first token and each wait for a further one are
    bounded; a stream that makes progress may last as long as it needs.
    ``start`` is the offset from which its caller wants tokens, ``digest``
    that of the text before it. ``known`` is what other entry hosts did for
    it before.
    """

    def __init__(
        self,
        *,
        host,
        contract: request_contracts.RequestContract,
        prompt: str,
        max_tokens: int,
        start: int = 0,
        digest: int | None = None,
        known: attempt_plans.ResumedState | None = None,
    ) -> None:
        known = known or attempt_plans.ResumedState()
        self._host = host
        self._settings = host.settings
        self._contract = contract
        self._prompt = prompt
        self._max_tokens = max_tokens
        self._start = start
        self._check = checks.Check(
            emitted=list(known.texts),
            max_tokens=max_tokens,
            start=start,
            digest=digest,
            repeats=self._settings.regenerate_lost_text,
        )
        self._ended = known.ended
        self._epoch = known.epoch
        self._kept_by = known.upstream
        self._kept_version = known.version
        self._plan = attempt_plans.AttemptPlan(
            host=host, contract=contract, epoch=known.epoch
        )
        self._sink: engines.Sink | None = None
        self._attempt: attempts.Attempt | None = None
        self._first_attempt: attempts.Attempt | None = None
        self._wait = waits.Wait()
        self._target: upstreams.Upstream | None = None
        self._moved: asyncio.Future | None = None
        self._handing_over = False
        self._closed = asyncio.Event()

    @property
    def contract(self) -> request_contracts.RequestContract:
        """What the request was promised."""
        return self._contract

    @property
    def emitted(self) -> list[str]:
        """Tokens given out so far."""
        return self._check.emitted

    @property
    def prompt(self) -> str:
        """What is answered."""
        return self._prompt

    @property
    def max_tokens(self) -> int:
        """The longest answer."""
        return self._max_tokens

    @property
    def start(self) -> int:
        """How many tokens the caller has."""
        return self._start

    @property
    def epoch(self) -> int:
        """How many entry hosts the request had before this one."""
        return self._epoch

    @property
    def attempt(self) -> attempts.Attempt | None:
        """The present attempt, or the planned one."""
        return self._attempt

    @property
    def moved(self) -> bool:
        """Whether the present attempt is not the first on this host."""
        return self._attempt is not self._first_attempt

    @property
    def ended(self) -> bool:
        """Whether the answer is whole."""
        return self._ended

    @property
    def cost(self) -> int:
        """Tokens of context that another upstream would recompute."""
        return prompt_prefixes.count_tokens(self._prompt) + len(self.emitted)

    def is_on(self, upstream: upstreams.Upstream) -> bool:
        """Tell whether an upstream works for the stream now."""
        attempt = self._attempt
        if attempt is None or attempt.ended_at or self._target is not None:
            return False
        return attempt.upstream is upstream

    def estimate_seconds_left(self) -> float:
        """Return how long the answer may still take at its present pace."""
        attempt = self._attempt
        if attempt is None:
            return math.inf
        return attempt.estimate_seconds(self._max_tokens - len(self.emitted))

    def find_target(
        self, excluded: set[tuple[str, int]]
    ) -> upstreams.Upstream | None:
        """Return another upstream that may take the stream over."""
        return self._plan.choose_other_upstream(excluded)

    async def move_to(self, upstream: upstreams.Upstream) -> None:
        """Go on at another upstream; return when it has taken over.

        It has taken over, or failed to, with its first event.
        """
        moved = asyncio.get_running_loop().create_future()
        self._moved = moved
        self._target = upstream
        self._wait.end()
        await asyncio.wait([moved], timeout=MOVE_TIMEOUT_SECONDS)

    async def hand_over(self) -> None:
        """Stop here for another entry host; the engine is not told."""
        self._handing_over = True
        self._wait.end()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HAND_OVER_TIMEOUT_SECONDS):
                await self._closed.wait()

    async def plan(self) -> None | reasons.Failure:
        """Plan the first attempt, so that it is known where it runs."""
        if not self._check.is_callers():
            return self._plan.make_refusal(reasons.Reason.TEXT_LOST)
        if self._ended:
            return None
        attempt = await self._find_attempt()
        if isinstance(attempt, reasons.Failure):
            return attempt
        self._attempt = self._first_attempt = attempt
        return None

    async def run(self, sink: engines.Sink) -> engines.Last:
        """Give the answer from the caller's offset on to its sink.

        Returns the end marker of a whole answer or a failure.
        """
        self._sink = sink
        known = engines.Tokens(offset=0, texts=list(self.emitted))
        rest = known.skip_to(self._start)
        try:
            if rest is not None:
                sink.take(rest)
                await sink.make_room()
            return await self._run_attempts()
        finally:
            self._closed.set()
            _settle(self._moved)

    async def _run_attempts(self) -> engines.Last:
        if self._ended:
            return engines.EndOfStream(count=len(self.emitted))
        attempt = self._attempt
        while True:
            if attempt is None:
                attempt = await self._find_attempt()
            if isinstance(attempt, reasons.Failure):
                return attempt
            last = await self._run_attempt(attempt)
            if isinstance(last, engines.EndOfStream):
                return last
            attempt = await self._end_attempt(attempt)

    async def _end_attempt(
        self, attempt: attempts.Attempt
    ) -> reasons.Failure | None:
        """Return why the stream ends with an attempt, if it does."""
        if self._handing_over:
            return self._make_handover()
        if attempt.failure is None:
            reason = reasons.RetryReason.UPSTREAM_LEAVING
            self._host.counters.count_retry(reason)
            return None
        failure = self._plan.record_failure(attempt)
        if failure is None:
            await self._wait.sleep(self._plan.find_backoff())
        return failure

    async def _find_attempt(self) -> attempts.Attempt | reasons.Failure:
        """Plan an attempt; a started answer waits for an upstream."""
        while not self._handing_over:
            await self._host.pauses.wait_until_fresh()
            kept_by, self._kept_by = self._kept_by, None
            if kept_by is not None:
                return self._plan.make_resumption(kept_by, self._kept_version)
            if self._check.lost:
                return self._plan.make_refusal(reasons.Reason.TEXT_LOST)
            refusal = await self._host.quarantines.admit(
                self._contract, self._prompt
            )
            if refusal is not None:
                return self._plan.add_attempts_ran(refusal)
            target, self._target = self._target, None
            attempt = self._plan.make_attempt(target)
            if isinstance(attempt, attempts.Attempt):
                if self._check.missing:
                    self._host.counters.count_event("streams.regenerated")
                return attempt
            missing = attempt.reason in MISSING_UPSTREAM_REASONS
            if not missing or not self._plan.answer_started:
                return attempt
            await self._wait.sleep(self._settings.retry_pause_limit / 2)
        return self._make_handover()

    def _make_handover(self) -> reasons.Failure:
        return self._plan.make_refusal(
            reasons.Reason.STREAM_MOVED, self._settings.moved_retry_after
        )

    async def _run_attempt(
        self, attempt: attempts.Attempt
    ) -> engines.EndOfStream | None:
        """Have an attempt's tokens passed on; return its end marker.

        Why it failed is found in ``attempt.failure``; there is none if the
        stream is to move.
        """
        self._attempt = attempt
        attempt.emitted_before = len(self.emitted)
        moved, self._moved = self._moved, None
        release = _do_nothing
        if attempt.number and moved is None and not attempt.resumes:
            slots = self._host.transfers.recompute_slots
            release = await slots.acquire(self.cost)
        watch = watches.Watch(
            host=self._host, attempt=attempt, on_lost=self._wait.end
        )
        signals.attempt_started.send(self._host, attempt=attempt)
        attempt.upstream.in_flight += 1
        last = None
        try:
            if not self._stopping:
                last = await self._read(attempt, watch, moved, release)
            return self._take_last(last, attempt)
        finally:
            watch.stop()
            _settle(moved)
            release()
            attempt.upstream.in_flight -= 1
            attempt.ended_at = time.monotonic()
            if not self._ended and not self._handing_over:
                self._cancel(attempt)
            signals.attempt_finished.send(self._host, attempt=attempt)

    async def _read(
        self,
        attempt: attempts.Attempt,
        watch: watches.Watch,
        moved: asyncio.Future | None,
        release: Callable[[], None],
    ) -> engines.Last | None:
        """Read an attempt to its end; return None if it is to be left."""

        def take_first() -> None:
            _settle(moved)
            release()
            watch.set_limit(self._settings.stream_event_timeout)

        delivery = deliveries.Delivery(
            attempt=attempt,
            check=self._check,
            watch=watch,
            sink=self._sink,
            start=self._start,
            on_first=take_first,
            on_progress=self._plan.record_progress,
        )
        watch.start_reading()
        watch.set_limit(self._settings.first_token_timeout)
        try:
            async with self._wait.hold():
                return await self._ask(attempt, delivery)
        except TimeoutError:
            if self._stopping:
                return None
            return reasons.Failure(
                reason=reasons.Reason.UPSTREAM_TIMEOUT,
                step="read answer",
                peer=attempt.upstream.name,
                ran=reasons.Ran.UNKNOWN,
                detail=f"no token for {watch.silence:.1f} s",
            )

    async def _ask(
        self, attempt: attempts.Attempt, sink: engines.Sink
    ) -> engines.Last:
        engine = attempt.upstream.engine
        if attempt.resumes:
            return await engine.resume(
                self._contract.request_id,
                sink,
                attempt=attempt.name,
                offset=len(self.emitted),
            )
        order = self._plan.make_generation(
            attempt,
            prompt=self._prompt,
            max_tokens=self._max_tokens,
            emitted=tuple(self.emitted),
        )
        return await engine.generate(order, sink)

    @property
    def _stopping(self) -> bool:
        """Whether the present attempt is to be left."""
        return self._handing_over or self._target is not None

    def _take_last(
        self, last: engines.Last | None, attempt: attempts.Attempt
    ) -> engines.EndOfStream | None:
        """Note how an attempt ended; return its end marker if it is right."""
        if last is None:
            return None
        checked = self._check.take(last, attempt)
        if isinstance(checked, reasons.Failure):
            attempt.failure = checked
            return None
        self._ended = True
        self._host.retry_budget.record_success()
        if checked.trailing:
            self._host.counters.count_event("answers.late_dropped")
        return checked

    def _cancel(self, attempt: attempts.Attempt) -> None:
        """Have the engine give up work that may still be going on."""
        failure = attempt.failure
        if failure is not None and failure.ran is reasons.Ran.NO:
            return
        self._host.background.start(
            attempt.upstream.engine.cancel(
                self._contract.request_id, attempt=attempt.name
            ),
            step="cancel stream",
        )


def _settle(moved: asyncio.Future | None) -> None:
    """Tell whoever moved a stream that the move is over."""
    if moved is not None and not moved.done():
        moved.set_result(None)


def _do_nothing() -> None:
    """Stand for a release where nothing is held."""
