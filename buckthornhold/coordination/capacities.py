"""Capacities: the cheapest hosts that serve a demand, even after a reclaim.

All reclaimable hosts of a zone may be reclaimed at once, on a notice of
seconds, which is shorter than the start of a host. So the hosts that remain
without those of any one zone must be able to serve the whole demand.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from buckthornhold import clouds

#: Factor on the price of a held host when compared with a new one, so that
#: small price changes neither start nor release hosts.
HELD_PRICE_SHARE = 0.8

#: Number of hosts by the availability zone and the host class.
Counts = Mapping[tuple[str, str], int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Requirement:
    """Capacity that the hosts of one model version must provide.

    ``demand`` is the number of concurrent requests. ``host_load`` is how many
    of them one host serves within the latency target. Each of ``zones`` needs
    a host of its own, as network partitions may separate zones, and may have
    at most ``max_zone_hosts``.
    """

    demand: float
    host_load: float
    min_hosts: int
    max_hosts: int
    zones: tuple[str, ...] = ()
    max_zone_hosts: float = math.inf

    @property
    def min_surviving_hosts(self) -> int:
        """Hosts that must remain when one zone's reclaimable ones are lost."""
        return min(math.ceil(self.demand / self.host_load), self.max_hosts)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PricedOffer:
    """Hosts of an offer at one price, of which ``limit`` are available."""

    offer: clouds.Offer
    price: float
    limit: float


def get_placement(offer: clouds.Offer) -> tuple[str, str]:
    """Return the availability zone and the host class of an offer."""
    return (offer.zone, offer.host_class)


def count_missing_hosts(
    counts: Counts, requirement: Requirement, offers: Iterable[clouds.Offer]
) -> int:
    """Return how many hosts are missing to meet a requirement.

    Hosts of a class that isn't on offer count as reclaimable.
    """
    on_demand = {
        get_placement(offer) for offer in offers if not offer.reclaimable
    }
    reclaimable: collections.Counter[str] = collections.Counter()
    by_zone: collections.Counter[str] = collections.Counter()
    for (zone, host_class), count in counts.items():
        by_zone[zone] += count
        if (zone, host_class) not in on_demand:
            reclaimable[zone] += count
    total = sum(counts.values())
    remaining = total - max(reclaimable.values(), default=0)
    empty_zones = sum(not by_zone[zone] for zone in requirement.zones)
    return empty_zones + max(
        0,
        requirement.min_hosts - total,
        requirement.min_surviving_hosts - remaining,
    )


def choose_cheapest(
    requirement: Requirement,
    offers: Iterable[clouds.Offer],
    held: Counts,
    *,
    refused: Iterable[tuple[str, str]] = (),
) -> dict[tuple[str, str], int]:
    """Return the cheapest hosts that meet a requirement, by zone and class.

    With at most ``m`` reclaimable hosts in each zone,
    ``min_surviving_hosts + m`` hosts are needed in total; the cheapest
    allocation is computed for each ``m``. A refused offer counts only with
    the hosts that are already held. If no allocation meets the requirement,
    the closest one is returned.
    """
    priced_offers = _list_priced_offers(tuple(offers), held, set(refused))
    best: dict[tuple[str, str], int] = {}
    best_rank = (math.inf, math.inf)
    for max_reclaimable in range(
        max(requirement.min_surviving_hosts, requirement.min_hosts) + 1
    ):
        wanted = max(
            requirement.min_surviving_hosts + max_reclaimable,
            requirement.min_hosts,
        )
        allocation = _allocate_cheapest(
            priced_offers, requirement, wanted, max_reclaimable
        )
        rank = _compute_rank(allocation, priced_offers, requirement)
        if rank < best_rank:
            best, best_rank = allocation, rank
    return best


def find_surplus_placement(
    counts: Counts,
    wanted: Counts,
    requirement: Requirement,
    offers: Iterable[clouds.Offer],
) -> tuple[str, str] | None:
    """Return the placement of the most expensive host that can be released.

    Such a host is neither wanted nor needed; None if there is none.
    """
    offers = tuple(offers)
    prices = {get_placement(offer): offer.price for offer in offers}
    placements = sorted(
        counts, key=lambda placement: -prices.get(placement, math.inf)
    )
    for placement in placements:
        if counts[placement] <= wanted.get(placement, 0):
            continue
        without = {**counts, placement: counts[placement] - 1}
        if not count_missing_hosts(without, requirement, offers):
            return placement
    return None


def _list_priced_offers(
    offers: tuple[clouds.Offer, ...],
    held: Counts,
    refused: set[tuple[str, str]],
) -> list[_PricedOffer]:
    priced_offers = []
    for offer in offers:
        placement = get_placement(offer)
        count = held.get(placement, 0)
        price = offer.price * HELD_PRICE_SHARE
        priced_offers.append(
            _PricedOffer(offer=offer, price=price, limit=count)
        )
        if placement in refused:
            continue
        priced_offers.append(
            _PricedOffer(offer=offer, price=offer.price, limit=math.inf)
        )
    return sorted(priced_offers, key=lambda priced: priced.price)


def _allocate_cheapest(
    priced_offers: list[_PricedOffer],
    requirement: Requirement,
    wanted: int,
    max_reclaimable: int,
) -> dict[tuple[str, str], int]:
    """Allocate ``wanted`` hosts, beginning with one in each needed zone."""
    taken: collections.Counter[int] = collections.Counter()
    reclaimable: collections.Counter[str] = collections.Counter()
    by_zone: collections.Counter[str] = collections.Counter()

    def allocate(count: float, zone: str = "") -> int:
        remaining = count
        for index, priced in enumerate(priced_offers):
            if zone and priced.offer.zone != zone:
                continue
            amount = min(
                remaining,
                priced.limit - taken[index],
                requirement.max_zone_hosts - by_zone[priced.offer.zone],
            )
            if priced.offer.reclaimable:
                amount = min(
                    amount, max_reclaimable - reclaimable[priced.offer.zone]
                )
                reclaimable[priced.offer.zone] += amount
            taken[index] += amount
            by_zone[priced.offer.zone] += amount
            remaining -= amount
            if not remaining:
                break
        return count - remaining

    total = 0
    for zone in requirement.zones:
        total += allocate(min(1, requirement.max_hosts - total), zone)
    allocate(max(0, min(wanted, requirement.max_hosts) - total))
    allocation: collections.Counter[tuple[str, str]] = collections.Counter()
    for index, count in taken.items():
        if count:
            allocation[get_placement(priced_offers[index].offer)] += count
    return dict(allocation)


def _compute_rank(
    allocation: Counts,
    priced_offers: list[_PricedOffer],
    requirement: Requirement,
) -> tuple[int, float]:
    """Return how many hosts an allocation lacks, and its price."""
    missing = count_missing_hosts(
        allocation, requirement, [entry.offer for entry in priced_offers]
    )
    price = 0.0
    remaining = dict(allocation)
    for priced in priced_offers:
        placement = get_placement(priced.offer)
        count = min(remaining.get(placement, 0), priced.limit)
        price += count * priced.price
        remaining[placement] = remaining.get(placement, 0) - count
    return (missing, price)
