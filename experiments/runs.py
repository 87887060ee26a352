"""Runs: one trace against one fleet, seen from outside."""

import asyncio
import dataclasses
import random
import time

import aiohttp

from experiments import engine_records
from experiments import results
from experiments import traces
from testbed import callers
from testbed import fleets

SETTLE_SECONDS = 2.0
#: How long before its end an engine's reclaim is announced.
NOTICE_SECONDS = 2.0

#: The engine's coefficients; docs/engine-model.md gives the reasons.
ENGINE_OPTIONS = {
    "step_base": 0.02,
    "step_per_running": 0.001,
    "prefill_per_token": 0.0001,
    "prefill_chunk": 256,
    "max_running": 16,
    "max_queued": 64,
    "cache_tokens": 16_000,
    "load_lag": 1.0,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What to run: a trace at a rate, and how the daemons are set.

    ``speed`` multiplies the trace's rate. ``replay`` keeps the trace's own
    order and times; else arrivals are a Poisson process with its rate and
    its mixture. ``reclaim_zone`` ends a zone's engines after half the time.
    ``warm_seconds`` at the trace's own rate go before, which are not
    counted, and ``after_seconds`` follow. A caller waits
    ``patience`` seconds for each token, and ``returns`` times sends a
    refused model request again when it was told to.
    """

    trace: traces.Trace
    seed: int
    speed: float = 1.0
    seconds: float = 20.0
    replay: bool = False
    settings: dict = dataclasses.field(default_factory=dict)
    entries_per_zone: int = 3
    engines_per_zone: int = 3
    services_per_zone: int = 1
    reclaim_zone: bool = False
    warm_seconds: float = 0.0
    after_seconds: float = 0.0
    returns: int = 0
    patience: float = 10.0

    @property
    def disturbed_at(self) -> float:
        """When the overload ends or the reclaim begins, in seconds."""
        return self.seconds / 2 if self.reclaim_zone else self.seconds

    @property
    def reclaimed_at(self) -> float:
        """When a reclaimed zone's engines are gone, in seconds."""
        return self.disturbed_at + NOTICE_SECONDS


def list_arrivals(plan: Plan) -> list[tuple[float, traces.Item]]:
    """Return the times and requests of a run, in order."""
    trace = plan.trace
    if plan.replay:
        return [
            (item.at / plan.speed, item)
            for item in trace.items
            if item.at / plan.speed < plan.seconds
        ]
    source = random.Random(plan.seed)
    rate = len(trace.items) / trace.header.seconds
    arrivals = []
    at = source.expovariate(rate) - plan.warm_seconds
    while at < plan.seconds + plan.after_seconds:
        arrivals.append((at, source.choice(trace.items)))
        speed = plan.speed if 0 <= at < plan.seconds else 1.0
        at += source.expovariate(rate * speed)
    return arrivals


class Replay:
    """Sends a plan's requests to a fleet and records what comes back."""

    def __init__(self, *, plan: Plan, fleet: fleets.Fleet) -> None:
        self._plan = plan
        self._fleet = fleet
        self._random = random.Random(f"balancer-{plan.seed}")
        self._result = results.Result(plan=plan)
        self._records = engine_records.EngineRecords()

    async def run(self) -> results.Result:
        """Run the whole plan and return what was seen."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            tasks = []
            if self._plan.reclaim_zone:
                tasks.append(asyncio.create_task(self._reclaim()))
            started = time.monotonic() + self._plan.warm_seconds
            self._records.started = time.time() + self._plan.warm_seconds
            for number, (at, item) in enumerate(list_arrivals(self._plan)):
                delay = started + at - time.monotonic()
                if delay > 0:
                    await asyncio.sleep(delay)
                send = self._send(session, number, at, item)
                tasks.append(asyncio.create_task(send))
            await asyncio.gather(*tasks)
        self._count_engines()
        self._result.memory_peak = max(
            entry.measure_peak_memory() for entry in self._fleet.entries
        )
        return self._result

    async def _reclaim(self) -> None:
        await asyncio.sleep(self._plan.warm_seconds + self._plan.seconds / 2)
        zone = self._fleet.zones[0]
        leaving = [it for it in self._fleet.engines if it.zone == zone]
        for engine in leaving:
            await asyncio.to_thread(
                self._fleet.give_notice, engine, NOTICE_SECONDS
            )
        await asyncio.sleep(NOTICE_SECONDS)
        for engine in leaving:
            await asyncio.to_thread(self._records.read, engine)
            engine.kill()

    async def _send(
        self, session, number: int, at: float, item: traces.Item
    ) -> None:
        entry = self._random.choice(self._fleet.entries)
        request_id = f"{self._plan.seed}-{number}"
        if item.kind == "call":
            answer = await self._send_call(
                session, entry.address, request_id, item
            )
            if at >= 0:
                self._result.take_call(answer)
            return
        for returns in range(self._plan.returns + 1):
            started = time.monotonic()
            chat = await self._send_chat(
                session, entry.address, request_id, item
            )
            told = (chat.error or {}).get("retry_after")
            self._result.returned += returns > 0
            self._result.returned_in_vain += returns > 0 and told is not None
            if told is None or returns == self._plan.returns:
                break
            await asyncio.sleep(told)
            entry = self._random.choice(self._fleet.entries)
        if at >= 0:
            self._result.take_chat(chat, at=at, started=started, item=item)

    async def _send_chat(
        self, session, address: str, request_id: str, item: traces.Item
    ) -> callers.Chat:
        return await callers.stream_chat(
            session,
            address,
            request_id=request_id,
            prompt=item.make_prompt(),
            max_tokens=item.max_tokens,
            model=self._plan.trace.header.model,
            workspace=item.workspace,
            patience=self._plan.patience,
        )

    async def _send_call(
        self, session, address: str, request_id: str, item: traces.Item
    ) -> callers.CallResult:
        return await callers.call_service(
            session,
            address,
            item.operation,
            request_id=request_id,
            body={"key": item.key},
            service=self._plan.trace.header.service,
            headers={"X-Workspace": item.workspace},
        )

    def _count_engines(self) -> None:
        for engine in self._fleet.engines:
            self._records.read(engine)
        least = self._records.count_least_prefill(list_arrivals(self._plan))
        self._result.prefilled = self._records.prefilled
        self._result.recomputed = self._records.prefilled - least
        self._result.attempts = self._records.find_attempts()
        self._result.engine_arrivals = self._records.count_arrivals()
        for entry in self._fleet.entries:
            counters = entry.operate("GET", "/counters").json()
            self._result.retries += sum(
                count
                for name, count in counters.items()
                if name.startswith("retries.")
            )
        runs = {}
        for execution in self._fleet.list_executions():
            request_id = execution["request_id"]
            runs[request_id] = runs.get(request_id, 0) + 1
        self._result.doubles = sum(
            count > 1
            for request_id, count in runs.items()
            if not self._is_repeatable(request_id)
        )

    def _is_repeatable(self, request_id: str) -> bool:
        number = int(request_id.rpartition("-")[2])
        operation = list_arrivals(self._plan)[number][1].operation
        return operation in ("heat-lookup", "stock")


def run_plan(plan: Plan) -> results.Result:
    """Start a fleet, run the plan against it and stop the fleet."""
    header = plan.trace.header
    fleet = fleets.Fleet(
        zones=header.zones,
        entries_per_zone=plan.entries_per_zone,
        engines_per_zone=plan.engines_per_zone,
        services_per_zone=plan.services_per_zone,
        model=header.model,
        service=header.service,
        rules_path=header.rules,
        engine_options=ENGINE_OPTIONS,
        settings=plan.settings,
    )
    try:
        fleet.start()
        time.sleep(SETTLE_SECONDS)
        return asyncio.run(Replay(plan=plan, fleet=fleet).run())
    finally:
        fleet.stop()
