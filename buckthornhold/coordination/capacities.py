"""Capacities: the cheapest hosts that bear a demand, also after a reclaim.

A zone's reclaimable hosts may all go at once on a notice of seconds, which
is less than a start takes. So what is left without those of any one zone
must bear the demand alone.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from buckthornhold import clouds

#: Part of its price at which a host that is held competes with a new one, so
#: that small changes of price start and release nothing.
HELD_PRICE_SHARE = 0.8

#: Number of hosts by the availability zone and the host class.
Counts = Mapping[tuple[str, str], int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Requirement:
    """What the hosts of one model version must bear.

    ``demand`` is the number of requests at once and ``load`` how many of
    them one host bears within the latency target. Each of ``zones`` needs a
    host of its own, as zones may be cut off from each other.
    """

    demand: float
    host_load: float
    min_hosts: int
    max_hosts: int
    zones: tuple[str, ...] = ()

    @property
    def min_surviving_hosts(self) -> int:
        """Hosts that must be left when a zone's reclaimable ones go."""
        return min(math.ceil(self.demand / self.host_load), self.max_hosts)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PricedOffer:
    """Hosts of one offer at one price; ``limit`` is how many there are."""

    offer: clouds.Offer
    price: float
    limit: float


def get_placement(offer: clouds.Offer) -> tuple[str, str]:
    """Return the availability zone and the host class of an offer."""
    return (offer.zone, offer.host_class)


def count_missing_hosts(
    counts: Counts, need: Requirement, offers: Iterable[clouds.Offer]
) -> int:
    """Return how many hosts are missing for the demand, also after a loss.

    Hosts of a class that is not on offer are taken for reclaimable.
    """
    lasting = {get_placement(it) for it in offers if not it.reclaimable}
    lost: collections.Counter[str] = collections.Counter()
    found: collections.Counter[str] = collections.Counter()
    for (zone, host_class), count in counts.items():
        found[zone] += count
        if (zone, host_class) not in lasting:
            lost[zone] += count
    total = sum(counts.values())
    remaining = total - max(lost.values(), default=0)
    empty_zones = sum(not found[zone] for zone in need.zones)
    return empty_zones + max(
        0, need.min_hosts - total, need.min_surviving_hosts - remaining
    )


def choose_cheapest(
    need: Requirement,
    offers: Iterable[clouds.Offer],
    held: Counts,
    *,
    refused: Iterable[tuple[str, str]] = (),
) -> dict[tuple[str, str], int]:
    """Return the cheapest hosts that are enough, by zone and class.

    With at most ``m`` reclaimable hosts in a zone, ``remaining + m`` hosts
    are needed in all; the cheapest are found for each ``m``. Of a refused
    offer no more than what is held is counted on. When nothing that can be
    had is enough, what comes nearest is returned.
    """
    choices = _list_priced_offers(tuple(offers), held, set(refused))
    best: dict[tuple[str, str], int] = {}
    best_rank = (math.inf, math.inf)
    for most_lost in range(max(need.min_surviving_hosts, need.min_hosts) + 1):
        wanted = max(need.min_surviving_hosts + most_lost, need.min_hosts)
        found = _allocate_cheapest(choices, need, wanted, most_lost)
        rank = _compute_rank(found, choices, need)
        if rank < best_rank:
            best, best_rank = found, rank
    return best


def find_surplus_placement(
    counts: Counts,
    wanted: Counts,
    need: Requirement,
    offers: Iterable[clouds.Offer],
) -> tuple[str, str] | None:
    """Return the place of the dearest host that is not wanted nor needed."""
    offers = tuple(offers)
    prices = {get_placement(it): it.price for it in offers}
    places = sorted(counts, key=lambda it: -prices.get(it, math.inf))
    for place in places:
        if counts[place] <= wanted.get(place, 0):
            continue
        without = {**counts, place: counts[place] - 1}
        if not count_missing_hosts(without, need, offers):
            return place
    return None


def _list_priced_offers(
    offers: tuple[clouds.Offer, ...],
    held: Counts,
    refused: set[tuple[str, str]],
) -> list[_PricedOffer]:
    choices = []
    for offer in offers:
        place = get_placement(offer)
        count = held.get(place, 0)
        price = offer.price * HELD_PRICE_SHARE
        choices.append(_PricedOffer(offer=offer, price=price, limit=count))
        if place in refused:
            continue
        choices.append(
            _PricedOffer(offer=offer, price=offer.price, limit=math.inf)
        )
    return sorted(choices, key=lambda it: it.price)


def _allocate_cheapest(
    choices: list[_PricedOffer], need: Requirement, wanted: int, most_lost: int
) -> dict[tuple[str, str], int]:
    """Take ``wanted`` hosts, the first of each zone before all others."""
    taken: collections.Counter[int] = collections.Counter()
    lost: collections.Counter[str] = collections.Counter()

    def take(count: float, zone: str = "") -> int:
        left = count
        for number, choice in enumerate(choices):
            if zone and choice.offer.zone != zone:
                continue
            part = min(left, choice.limit - taken[number])
            if choice.offer.reclaimable:
                part = min(part, most_lost - lost[choice.offer.zone])
                lost[choice.offer.zone] += part
            taken[number] += part
            left -= part
            if not left:
                break
        return count - left

    total = 0
    for zone in need.zones:
        total += take(min(1, need.max_hosts - total), zone)
    take(max(0, min(wanted, need.max_hosts) - total))
    found: collections.Counter[tuple[str, str]] = collections.Counter()
    for number, count in taken.items():
        if count:
            found[get_placement(choices[number].offer)] += count
    return dict(found)


def _compute_rank(
    found: Counts, choices: list[_PricedOffer], need: Requirement
) -> tuple[int, float]:
    """Return how far hosts are from enough, and their price."""
    missing = count_missing_hosts(found, need, [it.offer for it in choices])
    price = 0.0
    left = dict(found)
    for choice in choices:
        place = get_placement(choice.offer)
        count = min(left.get(place, 0), choice.limit)
        price += count * choice.price
        left[place] = left.get(place, 0) - count
    return (missing, price)
