"""One worker sends line feeds without end in the body of its streams.

Clients send quick lookups and a few streams to three entry hosts. One of
three model workers is in trouble; the workers of the lookups are sound.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import fleet_2  # noqa: E402

TIMEOUT_SECONDS = 0.6
GRACE_SECONDS = 0.5
#: Clients wait longer than the route's timeout, to see what comes after it.
CLIENT_SECONDS = 3.0
#: Clients abandon a stream after eight times the pause of its route.
STREAM_GAP_SECONDS = 2.4
ROUNDS = 150
ROUND_SECONDS = 0.1
ROUNDS_PER_STREAM = 10


class FloodingWorker(fleet_2.Worker):
    """The process of ``flood.py``."""

    def __init__(self, *, record: fleet_2.Record, **options):
        super().__init__(**options)
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the process and read its address."""
        words = [] if fleet_2.is_troubled() else ["sound"]
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(pathlib.Path(__file__).with_name("flood.py")),
            self.name,
            *words,
            stdout=asyncio.subprocess.PIPE,
        )
        self.address = (await self._process.stdout.readline()).decode().strip()
        self._reading = asyncio.ensure_future(self._read())

    async def stop(self) -> None:
        """Kill the process."""
        self._process.kill()
        await self._process.wait()
        self._reading.cancel()

    async def _read(self) -> None:
        while line := await self._process.stdout.readline():
            self._record.write(f"{line.decode().strip()} run by {self.name}")


async def run(fleet: fleet_2.Fleet) -> bool:
    """Return whether the rule CONFIG held."""
    for number in range(2):
        await fleet.add_worker(
            f"plain-{number}", "desk", fleet_2.serve_plainly
        )
    for number in range(2):
        await fleet.add_worker(
            f"model-{number}", "models", fleet_2.serve_events
        )
    await fleet.add(
        FloodingWorker(
            name="model-2",
            service="models",
            zone=fleet_2.ZONES[0],
            record=fleet.record,
        )
    )
    fleet.routes = [
        fleet_2.make_route("look", "idempotent", "desk", maxAttempts=2),
        fleet_2.make_route(
            "chat",
            "streaming",
            "models",
            timeoutMs=4000,
            targetLatencyMs=500,
            gapAimMs=300,
        ),
    ]
    fleet.configure()
    await fleet.start()
    lookups: list[fleet_2.Answer] = []
    unready: list[str] = []

    async def look(host, request_id: str) -> None:
        data = fleet_2.make_request("/look/a", request_id, deadline_ms=3000)
        answer = await fleet_2.send(host.callers, data, timeout=CLIENT_SECONDS)
        fleet.record.write(f"{request_id} at {host.name}: {answer}")
        lookups.append(answer)

    async def chat(host, request_id: str) -> None:
        data = fleet_2.make_request("/chat/a", request_id, deadline_ms=4000)
        # No event follows the first one, so the gap begins at once.
        answer = await fleet_2.send(
            host.callers, data, timeout=STREAM_GAP_SECONDS
        )
        fleet.record.write(f"{request_id} at {host.name}: {answer}")

    async def check(host) -> None:
        if not await host.is_ready():
            fleet.record.write(f"{host.name} does not answer the balancer")
            unready.append(host.name)

    tasks = []
    begun = time.monotonic()
    for step in range(ROUNDS):
        for host in fleet.hosts:
            name = f"{step}-{host.name}"
            tasks.append(asyncio.ensure_future(look(host, f"look-{name}")))
            if step % ROUNDS_PER_STREAM == 0:
                tasks.append(asyncio.ensure_future(chat(host, f"chat-{name}")))
                tasks.append(asyncio.ensure_future(check(host)))
        lag = time.monotonic() - begun - step * ROUND_SECONDS
        await asyncio.sleep(max(0.0, ROUND_SECONDS - lag))
    await asyncio.gather(*tasks)
    late = [it for it in lookups if it.seconds > TIMEOUT_SECONDS]
    unanswered = [
        it for it in late if it.seconds > TIMEOUT_SECONDS + GRACE_SECONDS
    ]
    fleet.record.write(
        f"{len(lookups)} lookups, {len(late)} unanswered at the route's "
        f"timeout, {len(unanswered)} of them half a second later, "
        f"{len(unready)} of the balancer's questions unanswered"
    )
    return len(unanswered) * 2 <= len(late)


fleet_2.run_case(run)
