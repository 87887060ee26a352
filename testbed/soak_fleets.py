"""Soak fleets: relay hosts as processes, behind links that can be harmed."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

from aiohttp import web

from buckthornhold.standins import users_platforms
from testbed import clock_steps
from testbed import ports
from testbed import relay_fleets
from testbed import soak_histories
from testbed import soak_links

ZONES = ("a", "b", "c")
PLAIN_WORKERS = 4
MODEL_WORKERS = 4
#: A key that the operator takes away and gives back.
SECOND_KEY = "key-that-comes-and-goes"
GRACE_SECONDS = 3.0
#: What workers take for each request when nothing slows them, in seconds; so
#: that faults meet requests that are being worked on.
WORK_SECONDS = 0.03
#: A machine may be far busier than hosts are; who isn't ready, or has not
#: ended, after so many seconds hangs.
HANG_SECONDS = 30.0


class SoakWorker(users_platforms.WireWorker):
    """A worker that writes into a history what it has begun."""

    def __init__(self, *, history: soak_histories.History, **kwargs) -> None:
        super().__init__(**kwargs)
        self.work_seconds = WORK_SECONDS
        self._history = history

    def _note_run(
        self, request: web.BaseRequest, body: str, word: str
    ) -> None:
        super()._note_run(request, body, word)
        found = self._history.requests.get(self.ran[-1])
        if found is None:
            self._history.unasked.append(self.ran[-1])
            return
        found.runs.append(
            soak_histories.Run(
                upstream=self.name,
                at=time.monotonic(),
                method=request.method,
                path=request.raw_path,
                body=body,
                workspace=request.headers.get("Tenant", ""),
                odd=word != "200",
            )
        )


class SoakHost:
    """One relay host: its process, settings file and log."""

    def __init__(
        self, *, name: str, settings: dict, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.settings = settings
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.json"
        self._process: subprocess.Popen | None = None
        self.busy = False
        self.unasked_ends: list[int] = []

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def process_id(self) -> int:
        """The system's number of the process that was started last."""
        return self._process.pid

    async def start(self) -> None:
        """Start the process, and wait until it takes signals.

        Before its first lines run, signals do what they do by default.
        """
        starts = self._count_starts()
        self._spawn()
        waits_until = time.monotonic() + HANG_SECONDS
        while self.running and self._count_starts() == starts:
            if time.monotonic() > waits_until:
                return
            await asyncio.sleep(0.01)

    def _spawn(self) -> None:
        self._settings_path.write_text(json.dumps(self.settings))
        with self.log_path.open("a") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "testbed.clock_steps"],
                env={
                    **os.environ,
                    "BUCKTHORNHOLD_CONFIG": str(self._settings_path),
                },
                stdout=log,
                stderr=log,
            )

    def _count_starts(self) -> int:
        if not self.log_path.exists():
            return 0
        return self.log_path.read_text().count(clock_steps.BEGUN)

    def send(self, number: signal.Signals) -> None:
        """Send a signal; one that has ended by itself is noted."""
        if not self.running:
            self.note_end()
            return
        self._process.send_signal(number)

    def note_end(self) -> None:
        """Note that the process has ended, and nobody told it to."""
        self.unasked_ends.append(self._process.returncode)

    async def end(self, number: signal.Signals) -> int:
        """Send a signal that ends the process; return its exit status."""
        self.send(number)
        waits_until = time.monotonic() + HANG_SECONDS
        while self._process.poll() is None:
            if time.monotonic() > waits_until:
                self._process.kill()
            await asyncio.sleep(0.02)
        return self._process.returncode


