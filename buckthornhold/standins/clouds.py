"""Stand-in of the cloud API: offers, orders and releases of hosts.

What an order brings is one of the spare hosts, which run already and are
not on the host list. A delivered host is listed after ``start_seconds``; one
that is given back gets a notice and leaves the list after
``release_seconds``.
"""

import asyncio
from collections.abc import Callable
import time


class Cloud:
    """Keeps the orders of one platform.

    ``hosts`` and ``notices`` are the platform's own tables, of which
    ``record`` makes a new listing.
    """

    def __init__(
        self,
        *,
        options: dict,
        hosts: dict[str, dict],
        notices: dict[str, dict],
        record: Callable[[], None],
    ) -> None:
        self.offers: list[dict] = options.get("offers", [])
        self.history: list[dict] = []
        self._spares = {it["host"]: it for it in options.get("spares", [])}
        self._delivered: dict[str, str] = {}
        self._hosts = hosts
        self._notices = notices
        self._record = record
        self._given_back: set[str] = set()
        self._jobs: set[asyncio.Task] = set()

    def order(
        self, order_id: str, wanted: dict, *, refused: bool, seconds: float
    ) -> str | None:
        """Return the host of an order, None when none is started for it."""
        known = self._delivered.get(order_id)
        if known is not None or refused:
            return known
        for host, record in self._spares.items():
            if host in self._delivered.values():
                continue
            if record["zone"] != wanted["zone"]:
                continue
            if record["host_class"] != wanted["host_class"]:
                continue
            self._delivered[order_id] = host
            self._note("ordered", host, order_id, wanted["fence"])
            self._start(self._deliver(record, seconds))
            return host
        return None

    def release(self, host: str, fence: int, release_seconds: float) -> None:
        """Give notice to a host and take it off the list thereafter."""
        if host in self._delivered.values() and host not in self._hosts:
            self._given_back.add(host)
        if host not in self._hosts or host in self._notices:
            return
        self._note("released", host, "", fence)
        self._hosts[host] = {**self._hosts[host], "state": "leaving"}
        self._notices[host] = {
            "host": host,
            "incarnation": self._hosts[host]["incarnation"],
            "seconds_left": release_seconds,
        }
        self._record()
        self._start(self._remove(host, release_seconds))

    def _note(self, what: str, host: str, order_id: str, fence: int) -> None:
        self.history.append(
            {
                "time": time.time(),
                "what": what,
                "host": host,
                "order_id": order_id,
                "fence": fence,
            }
        )

    def _start(self, job) -> None:
        task = asyncio.create_task(job)
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

    async def _deliver(self, record: dict, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if record["host"] in self._given_back:
            return
        self._hosts[record["host"]] = record
        self._record()

    async def _remove(self, host: str, release_seconds: float) -> None:
        await asyncio.sleep(release_seconds)
        self._hosts.pop(host, None)
        self._notices.pop(host, None)
        self._record()
