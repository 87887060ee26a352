"""Host list of the platform's stand-in, which shows changes with a lag."""

from collections.abc import Callable
import time

from aiohttp import web


class HostList:
    """The hosts and the notices of those that will be taken away.

    ``meter`` counts the calls, ``read_faults`` returns the current faults.
    """

    def __init__(
        self,
        *,
        hosts: list[dict],
        meter: dict[str, int],
        read_faults: Callable,
    ) -> None:
        self.hosts: dict[str, dict] = {host["host"]: host for host in hosts}
        self.notices: dict[str, dict] = {}
        self._meter = meter
        self._read_faults = read_faults
        self._listings: list[tuple[float, dict]] = []

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the list's routes."""
        router.add_get("/hosts", self._list_hosts)
        router.add_put("/hosts/{host}", self._put_host)
        router.add_delete("/hosts/{host}", self._remove_host)
        router.add_post("/notices", self._give_notice)
        router.add_put("/hosts/{host}/serves", self._put_serves)

    async def _list_hosts(self, request: web.Request) -> web.Response:
        self._meter["lists"] += 1
        if self._read_faults().list_down:
            return web.json_response({"detail": "down"}, status=503)
        now = time.monotonic()
        if not self._listings:
            self.record()
        while (
            len(self._listings) > 1
            and self._listings[1][0] <= now - self._read_faults().list_lag
        ):
            self._listings.pop(0)
        return web.json_response(self._listings[0][1])

    def record(self) -> None:
        """Record the list as it is from now on."""
        listing = {
            "hosts": list(self.hosts.values()),
            "notices": list(self.notices.values()),
        }
        self._listings.append((time.monotonic(), listing))

    async def _put_host(self, request: web.Request) -> web.Response:
        host = await request.json()
        self.hosts[request.match_info["host"]] = host
        self.record()
        return web.json_response({})

    async def _remove_host(self, request: web.Request) -> web.Response:
        self.hosts.pop(request.match_info["host"], None)
        self.notices.pop(request.match_info["host"], None)
        self.record()
        return web.json_response({})

    async def _give_notice(self, request: web.Request) -> web.Response:
        body = await request.json()
        host = self.hosts[body["host"]]
        self.hosts[body["host"]] = {**host, "state": "leaving"}
        self.notices[body["host"]] = {
            "host": body["host"],
            "incarnation": host["incarnation"],
            "seconds_left": body["seconds_left"],
        }
        self.record()
        return web.json_response({})

    async def _put_serves(self, request: web.Request) -> web.Response:
        host = request.match_info["host"]
        if host not in self.hosts:
            return web.json_response({"detail": "not listed"}, status=404)
        serves = (await request.json())["serves"]
        self.hosts[host] = {**self.hosts[host], "serves": serves}
        self.record()
        return web.json_response({})
