"""Claimed calls: requests to plain services that run at most once."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import dataclasses
import time
import typing

from buckthornhold import dispatches
from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import retry_budgets
from buckthornhold import services
from buckthornhold.coordination import claim_records

Result = services.Answer | reasons.Failure
RunAttempts = Callable[
    [
        request_contracts.RequestContract,
        services.Call,
        str,
        dispatches.Dispatch,
    ],
    Coroutine[typing.Any, typing.Any, Result],
]

#: The first waits between tries to record an outcome are this step of
#: ``retry_budgets.draw_backoff``.
FIRST_RECORD_WAIT = 4
NOT_RUN = claim_records.Outcome(kind=claim_records.OutcomeKind.NOT_RUN)
CLAIM_GIVEN_UP = reasons.Failure(
    reason=reasons.Reason.STORE_UNAVAILABLE,
    step="claim",
    detail="the claim was given up",
)
UNKNOWN = claim_records.Outcome(kind=claim_records.OutcomeKind.UNKNOWN)


@dataclasses.dataclass(kw_only=True, eq=False)
class RunningCall:
    """A call that this host runs; ``waiting`` callers wait for its result.

    ``digest`` tells it apart from another call under the same id.
    """

    digest: str
    dispatch: dispatches.Dispatch
    task: asyncio.Task
    waiting: int = 0

    @property
    def not_run(self) -> bool:
        """Whether it has ended without being run."""
        task = self.task
        if not task.done() or task.cancelled() or task.exception() is not None:
            return False
        result = task.result()
        if not isinstance(result, reasons.Failure):
            return False
        return result.ran is reasons.Ran.NO


class ClaimedCalls:
    """Runs calls under a claim of their request id.

    Each call is a task of its own: once a service may have received it, a
    caller that goes away ends neither the attempt nor the recording of its
    outcome, and both count as in flight. Before that, the call is abandoned
    when nobody waits for it any more. A repeat of an id that this host is
    running joins it.
    """

    def __init__(self, *, host, run_attempts: RunAttempts) -> None:
        self._host = host
        self._run_attempts = run_attempts
        self._running: dict[str, RunningCall] = {}
        self._recordings: set[asyncio.Task] = set()

    async def run(
        self, contract: request_contracts.RequestContract, call: services.Call
    ) -> Result:
        """Run a call, or join the one that this host runs already.

        A joined call that ends as not run says nothing of what other hosts
        have run meanwhile, so that the repeat then asks for itself.
        """
        while True:
            running = self._running.get(contract.request_id)
            if running is None or running.not_run:
                return await self._wait(self._start(contract, call), contract)
            if running.digest != contract.digest:
                return _refuse_reuse()
            result = await self._wait(running, contract)
            if not running.not_run:
                return result

    async def _wait(self, running: RunningCall, contract) -> Result:
        """Return a call's result, or the word of a host whose time is over.

        A call that was sent goes on: its answer may still be recorded.
        """
        running.waiting += 1
        try:
            await asyncio.wait(
                (running.task, self._host.drains.over),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            running.waiting -= 1
            if not running.waiting and not running.task.done():
                running.dispatch.abandon()
        if running.task.done():
            return running.task.result()
        reason = reasons.Reason.OUTCOME_UNKNOWN
        if contract.id_from_client:
            reason = reasons.Reason.STILL_RUNNING
        return reasons.Failure(
            reason=reason,
            step="host ends",
            peer=self._host.settings.host,
            ran=reasons.Ran.UNKNOWN,
            retry_after=self._host.settings.retry_after,
        )

    def _start(self, contract, call) -> RunningCall:
        dispatch = dispatches.Dispatch()
        task = asyncio.create_task(self._run(contract, call, dispatch))
        task.add_done_callback(self._report)
        running = RunningCall(
            digest=contract.digest, dispatch=dispatch, task=task
        )
        self._running[contract.request_id] = running
        return running

    async def _run(self, contract, call, dispatch) -> Result:
        recording = False
        with self._host.admissions.track_request():
            try:
                if not contract.id_from_client:
                    # Nobody else knows the id, so that nobody repeats it.
                    return await dispatch.run(
                        self._run_attempts(
                            contract, call, contract.request_id, dispatch
                        )
                    )
                claim = await self._take(contract)
                if not isinstance(claim, claim_records.Claim):
                    return claim
                result = await dispatch.run(
                    self._run_attempts(
                        contract, call, claim.change_id, dispatch
                    )
                )
                self._record_later(
                    claim, self._make_outcome(result), asyncio.current_task()
                )
                recording = True
                return result
            finally:
                if not recording:
                    self._forget(contract.request_id, asyncio.current_task())

    async def _take(self, contract) -> claim_records.Claim | Result:
        """Take the claim, or return what the caller is told instead.

        Once a failure is returned nothing is sent under this claim, whatever
        becomes of it in the store.
        """
        left = contract.deadline - time.monotonic()
        if left <= 0:
            failure = reasons.Failure(
                reason=reasons.Reason.DEADLINE_PASSED, step="claim"
            )
            return self._refuse_unclaimed(contract, failure)
        claim = self._host.claims.make_claim(
            contract.request_id,
            digest=contract.digest,
            seconds_left=left,
            made_at=contract.id_created_at,
        )
        verdict = await self._host.claims.acquire(claim)
        if isinstance(verdict, reasons.Failure):
            verdict = await self._give_up(claim, verdict)
        if isinstance(verdict, reasons.Failure):
            return self._refuse_unclaimed(contract, verdict)
        if verdict.state is claim_records.ClaimState.ABANDONED:
            return self._refuse_unclaimed(contract, CLAIM_GIVEN_UP)
        if verdict.state is not claim_records.ClaimState.ACQUIRED:
            return self._describe(verdict)
        self._host.counters.count_event("claims.taken")
        return verdict.claim

    async def _give_up(self, claim, failure):
        """Settle a claim that may yet be found in the store.

        From here on the attempt isn't sent, so that the claim may be marked
        as not run; meanwhile another sending may have got the id.
        """
        if failure.ran is reasons.Ran.NO:
            return failure
        verdict = await self._host.claims.abandon(claim)
        if isinstance(verdict, reasons.Failure):
            self._record_later(claim, NOT_RUN)
        return verdict

    def _refuse_unclaimed(self, contract, failure) -> reasons.Failure:
        """Refuse a call without a claim, which surely isn't sent.

        Whether an earlier sending of the id ran is another matter, so the
        word is unknown to a caller who says that there was one.
        """
        ran = reasons.Ran.UNKNOWN if contract.is_retry else reasons.Ran.NO
        return failure.replace(
            ran=ran, retry_after=self._host.settings.retry_after
        )

    def _describe(self, verdict: claim_records.Decision) -> Result:
        """Return what the caller of an id that is taken is told."""
        claim = verdict.claim
        if verdict.state is claim_records.ClaimState.REUSED:
            return _refuse_reuse()
        if verdict.state is claim_records.ClaimState.EXPIRED:
            return reasons.Failure(
                reason=reasons.Reason.ID_EXPIRED,
                step="claim",
                ran=reasons.Ran.UNKNOWN,
                detail="the request id is older than what is kept",
            )
        ended = claim.outcome
        if ended is None or ended.kind is claim_records.OutcomeKind.NOT_RUN:
            return self._describe_running(claim)
        if claim.outcome.kind is claim_records.OutcomeKind.ANSWERED:
            return self._describe_answered(claim.outcome)
        return reasons.Failure(
            reason=reasons.Reason.OUTCOME_UNKNOWN,
            step="claim",
            peer=claim.host,
            ran=reasons.Ran.UNKNOWN,
            detail="it was sent once and its answer was lost",
        )

    def _describe_running(self, claim) -> reasons.Failure:
        left = claim.until - time.time()
        left += self._host.settings.claim_timeout
        if left > 0:
            return reasons.Failure(
                reason=reasons.Reason.STILL_RUNNING,
                step="claim",
                peer=claim.host,
                ran=reasons.Ran.UNKNOWN,
                retry_after=min(left, self._host.settings.retry_after),
            )
        return reasons.Failure(
            reason=reasons.Reason.OUTCOME_UNKNOWN,
            step="claim",
            peer=claim.host,
            ran=reasons.Ran.UNKNOWN,
            detail="its time is over and its host recorded no outcome",
        )

    def _describe_answered(self, outcome: claim_records.Outcome) -> Result:
        if outcome.body is not None:
            self._host.counters.count_event("claims.repeats_answered")
            return services.Answer(
                status=outcome.status,
                body=outcome.body,
                content_type=outcome.content_type,
            )
        if outcome.kept:
            return reasons.Failure(
                reason=reasons.Reason.STORE_UNAVAILABLE,
                step="read answer",
                ran=reasons.Ran.YES,
                detail="the answer is kept but can't be read now",
                retry_after=self._host.settings.retry_after,
            )
        return reasons.Failure(
            reason=reasons.Reason.ANSWER_NOT_KEPT,
            step="claim",
            ran=reasons.Ran.YES,
            detail=(
                f"answered with status {outcome.status}, {outcome.size} "
                f"bytes, digest {outcome.digest}: too large to keep"
            ),
        )

    def _make_outcome(self, result: Result) -> claim_records.Outcome:
        if isinstance(result, services.Answer):
            return claim_records.make_answered_outcome(
                status=result.status,
                content_type=result.content_type,
                body=result.body,
                limit=self._host.settings.claim_answer_limit,
            )
        return NOT_RUN if result.ran is reasons.Ran.NO else UNKNOWN

    def _record_later(self, claim, outcome, call_task=None) -> None:
        held = contextlib.ExitStack()
        held.enter_context(self._host.admissions.track_request())
        task = asyncio.create_task(
            self._record(claim, outcome, call_task, held)
        )
        task.add_done_callback(self._report)
        task.add_done_callback(self._recordings.discard)
        self._recordings.add(task)

    async def _record(self, claim, outcome, call_task, held) -> None:
        """Record an outcome, again and again while the claim is kept.

        Until then repeats on this host get the result of ``call_task``.
        ``held`` counts it as in flight, from before the call ended.
        """
        give_up_at = time.monotonic() + self._host.claims.retention
        number = FIRST_RECORD_WAIT
        try:
            with held:
                while time.monotonic() < give_up_at:
                    failure = await self._host.claims.record_outcome(
                        claim, outcome
                    )
                    if failure is None:
                        self._host.counters.count_event(
                            "claims.outcomes_recorded"
                        )
                        return
                    await asyncio.sleep(retry_budgets.draw_backoff(number))
                    number += 1
            self._host.counters.count_event("claims.outcomes_unrecorded")
        finally:
            self._host.claims.discard(claim)
            self._forget(claim.request_id, call_task)

    def _forget(self, request_id: str, task: asyncio.Task | None) -> None:
        running = self._running.get(request_id)
        if running is not None and running.task is task:
            del self._running[request_id]

    def _report(self, task: asyncio.Task) -> None:
        """Log and count an unforeseen error of a background task."""
        if task.cancelled() or task.exception() is None:
            return
        self._host.counters.count_event("tasks.errors")
        self._host.logger.bind(step="claimed call").opt(
            exception=task.exception()
        ).error("step failed")


def _refuse_reuse() -> reasons.Failure:
    return reasons.Failure(
        reason=reasons.Reason.ID_REUSED,
        step="claim",
        detail="the request id was used for another request",
    )
