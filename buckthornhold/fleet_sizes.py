"""Fleet sizes: how many upstreams of a service to have, and of which kind.

Reclaimable upstreams cost a fraction of the others and may all go in a zone
at once. ``coordination.capacities`` finds the cheapest that bear the demand
also after that; here is what the demand is and what to order next.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import itertools
import math
import time

from buckthornhold import clouds
from buckthornhold import routes
from buckthornhold import start_refusals
from buckthornhold import upstream_directories
from buckthornhold.coordination import capacities

ON_DEMAND = "on-demand"
RECLAIMABLE = "reclaimable"
#: Weight of the latest second in the smoothed demand.
SMOOTHING = 0.3
#: The greatest demand of so many seconds counts, as starts take seconds.
PEAK_SECONDS = 6
#: Demand that one engine bears with first tokens in time.
ENGINE_SHARE = 0.70
#: Room for growth above the greatest demand seen lately.
GROWTH = 1.1
#: Demand must have been seen for so long before anything is given back, s.
LEARN_SECONDS = 6.0
#: Part of the upstreams that were there at first that is kept until then.
FIRST_SHARE = 1.0
#: Reclaims come in waves: for so long after one, in seconds, what could be
#: reclaimed next is not counted on.
WAVE_SECONDS = 20.0
#: What leaves so long after fewer were ordered does so by that order, in
#: seconds.
GIVING_BACK_SECONDS = 5.0
#: Demand that one engine bears for that time.
WAVE_SHARE = 0.75
#: What is not listed so long after its time to start is lost, in seconds.
START_MARGIN_SECONDS = 1.5
#: Part of the demand's upstreams that can't be reclaimed: reclaims come in
#: waves faster than others start.
RESERVE_SHARE = 0.3
#: How long the end of a move takes to remove upstreams, in seconds. Those that
#: are listed longer may only be unknown to be gone.
REMOVAL_SECONDS = 2.0
#: How long an offer is passed over after the first refusal, in seconds.
REFUSED_SECONDS = 1.0
#: How long an offer is passed over after an order without a clear answer. It
#: may be carried out within that time.
UNANSWERED_SECONDS = 3.0

Place = tuple[str, str]


class DemandMeter:
    """What callers ask of each service, in engine seconds a second."""

    def __init__(self, *, clock=time.monotonic) -> None:
        self._clock = clock
        self._asked: collections.Counter[str] = collections.Counter()
        self._rates: dict[str, float] = {}
        self._since = clock()

    def add(self, service: str, seconds: float) -> None:
        """Count the work of a request that was asked for."""
        self._asked[service] += seconds

    def read(self) -> dict[str, float]:
        """Return the smoothed rates; to be called about once a second."""
        now = self._clock()
        passed = now - self._since
        if passed < 1.0:
            return self._rates
        self._since = now
        for service in self._asked.keys() | self._rates.keys():
            rate = self._asked[service] / passed
            known = self._rates.get(service, rate)
            self._rates[service] = known + SMOOTHING * (rate - known)
        self._asked.clear()
        return self._rates


class Peak:
    """The greatest value of the latest seconds."""

    def __init__(self, *, clock=time.monotonic) -> None:
        self._clock = clock
        self._values: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def add(self, value: float) -> float:
        """Add a value; return the greatest of the last ``PEAK_SECONDS``."""
        now = self._clock()
        self._values.append((now, value))
        while self._values[0][0] < now - PEAK_SECONDS:
            self._values.popleft()
        return max(value for _, value in self._values)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """Have so many upstreams of a kind in a zone."""

    zone: str
    kind: str
    count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Starting:
    """Upstreams that were ordered and are not listed yet.

    ``known`` are the names that were listed when the order was given.
    """

    count: int
    known: frozenset[str]
    since: float


class FleetSize:
    """Decides on the upstreams of one service. Needs no network."""

    def __init__(self, *, service: str, clock=time.monotonic) -> None:
        self._service = service
        self._clock = clock
        self._peak = Peak(clock=clock)
        self._starting: dict[Place, _Starting] = {}
        self._ordered_at: dict[Place, float] = {}
        self._refusals = start_refusals.StartRefusals(
            pause=REFUSED_SECONDS, clock=clock
        )
        #: When offers whose orders were not answered may be used again.
        self._unanswered: dict[Place, float] = {}
        self._reclaimed: dict[str, float] = {}
        self._given_back: dict[Place, float] = {}
        self._names: dict[Place, set[str]] = {}
        self._asked_since: float | None = None
        self._first_count = 0
        self._removing_since: float | None = None

    @property
    def learned(self) -> bool:
        """Whether the demand has been seen for long enough."""
        since = self._asked_since
        return since is not None and self._clock() - since >= LEARN_SECONDS

    def record_refusal(self, order: Order) -> None:
        """Record that there was nothing to be had for an order."""
        self._refusals.note_refusal((order.zone, order.kind))

    def record_unanswered(self, order: Order) -> None:
        """Record that it isn't known whether an order was taken."""
        place = (order.zone, order.kind)
        self._unanswered[place] = self._clock() + UNANSWERED_SECONDS

    def record_order(self, order: Order) -> None:
        """Record that an order was taken."""
        place = (order.zone, order.kind)
        now = self._clock()
        self._ordered_at[place] = now
        if order.count < len(self._names.get(place, ())):
            self._given_back[place] = now
        known = frozenset(self._names.get(place, ()))
        if order.count > len(known):
            self._refusals.note_start(place)
            self._starting[place] = _Starting(
                count=order.count - len(known), known=known, since=now
            )

    def plan(
        self,
        *,
        offer: routes.Offer,
        demand: float,
        records: Iterable[upstream_directories.UpstreamRecord],
        least_load: float = ENGINE_SHARE,
        moving: bool = False,
        removed: Collection[upstream_directories.UpstreamRecord] = (),
    ) -> list[Order]:
        """Return the orders to give now, those for more before all others.

        ``demand`` is in engine seconds a second; ``records`` are the
        service's upstreams that are listed. While the service is ``moving``
        to another version nothing is given back: the upstreams of one of
        the two serve little, and it is not said which would go. ``removed``
        are those among the records that the end of a move removes.
        """
        records = [record for record in records if record not in removed]
        self._names = list_staying(records)
        ready = {place: len(names) for place, names in self._names.items()}
        held = self._count_held(ready, offer)
        offers = list_offers(offer)
        if self._is_in_wave(records):
            least_load = max(least_load, WAVE_SHARE)
            offers = tuple(it for it in offers if not it.reclaimable)
            held = leave_reclaimable(held)
        if self._asked_since is None:
            lasting = sum(leave_reclaimable(ready).values())
            self._first_count = max(self._first_count, lasting)
        if demand > 0 and self._asked_since is None:
            self._asked_since = self._clock()
        demand = GROWTH * self._peak.add(demand)
        if not self.learned:
            first = self._first_count * FIRST_SHARE * least_load
            demand = max(demand, first)
        need = capacities.Requirement(
            demand=demand,
            host_load=least_load,
            min_hosts=offer.least * len(offer.zone_prices),
            max_hosts=offer.most * len(offer.zone_prices),
            zones=tuple(offer.zone_prices),
            max_zone_hosts=offer.most,
        )
        refused = self._list_refused()
        wanted = capacities.choose_cheapest(
            need, offers, held, refused=refused
        )
        if any(it.reclaimable for it in offers):
            reserve = math.ceil(RESERVE_SHARE * need.min_surviving_hosts)
            add_reserve(wanted, reserve, refused=refused)
        wanted = clamp_zones(wanted, offer)
        orders = [
            Order(zone=zone, kind=kind, count=count)
            for (zone, kind), count in wanted.items()
            if count > held.get((zone, kind), 0)
            and (zone, kind) not in refused
        ]
        if self._is_removing(removed):
            return []
        if orders:
            return orders
        if moving or len(offers) < len(list_offers(offer)):
            return []
        return self._plan_less(ready, wanted, need, offer)

    def _list_refused(self) -> set[Place]:
        """Return the offers that are passed over now."""
        now = self._clock()
        unanswered = {
            place for place, until in self._unanswered.items() if until > now
        }
        return unanswered.union(self._refusals.list_places())

    def _is_removing(
        self, removed: Collection[upstream_directories.UpstreamRecord]
    ) -> bool:
        """Tell whether an order could still count upstreams that go.

        The platform counts all that run in a place, and chooses which of
        them stays.
        """
        if not removed:
            self._removing_since = None
            return False
        if self._removing_since is None:
            self._removing_since = self._clock()
        return self._clock() - self._removing_since < REMOVAL_SECONDS

    def _is_in_wave(
        self, records: Iterable[upstream_directories.UpstreamRecord]
    ) -> bool:
        """Tell whether reclaimable upstreams were taken away lately."""
        now = self._clock()
        for record in records:
            if not record.reclaimable or not record.leaving:
                continue
            given_back = self._given_back.get(
                (record.zone, RECLAIMABLE), -GIVING_BACK_SECONDS
            )
            if now - given_back >= GIVING_BACK_SECONDS:
                self._reclaimed.setdefault(record.name, now)
        latest = max(self._reclaimed.values(), default=-WAVE_SECONDS)
        return now - latest < WAVE_SECONDS

    def _plan_less(
        self,
        ready: dict[Place, int],
        wanted: dict[Place, int],
        need: capacities.Requirement,
        offer: routes.Offer,
    ) -> list[Order]:
        """Return the orders that give back what is not needed."""
        left = dict(ready)
        offers = list_offers(offer)
        while True:
            surplus = capacities.find_surplus_placement(
                left, wanted, need, offers
            )
            if surplus is None or self._is_settling(surplus, offer):
                break
            left[surplus] -= 1
        return [
            Order(zone=zone, kind=kind, count=count)
            for (zone, kind), count in left.items()
            if count < ready[zone, kind]
        ]

    def _count_held(
        self, ready: dict[Place, int], offer: routes.Offer
    ) -> dict[Place, int]:
        """Return what is there, and what was ordered and is starting."""
        held = dict(ready)
        latest = self._clock() - offer.start_seconds - START_MARGIN_SECONDS
        for place, starting in list(self._starting.items()):
            new = self._names.get(place, set()) - starting.known
            left = starting.count - len(new)
            if left <= 0 or starting.since < latest:
                del self._starting[place]
                continue
            held[place] = held.get(place, 0) + left
        return held

    def _is_settling(self, place: Place, offer: routes.Offer) -> bool:
        """Tell whether an order of the place may not be carried out yet."""
        ordered_at = self._ordered_at.get(place)
        if ordered_at is None:
            return False
        return self._clock() - ordered_at < offer.start_seconds / 2


