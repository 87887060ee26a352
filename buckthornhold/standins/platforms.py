"""Stand-in of the platform: store, host list, cloud API, weight store."""

import asyncio
import json
import time

from aiohttp import web
import pydantic

from buckthornhold.standins import clouds
from buckthornhold.standins import host_lists
from buckthornhold.standins import servers
from buckthornhold.standins import store_copies

ERA = "Store-Era"
VALUE_LIMIT_BYTES = 1_000_000


class PlatformFaults(pydantic.BaseModel, extra="forbid"):
    """Faults of the platform.

    ``lose_answers`` counts writes whose answer is lost after they took
    effect; once ``down_after`` has been written, that answer is lost and the
    store is down. ``slow`` delays each store call, in seconds.
    ``writes_per_second`` and ``reads_per_second`` refuse calls above the
    rate when set. The cloud starts no host in ``refused_zones``, and none
    with ``refuse_starts``; with ``orders_down`` it shows its offers but
    answers no order.
    """

    store_down: bool = False
    list_down: bool = False
    cloud_down: bool = False
    orders_down: bool = False
    slow: float = 0.0
    lose_answers: int = 0
    down_after: str = ""
    refuse_starts: bool = False
    refused_zones: list[str] = []
    start_seconds: float = 0.5
    release_seconds: float = 1.0
    list_lag: float = 1.0
    writes_per_second: int = 0
    reads_per_second: int = 0
    weight_seconds: float = 1.0


