"""Steps on the choice of hosts to hold."""

import collections
import dataclasses
import itertools
import random

import behave

from buckthornhold import clouds
from buckthornhold.coordination import capacities

ZONES = ("zone-a", "zone-b", "zone-c")
CLASSES = {"reclaimable": True, "on-demand": False}
#: Demands up to this many hosts' worth, so that all mixtures can be tried.
MOST_REMAINING = 3
MOST = 5


@dataclasses.dataclass(kw_only=True)
class Drawn:
    """One need with the offers and what is held already."""

    need: capacities.Requirement
    offers: tuple[clouds.Offer, ...]
    held: dict
    refused: tuple
    chosen: dict


def draw(generator):
    offers = tuple(
        clouds.Offer(
            zone=zone,
            host_class=host_class,
            reclaimable=reclaimable,
            price=generator.uniform(0.5, 2.0) * (1 if reclaimable else 2),
        )
        for zone in ZONES
        for host_class, reclaimable in CLASSES.items()
        if generator.random() < 0.9
    )
    most = generator.randint(3, MOST)
    need = capacities.Requirement(
        demand=generator.uniform(0, MOST_REMAINING * 8),
        host_load=8,
        min_hosts=generator.randint(1, 3),
        max_hosts=most,
        zones=tuple(sorted({it.zone for it in offers}))
        if generator.random() < 0.5
        else (),
    )
    places = [capacities.get_placement(it) for it in offers]
    held = collections.Counter(
        generator.choices(places, k=generator.randint(0, 3))
    )
    refused = tuple(it for it in places if generator.random() < 0.15)
    return Drawn(
        need=need,
        offers=offers,
        held=held,
        refused=refused,
        chosen=capacities.choose_cheapest(need, offers, held, refused=refused),
    )


def measure_price(counts, drawn):
    """Return the price with what is held at its lower price."""
    total = 0.0
    for offer in drawn.offers:
        place = capacities.get_placement(offer)
        count = counts.get(place, 0)
        kept = min(count, drawn.held.get(place, 0))
        share = capacities.HELD_PRICE_SHARE
        total += offer.price * (count - kept + kept * share)
    return total


def list_mixtures(drawn):
    """Yield all hosts that might be chosen."""
    places = [capacities.get_placement(it) for it in drawn.offers]
    for count in range(drawn.need.max_hosts + 1):
        for chosen in itertools.combinations_with_replacement(places, count):
            counts = collections.Counter(chosen)
            if all(
                counts[place] <= drawn.held.get(place, 0)
                for place in drawn.refused
            ):
                yield counts


def find_missing(counts, drawn):
    return capacities.count_missing_hosts(counts, drawn.need, drawn.offers)


@behave.given("{count:d} needs drawn with seed {seed:d}")
def draw_needs(context, count, seed):
    print(f"seed {seed}")
    generator = random.Random(seed)
    context.drawn = [draw(generator) for _ in range(count)]


@behave.then(
    "what is chosen for each costs as little as the best of all mixtures"
)
def check_cheapest(context):
    compared = 0
    for drawn in context.drawn:
        prices = [
            measure_price(counts, drawn)
            for counts in list_mixtures(drawn)
            if not find_missing(counts, drawn)
        ]
        if not prices:
            assert find_missing(drawn.chosen, drawn), drawn
            continue
        compared += 1
        assert not find_missing(drawn.chosen, drawn), drawn
        price = measure_price(drawn.chosen, drawn)
        assert price <= min(prices) + 1e-9, (price, min(prices), drawn)
    print(f"{compared} of {len(context.drawn)} could be met")
    assert compared > len(context.drawn) / 2


@behave.then(
    "what is chosen for each bears the demand without any zone's "
    "reclaimable hosts"
)
def check_survival(context):
    checked = 0
    for drawn in context.drawn:
        if find_missing(drawn.chosen, drawn):
            continue
        checked += 1
        for zone in ZONES:
            left = sum(
                count
                for (place_zone, host_class), count in drawn.chosen.items()
                if place_zone != zone or not CLASSES[host_class]
            )
            assert left * drawn.need.host_load >= drawn.need.demand, drawn
    assert checked > len(context.drawn) / 2


@behave.then(
    "what is chosen for each is within its bounds and of offers to be had"
)
def check_bounds(context):
    for drawn in context.drawn:
        total = sum(drawn.chosen.values())
        assert total <= drawn.need.max_hosts, drawn
        for place in drawn.refused:
            assert drawn.chosen.get(place, 0) <= drawn.held[place], drawn
        if not find_missing(drawn.chosen, drawn):
            assert total >= drawn.need.min_hosts, drawn


@behave.then("giving back the surplus leaves enough and ends")
def check_surplus(context):
    given_back = 0
    for drawn in context.drawn:
        if find_missing(drawn.chosen, drawn):
            continue
        counts = collections.Counter(drawn.chosen) + drawn.held
        while True:
            place = capacities.find_surplus_placement(
                counts, drawn.chosen, drawn.need, drawn.offers
            )
            if place is None:
                break
            given_back += 1
            counts[place] -= 1
            assert counts[place] >= drawn.chosen.get(place, 0), drawn
            assert not find_missing(counts, drawn), drawn
        assert counts.total() == sum(drawn.chosen.values()), drawn
    assert given_back


@behave.when(
    "what is chosen with nothing held is held, and each price changes by up "
    "to {percent:d}%"
)
def change_prices(context, percent):
    generator = random.Random(percent)
    for drawn in context.drawn:
        drawn.held = capacities.choose_cheapest(
            drawn.need, drawn.offers, {}, refused=drawn.refused
        )
        drawn.offers = tuple(
            dataclasses.replace(
                it,
                price=it.price
                * (1 + generator.uniform(-percent, percent) / 100),
            )
            for it in drawn.offers
        )


@behave.then("no other hosts are chosen")
def check_unchanged(context):
    for drawn in context.drawn:
        again = capacities.choose_cheapest(
            drawn.need, drawn.offers, drawn.held, refused=drawn.refused
        )
        new = collections.Counter(again) - collections.Counter(drawn.held)
        assert not new, (again, drawn)
