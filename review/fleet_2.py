"""Small deployment for review cases: the system's processes and stand-ins.

The entry hosts are the program of the deploy file. The store and the cloud
are the project's own stand-ins; workers and clients speak HTTP/1.1 on plain
sockets, so that a case decides about every byte. All addresses are loopback
addresses.
"""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(REPOSITORY / "target" / "deps"), str(REPOSITORY)]

from aiohttp import web  # noqa: E402

from buckthornhold.standins import users_clouds  # noqa: E402
from buckthornhold.standins import users_platforms  # noqa: E402

LOOPBACK = "127.0.0.1"
ZONES = ("port-of-spain", "chaguanas", "arima")
#: Bounds of the sheet of cvra-ops, by the names of deploy/settings.json.
BOUNDS = {
    "grace_seconds": 8,
    "retry_share": 0.2,
    "retry_reserve": 58,
    "limit_window": 8,
    "lease_seconds": 3,
    "usage_window": 5,
    "usage_late": 10,
    "exposure_share": 0.1,
    "config_seconds": 2,
    "limit_overage": 0.1,
    "limit_slack": 110000,
    "entry_return_seconds": 2.0,
}
HEARTBEAT_SECONDS = 1.2
START_SECONDS = 30.0
KEY = "key-of-the-club"
TENANT = "club"
HOST_NAME = "desk.example"


class Request:
    """One request as a worker has read it."""

    def __init__(self, line: str, fields: dict[str, str], body: bytes):
        self.method, self.target, _ = line.split(" ", 2)
        self.fields = fields
        self.body = body

    @property
    def id(self) -> str:
        """The client's id of the request."""
        return self.fields.get("attempt-id", "")


