"""Shared reads: identical calls of plain services share one execution.

Only calls whose rule says ``shared=yes`` come here. Callers that ask the
same while a call is under way wait for its answer; with ``fresh=`` in the
rule a whole answer is also given to callers that come within that time of
its sending. Both hold on this host alone.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import services

Result = services.Answer | reasons.Failure
Run = Callable[
    [request_contracts.RequestContract, services.Call], Awaitable[Result]
]

#: Reasons that tell of the first caller's time, not of the service.
TIME_REASONS = (
    reasons.Reason.DEADLINE_PASSED,
    reasons.Reason.UPSTREAM_TIMEOUT,
)
FIRST_ERROR_STATUS = 300
#: Taken for a kept answer beside its body.
ANSWER_BYTES = 512


@dataclasses.dataclass(kw_only=True, eq=False)
class Flight:
    """One execution and how many callers wait for it.

    ``started`` and ``deadline`` are on the monotonic clock, in seconds.
    """

    task: asyncio.Task
    service: str
    started: float
    deadline: float
    waiting: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeptAnswer:
    """A whole answer and when its call was sent, on the monotonic clock."""

    answer: services.Answer
    service: str
    started: float
    fresh: float


class SharedReads:
    """Runs shared calls once for all who ask for the same.

    ``memory`` bounds the kept answers, in bytes.
    """

    def __init__(self, *, host, run: Run, memory: int) -> None:
        self._host = host
        self._run = run
        self._memory = memory
        self._flights: dict[str, Flight] = {}
        self._kept: dict[str, KeptAnswer] = {}
        self._kept_bytes = 0
        self._written_at: dict[str, float] = {}

    async def run(
        self, contract: request_contracts.RequestContract, call: services.Call
    ) -> Result:
        """Return the answer to a call, or why there is none.

        A caller that goes away ends the execution only if nobody else waits
        for it. One that has time left asks again when another's time ended
        the execution.
        """
        while True:
            kept = self._find_kept(contract)
            if kept is not None:
                self._host.counters.count_event("reads.answered_again")
                return kept
            flight = self._find_flight(contract)
            own = flight is None
            if flight is None:
                flight = self._start(contract, call)
            else:
                self._host.counters.count_event("reads.joined")
            result = await self._wait(flight, contract)
            if own or not self._is_others_time(result, contract):
                return result

    def note_write(self, service: str) -> None:
        """Note that a call of a service that is not idempotent has ended.

        What was read before is not given to callers that come from now on.
        """
        self._written_at[service] = time.monotonic()

    def _is_others_time(self, result: Result, contract) -> bool:
        if not isinstance(result, reasons.Failure):
            return False
        left = contract.deadline - time.monotonic()
        return left > 0 and result.reason in TIME_REASONS

    async def _wait(self, flight: Flight, contract) -> Result:
        flight.waiting += 1
        left = max(0.0, contract.deadline - time.monotonic())
        try:
            # Ends the wait alone, and not the execution.
            await asyncio.wait((flight.task,), timeout=left)
        finally:
            flight.waiting -= 1
            if not flight.waiting and not flight.task.done():
                self._abandon(flight, contract.shared_key)
        if flight.task.done() and not flight.task.cancelled():
            return flight.task.result()
        return reasons.Failure(
            reason=reasons.Reason.DEADLINE_PASSED,
            step="shared read",
            ran=reasons.Ran.UNKNOWN,
        )

    def _abandon(self, flight: Flight, key: str) -> None:
        """End an execution that nobody waits for any more."""
        self._host.counters.count_event("reads.abandoned")
        if self._flights.get(key) is flight:
            del self._flights[key]
        flight.task.cancel()

    def _start(self, contract, call: services.Call) -> Flight:
        key = contract.shared_key
        flight = Flight(
            task=asyncio.create_task(self._run(contract, call)),
            service=_find_service(contract),
            started=time.monotonic(),
            deadline=contract.deadline,
        )
        self._flights[key] = flight

        def end(task: asyncio.Task) -> None:
            if self._flights.get(key) is flight:
                del self._flights[key]
            if not task.cancelled() and task.exception() is None:
                self._keep(key, flight, contract.max_answer_age)

        flight.task.add_done_callback(end)
        return flight

    def _find_flight(self, contract) -> Flight | None:
        """Return the execution to join, if it is new enough for it."""
        flight = self._flights.get(contract.shared_key)
        if flight is None or time.monotonic() >= flight.deadline:
            return None
        return None if self._is_outdated(flight) else flight

    def _find_kept(self, contract) -> services.Answer | None:
        """Return an answer that is no older than its rule allows now."""
        kept = self._kept.get(contract.shared_key)
        if kept is None:
            return None
        age = time.monotonic() - kept.started
        if age > contract.max_answer_age or self._is_outdated(kept):
            self._drop(contract.shared_key)
            return None
        return kept.answer

    def _is_outdated(self, read: Flight | KeptAnswer) -> bool:
        return read.started <= self._written_at.get(read.service, 0.0)

    def _keep(self, key: str, flight: Flight, fresh: float) -> None:
        answer = flight.task.result()
        if not fresh or not isinstance(answer, services.Answer):
            return
        if answer.status >= FIRST_ERROR_STATUS:
            return
        self._drop(key)
        self._kept[key] = KeptAnswer(
            answer=answer,
            service=flight.service,
            started=flight.started,
            fresh=fresh,
        )
        self._kept_bytes += len(answer.body) + ANSWER_BYTES
        self._drop_old()

    def _drop_old(self) -> None:
        """Drop answers that are too old, and the oldest beyond the memory."""
        now = time.monotonic()
        for key, kept in list(self._kept.items()):
            old = now - kept.started > kept.fresh
            if not old and self._kept_bytes <= self._memory:
                return
            self._drop(key)

    def _drop(self, key: str) -> None:
        kept = self._kept.pop(key, None)
        if kept is not None:
            self._kept_bytes -= len(kept.answer.body) + ANSWER_BYTES


def _find_service(contract: request_contracts.RequestContract) -> str:
    return contract.route.partition("/")[0]
