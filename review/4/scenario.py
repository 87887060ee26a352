"""Calls reach a worker long after their clients have closed.

A worker goes dark; connections to it hang. Some clients leave early. Exits
with 1 if more than a few of their calls reach another worker over half a
second after that, 0 if not, and 2 if the case couldn't run.
"""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parents[1])]

from harness import deployments  # noqa: E402
from harness import gates  # noqa: E402

from buckthornhold.standins import users_platforms  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "entries-app"
HOSTS = 9
WORKERS = 3
WORK_SECONDS = 0.02
REQUESTS_PER_SECOND = 160
LENGTH_SECONDS = 85.0
DEADLINE_MS = 4000
#: Three clients in ten leave after so many seconds.
LEAVES_IN_TEN = 3
LEAVES_AFTER_SECONDS = 0.2
#: The rule: over half a second later, and more than a few.
LATE_SECONDS = 0.5
FEW = 5
#: A dark worker's entry lapses after three heartbeats.
LAPSE_SECONDS = 3 * deployments.BEAT_SECONDS
DARK_SECONDS = 5.0
CALM_SECONDS = 4.0


class Worker(users_platforms.WireWorker):
    """A worker that notes when a call begins to run."""

    def __init__(self, *, record: deployments.Record, **options) -> None:
        super().__init__(**options)
        self.work_seconds = WORK_SECONDS
        self.begun: list[tuple[str, float]] = []
        self._record = record

    def _note_run(self, request, body: str, word: str) -> None:
        super()._note_run(request, body, word)
        self.begun.append((self.ran[-1], self._record.now()))
        self._record.write(f"{self.ran[-1]} runs at {self.name}")


class Clients:
    """Sends payments; some clients leave early."""

    def __init__(self, *, deployment, record: deployments.Record) -> None:
        self._deployment = deployment
        self._record = record
        self.left: dict[str, float] = {}
        self.answers: dict[str, int] = {}

    async def run(self) -> None:
        """Send calls to all hosts in turn until the time is over."""
        ends_at = time.monotonic() + LENGTH_SECONDS
        number = 0
        tasks: set[asyncio.Task] = set()
        while time.monotonic() < ends_at:
            number += 1
            task = asyncio.create_task(self._send(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        await asyncio.gather(*tasks)
        self._record.write(
            f"sent {number}, answered {self.answers}, "
            f"{len(self.left)} clients left before an answer"
        )

    async def _send(self, number: int) -> None:
        request_id = f"pay-{number}"
        settings = self._deployment.settings[number % HOSTS]
        ip, _, port = settings["listen"]["callers"].partition(":")
        patience = DEADLINE_MS / 1000
        if number % 10 < LEAVES_IN_TEN:
            patience = LEAVES_AFTER_SECONDS
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(
            f"POST /pay/fee HTTP/1.1\r\nHost: {deployments.HOST_NAME}\r\n"
            f"Attempt-Id: {request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
            f"Authorization: Token {deployments.API_KEY}\r\n"
            "Content-Length: 3\r\nConnection: close\r\n\r\nfee".encode()
        )
        answer = "none"
        try:
            async with asyncio.timeout(patience):
                answer = (await reader.read())[9:12].decode() or "none"
        except (TimeoutError, OSError):
            self.left[request_id] = self._record.now()
            self._record.write(f"the client of {request_id} closes")
        writer.close()
        self.answers[answer] = self.answers.get(answer, 0) + 1


async def darken(deployment, record, doors: dict[str, gates.Gate]) -> None:
    """Have the workers go dark one after the other."""
    ends_at = time.monotonic() + LENGTH_SECONDS - CALM_SECONDS - DARK_SECONDS
    number = 0
    while True:
        await asyncio.sleep(CALM_SECONDS)
        if time.monotonic() >= ends_at:
            return
        name = f"i-{number % WORKERS}"
        number += 1
        record.write(f"worker {name} goes dark")
        doors[name].go_dark()
        fields = deployment.silence_worker(name)
        await asyncio.sleep(LAPSE_SECONDS)
        deployment.store.remove(f"servers/{name}")
        await asyncio.sleep(DARK_SECONDS - LAPSE_SECONDS)
        await doors[name].return_anew()
        born = int(time.time() * 1000)
        deployment.list_worker(name, **{**fields, "born": born})
        record.write(f"worker {name} is back")


async def play(record: deployments.Record) -> int:
    """Play the case; return how many calls came too late."""
    deployment = deployments.Deployment(hosts=HOSTS, record=record)
    doors = {}
    for number in range(WORKERS):
        name = f"i-{number}"
        worker = Worker(name=name, record=record)
        deployment.workers[name] = worker
        doors[name] = gates.Gate(target=await deployment.serve(worker.answer))
        await doors[name].open()
        deployment.list_worker(
            name,
            service=SERVICE,
            address=doors[name].address,
            zone=deployments.ZONES[number],
            version="v1",
            slots=6,
            state="ready",
            coldRemainingMs=0,
        )
    deployment.store.write(
        "op/config",
        deployments.make_configuration(
            routes=[
                {
                    "name": "entry-payment",
                    "pathPrefix": "/pay/",
                    "kind": "non_idempotent",
                    "service": SERVICE,
                    "timeoutMs": DEADLINE_MS,
                    "targetLatencyMs": 125,
                }
            ],
            services=[{"name": SERVICE, "maxConnections": 110}],
        ),
    )
    clients = Clients(deployment=deployment, record=record)
    try:
        await deployment.start()
        steps = [clients.run()]
        if TROUBLE:
            steps.append(darken(deployment, record, doors))
        await asyncio.gather(*steps)
    finally:
        await deployment.stop()
    late = 0
    for worker in deployment.workers.values():
        for request_id, at in worker.begun:
            left_at = clients.left.get(request_id)
            if left_at is not None and at - left_at > LATE_SECONDS:
                late += 1
                record.write(
                    f"LATE {request_id} ran at {worker.name} "
                    f"{at - left_at:.2f} s after its client had closed"
                )
    return late


def main() -> int:
    """Play the case and return the exit status."""
    record = deployments.Record(FOLDER / "record.txt")
    try:
        late = deployments.run(play(record))
    except (OSError, TimeoutError, asyncio.CancelledError) as error:
        record.write(f"the case couldn't run: {error!r}")
        return 2
    record.write(f"{late} calls ran too late, {FEW} are a few")
    return 1 if late > FEW else 0


if __name__ == "__main__":
    sys.exit(main())
