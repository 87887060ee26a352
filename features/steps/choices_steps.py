"""Steps for the choice of the cheapest sufficient hosts."""

import collections
import dataclasses
import itertools
import random

import behave

from buckthornhold import clouds
from buckthornhold.coordination import capacities

ZONES = ("zone-a", "zone-b", "zone-c")
RECLAIMABLE_BY_CLASS = {"reclaimable": True, "on-demand": False}
#: Bounds, in hosts, that allow a test of all possible allocations.
MAX_DEMAND_HOSTS = 3
MAX_HOSTS = 5


@dataclasses.dataclass(kw_only=True)
class Case:
    """A generated requirement, its offers and held hosts, and the choice."""

    need: capacities.Requirement
    offers: tuple[clouds.Offer, ...]
    held: dict
    refused: tuple
    chosen: dict


def generate_case(generator):
    offers = tuple(
        clouds.Offer(
            zone=zone,
            host_class=host_class,
            reclaimable=reclaimable,
            price=generator.uniform(0.5, 2.0) * (1 if reclaimable else 2),
        )
        for zone in ZONES
        for host_class, reclaimable in RECLAIMABLE_BY_CLASS.items()
        if generator.random() < 0.9
    )
    most = generator.randint(3, MAX_HOSTS)
    need = capacities.Requirement(
        demand=generator.uniform(0, MAX_DEMAND_HOSTS * 8),
        host_load=8,
        min_hosts=generator.randint(1, 3),
        max_hosts=most,
        zones=tuple(sorted({offer.zone for offer in offers}))
        if generator.random() < 0.5
        else (),
    )
    placements = [capacities.get_placement(offer) for offer in offers]
    held = collections.Counter(
        generator.choices(placements, k=generator.randint(0, 3))
    )
    refused = tuple(
        placement for placement in placements if generator.random() < 0.15
    )
    return Case(
        need=need,
        offers=offers,
        held=held,
        refused=refused,
        chosen=capacities.choose_cheapest(need, offers, held, refused=refused),
    )


def measure_price(counts, case):
    """Return the price of hosts, held ones at their reduced price."""
    total = 0.0
    for offer in case.offers:
        placement = capacities.get_placement(offer)
        count = counts.get(placement, 0)
        kept = min(count, case.held.get(placement, 0))
        share = capacities.HELD_PRICE_SHARE
        total += offer.price * (count - kept + kept * share)
    return total


def list_allocations(case):
    """Yield all possible allocations."""
    placements = [capacities.get_placement(offer) for offer in case.offers]
    for count in range(case.need.max_hosts + 1):
        for chosen in itertools.combinations_with_replacement(
            placements, count
        ):
            counts = collections.Counter(chosen)
            if all(
                counts[placement] <= case.held.get(placement, 0)
                for placement in case.refused
            ):
                yield counts


def find_missing(counts, case):
    return capacities.count_missing_hosts(counts, case.need, case.offers)


@behave.given("{count:d} requirements generated with seed {seed:d}")
def generate_cases(context, count, seed):
    print(f"seed {seed}")
    generator = random.Random(seed)
    context.cases = [generate_case(generator) for _ in range(count)]


@behave.then("each allocation costs as little as the best possible one")
def check_cheapest(context):
    compared = 0
    for case in context.cases:
        prices = [
            measure_price(counts, case)
            for counts in list_allocations(case)
            if not find_missing(counts, case)
        ]
        if not prices:
            assert find_missing(case.chosen, case), case
            continue
        compared += 1
        assert not find_missing(case.chosen, case), case
        price = measure_price(case.chosen, case)
        assert price <= min(prices) + 1e-9, (price, min(prices), case)
    print(f"{compared} of {len(context.cases)} could be met")
    assert compared > len(context.cases) / 2


@behave.then(
    "each allocation serves the demand without any zone's reclaimable hosts"
)
def check_survival(context):
    checked = 0
    for case in context.cases:
        if find_missing(case.chosen, case):
            continue
        checked += 1
        for zone in ZONES:
            left = sum(
                count
                for (
                    zone_of_placement,
                    host_class,
                ), count in case.chosen.items()
                if zone_of_placement != zone
                or not RECLAIMABLE_BY_CLASS[host_class]
            )
            assert left * case.need.host_load >= case.need.demand, case
    assert checked > len(context.cases) / 2


@behave.then("each allocation is within its bounds and uses available offers")
def check_bounds(context):
    for case in context.cases:
        total = sum(case.chosen.values())
        assert total <= case.need.max_hosts, case
        for placement in case.refused:
            assert case.chosen.get(placement, 0) <= case.held[placement], case
        if not find_missing(case.chosen, case):
            assert total >= case.need.min_hosts, case


@behave.then("releasing the surplus terminates and leaves enough hosts")
def check_surplus(context):
    released = 0
    for case in context.cases:
        if find_missing(case.chosen, case):
            continue
        counts = collections.Counter(case.chosen) + case.held
        while True:
            placement = capacities.find_surplus_placement(
                counts, case.chosen, case.need, case.offers
            )
            if placement is None:
                break
            released += 1
            counts[placement] -= 1
            assert counts[placement] >= case.chosen.get(placement, 0), case
            assert not find_missing(counts, case), case
        assert counts.total() == sum(case.chosen.values()), case
    assert released


@behave.when(
    "the hosts chosen with none held are held, and each price changes by up "
    "to {percent:d}%"
)
def change_prices(context, percent):
    generator = random.Random(percent)
    for case in context.cases:
        case.held = capacities.choose_cheapest(
            case.need, case.offers, {}, refused=case.refused
        )
        case.offers = tuple(
            dataclasses.replace(
                offer,
                price=offer.price
                * (1 + generator.uniform(-percent, percent) / 100),
            )
            for offer in case.offers
        )


@behave.then("no other hosts are chosen")
def check_unchanged(context):
    for case in context.cases:
        again = capacities.choose_cheapest(
            case.need, case.offers, case.held, refused=case.refused
        )
        new = collections.Counter(again) - collections.Counter(case.held)
        assert not new, (again, case)
