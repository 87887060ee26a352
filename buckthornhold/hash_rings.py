"""Rings: in which order upstreams are tried for a key, alike on any host.

Multi-probe consistent hashing (B. Appleton, M. O'Reilly, 2015) with several
positions a name: a lookup costs the probes times the logarithm of the names,
where rendezvous hashing costs a hash of each name.
"""

import array
import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import hashlib
import itertools
import struct

#: Positions of all names together, as far as the bounds of each allow.
TARGET_POSITIONS = 1024
MIN_POSITIONS_PER_NAME = 8
MAX_POSITIONS_PER_NAME = 64
#: Positions that a key is hashed to.
PROBES_PER_KEY = 16
POSITION_BYTES = 8
#: The low bits of a position name its owner.
OWNER_BITS = 16
OWNER_MASK = (1 << OWNER_BITS) - 1
CIRCLE_MASK = (1 << 8 * POSITION_BYTES) - 1


class HashRing:
    """Orders names by how near one of their positions follows a key's.

    A name that comes or goes changes the order of few others. Fewer names
    have more positions each, so that equal parts of all keys fall to them.
    There can be 65,536 names.
    """

    def __init__(self, names: Iterable[str] = ()) -> None:
        self._positions_per_name = 0
        self._names_by_number: dict[int, str] = {}
        self._numbers_by_name: dict[str, int] = {}
        self._positions = array.array("Q")
        self.update(names)

    def update(self, names: Iterable[str]) -> None:
        """Have these names on the ring, at the cost of those that change."""
        wanted = set(names)
        count = _choose_positions_per_name(len(wanted))
        if count != self._positions_per_name:
            self._build(wanted, count)
            return
        for name in self._numbers_by_name.keys() - wanted:
            for position in self._list_positions(name):
                del self._positions[self._find_next_index(position)]
            del self._names_by_number[self._numbers_by_name.pop(name)]
        for name in wanted - self._numbers_by_name.keys():
            self._add_owner(name)
            for position in self._list_positions(name):
                bisect.insort(self._positions, position)

    def _build(self, names: set[str], count: int) -> None:
        self._positions_per_name = count
        self._names_by_number = {}
        self._numbers_by_name = {}
        for name in names:
            self._add_owner(name)
        positions = [
            position
            for name in names
            for position in self._list_positions(name)
        ]
        positions.sort()
        self._positions = array.array("Q", positions)

    def _add_owner(self, name: str) -> None:
        number = len(self._names_by_number)
        while number in self._names_by_number:
            number = (number + 1) & OWNER_MASK
        self._names_by_number[number] = name
        self._numbers_by_name[name] = number

    def _list_positions(self, name: str) -> list[int]:
        number = self._numbers_by_name[name]
        return [
            it & ~OWNER_MASK | number
            for it in _hash(name, self._positions_per_name)
        ]

    def rank(self, key: str) -> Iterator[str]:
        """Yield all names, the nearest to one of a key's positions first."""
        if not self._positions:
            return
        places = self._list_nearest_indexes(key)
        places = itertools.chain(places, self._list_following(places[0]))
        seen = set()
        for place in places:
            owner = self._positions[place] & OWNER_MASK
            if owner in seen:
                continue
            seen.add(owner)
            yield self._names_by_number[owner]

    def _list_nearest_indexes(self, key: str) -> list[int]:
        """Return the places that follow a key's positions, nearest first."""
        found = []
        for position in _hash(key, PROBES_PER_KEY):
            place = self._find_next_index(position)
            distance = (self._positions[place] - position) & CIRCLE_MASK
            found.append((distance, place))
        found.sort()
        return [place for _, place in found]

    def _find_next_index(self, position: int) -> int:
        place = bisect.bisect_left(self._positions, position)
        return place if place < len(self._positions) else 0

    def _list_following(self, place: int) -> Iterator[int]:
        """Yield all places, beginning behind one."""
        last = len(self._positions)
        for number in range(1, last):
            yield (place + number) % last


def _choose_positions_per_name(names: int) -> int:
    """Return how many positions each of so many names has."""
    count = TARGET_POSITIONS // max(1, names)
    return min(MAX_POSITIONS_PER_NAME, max(MIN_POSITIONS_PER_NAME, count))


def _hash(text: str, count: int) -> tuple[int, ...]:
    """Return as many numbers of 64 bits as asked for."""
    hashed = hashlib.shake_128(text.encode())
    return struct.unpack(f"<{count}Q", hashed.digest(count * POSITION_BYTES))
