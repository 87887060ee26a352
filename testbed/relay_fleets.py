"""Relay fleets: relay hosts and a stand-in for the platform in one loop."""

import asyncio
import time

import aiohttp
from aiohttp import web
import yarl

from buckthornhold import relay_hosts
from buckthornhold import relay_settings
from buckthornhold.platform import adapters
from buckthornhold.standins import users_clouds
from buckthornhold.standins import users_platforms
from testbed import dark_listeners
from testbed import ports
from testbed import soak_links

API_KEY = "key-of-shops"
MODEL_SERVICE = "models"
PLAIN_SERVICE = "orders"
EVENTS = 8
START_TIMEOUT_SECONDS = 10.0


class RelayFleet:
    """Relay hosts with a store, a cloud and upstreams.

    With ``linked``, the traffic of each host to the store, to each upstream
    and to each other host goes through links that can be disturbed.
    """

    route_timeout_ms = 2000

    def __init__(
        self, *, hosts: int = 1, linked: bool = False, **bounds: float
    ) -> None:
        self.loop = asyncio.new_event_loop()
        self.store = users_platforms.WireStore()
        self.cloud = users_clouds.WireCloud()
        self.workers: dict[str, users_platforms.WireWorker] = {}
        self.hosts: list[relay_hosts.RelayHost] = []
        self.version = 0
        self.store_links: list[soak_links.Link] = []
        self.upstream_links: dict[str, soak_links.Link] = {}
        self.peer_links: dict[tuple[int, int], soak_links.Link] = {}
        self._links: list[soak_links.Link] = []
        self._has_links = linked
        self._host_count = hosts
        self._bounds = {"grace_seconds": 3.0, "usage_window": 1.0, **bounds}
        self._runners: list[web.ServerRunner] = []
        self._dark: list[dark_listeners.DarkListener] = []
        self._addresses: dict[str, str] = {}
        self._request_number = 0

    def run(self, coroutine):
        """Run a coroutine on the fleet's event loop."""
        return self.loop.run_until_complete(coroutine)

    def start(self) -> None:
        """Start everything and wait until the hosts are ready."""
        self.run(self._start())

    def stop(self) -> None:
        """Stop everything."""
        self.run(self._stop())
        self.loop.close()

    async def _start(self) -> None:
        store = await self._serve(self.store.answer)
        cloud = await self._serve(self.cloud.answer)
        for name, events in (
            ("model-1", EVENTS),
            ("model-2", EVENTS),
            ("plain-1", 0),
            ("plain-2", 0),
        ):
            await self.add_worker(name, events)
        self.configure()
        self._platform = {"platform": store, "cloud": cloud}
        self._peers = [
            f"127.0.0.1:{ports.find_free_port()}"
            for _ in range(self._host_count)
        ]
        await self._start_hosts()

    async def _start_hosts(self, count: int | None = None) -> None:
        self.hosts = []
        for number, address in enumerate(self._peers[:count]):
            config = relay_settings.RelaySettings(
                host=f"entry-{number}",
                zone="a",
                zones=("a",),
                listen={
                    "callers": f"127.0.0.1:{ports.find_free_port()}",
                    "ready": f"127.0.0.1:{ports.find_free_port()}",
                    "peers": address,
                    "metrics": f"127.0.0.1:{ports.find_free_port()}",
                },
                seeds=tuple(self._peers),
                duties=("usage", "scale"),
                **self._make_timeouts(),
                bounds=self._bounds,
                **{**self._platform, **await self._make_links(number)},
            )
            host = relay_hosts.RelayHost(
                config=config, platform=adapters.PlatformAdapter()
            )
            self.hosts.append(host)
            await host.start()
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while not all(started.ready for started in self.hosts):
            assert time.monotonic() < deadline, "the relay hosts are not ready"
            await asyncio.sleep(0.02)

    def _make_timeouts(self) -> dict[str, float]:
        return {"rules_watch_timeout": 1.0}

    async def _make_links(self, number: int) -> dict:
        """Return the settings that route a host's traffic through links."""
        if not self._has_links:
            return {}
        store_link = await self._open_link(self._platform["platform"])
        self.store_links.append(store_link)
        return {
            "platform": store_link.address,
            "translations": await self._open_peer_links(number, self._peers),
        }

    async def _open_peer_links(
        self, number: int, peers: list[str]
    ) -> dict[str, str]:
        """Return the link address for each other host's address."""
        translations = {}
        for other, peer in enumerate(peers):
            if other != number:
                link = await self._open_link(peer)
                self.peer_links[number, other] = link
                translations[peer] = link.address
        return translations

    async def _open_link(self, target: str) -> soak_links.Link:
        link = soak_links.Link(target=target)
        await link.start()
        self._links.append(link)
        return link

    async def restart_hosts(self, *, count: int | None = None) -> None:
        """Stop all hosts without draining and start the first ones anew."""
        for host in self.hosts:
            await host.stop()
        await self._start_hosts(count)

    async def _stop(self) -> None:
        for host in self.hosts:
            await host.stop()
        for link in self._links:
            await link.stop()
        for runner in self._runners:
            await runner.cleanup()
        for listener in self._dark:
            listener.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    async def _serve(self, answer) -> str:
        runner = web.ServerRunner(
            web.Server(answer, access_log=None), shutdown_timeout=0.1
        )
        await runner.setup()
        self._runners.append(runner)
        port = ports.find_free_port()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        return f"127.0.0.1:{port}"

    async def add_worker(
        self, name: str, events: int, version: str = "v1"
    ) -> None:
        """Start an upstream and write its entry."""
        worker = self._make_worker(name, events)
        self.workers[name] = worker
        address = await self._serve(worker.answer)
        if self._has_links:
            self.upstream_links[name] = await self._open_link(address)
            address = self.upstream_links[name].address
        self._addresses[name] = address
        self.list_worker(name, version=version)

    def darken_worker(self, name: str) -> None:
        """Have connections to an upstream hang, as without power."""
        listener = dark_listeners.DarkListener()
        self._dark.append(listener)
        self._addresses[name] = listener.address
        self.list_worker(name)

    def _make_worker(
        self, name: str, events: int
    ) -> users_platforms.WireWorker:
        return users_platforms.WireWorker(name=name, events=events)

    def list_worker(
        self,
        name: str,
        state: str = "ready",
        version: str = "v1",
        born: int = 0,
        zone: str = "a",
        cold_seconds: float = 0.0,
    ) -> None:
        """Write an upstream's entry to the store."""
        events = self.workers[name].events
        self.store.write(
            f"servers/{name}",
            {
                "service": MODEL_SERVICE if events else PLAIN_SERVICE,
                "address": self._addresses[name],
                "zone": zone,
                "version": version,
                "slots": 8,
                "state": state,
                "coldRemainingMs": 1000 * cold_seconds,
                "sequence": 1,
                "born": born,
            },
        )

    def configure(
        self,
        *,
        keys=(API_KEY,),
        service=PLAIN_SERVICE,
        scale: dict | None = None,
        cold_rate: float = 0.0,
        **limits,
    ):
        """Write a configuration with the next version number.

        With ``scale``, upstreams of models can be ordered by these terms. Cold
        upstreams of plain services bear ``cold_rate`` requests a second.
        """
        scaled = {"scale": scale} if scale else {}
        self.version += 3
        kinds = (
            ("pay", "non_idempotent", service, 1, False),
            ("look", "idempotent", service, 2, False),
            ("chat", "streaming", MODEL_SERVICE, 1, False),
            ("ask", "streaming", MODEL_SERVICE, 2, True),
        )
        routes = [
            {
                "name": name,
                "host": "shop.example",
                "pathPrefix": f"/{name}/",
                "kind": kind,
                "timeoutMs": self.route_timeout_ms,
                "targetLatencyMs": 200,
                "service": target,
                "maxAttempts": attempts,
                "resumable": resumable,
                "gapAimMs": 300,
            }
            for name, kind, target, attempts, resumable in kinds
        ]
        self.store.write(
            "op/config",
            {
                "version": self.version,
                "routes": routes,
                "services": [
                    {"name": MODEL_SERVICE, "maxConnections": 50, **scaled},
                    {
                        "name": PLAIN_SERVICE,
                        "maxConnections": 50,
                        "coldPerS": cold_rate,
                    },
                ],
                "tenants": [
                    {"name": "shops", "apiKeys": list(keys), **limits}
                ],
            },
        )

    async def send(
        self,
        path: str,
        *,
        request_id: str = "",
        method: str = "POST",
        key: str | None = API_KEY,
        host: int = 0,
        body: bytes | None = b"body",
        headers: dict[str, str] | None = None,
    ) -> "ReceivedResponse":
        """Send one request and return the response."""
        self._request_number += 1
        request_headers = {
            "Host": "shop.example",
            "Attempt-Id": request_id or f"r-{self._request_number}",
            "Deadline-Ms": "1500",
            **(headers or {}),
        }
        if key is not None:
            request_headers["Authorization"] = f"Token {key}"
        address = self.hosts[host].settings.listen.callers
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            async with session.request(
                method,
                yarl.URL(f"http://{address}{path}", encoded=True),
                data=body,
                headers=request_headers,
            ) as response:
                received = ReceivedResponse(response)
                try:
                    received.body = await response.read()
                except aiohttp.ClientError:
                    received.broken = True
                return received


class ReceivedResponse:
    """The response that a client received."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.status = response.status
        self.headers = response.headers
        self.body = b""
        self.broken = False

    @property
    def event_ids(self) -> list[int]:
        """The event ids in the body."""
        return [
            int(line[3:])
            for line in self.body.split(b"\n")
            if line.startswith(b"id:")
        ]
