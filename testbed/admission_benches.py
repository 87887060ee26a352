"""Benches that call an admission policy directly, with a simulated clock."""

import asyncio
import collections
import heapq
import itertools
import types
import uuid

from buckthornhold import admission_policies
from buckthornhold import attempts
from buckthornhold import engines
from buckthornhold import hosts
from buckthornhold import load_trackers
from buckthornhold import prefill_backlogs
from buckthornhold import prompt_prefixes
from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import rules
from buckthornhold import upstreams

MODEL = "race-desk-llm"
FIRST_TOKEN_TARGET_SECONDS = 0.91
PREFILL_TOKENS_PER_SECOND = 5000.0
ENGINE_SLOTS = 16
STEP_SECONDS = 0.03
DEADLINE_SECONDS = 60.0
#: Sequence numbers that order simultaneous events.
EVENT_NUMBERS = itertools.count()
#: Iterations of the event loop within which a load report arrives.
REPORT_LOOP_ITERATIONS = 5


class StubEngine:
    """Engine stub that only reports its load."""

    def __init__(self) -> None:
        self.running = 0
        self.waiting_tokens = 0

    async def fetch_load(self) -> engines.Load:
        """Return a load report with the load that is set here."""
        return engines.Load(
            running=self.running,
            queued=0,
            cached_tokens=0,
            incarnation=1,
            leaving=False,
            slots=ENGINE_SLOTS,
            waiting_tokens=self.waiting_tokens,
            prefill_rate=PREFILL_TOKENS_PER_SECOND,
            step_seconds=STEP_SECONDS,
        )


class AdmissionBench:
    """One host's admission policy with stub engines and simulated hosts."""

    def __init__(
        self,
        *,
        engine_count: int,
        host_count: int,
        rule_set: rules.RuleSet | None = None,
        admission: str = "fair",
    ) -> None:
        self.now = 1000.0
        self._engines = [
            self._make_engine(number) for number in range(engine_count)
        ]
        entry = types.SimpleNamespace(state=hosts.HostState.LIVE)
        self._host = types.SimpleNamespace(
            settings=types.SimpleNamespace(
                first_token_target=FIRST_TOKEN_TARGET_SECONDS
            ),
            rules=rule_set or rules.RuleSet(),
            upstreams=types.SimpleNamespace(
                entry_hosts=(entry,) * host_count,
                list_all=lambda: self._engines,
                list_engines=lambda model, version: self._engines,
            ),
        )
        self._host.loads = load_trackers.LoadTracker(
            host=self._host, interval=0.0
        )
        policy = admission_policies.POLICIES[admission]
        self._policy = policy(host=self._host, clock=lambda: self.now)
        self._request_count = 0

    @property
    def engines(self) -> list[upstreams.Upstream]:
        """The engines."""
        return self._engines

    @property
    def load_tracker(self) -> load_trackers.LoadTracker:
        """The host's load tracker."""
        return self._host.loads

    @property
    def next_engine(self) -> int:
        """Index of the engine that the next request is planned for."""
        return self._request_count % len(self._engines)

    @property
    def total_prefill_rate(self) -> float:
        """Tokens that all engines together prefill in a second."""
        return PREFILL_TOKENS_PER_SECOND * len(self._engines)

    def count_limit_lines(self) -> int:
        """Return the number of limit lines whose usage the policy keeps."""
        return self._policy.find_fair_shares(MODEL).line_count

    async def load_reports(self) -> None:
        """Load a report of each engine."""
        for upstream in self._engines:
            self._host.loads.refresh(upstream)
        for _ in range(REPORT_LOOP_ITERATIONS):
            await asyncio.sleep(0)

    async def request_admission(
        self, tokens: int, *, workspace: str = "booth", max_tokens: int = 20
    ):
        """Return the admission or refusal of a request with a new prompt."""
        attempt = self.make_attempt(tokens, workspace=workspace)
        outcome = self.admit(attempt, max_tokens=max_tokens)
        for _ in range(REPORT_LOOP_ITERATIONS):
            await asyncio.sleep(0)
        return outcome

    def admit(self, attempt: attempts.Attempt, *, max_tokens: int = 20):
        """Return the admission or refusal of a planned attempt."""
        return self._policy.admit(
            attempt.contract, max_tokens=max_tokens, attempt=attempt
        )

    def make_attempt(
        self, tokens: int, *, workspace: str = "booth"
    ) -> attempts.Attempt:
        """Plan a request with a new prompt on the next engine."""
        upstream = self._engines[self._request_count % len(self._engines)]
        self._request_count += 1
        request_id = uuid.uuid4().hex
        text = request_id * (
            tokens * prompt_prefixes.CHARS_PER_TOKEN // 32 + 1
        )
        prompt = text[: (tokens - 1) * prompt_prefixes.CHARS_PER_TOKEN]
        contract = request_contracts.RequestContract(
            request_id=request_id,
            workspace=workspace,
            route=MODEL,
            deadline=self.now + DEADLINE_SECONDS,
            prefix=prompt[: request_contracts.PREFIX_CHARACTERS],
            blocks=prompt_prefixes.list_blocks(prompt),
            prompt_tokens=prompt_prefixes.count_tokens(prompt),
        )
        return attempts.Attempt(
            contract=contract, number=0, upstream=upstream, version="v1"
        )

    def record_first_token(self, place) -> None:
        """Record a request's first token at the current time."""
        self._policy.record_first_token(place)

    def release(self, place) -> None:
        """Release a request at the current time."""
        self._policy.release(place)

    async def simulate_arrivals(
        self, tokens: int, arrivals: list[float]
    ) -> tuple[int, int, int]:
        """Simulate arrivals; refused requests retry after ``retry_after``.

        Engines prefill one request after the other. Returns the number of
        requests refused on arrival, and of the retries after the last
        arrival the numbers of admitted and refused ones.
        """
        free_at = [self.now] * len(self._engines)
        events = [
            (self.now + arrival, next(EVENT_NUMBERS), "arrives")
            for arrival in arrivals
        ]
        heapq.heapify(events)
        last_arrival = self.now + max(arrivals)
        counts = collections.Counter()
        while events:
            self.now, _, event = heapq.heappop(events)
            if isinstance(event, prefill_backlogs.AdmittedRequest):
                self.record_first_token(event)
                self.release(event)
                continue
            engine = self._request_count % len(free_at)
            outcome = await self.request_admission(tokens)
            admitted = not isinstance(outcome, reasons.Failure)
            late = self.now > last_arrival
            counts[event, late, admitted] += 1
            if admitted:
                start = max(self.now, free_at[engine])
                free_at[engine] = start + tokens / PREFILL_TOKENS_PER_SECOND
                end = free_at[engine] + STEP_SECONDS
                heapq.heappush(events, (end, next(EVENT_NUMBERS), outcome))
            elif event == "arrives":
                retry_at = self.now + outcome.retry_after
                heapq.heappush(
                    events, (retry_at, next(EVENT_NUMBERS), "returns")
                )
        return (
            counts["arrives", False, False],
            counts["returns", True, True],
            counts["returns", True, False],
        )

    def _make_engine(self, number: int) -> upstreams.Upstream:
        return upstreams.Upstream(
            record=hosts.HostRecord(
                host=f"engine-{number}",
                kind=hosts.HostKind.ENGINE,
                zone="zone-a",
                host_class="reclaimable",
                address="127.0.0.1:1",
                incarnation=1,
            ),
            engine=StubEngine(),
        )
