"""Fleet orders: the holder of the duty orders upstreams by demand."""

from collections.abc import Collection
import dataclasses

from buckthornhold import fleet_sizes
from buckthornhold import reasons
from buckthornhold import routes
from buckthornhold import tasks
from buckthornhold import usages
from buckthornhold.scheduling import cold_capacities

#: Time between two looks, in seconds; a notice of a reclaim leaves two.
INTERVAL = 0.25
#: A holder that has just taken over hears all demands within this, seconds.
SETTLE_SECONDS = 1.0


class FleetOrderer(tasks.PeriodicService):
    """Orders upstreams of the services that can be ordered."""

    def __init__(self, *, host, calls: usages.FencedClient) -> None:
        super().__init__(
            interval=INTERVAL, logger=host.logger, counters=host.counters
        )
        self._host = host
        self._calls = calls
        self._sizes: dict[str, fleet_sizes.FleetSize] = {}
        self._held_rounds = 0

    async def run_once(self) -> None:
        """Give the orders that are due."""
        current = self._host.configurations.current
        if not self._host.duty.held or current is None:
            self._held_rounds = 0
            self._sizes.clear()
            return
        self._held_rounds += 1
        if self._held_rounds * INTERVAL < SETTLE_SECONDS:
            return
        if not self._host.placements.known:
            # The configuration may arrive from a peer before the orders.
            return
        for service in current.services.values():
            if service.offer is not None:
                await self._order(service)

    async def _order(self, service: routes.Service) -> None:
        size = self._sizes.get(service.name)
        if size is None:
            size = fleet_sizes.FleetSize(service=service.name)
            self._sizes[service.name] = size
        demand = self._find_demand(service.name)
        # Evacuated zones are left as they are and bear no demand.
        evacuated = self._host.placements.evacuated
        offer = leave_zones(service.offer, evacuated)
        if not offer.zone_prices:
            return
        records = [
            it
            for it in self._host.directory.list_records()
            if it.service == service.name and it.zone not in evacuated
        ]
        cold = cold_capacities.assess(
            records,
            self._host.upstreams.cold.list_remaining(service.name),
            service,
        )
        orders = size.plan(
            offer=offer,
            demand=demand,
            records=cold.counted,
            moving=cold.any_cold or self._host.moves.is_moving(service.name),
            removed=[
                it
                for it in records
                if self._host.moves.removes(service.name, it.version)
            ],
        )
        for order in orders:
            if not self._host.duty.held:
                return
            if order.zone in self._host.placements.evacuated:
                continue
            count = cold.complete_count(
                order.count,
                zone=order.zone,
                reclaimable=order.kind == fleet_sizes.RECLAIMABLE,
                most=service.offer.most,
            )
            await self._give(service.name, size, order, count, demand)

    async def _give(self, service, size, order, count, demand) -> None:
        fence = self._host.duty.fence
        result = await self._calls.order_upstreams(
            service,
            order.zone,
            count,
            reclaimable=order.kind == fleet_sizes.RECLAIMABLE,
            fence=fence,
        )
        logger = self._logger.bind(step="order", peer=order.zone)
        text = (
            f"{count} {order.kind} of {service}, "
            f"demand {demand:.2f}, fence {fence}"
        )
        if result is None:
            self._counters.count_event("provisions.ordered")
            logger.info(text)
            size.record_order(order)
            return
        self._counters.count_event("provisions.refused")
        logger.bind(reason=result.reason.value).warning(
            f"{text}: {result.detail}"
        )
        if result.reason is not reasons.Reason.ORDER_REFUSED:
            size.record_unanswered(order)
        elif await self._host.duty.is_superseded():
            await self._host.duty.give_up()
        else:
            size.record_refusal(order)

    def _find_demand(self, service: str) -> float:
        """Return what callers ask of all hosts, in engine seconds a second."""
        demand = self._host.demands.read().get(service, 0.0)
        for summary in self._host.summaries.list_fresh():
            demand += summary.demands.get(service, 0.0)
        return demand


def leave_zones(
    offer: routes.Offer, evacuated: Collection[str]
) -> routes.Offer:
    """Return an offer without the evacuated zones."""
    prices = {
        zone: price
        for zone, price in offer.zone_prices.items()
        if zone not in evacuated
    }
    return dataclasses.replace(offer, zone_prices=prices)