class Record:
    """The lines of record.txt, with the time since the start."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        passed = time.monotonic() - self._started
        self._file.write(f"{passed:8.3f} {text}\n")
        self._file.flush()


class Worker:
    """A worker that answers by ``serve(request, reader, writer)``."""

    def __init__(self, *, name: str, service: str, zone: str, serve=None):
        self.name = name
        self.service = service
        self.zone = zone
        self._serve = serve
        self.ran: collections.Counter[str] = collections.Counter()
        self.address = ""
        #: A worker that is cut off from the store writes nothing there.
        self.reaches_store = True
        self.server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.born = int(time.time() * 1000)
        self.sequence = 0

    def entry(self) -> dict:
        """Return the worker's entry in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._handle, LOOPBACK, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{port}"

    def crash(self) -> None:
        """Listen no more, and reset all connections."""
        self.server.close()
        for writer in list(self._writers):
            reset(writer)

    async def stop(self) -> None:
        """Listen no more."""
        if self.server is not None:
            self.server.close()

    async def _handle(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if request.fields.get("expect-instance") != self.name:
                    writer.write(
                        make_head(421, {"Attempt-Id": request.id}, length=0)
                    )
                    continue
                if not await self._serve(self, request, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


async def read_request(reader) -> Request | None:
    """Read one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, *rest = head.decode().rstrip("\r\n").split("\r\n")
    fields = {}
    for text in rest:
        name, _, value = text.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    return Request(line, fields, body)


def make_head(
    status: int, fields: dict[str, str], *, length: int | None = None
) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def make_answer_fields(worker: Worker, request: Request) -> dict[str, str]:
    """Return the headers that each answer of a worker has."""
    return {
        "Attempt-Id": request.id,
        "Server-Seal": f"seal-of-{worker.name}",
    }


async def serve_plainly(worker: Worker, request: Request, writer) -> bool:
    """Answer with 800 bytes, as a sound worker of a plain service does."""
    worker.ran[request.id] += 1
    await asyncio.sleep(0.02)
    body = b"x" * 800
    fields = make_answer_fields(worker, request)
    writer.write(make_head(200, fields, length=len(body)) + body)
    return True


async def serve_events(worker: Worker, request: Request, writer) -> bool:
    """Answer with a stream of eight events, as a sound model worker does."""
    worker.ran[request.id] += 1
    fields = make_answer_fields(worker, request)
    fields |= {"Content-Type": "text/event-stream", "Connection": "close"}
    writer.write(make_head(200, fields))
    for number in range(1, 9):
        await asyncio.sleep(0.02)
        writer.write(f"id: {number}\ndata: abc\n\n".encode())
        await writer.drain()
    return False


def make_route(name: str, kind: str, service: str, **more) -> dict:
    """Return a route whose path begins with its name."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 600,
        "targetLatencyMs": 125,
        "priority": 3,
        "service": service,
        "maxAttempts": 1,
        **more,
    }


class EntryHost:
    """One process of the system."""

    def __init__(self, *, settings: dict, folder: pathlib.Path):
        self.settings = settings
        self.name = settings["host"]
        self.log = folder / f"{self.name}.log"
        self._path = folder / f"{self.name}.json"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def callers(self) -> tuple[str, int]:
        """The address for clients."""
        ip, _, port = self.settings["listen"]["callers"].partition(":")
        return ip, int(port)

    async def start(self) -> None:
        """Start the process by the command of the deploy file."""
        self._path.write_text(json.dumps(self.settings))
        path = f"{REPOSITORY / 'target' / 'deps'}:{REPOSITORY}"
        with self.log.open("a") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "buckthornhold.platform",
                cwd=REPOSITORY,
                env={
                    **os.environ,
                    "PYTHONPATH": path,
                    "BUCKTHORNHOLD_CONFIG": str(self._path),
                },
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self, timeout: float = 1.0) -> bool:
        """Ask as the platform's balancer does."""
        ip, _, port = self.settings["listen"]["ready"].partition(":")
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(
                    b"GET /buckthornhold/readiness HTTP/1.1\r\n"
                    b"Host: r\r\nConnection: close\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class Fleet:
    """The store, the cloud, workers and entry hosts of one case."""

    def __init__(self, *, folder: pathlib.Path):
        self.record = Record(folder / "record.txt")
        self.store = users_platforms.WireStore()
        self.cloud = users_clouds.WireCloud()
        self.workers: list[Worker] = []
        self.hosts: list[EntryHost] = []
        self.routes: list[dict] = []
        self.tenants = [{"name": TENANT, "apiKeys": [KEY]}]
        self.version = 0
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._runners: list[web.ServerRunner] = []
        self._tasks: list[asyncio.Task] = []

    async def serve(self, answer) -> str:
        """Serve a stand-in of the platform; return its address."""
        runner = web.ServerRunner(
            web.Server(answer, access_log=None), shutdown_timeout=0.1
        )
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, LOOPBACK, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        return f"{LOOPBACK}:{port}"

    async def add_worker(
        self, name: str, service: str, serve, zone: str = ZONES[0]
    ) -> Worker:
        """Start a worker and list it."""
        worker = Worker(name=name, service=service, zone=zone, serve=serve)
        await self.add(worker)
        return worker

    async def add(self, worker: Worker) -> None:
        """Start a worker of any kind and list it."""
        await worker.start()
        self.workers.append(worker)
        self.store.write(f"servers/{worker.name}", worker.entry())

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 3
        services = sorted({route["service"] for route in self.routes})
        self.store.write(
            "op/config",
            {
                "version": self.version,
                "routes": self.routes,
                "services": [
                    {"name": name, "maxConnections": 110} for name in services
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 4194304,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
                "tenants": self.tenants,
            },
        )

    async def start(self, *, hosts: int = 3) -> None:
        """Start the platform and the entry hosts; wait until all serve."""
        store = await self.serve(self.store.answer)
        cloud = await self.serve(self.cloud.answer)
        self._tasks.append(asyncio.ensure_future(self._beat()))
        ports = find_free_ports(4 * hosts)
        addresses = [f"{LOOPBACK}:{port}" for port in ports]
        peers = addresses[:hosts]
        for number in range(hosts):
            listen = addresses[hosts + 3 * number : hosts + 3 * number + 3]
            settings = {
                "host": f"front-{number}",
                "zone": ZONES[number % len(ZONES)],
                "region": "tt-north",
                "host_class": "front",
                "zones": ZONES,
                "zone_regions": dict.fromkeys(ZONES, "tt-north"),
                "listen": {
                    "callers": listen[0],
                    "ready": listen[1],
                    "peers": peers[number],
                    "metrics": listen[2],
                },
                "seeds": peers[:3],
                "cloud": cloud,
                "duties": ["usage", "scale"],
                "memory_limit": 300000000,
                "platform_timeout": 1.0,
                "rules_watch_timeout": 1.5,
                "role_term": 3.0,
                "bounds": BOUNDS,
                "platform": store,
            }
            self.hosts.append(EntryHost(settings=settings, folder=self.folder))
        for host in self.hosts:
            await host.start()
        ends = time.monotonic() + START_SECONDS
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > ends:
                    raise RuntimeError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)
        # The hosts find each other, and the platform's bounds pass.
        await asyncio.sleep(3.0)
        self.record.write("all entry hosts are ready")

    async def stop(self) -> None:
        """End all that was started."""
        for host in self.hosts:
            host.send(signal.SIGCONT)
            host.send(signal.SIGKILL)
            if host.process is not None:
                await host.process.wait()
        for task in self._tasks:
            task.cancel()
        for worker in self.workers:
            await worker.stop()
        for runner in self._runners:
            await runner.cleanup()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for worker in self.workers:
                if worker.reaches_store:
                    self.store.write(f"servers/{worker.name}", worker.entry())


def find_free_ports(count: int) -> list[int]:
    """Return free ports below the ephemeral range."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(12000, 31000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((LOOPBACK, port))
            if port not in found:
                found.append(port)
    return found


class Answer:
    """What a client received."""

    def __init__(self):
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.seconds = 0.0

    def __str__(self) -> str:
        end = "complete" if self.complete else f"incomplete {self.error}"
        return (
            f"status {self.status}, {len(self.body)} bytes, {end}, "
            f"{self.seconds:.3f} s"
        )


def make_request(
    path: str,
    request_id: str,
    *,
    method: str = "POST",
    body: bytes = b"",
    deadline_ms: int = 600,
    fields: dict[str, str] | None = None,
) -> bytes:
    """Return the bytes of a client's request."""
    lines = {
        "Host": HOST_NAME,
        "Attempt-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
        "Content-Length": str(len(body)),
        **(fields or {}),
    }
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return head.encode() + b"\r\n" + body


async def read_answer(reader, answer: Answer) -> None:
    """Read one answer, as far as it comes."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, *rest = head.decode().rstrip("\r\n").split("\r\n")
    answer.status = int(line.split(" ")[1])
    for text in rest:
        name, _, value = text.partition(":")
        answer.fields[name.strip().lower()] = value.strip()
    if answer.fields.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in answer.fields:
        left = int(answer.fields["content-length"])
        while left:
            part = await reader.read(min(left, 65536))
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            answer.body += part
            left -= len(part)
    else:
        answer.body = await reader.read(-1)
    answer.complete = True


async def send(
    address: tuple[str, int], data: bytes, *, timeout: float
) -> Answer:
    """Send a request on a new connection; return what came back."""
    answer = Answer()
    started = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            await read_answer(reader, answer)
    except TimeoutError:
        answer.error = "(gave up)"
    except (OSError, EOFError, ValueError) as error:
        answer.error = f"({type(error).__name__})"
    finally:
        if writer is not None:
            writer.close()
    answer.seconds = time.monotonic() - started
    return answer


def is_troubled() -> bool:
    """Tell whether the case is to cause its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case) -> None:
    """Run ``case(fleet)``, which returns whether the rule held; exit."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent

    async def run() -> int:
        # Whoever stops the script early ends its processes as well.
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        fleet = Fleet(folder=folder)
        try:
            async with asyncio.timeout(110):
                held = await case(fleet)
        except Exception as error:
            fleet.record.write(f"could not run: {error!r}")
            return 2
        finally:
            await fleet.stop()
        fleet.record.write("the rule held" if held else "the rule was broken")
        return 0 if held else 1

    sys.exit(asyncio.run(run()))
