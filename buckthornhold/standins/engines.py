"""Stand-in of a model engine: batching, prefix cache, KV export."""

import asyncio
import collections
import json
import time
import uuid

from aiohttp import web

from buckthornhold.standins import caches
from buckthornhold.standins import engine_options
from buckthornhold.standins import jobs
from buckthornhold.standins import loads
from buckthornhold.standins import paces
from buckthornhold.standins import servers
from buckthornhold.standins import texts

BAD_VERSION_TOKENS = 2
SLOW_STEP_SECONDS = 0.25


class Engine(servers.StandIn):
    """A model engine on one address."""

    faults_model = engine_options.EngineFaults

    def __init__(
        self, *, address: str, options: engine_options.EngineOptions
    ) -> None:
        super().__init__(address=address)
        self._options = options
        self._queue: list[jobs.Job] = []
        self._running: list[jobs.Job] = []
        self._work = asyncio.Event()
        self._stepper: asyncio.Task | None = None
        self._salt = uuid.uuid4().hex
        self._jobs: dict[str, jobs.Job] = {}
        self._cache = caches.PrefixCache(capacity_tokens=options.cache_tokens)
        self._imports = caches.Imports(room=options.import_room)
        self._loads = loads.VersionLoads(options=options)
        self._fence = 0
        self._role = ""
        self._reported = (0.0, {})
        self._pace = paces.Pace(options=options)
        self._totals = collections.Counter()
        self._executions: list[dict] = []
        self._refusals: list[dict] = []

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the engine's routes."""
        router.add_post("/v1/generate", self._generate)
        router.add_post("/v1/resume", self._resume)
        router.add_post("/v1/cancel", self._cancel)
        router.add_post("/v1/kv/export", self._export_cache)
        router.add_post("/v1/kv/import", self._import_cache)
        router.add_post("/v1/load", self._show_load)
        router.add_get("/v1/cache/events", self._show_cache_events)
        router.add_post("/v1/orders", self._take_order)
        router.add_get("/state", self._show_state)
        router.add_get("/executions", self._show_executions)
        router.add_get("/refusals", self._show_refusals)

    async def start(self) -> None:
        """Listen and start the batch loop."""
        await super().start()
        self._stepper = asyncio.create_task(self._run_steps())

    async def stop(self) -> None:
        """Stop the batch loop and close every connection."""
        if self._stepper is not None:
            self._stepper.cancel()
        await super().stop()

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        order = await request.json()
        refusal = self._find_refusal(order)
        if refusal is not None:
            self._refusals.append(
                {
                    "time": time.time(),
                    "attempt": order["attempt"],
                    "leaving": self.faults.leaving,
                }
            )
            return refusal
        if self.faults.poison and self.faults.poison in order["prompt"]:
            servers.crash()
        self._totals["requests"] += 1
        self._executions.append(
            {
                "time": time.time(),
                "request_id": order["request_id"],
                "attempt": order["attempt"],
                "version": order["version"],
                "workspace": order["workspace"],
                "offset": len(order["emitted"]),
            }
        )
        badness = self._find_badness(order)
        if badness == "crash":
            servers.crash()
        if badness == "fail":
            return web.json_response({"detail": "bad version"}, status=500)
        job = self._enqueue(order)
        if badness == "truncate":
            job.truncate_after = BAD_VERSION_TOKENS
        return await self._stream(request, job, job.produced)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        job = self._jobs.get(body["request_id"])
        if job is None or body["offset"] > job.produced:
            return web.json_response({"detail": "not kept"}, status=404)
        self._totals["resumed"] += 1
        job.hand_to(body["attempt"])
        return await self._stream(request, job, body["offset"])

    def _find_refusal(self, order: dict) -> web.Response | None:
        if self.faults.down or self.faults.refuse_work or self.faults.leaving:
            detail = "leaving" if self.faults.leaving else "refused"
            pause = self.faults.retry_after
            fields = {"Retry-After": f"{pause:g}"} if pause else {}
            return web.json_response(
                {"detail": detail}, status=503, headers=fields
            )
        versions = self._options.models.get(order["model"], [])
        if order["version"] not in versions:
            return web.json_response({"detail": "not loaded"}, status=404)
        if len(self._queue) >= self._options.max_queued:
            return web.json_response(
                {"detail": "full"}, status=429, headers={"Retry-After": "1"}
            )
        return None

    def _find_badness(self, order: dict) -> str:
        badness = self.faults.bad_versions.get(order["version"], "")
        if not badness:
            return ""
        if self._totals["requests"] <= self.faults.bad_after:
            return ""
        if self._totals["requests"] % self.faults.bad_every:
            return ""
        if len(self._running) < self.faults.bad_when_running:
            return ""
        workspace = self.faults.bad_workspace
        if workspace and workspace != order["workspace"]:
            return ""
        return badness

    def _enqueue(self, order: dict) -> jobs.Job:
        emitted = len(order["emitted"])
        context = caches.count_tokens(order["prompt"]) + emitted
        imported = self._imports.take(order["request_id"], order["prompt"])
        if imported is not None:
            self._totals["imported"] += 1
            missing = max(0, emitted - imported.produced)
        else:
            missing = max(0, context - self._cache.use(order["prompt"]))
        self._totals["prefilled"] += missing
        if emitted:
            self._totals["moved_in"] += 1
            self._totals["moved_context"] += context
            self._totals["recomputed"] += missing
        job = jobs.Job(
            order=order,
            attempt=order["attempt"],
            prefill_tokens=missing,
            texts=list(order["emitted"]),
        )
        earlier = self._jobs.get(order["request_id"])
        if earlier is not None:
            earlier.cancel()
        self._jobs[order["request_id"]] = job
        self._queue.append(job)
        self._queue.sort(key=lambda queued: -queued.order["priority"])
        self._work.set()
        return job

    async def _stream(
        self, request: web.Request, job: jobs.Job, cursor: int
    ) -> web.StreamResponse:
        try:
            return await jobs.send(request, job, cursor, self.faults)
        finally:
            self._work.set()

    async def _run_steps(self) -> None:
        while True:
            if not self._queue and not self._running:
                self._work.clear()
                await self._work.wait()
            self._admit()
            prefill = self._plan_prefill()
            running = len(self._running)
            slow = self.faults.slow
            if any(
                self._find_badness(job.order) == "slow"
                for job in self._running
            ):
                slow += SLOW_STEP_SECONDS
            started = time.monotonic()
            await asyncio.sleep(
                self._options.step_base
                + running * self._options.step_per_running
                + sum(prefill.values()) * self._options.prefill_per_token
                + slow
            )
            self._pace.note_step(
                time.monotonic() - started, prefilled=sum(prefill.values())
            )
            for job in self._running:
                job.prefill_tokens -= prefill.get(id(job), 0)
                if job.prefill_tokens == 0:
                    self._step(job)
            self._running = [job for job in self._running if not job.over]
            self._forget_idle()

    def _forget_idle(self) -> None:
        now = time.monotonic()
        for request_id, job in list(self._jobs.items()):
            kept = self._options.keep_seconds
            if not job.ended:
                kept = self._options.orphan_seconds
            if job.idle_since and now - job.idle_since > kept:
                job.cancel()
            if job.cancelled:
                del self._jobs[request_id]

    def _plan_prefill(self) -> dict[int, int]:
        """Return the tokens to prefill in this step, by job."""
        room = self._options.prefill_chunk
        planned = {}
        for job in self._running:
            tokens = min(room, job.prefill_tokens)
            if tokens == 0:
                continue
            planned[id(job)] = tokens
            room -= tokens
        return planned

    def _admit(self) -> None:
        self._queue = [job for job in self._queue if not job.cancelled]
        while self._queue and len(self._running) < self._options.max_running:
            self._running.append(self._queue.pop(0))

    def _step(self, job: jobs.Job) -> None:
        order = job.order
        faults = self.faults
        if job.over or faults.down:
            return
        if faults.stall_after and job.produced >= faults.stall_after:
            return
        late_poison = faults.late_poison
        reached = job.produced >= faults.late_poison_after
        if late_poison and reached and late_poison in order["prompt"]:
            servers.crash()
        truncate_after = job.truncate_after or faults.truncate_after
        if truncate_after and job.produced >= truncate_after:
            job.cancel()
            return
        early = faults.answer_fault == "early_end" and job.produced > 0
        if early or job.produced >= order["max_tokens"]:
            job.ended = True
            job.changed.set()
            return
        job.texts.append(self._make_text(job))
        self._totals["produced"] += 1
        job.changed.set()

    def _make_text(self, job: jobs.Job) -> str:
        prompt = job.order["prompt"]
        if not self._options.sampled:
            return texts.make_token(prompt, job.produced)
        previous = job.texts[-1] if job.texts else ""
        return texts.sample_token(prompt, job.produced, previous, self._salt)

    async def _cancel(self, request: web.Request) -> web.Response:
        body = await request.json()
        job = self._jobs.get(body["request_id"])
        if job is not None and job.attempt == body["attempt"]:
            self._totals["cancelled"] += not job.over
            job.cancel()
            self._work.set()
        return web.json_response({})

    async def _export_cache(self, request: web.Request) -> web.Response:
        body = await request.json()
        for job in self._running:
            if job.order["request_id"] != body["request_id"]:
                continue
            blob = caches.export(job.order["prompt"], job.produced)
            context = caches.count_tokens(job.order["prompt"]) + job.produced
            await asyncio.sleep(context * self._options.kv_seconds_per_token)
            self._totals["exported"] += 1
            return web.json_response({"blob": blob})
        return web.json_response({"detail": "not running"}, status=404)

    async def _import_cache(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.faults.leaving:
            return web.json_response({"detail": "leaving"}, status=503)
        if self.faults.refuse_import or self._imports.full:
            return web.json_response({"detail": "no room"}, status=503)
        self._imports.add(body["request_id"], body["blob"])
        return web.json_response({})

    async def _show_load(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        if now - self._reported[0] > self._options.load_lag:
            report = {
                "running": len(self._running),
                "queued": len(self._queue) + self.faults.reported_queue,
                "cached_tokens": self._cache.tokens,
                "incarnation": self._options.incarnation,
                "leaving": self.faults.leaving,
                "versions": self._loads.names,
                "slots": self._options.max_running,
                "waiting_tokens": sum(
                    job.prefill_tokens for job in self._queue + self._running
                ),
                "prefill_rate": self._pace.prefill_rate,
                "step_seconds": self._pace.step_seconds,
            }
            self._reported = (now, report)
        return web.json_response(self._reported[1])

    async def _show_cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        events = self._cache.events
        return web.json_response(
            {"next": len(events), "events": events[after:]}
        )

    async def _take_order(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._options.checks_fence and body["fence"] < self._fence:
            return web.json_response({"detail": "old fence"}, status=409)
        self._fence = max(self._fence, body["fence"])
        if body["order"] == "load":
            self._loads.start(body["model"], body["version"])
        if body["order"] == "role":
            self._role = body["role"]
        self._totals["orders"] += 1
        return web.json_response({})

    async def _show_state(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "running": len(self._running),
                "queued": len(self._queue),
                "fence": self._fence,
                "role": self._role,
                "models": self._options.models,
                "totals": dict(self._totals),
            }
        )

    async def _show_executions(self, request: web.Request) -> web.Response:
        return web.json_response(self._executions)

    async def _show_refusals(self, request: web.Request) -> web.Response:
        return web.json_response(self._refusals)


def main() -> None:
    """Run an engine's stand-in."""
    arguments = servers.parse_arguments("Stand-in of a model engine")
    options = engine_options.EngineOptions(**json.loads(arguments.options))
    engine = Engine(address=arguments.address, options=options)
    servers.run_program(engine, faults=arguments.faults)


if __name__ == "__main__":
    main()
