"""Choices: selection of one upstream among many with late views of loads.

All hosts know the others' loads 0.5 to 2 s late. If each chose the least
loaded upstream, all would choose the same one. So each draws a few upstreams
with a probability proportional to their capacity and takes the one of lowest
expected time among these. The costs of a choice don't grow with the number of
upstreams; what depends on all of them is computed once a second.
"""

import bisect
from collections.abc import Callable
from collections.abc import Sequence
import itertools
import math
import random
import statistics
import typing
import weakref

from buckthornhold import hash_rings

#: Engines that are drawn for a choice. More send bursts to the same engines,
#: as loads are known late.
DRAWN_ENGINES = 2
#: How long weights and means are used before they are computed anew, in all
#: and for each engine: that takes 4 ms for 600 engines, and a host of a large
#: fleet has only some ten choices a second.
TABLE_SECONDS = 2.0
TABLE_SECONDS_PER_ENGINE = 0.01
#: How long the homes of prefixes are kept while the engines are the same.
#: Their capacities change slowly, and each change moves prefixes.
HOMES_SECONDS = 10.0
#: Draws for each upstream that is wanted, before a table is given up because
#: most of its upstreams are excluded.
DRAWS_PER_MEMBER = 4
#: A home of a prefix is used while its load per slot is at most this multiple
#: of the mean (consistent hashing with bounded loads), plus some requests,
#: as small loads vary more.
HOME_LOAD_FACTOR = 1.25
HOME_MEAN_FACTOR = 1.0
HOME_MEAN_RANGE = 0.4
HOME_SPARE_REQUESTS = 2.0
#: Engines that are slower than the median by more than this factor get less
#: than their capacity's part, as waits there are longer. What the others get
#: in addition is bounded.
TILT_FROM_FACTOR = 1.1
TILT_EXPONENTS = (3.0, 2.5, 2.0, 1.75, 1.5, 1.25, 1.0, 0.5)
MAX_TILT_SHARE = 1.04
#: Mean load per slot from which on all of the capacity is needed.
NO_TILT_LOAD = 0.7
#: Time constant of mean loads, and the requests that loads are raised by
#: before they are compared: the noise of small loads must not move the weights
#: of all hosts at once.
SMOOTHING_SECONDS = 10.0
PRIOR_REQUESTS = 1.0
#: Power of the ratio of the usual and the mean load by which weights are
#: corrected, for each unit of mean load per slot and at most: with little load
#: an uneven one costs nothing and fast engines answer sooner.
CORRECTION_PER_LOAD = 4.3
MAX_CORRECTION = 1.5
#: Homes that are looked at beyond those that a prefix has, before it is read
#: anew elsewhere.
MAX_HOMES = 2
#: Positions on the ring of an engine of median capacity. An engine's number
#: is rounded, so that hosts whose paces differ slightly agree.
HOME_COPIES = 4


class Member(typing.Protocol):
    """What a choice needs of an upstream."""

    @property
    def name(self) -> str:
        """The upstream's name."""

    @property
    def load(self) -> int:
        """Requests there, as far as known."""

    @property
    def slots(self) -> int:
        """Requests that it runs at once."""


class Table:
    """Members of a choice with their capacities and weights for draws."""

    def __init__(
        self,
        members: Sequence[Member],
        capacities: Sequence[float],
        weights: Sequence[float],
    ) -> None:
        self.members = members
        self.member_set = set(members)
        self.capacities = capacities
        self._sums = list(itertools.accumulate(weights))

    def draw(self, count: int, draw: random.Random) -> list[Member]:
        """Return distinct members, drawn in proportion to their weights.

        Fewer if the same ones are drawn again and again.
        """
        if len(self.members) <= count:
            return list(self.members)
        found: list[Member] = []
        last = len(self.members) - 1
        for _ in range(DRAWS_PER_MEMBER * count):
            place = bisect.bisect(self._sums, draw.random() * self._sums[-1])
            member = self.members[min(place, last)]
            if member not in found:
                found.append(member)
                if len(found) >= count:
                    break
        return found


class SmoothedLoad:
    """Mean of a load that is read now and then."""

    def __init__(self) -> None:
        self.value = 0.0
        self._read_at = -math.inf

    def update(self, load: float, now: float) -> float:
        """Take the load of this moment; return the mean."""
        passed = now - self._read_at
        weight = 1.0 - math.exp(-passed / SMOOTHING_SECONDS)
        self.value += weight * (load - self.value)
        self._read_at = now
        return self.value


def tilt_capacities(
    capacities: Sequence[float], slots: Sequence[int]
) -> list[float]:
    """Return weights that leave slow engines less than their part.

    No other engine gets more than MAX_TILT_SHARE of its own part.
    """
    rates = [
        capacity / count
        for capacity, count in zip(capacities, slots, strict=True)
    ]
    limit = statistics.median(rates) / TILT_FROM_FACTOR
    total = sum(capacities)
    for exponent in TILT_EXPONENTS:
        weights = [
            capacity * min(1.0, rate / limit) ** exponent
            for capacity, rate in zip(capacities, rates, strict=True)
        ]
        if total <= MAX_TILT_SHARE * sum(weights):
            return weights
    return list(capacities)