class Platform(servers.StandIn):
    """The platform's services on one address."""

    faults_model = PlatformFaults

    def __init__(self, *, address: str, options: dict | None = None) -> None:
        super().__init__(address=address)
        options = options or {}
        #: None until the store names its era in its responses.
        self._era: int | None = options.get("era")
        self.copies = store_copies.StoreCopies(dump=self._dump_state)
        self._first_revision = 0
        self._revision = 0
        self._entries: dict[str, dict] = {}
        self._deleted: list[tuple[int, str]] = []
        self._changed = asyncio.Event()
        self._leases: dict[str, tuple[float, float]] = {}
        self._meter = {"reads": 0, "writes": 0, "watches": 0, "lists": 0}
        self._host_list = host_lists.HostList(
            hosts=options.get("hosts", []),
            meter=self._meter,
            read_faults=lambda: self.faults,
        )
        self._cloud = clouds.Cloud(
            options=options,
            hosts=self._host_list.hosts,
            notices=self._host_list.notices,
            record=self._host_list.record,
        )
        self._window = [0, 0, 0]
        self._history: list[dict] = []
        self._weights_free_at = 0.0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the platform's routes."""
        self._host_list.add_routes(router)
        router.add_get("/kv", self._list_entries)
        router.add_get("/kv/{key:.+}", self._get)
        router.add_put("/kv/{key:.+}", self._put)
        router.add_delete("/kv/{key:.+}", self._delete)
        router.add_get("/watch", self._watch)
        router.add_post("/leases", self._grant_lease)
        router.add_post("/leases/{lease_id}/keep", self._keep_lease)
        router.add_get("/cloud/offers", self._list_offers)
        router.add_put("/cloud/orders/{order_id}", self._order_host)
        router.add_get("/cloud/history", self._show_orders)
        router.add_delete("/cloud/hosts/{host}", self._release_host)
        router.add_get("/weights/{model}/{version}", self._load_weights)
        router.add_get("/meter", self._show_meter)
        router.add_get("/history", self._show_history)
        router.add_get("/dump", self._dump)
        router.add_post("/restore", self._restore)
        router.add_post("/restore-older", self._restore_older)

    def restore_state(self, state: dict) -> None:
        """Go back to a copy; revisions and leases are issued again."""
        self._revision = state["revision"]
        self._first_revision = self._revision
        self._entries = state["entries"]
        now = time.monotonic()
        self._leases = {
            lease_id: (now + ttl, ttl)
            for lease_id, ttl in state["leases"].items()
        }
        self._deleted.clear()
        self._era = (self._era or 0) + 1
        self.copies.clear()
        self._wake_watches()

    def _dump_state(self) -> dict:
        return {
            "revision": self._revision,
            "entries": self._entries,
            "leases": {
                lease_id: ttl for lease_id, (_, ttl) in self._leases.items()
            },
        }

    def make_headers(self) -> dict[str, str]:
        """Return the era, once the store names it."""
        return {} if self._era is None else {ERA: str(self._era)}

    async def _restore_older(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.restore_state(self.copies.find(body["seconds"]))
        return web.json_response({"revision": self._revision})

    async def _enter(self, request: web.Request, kind: str) -> None:
        self._meter[kind] += 1
        if kind == "writes":
            self.copies.record()
        self._check_rate(kind)
        if self.faults.slow:
            await asyncio.sleep(self.faults.slow)
        self._check_down()
        self._expire_leases()

    def _check_down(self) -> None:
        if self.faults.store_down:
            raise web.HTTPServiceUnavailable(
                text=json.dumps({"detail": "store is down"}),
                content_type="application/json",
            )

    def _check_rate(self, kind: str) -> None:
        second = int(time.monotonic())
        if self._window[0] != second:
            self._window = [second, 0, 0]
        position = 2 if kind == "writes" else 1
        self._window[position] += 1
        limit = self.faults.reads_per_second
        if kind == "writes":
            limit = self.faults.writes_per_second
        if limit and self._window[position] > limit:
            raise web.HTTPTooManyRequests(
                text=json.dumps({"detail": "rate limit"}),
                content_type="application/json",
            )

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease_id, (until, _) in list(self._leases.items()):
            if until > now:
                continue
            del self._leases[lease_id]
            for key, entry in list(self._entries.items()):
                if entry["lease_id"] == lease_id:
                    self._remove(key)

    def _remove(self, key: str) -> None:
        del self._entries[key]
        self._revision += 1
        self._deleted.append((self._revision, key))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer_write(self, request, body: dict) -> web.Response:
        key = request.match_info.get("key")
        if key and key == self.faults.down_after:
            self.faults.store_down = True
            servers.drop_connection(request)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            servers.drop_connection(request)
        return web.json_response(body)

    async def _get(self, request: web.Request) -> web.Response:
        await self._enter(request, "reads")
        key = request.match_info["key"]
        return web.json_response(self._show_entry(key))

    def _show_entry(self, key: str) -> dict:
        entry = self._entries.get(key)
        if entry is None:
            return {"key": key, "value": "", "version": 0}
        return {
            "key": key,
            "value": entry["value"],
            "version": entry["version"],
        }

    async def _list_entries(self, request: web.Request) -> web.Response:
        await self._enter(request, "reads")
        prefix = request.query["prefix"]
        return web.json_response(self._show_change(prefix, after=0))

    def _show_change(self, prefix: str, *, after: int) -> dict:
        entries = [
            self._show_entry(key)
            for key, entry in self._entries.items()
            if key.startswith(prefix) and entry["version"] > after
        ]
        deleted = [
            key
            for revision, key in self._deleted
            if revision > after and key.startswith(prefix)
        ]
        return {
            "revision": self._revision,
            "entries": entries,
            "deleted": deleted,
        }

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.json()
        await self._enter(request, "writes")
        key = request.match_info["key"]
        if len(body["value"].encode()) > VALUE_LIMIT_BYTES:
            return web.json_response({"detail": "too large"}, status=413)
        version = self._show_entry(key)["version"]
        if body["expect"] is not None and body["expect"] != version:
            return web.json_response(
                {"detail": f"version is {version}"}, status=409
            )
        lease_id = body.get("lease_id")
        if lease_id and lease_id not in self._leases:
            return web.json_response({"detail": "no such lease"}, status=409)
        self._revision += 1
        self._entries[key] = {
            "value": body["value"],
            "version": self._revision,
            "lease_id": lease_id,
        }
        self._history.append(
            {"time": time.time(), "key": key, "version": self._revision}
        )
        self._wake_watches()
        return self._answer_write(request, {"version": self._revision})

    async def _delete(self, request: web.Request) -> web.Response:
        await self._enter(request, "writes")
        key = request.match_info["key"]
        version = self._show_entry(key)["version"]
        expect = request.query.get("expect")
        if expect is not None and int(expect) != version:
            return web.json_response(
                {"detail": f"version is {version}"}, status=409
            )
        if version:
            self._remove(key)
        return self._answer_write(request, {})

    async def _watch(self, request: web.Request) -> web.Response:
        await self._enter(request, "watches")
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        give_up_at = time.monotonic() + float(request.query["timeout"])
        while True:
            self._check_down()
            if self._era is not None and not (
                self._first_revision <= after <= self._revision
            ):
                return web.json_response({"detail": "gone"}, status=410)
            change = self._show_change(prefix, after=after)
            left = give_up_at - time.monotonic()
            if change["entries"] or change["deleted"] or left <= 0:
                return web.json_response(change)
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                # The watch's wait is over; the loop answers without changes.
                continue

    async def _grant_lease(self, request: web.Request) -> web.Response:
        body = await request.json()
        await self._enter(request, "writes")
        self._revision += 1
        lease_id = f"lease-{self._revision}"
        until = time.monotonic() + body["ttl"]
        self._leases[lease_id] = (until, body["ttl"])
        return self._answer_write(request, {"lease_id": lease_id})

    async def _keep_lease(self, request: web.Request) -> web.Response:
        await self._enter(request, "writes")
        lease_id = request.match_info["lease_id"]
        if lease_id not in self._leases:
            return web.json_response({"detail": "lapsed"}, status=409)
        ttl = self._leases[lease_id][1]
        self._leases[lease_id] = (time.monotonic() + ttl, ttl)
        return self._answer_write(request, {})

    async def _list_offers(self, request: web.Request) -> web.Response:
        if self.faults.cloud_down:
            return web.json_response({"detail": "down"}, status=503)
        return web.json_response({"offers": self._cloud.offers})

    async def _show_orders(self, request: web.Request) -> web.Response:
        return web.json_response(self._cloud.history)

    async def _order_host(self, request: web.Request) -> web.Response:
        if self.faults.cloud_down or self.faults.orders_down:
            return web.json_response({"detail": "down"}, status=503)
        wanted = await request.json()
        host = self._cloud.order(
            request.match_info["order_id"],
            wanted,
            refused=self.faults.refuse_starts
            or wanted["zone"] in self.faults.refused_zones,
            seconds=self.faults.start_seconds,
        )
        if host is None:
            return web.json_response({"detail": "no capacity"}, status=409)
        return self._answer_write(request, {"host": host})

    async def _release_host(self, request: web.Request) -> web.Response:
        if self.faults.cloud_down:
            return web.json_response({"detail": "down"}, status=503)
        self._cloud.release(
            request.match_info["host"],
            int(request.query["fence"]),
            self.faults.release_seconds,
        )
        return self._answer_write(request, {})

    async def _load_weights(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        start = max(now, self._weights_free_at)
        self._weights_free_at = start + self.faults.weight_seconds
        return web.json_response({"seconds": self._weights_free_at - now})

    async def _show_meter(self, request: web.Request) -> web.Response:
        return web.json_response(self._meter)

    async def _show_history(self, request: web.Request) -> web.Response:
        return web.json_response(self._history)

    async def _dump(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"revision": self._revision, "entries": self._entries}
        )

    async def _restore(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._revision = body["revision"]
        self._entries = body["entries"]
        self._wake_watches()
        return web.json_response({})


def main() -> None:
    """Run the platform's stand-in."""
    arguments = servers.parse_arguments("Stand-in of the platform")
    platform = Platform(
        address=arguments.address, options=json.loads(arguments.options)
    )
    servers.run_program(platform, faults=arguments.faults)


if __name__ == "__main__":
    main()