def list_staying(
    records: Iterable[upstream_directories.UpstreamRecord],
) -> dict[Place, set[str]]:
    """Return the names of the upstreams that stay, by zone and kind."""
    found: dict[Place, set[str]] = {}
    for record in records:
        if record.leaving:
            continue
        kind = RECLAIMABLE if record.reclaimable else ON_DEMAND
        found.setdefault((record.zone, kind), set()).add(record.name)
    return found


def leave_reclaimable(counts: dict[Place, int]) -> dict[Place, int]:
    """Return the counts of what can't be reclaimed."""
    return {
        place: count
        for place, count in counts.items()
        if place[1] != RECLAIMABLE
    }


def list_offers(offer: routes.Offer) -> tuple[clouds.Offer, ...]:
    """Return what can be ordered of a service."""
    offers = []
    for zone, price in offer.zone_prices.items():
        offers.append(
            clouds.Offer(
                zone=zone, host_class=ON_DEMAND, reclaimable=False, price=price
            )
        )
        if offer.reclaimable_price is not None:
            offers.append(
                clouds.Offer(
                    zone=zone,
                    host_class=RECLAIMABLE,
                    reclaimable=True,
                    price=price * offer.reclaimable_price,
                )
            )
    return tuple(offers)


def add_reserve(
    wanted: dict[Place, int], count: int, *, refused: Collection[Place] = ()
) -> None:
    """Have so many that can't be reclaimed, beside what may be.

    They are added where none were refused lately.
    """
    places = [(zone, ON_DEMAND) for zone, _ in sorted(wanted)]
    missing = count - sum(wanted.get(place, 0) for place in set(places))
    places = [place for place in places if place not in refused]
    for place in itertools.islice(itertools.cycle(places), max(0, missing)):
        wanted[place] = wanted.get(place, 0) + 1


def clamp_zones(
    wanted: dict[Place, int], offer: routes.Offer
) -> dict[Place, int]:
    """Return counts with no more than the most of each zone."""
    left = dict.fromkeys(offer.zone_prices, offer.most)
    clamped = {}
    for place in sorted(wanted, key=lambda it: it[1] != ON_DEMAND):
        count = min(wanted[place], left.get(place[0], 0))
        left[place[0]] -= count
        clamped[place] = count
    return {place: math.ceil(count) for place, count in clamped.items()}
