"""A host's room for model requests, driven directly with a set clock."""

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
#: Orders events of the same time.
EVENT_NUMBERS = itertools.count()
#: Turns of the event loop in which a load report arrives.
REPORT_LOOP_ITERATIONS = 5


class StubEngine:
    """Answers load reports; nothing else is asked of it."""

    def __init__(self) -> None:
        self.running = 0
        self.waiting_tokens = 0

    async def fetch_load(self) -> engines.Load:
        """Return what is set here."""
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
    """One entry host's room, with engines and other hosts on paper."""

    def __init__(
        self,
        *,
        engine_count: int,
        host_count: int,
        rule_set: rules.RuleSet | None = None,
        admission: str = "fair",
    ) -> None:
        self.now = 1000.0
        self._upstreams = [
            self._make_upstream(it) for it in range(engine_count)
        ]
        entry = types.SimpleNamespace(state=hosts.HostState.LIVE)
        self._host = types.SimpleNamespace(
            settings=types.SimpleNamespace(
                first_token_target=FIRST_TOKEN_TARGET_SECONDS
            ),
            rules=rule_set or rules.RuleSet(),
            upstreams=types.SimpleNamespace(
                entry_hosts=(entry,) * host_count,
                list_all=lambda: self._upstreams,
                list_engines=lambda model, version: self._upstreams,
            ),
        )
        self._host.loads = load_trackers.LoadTracker(
            host=self._host, interval=0.0
        )
        kind = admission_policies.POLICIES[admission]
        self._policy = kind(host=self._host, clock=lambda: self.now)
        self._request_count = 0

    @property
    def engines(self) -> list[upstreams.Upstream]:
        """The engines."""
        return self._upstreams

    @property
    def load_tracker(self) -> load_trackers.LoadTracker:
        """What the host knows of the engines."""
        return self._host.loads

    @property
    def next_engine(self) -> int:
        """Number of the engine that the next request is planned for."""
        return self._request_count % len(self._upstreams)

    @property
    def rate(self) -> float:
        """Tokens that all engines prefill in a second."""
        return PREFILL_TOKENS_PER_SECOND * len(self._upstreams)

    def count_usage_accounts(self) -> int:
        """Return how many accounts of shares the host keeps."""
        return self._policy.find_fair_shares(MODEL).line_count

    async def warm_up(self) -> None:
        """Have a report of each engine."""
        for upstream in self._upstreams:
            self._host.loads.refresh(upstream)
        for _ in range(REPORT_LOOP_ITERATIONS):
            await asyncio.sleep(0)

    async def request_admission(
        self, tokens: int, *, workspace: str = "booth", max_tokens: int = 20
    ):
        """Ask for room for a request with a new prompt."""
        attempt = self.make_attempt(tokens, workspace=workspace)
        place = self.admit(attempt, max_tokens=max_tokens)
        for _ in range(REPORT_LOOP_ITERATIONS):
            await asyncio.sleep(0)
        return place

    def admit(self, attempt: attempts.Attempt, *, max_tokens: int = 20):
        """Decide on a request whose attempt is planned."""
        return self._policy.admit(
            attempt.contract, max_tokens=max_tokens, attempt=attempt
        )

    def make_attempt(
        self, tokens: int, *, workspace: str = "booth"
    ) -> attempts.Attempt:
        """Plan a request with a new prompt at the next engine."""
        upstream = self._upstreams[self._request_count % len(self._upstreams)]
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
        """Have a request's first token come now."""
        self._policy.record_first_token(place)

    def release(self, place) -> None:
        """End a request now."""
        self._policy.release(place)

    async def drive(
        self, tokens: int, arrivals: list[float]
    ) -> tuple[int, int, int]:
        """Let requests arrive, and come back when they are told to.

        Engines prefill one request after the other. Returns how many were
        refused on arrival, and of the returns after the last arrival how
        many were taken and refused.
        """
        free_at = [self.now] * len(self._upstreams)
        events = [
            (self.now + at, next(EVENT_NUMBERS), "arrives") for at in arrivals
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
            taken = not isinstance(outcome, reasons.Failure)
            late = self.now > last_arrival
            counts[event, late, taken] += 1
            if taken:
                start = max(self.now, free_at[engine])
                free_at[engine] = start + tokens / PREFILL_TOKENS_PER_SECOND
                end = free_at[engine] + STEP_SECONDS
                heapq.heappush(events, (end, next(EVENT_NUMBERS), outcome))
            elif event == "arrives":
                back = self.now + outcome.retry_after
                heapq.heappush(events, (back, next(EVENT_NUMBERS), "returns"))
        return (
            counts["arrives", False, False],
            counts["returns", True, True],
            counts["returns", True, False],
        )

    def _make_upstream(self, number: int) -> upstreams.Upstream:
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
