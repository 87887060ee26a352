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
import typing

from buckthornhold import hash_rings

#: Engines that are drawn for a choice. Two leave a p99 of the first event far
#: above that of complete knowledge, more send bursts to the same engine.
DRAWN_ENGINES = 4
#: How long weights and means are used before they are computed anew.
TABLE_SECONDS = 1.0
#: Draws for each upstream that is wanted, before a table is given up because
#: most of its upstreams are excluded.
DRAWS_PER_MEMBER = 4
#: A home of a prefix is used while its load per slot is at most this multiple
#: of the mean (consistent hashing with bounded loads), plus some requests,
#: as small loads vary more.
HOME_LOAD_FACTOR = 1.25
HOME_SPARE_REQUESTS = 2.0
#: Homes that are looked at before a prefix is read anew elsewhere.
MAX_HOMES = 3
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
    """Members of a choice with their capacities."""

    def __init__(
        self, members: Sequence[Member], capacities: Sequence[float]
    ) -> None:
        self.members = members
        self.capacities = capacities
        self._sums = list(itertools.accumulate(capacities))
        slots = sum(member.slots for member in members)
        loads = sum(member.load for member in members)
        self.mean_load = loads / max(1, slots)

    def draw(self, count: int, draw: random.Random) -> list[Member]:
        """Return distinct members, drawn in proportion to capacity.

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
                if len(found) == count:
                    break
        return found


class Homes:
    """The homes of prefixes: a ring on which capacity is the share."""

    def __init__(self) -> None:
        self._ring = hash_rings.HashRing()
        self._by_name: dict[str, Member] = {}

    def update(self, table: Table) -> None:
        """Take over members and capacities; costs what they change."""
        middle = sorted(table.capacities)[len(table.capacities) // 2]
        names = []
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
                if len(found) == count:
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
        self._built_at = -math.inf

    @property
    def mean_load(self) -> float:
        """Mean load per slot, as of the last table."""
        return self._table.mean_load if self._table is not None else 0.0

    def is_bounded(self, member: Member) -> bool:
        """Tell whether a home has room for one more request."""
        bound = HOME_LOAD_FACTOR * self.mean_load * member.slots
        return (
            member.load < bound + HOME_SPARE_REQUESTS
            and member.load < member.slots
        )

    def list_options(
        self, candidates: Sequence[Member], prefix: str
    ) -> tuple[list[Member], Member | None]:
        """Return a few candidates, and the prefix's home if it has room."""
        table = self._find_table(candidates)
        whole = candidates is table.members
        allowed = () if whole else set(candidates)
        options = table.draw(DRAWN_ENGINES, self._draw)
        if not whole:
            options = [it for it in options if it in allowed]
            if not options:
                options = self._make_table(candidates).draw(
                    DRAWN_ENGINES, self._draw
                )
        home = None
        if prefix:
            for member in self._homes.list_homes(prefix, MAX_HOMES):
                if (whole or member in allowed) and self.is_bounded(member):
                    home = member
                    break
        if home is not None and home not in options:
            options.append(home)
        return options, home

    def _find_table(self, candidates: Sequence[Member]) -> Table:
        """Return the table, built anew when it is old.

        Retries exclude a few candidates; they use the same table.
        """
        if (
            self._table is None
            or self._clock() - self._built_at >= TABLE_SECONDS
        ):
            return self._build(candidates)
        return self._table

    def _make_table(self, candidates: Sequence[Member]) -> Table:
        return Table(
            candidates, [self._measure_capacity(it) for it in candidates]
        )

    def _build(self, candidates: Sequence[Member]) -> Table:
        self._table = self._make_table(candidates)
        self._homes.update(self._table)
        self._built_at = self._clock()
        return self._table