class SoakFleet(relay_fleets.RelayFleet):
    """Relay hosts as processes, with store, cloud and workers.

    Links stand between each host and the store, before each worker, between
    each host and its callers, and from each host to each other one.
    """

    def __init__(self, *, hosts: int, folder: pathlib.Path) -> None:
        super().__init__(hosts=hosts, grace_seconds=GRACE_SECONDS)
        # Everything runs in the loop of the soak.
        self.loop.close()
        self.store.era = 0
        self.history = soak_histories.History(
            workspace="shops", events=relay_fleets.EVENTS, seals={}
        )
        self.processes: list[SoakHost] = []
        self.caller_links: list[soak_links.Link] = []
        self.keys = [relay_fleets.API_KEY, SECOND_KEY]
        self._folder = folder

    async def begin(self) -> None:
        """Start all and wait until each host is ready."""
        store = await self._serve(self.store.answer)
        cloud = await self._serve(self.cloud.answer)
        for number in range(MODEL_WORKERS):
            await self.add_worker(f"model-{number}", relay_fleets.EVENTS)
        for number in range(PLAIN_WORKERS):
            await self.add_worker(f"plain-{number}", 0)
        self.write_configuration()
        peers = [
            f"127.0.0.1:{ports.find_free_port()}"
            for _ in range(self._host_count)
        ]
        for number, peer in enumerate(peers):
            store_link = await self._open_link(store)
            self.store_links.append(store_link)
            settings = self._make_settings(number, peer, peers)
            settings |= {
                "platform": store_link.address,
                "cloud": cloud,
                "translations": await self._open_peer_links(number, peers),
            }
            self.caller_links.append(
                await self._open_link(settings["listen"]["callers"])
            )
            self.processes.append(
                SoakHost(
                    name=settings["host"],
                    settings=settings,
                    folder=self._folder,
                )
            )
        await asyncio.gather(*(it.start() for it in self.processes))
        await self.wait_ready()

    async def end(self) -> None:
        """End all processes, by their ids, and close everything."""
        for process in self.processes:
            if process.running:
                await process.end(signal.SIGKILL)
        links = [*self.store_links, *self.caller_links]
        links += [*self.upstream_links.values(), *self.peer_links.values()]
        for link in links:
            await link.stop()
        for runner in self._runners:
            await runner.cleanup()

    async def wait_ready(self) -> bool:
        """Wait until each host takes requests; False if one hangs."""
        waits_until = time.monotonic() + HANG_SECONDS
        while time.monotonic() < waits_until:
            answers = [await self._ask_ready(it) for it in self.processes]
            if all(answers):
                return True
            await asyncio.sleep(0.1)
        return False

    async def _ask_ready(self, process: SoakHost) -> bool:
        ip, _, port = process.settings["listen"]["ready"].partition(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return False
        writer.write(
            b"GET /buckthornhold/readiness HTTP/1.1\r\nHost: r\r\n"
            b"Connection: close\r\n\r\n"
        )
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    def write_configuration(self) -> None:
        """Write the next version with the keys that hold now."""
        self.configure(keys=self.keys)

    async def add_worker(
        self, name: str, events: int, version: str = "v1"
    ) -> None:
        """Start a worker behind a link and list it."""
        worker = self._make_worker(name, events)
        self.workers[name] = worker
        self.history.seals[name] = f"seal-of-{name}"
        link = await self._open_link(await self._serve(worker.answer))
        self.upstream_links[name] = link
        self._addresses[name] = link.address
        self.list_worker(name, version=version)

    def _make_worker(self, name: str, events: int) -> SoakWorker:
        return SoakWorker(name=name, events=events, history=self.history)

    def list_zone_links(self, zone: str) -> list[soak_links.Link]:
        """Return the links of a zone's hosts to others and to the store."""
        inside = {
            number
            for number, process in enumerate(self.processes)
            if process.settings["zone"] == zone
        }
        crossing = [
            link
            for (source, target), link in self.peer_links.items()
            if (source in inside) != (target in inside)
        ]
        return crossing + [self.store_links[it] for it in sorted(inside)]

    def _make_settings(self, number: int, peer: str, peers: list[str]):
        listened = [ports.find_free_port() for _ in range(3)]
        return {
            "host": f"entry-{number}",
            "zone": ZONES[number % len(ZONES)],
            "zones": ZONES,
            "listen": {
                "callers": f"127.0.0.1:{listened[0]}",
                "ready": f"127.0.0.1:{listened[1]}",
                "peers": peer,
                "metrics": f"127.0.0.1:{listened[2]}",
            },
            "seeds": peers,
            "duties": ["usage", "scale"],
            "rules_watch_timeout": 1.0,
            "platform_timeout": 1.0,
            "role_term": 3.0,
            "bounds": self._bounds,
        }
