"""Engine loaders: engines take in a version by a holder's fenced orders."""

import asyncio
import dataclasses

from buckthornhold import reasons
from buckthornhold import upstreams
from buckthornhold.coordination import leases
from buckthornhold.coordination import orders


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadOrder:
    """An order to an engine to load a version of a model."""

    model: str
    version: str

    @property
    def name(self) -> str:
        """The version as load reports name it."""
        return f"{self.model}@{self.version}"


class EngineTarget(orders.Target):
    """A model engine that is ordered to load versions."""

    def __init__(
        self, *, upstream: upstreams.Upstream, checks_fence: bool
    ) -> None:
        self._engine = upstream.engine
        self.checks_fence = checks_fence
        self.name = upstream.name

    async def send(
        self, order: LoadOrder, *, fence: int, timeout: float
    ) -> None | reasons.Failure:
        """Send the order once, for at most ``timeout`` seconds."""
        body = {
            "order": "load",
            "model": order.model,
            "version": order.version,
        }
        try:
            async with asyncio.timeout(timeout):
                return await self._engine.give_order(body, fence=fence)
        except TimeoutError:
            return reasons.Failure(
                reason=reasons.Reason.UPSTREAM_TIMEOUT,
                step="give order",
                peer=self.name,
                ran=reasons.Ran.UNKNOWN,
            )

    async def is_applied(self, order: LoadOrder) -> bool | reasons.Failure:
        """Look whether the engine has the version or is loading it."""
        load = await self._engine.fetch_load()
        if isinstance(load, reasons.Failure):
            return load
        return order.name in load.versions


class EngineLoader:
    """Gives engines the order to load a version, a few at once.

    The weight store is limited, so that a few engines that load one after
    the other serve sooner than all would that load at once.
    """

    def __init__(self, *, host, keeper: leases.LeaderElector) -> None:
        self._host = host
        self._settings = host.settings
        self._orders = orders.OrderIssuer(
            elector=keeper,
            max_flight_seconds=host.settings.order_flight,
            counters=host.counters,
        )
        self._given: dict[tuple, asyncio.Task] = {}

    def load(
        self, order: LoadOrder, engines: list[upstreams.Upstream]
    ) -> None:
        """Start what is not loaded yet; to be called again and again."""
        missing = [
            it
            for it in engines
            if order.name not in it.record.serves and not it.leaving
        ]
        known = {(order, *it.key) for it in missing}
        for key in list(self._given):
            if key[0] == order and key not in known:
                del self._given[key]
        for upstream in missing[: self._settings.provision_loads]:
            key = (order, *upstream.key)
            if key in self._given:
                continue
            self._given[key] = self._host.background.start(
                self._give(order, upstream, key), step="load version"
            )

    async def _give(
        self, order: LoadOrder, upstream: upstreams.Upstream, key: tuple
    ) -> None:
        target = EngineTarget(
            upstream=upstream,
            checks_fence=self._settings.engines_check_fence,
        )
        result = await self._orders.issue(target, order)
        logger = self._host.logger.bind(step="load", peer=upstream.name)
        if not isinstance(result, reasons.Failure):
            logger.info(f"loads {order.name}")
            return
        logger.warning(f"not ordered to load: {result.reason.value}")
        self._given.pop(key, None)
