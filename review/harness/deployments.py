"""Deployments: entry hosts as processes, with stand-ins around them.

The store and the workers are the project's own stand-ins, the rest is
written here. All addresses are loopback addresses, all ports free ones.
"""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import typing

import aiohttp
from aiohttp import web
import yarl

from buckthornhold.standins import users_platforms
from testbed import ports

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ("python3", "-m", "buckthornhold.platform")
# Connections that a case breaks are no errors of the stand-ins.
logging.getLogger("aiohttp").setLevel(logging.CRITICAL)

ZONES = ("zone-a", "zone-b", "zone-c")
API_KEY = "key-of-secretaries"
HOST_NAME = "desk.example"
START_TIMEOUT_SECONDS = 20.0
#: Workers write their entries about this often (heartbeatMs).
BEAT_SECONDS = 1.2
#: The bounds of the small deployments' sheets, in the file's own names.
BOUNDS = {
    "grace_seconds": 8,
    "retry_share": 0.2,
    "retry_reserve": 58,
    "limit_window": 8,
    "lease_seconds": 3.0,
    "usage_window": 5,
    "usage_late": 10,
    "exposure_share": 0.1,
    "config_seconds": 2.0,
    "entry_return_seconds": 2.0,
}


def make_configuration(
    *, routes: list[dict], services: list[dict], version: int = 3
) -> dict:
    """Return a configuration with one tenant, as the operator writes it."""
    return {
        "version": version,
        "routes": [
            {
                "host": HOST_NAME,
                "timeoutMs": 4000,
                "targetLatencyMs": 500,
                "maxAttempts": 1,
                "public": False,
                "resumable": False,
                **route,
            }
            for route in routes
        ],
        "services": [{"healthPath": "/health", **it} for it in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "secretaries", "apiKeys": [API_KEY]}],
    }


def run(play) -> typing.Any:
    """Run a case; SIGTERM ends it, and then its processes."""

    async def run_task():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await play

    return asyncio.run(run_task())


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write one line with its time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Deployment:
    """Entry hosts as processes, a store, a cloud and workers."""

    def __init__(self, *, hosts: int, record: Record, cloud=None) -> None:
        self.record = record
        self.store = users_platforms.WireStore()
        self.cloud = cloud or users_platforms.WireCloud()
        self.workers: dict[str, users_platforms.WireWorker] = {}
        self.processes: list[subprocess.Popen | None] = [None] * hosts
        self.settings: list[dict] = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._entries: dict[str, dict] = {}
        self._runners: list[web.ServerRunner] = []
        self._beats: asyncio.Task | None = None

    async def serve(self, answer) -> str:
        """Serve HTTP requests on a free port; return the address."""
        runner = web.ServerRunner(
            web.Server(answer, access_log=None), shutdown_timeout=0.1
        )
        await runner.setup()
        self._runners.append(runner)
        port = ports.find_free_port()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        return f"127.0.0.1:{port}"

    async def start(self, *, duties: tuple[str, ...] = ("usage",)) -> None:
        """Start the stand-ins and the processes; wait until all are ready."""
        store = await self.serve(self.store.answer)
        cloud = await self.serve(self.cloud.answer)
        peers = [f"127.0.0.1:{ports.find_free_port()}" for _ in self.processes]
        for number, peer in enumerate(peers):
            listen = [f"127.0.0.1:{ports.find_free_port()}" for _ in range(3)]
            zone = ZONES[number % len(ZONES)]
            self.settings.append(
                {
                    "host": f"front-{zone}-{number // len(ZONES) + 1}",
                    "zone": zone,
                    "region": "region",
                    "host_class": "front",
                    "zones": list(ZONES),
                    "listen": {
                        "callers": listen[0],
                        "ready": listen[1],
                        "peers": peer,
                        "metrics": listen[2],
                    },
                    "seeds": peers[:3],
                    "cloud": cloud,
                    "duties": list(duties),
                    "platform_timeout": 1.0,
                    "rules_watch_timeout": 1.5,
                    "role_term": 3.0,
                    "bounds": BOUNDS,
                    "platform": store,
                }
            )
        self._beats = asyncio.create_task(self._beat())
        for number in range(len(peers)):
            self.start_process(number)
        for number in range(len(peers)):
            await self.wait_ready(number)
        self.record.write(f"{len(peers)} processes are ready")

    def start_process(self, number: int) -> None:
        """Start one entry host with the deploy file's command."""
        name = self.settings[number]["host"]
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(self.settings[number]))
        command = list(PROGRAM)
        command[0] = sys.executable
        with (self._folder / f"{name}.log").open("a") as log:
            self.processes[number] = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "LANG": os.environ.get("LANG", ""),
                    "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
                    "BUCKTHORNHOLD_CONFIG": str(path),
                },
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, number: int) -> None:
        """Wait until a host says that it is ready."""
        address = self.settings[number]["listen"]["ready"]
        ends_at = time.monotonic() + START_TIMEOUT_SECONDS
        while not await self.is_ready(address):
            if time.monotonic() > ends_at:
                name = self.settings[number]["host"]
                lines = (self._folder / f"{name}.log").read_text().split("\n")
                self.record.write("\n".join(lines[-20:]))
                raise TimeoutError(f"{name} is not ready")
            await asyncio.sleep(0.1)

    async def is_ready(self, address: str) -> bool:
        """Ask a host whether it is ready, as the platform does."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                url = f"http://{address}/buckthornhold/readiness"
                async with session.get(url) as response:
                    return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def list_worker(self, name: str, **fields) -> None:
        """Write a worker's entry, now and at each beat."""
        self._entries[name] = fields
        self._write_entry(name)

    def silence_worker(self, name: str) -> dict:
        """Write a worker's entry no more; return its fields."""
        return self._entries.pop(name)

    async def drain_worker(self, name: str, *, seconds: float, **fields):
        """Have a worker say that it leaves, and take it away later."""
        if name not in self._entries:
            return
        self._entries[name] |= {"state": "draining", **fields}
        self._write_entry(name)
        await asyncio.sleep(seconds)
        del self._entries[name]
        self.store.remove(f"servers/{name}")

    def _write_entry(self, name: str) -> None:
        fields = self._entries[name]
        fields["sequence"] = fields.get("sequence", 0) + 1
        self.store.write(f"servers/{name}", fields)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            for name in list(self._entries):
                self._write_entry(name)

    async def stop(self) -> None:
        """End all processes that were started and all stand-ins."""
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if self._beats is not None:
            self._beats.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._beats
        for runner in self._runners:
            await runner.cleanup()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self._folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    async def send(
        self,
        number: int,
        target: str,
        *,
        request_id: str,
        method: str = "POST",
        body: bytes | None = b"body",
        deadline_ms: int = 4000,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes, bool]:
        """Send one request; return status, body and whether it is whole.

        The status is 0 if the connection ended without an answer.
        """
        address = self.settings[number]["listen"]["callers"]
        fields = {
            "Host": HOST_NAME,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {API_KEY}",
            **(headers or {}),
        }
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000)
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout, auto_decompress=False
        ) as session:
            status, content = 0, b""
            try:
                async with session.request(
                    method,
                    yarl.URL(f"http://{address}{target}", encoded=True),
                    data=body,
                    headers=fields,
                ) as response:
                    status = response.status
                    content = await response.read()
                    return status, content, True
            except (aiohttp.ClientError, TimeoutError, OSError):
                return status, content, False