class Homes:
    """The homes of prefixes: a ring on which capacity is the share."""

    def __init__(self) -> None:
        self._ring = hash_rings.HashRing()
        self._by_name: dict[str, Member] = {}
        self.members: set[Member] = set()

    def update(self, table: Table) -> None:
        """Take over members and capacities; costs what they change."""
        middle = sorted(table.capacities)[len(table.capacities) // 2]
        names = []
        self.members = table.member_set
        self._by_name = {member.name: member for member in table.members}
        for member, capacity in zip(
            table.members, table.capacities, strict=True
        ):
            copies = max(1, round(HOME_COPIES * capacity / middle))
            names += [f"{member.name} {number}" for number in range(copies)]
        self._ring.update(names)

    def list_homes(self, prefix: str, count: int) -> list[Member]:
        """Return the first homes of a prefix."""
        found: list[Member] = []
        for copy in self._ring.rank(prefix):
            member = self._by_name[copy.rpartition(" ")[0]]
            if member not in found:
                found.append(member)
                if len(found) >= count:
                    break
        return found


class EngineChooser:
    """Chooses an engine by expected time among few that were drawn.

    ``measure_capacity`` returns a member's capacity, in a unit of its own.
    """

    def __init__(
        self,
        *,
        measure_capacity: Callable[[Member], float],
        clock: Callable[[], float],
        draw: random.Random,
    ) -> None:
        self._measure_capacity = measure_capacity
        self._clock = clock
        self._draw = draw
        self._table: Table | None = None
        self._homes = Homes()
        self._loads: weakref.WeakKeyDictionary[Member, SmoothedLoad] = (
            weakref.WeakKeyDictionary()
        )
        self._mean_load = 0.0
        self._homes_built_at = -math.inf
        self._built_at = -math.inf

    def has_room(self, member: Member) -> bool:
        """Tell whether a home has room for one more request.

        Neither its mean load of some seconds nor that of the moment may be
        far above the engines' mean.
        """
        mean = self._loads.get(member)
        usual = self._mean_load * member.slots
        return (
            mean is not None
            and mean.value
            <= (HOME_MEAN_FACTOR + HOME_MEAN_RANGE * self._draw.random())
            * usual
            and member.load < HOME_LOAD_FACTOR * usual + HOME_SPARE_REQUESTS
            and member.load < member.slots
        )

    def list_options(
        self,
        candidates: Sequence[Member],
        prefix: str,
        *,
        homes: int = 1,
        holders: Sequence[Member] = (),
    ) -> tuple[list[Member], list[Member]]:
        """Return a few candidates, and those of them that hold the prefix.

        These are the prefix's first ``homes`` with room, and of ``holders``
        those with room.
        """
        table = self._find_table(candidates)
        whole = candidates is table.members
        allowed = table.member_set if whole else set(candidates)
        options = table.draw(DRAWN_ENGINES, self._draw)
        if not whole:
            options = [it for it in options if it in allowed]
            if not options:
                options = self._make_table(candidates).draw(
                    DRAWN_ENGINES, self._draw
                )
        found: list[Member] = []
        if prefix:
            for member in self._homes.list_homes(prefix, MAX_HOMES + homes):
                if member in allowed and self.has_room(member):
                    found.append(member)
                    if len(found) >= homes:
                        break
        found += [
            it
            for it in holders
            if it not in found and it in allowed and self.has_room(it)
        ]
        options += [it for it in found if it not in options]
        return options, found

    def _find_table(self, candidates: Sequence[Member]) -> Table:
        """Return the table, built anew when it is old.

        Retries exclude a few candidates; they use the same table.
        """
        if (
            self._table is None
            or len(candidates) > len(self._table.members)
            or self._clock() - self._built_at
            >= TABLE_SECONDS + TABLE_SECONDS_PER_ENGINE * len(candidates)
        ):
            return self._build(candidates)
        return self._table

    def _make_table(self, candidates: Sequence[Member]) -> Table:
        slots = [member.slots for member in candidates]
        capacities = [self._measure_capacity(it) for it in candidates]
        means = [
            self._loads.setdefault(it, SmoothedLoad()).value
            for it in candidates
        ]
        self._mean_load = sum(means) / sum(slots)
        if self._mean_load < NO_TILT_LOAD:
            capacities = tilt_capacities(capacities, slots)
        prior = PRIOR_REQUESTS
        usual = self._mean_load
        correction = min(MAX_CORRECTION, CORRECTION_PER_LOAD * usual)
        weights = [
            capacity * ((usual * count + prior) / (mean + prior)) ** correction
            for capacity, count, mean in zip(
                capacities, slots, means, strict=True
            )
        ]
        return Table(candidates, capacities, weights)

    def _build(self, candidates: Sequence[Member]) -> Table:
        now = self._clock()
        for member in candidates:
            mean = self._loads.setdefault(member, SmoothedLoad())
            mean.update(member.load, now)
        self._table = self._make_table(candidates)
        if (
            now - self._homes_built_at >= HOMES_SECONDS
            or self._table.member_set != self._homes.members
        ):
            self._homes.update(self._table)
            self._homes_built_at = now
        self._built_at = now
        return self._table
