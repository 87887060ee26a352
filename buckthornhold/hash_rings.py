"""Hash rings that rank upstreams for a key, the same on every host.

They use multi-probe consistent hashing (B. Appleton, M. O'Reilly, 2015) with
several positions for each name: a lookup costs the number of probes times
the logarithm of the number of names, where rendezvous hashing costs one hash
for each name.
"""

import array
import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import hashlib
import itertools
import struct

#: Positions of all names together, within the bounds for each name.
TARGET_POSITIONS = 1024
MIN_POSITIONS_PER_NAME = 8
MAX_POSITIONS_PER_NAME = 64
#: Number of positions that a key is hashed to.
PROBES_PER_KEY = 16
POSITION_BYTES = 8
#: The low bits of a position are the number of the name that owns it.
OWNER_BITS = 16
OWNER_MASK = (1 << OWNER_BITS) - 1
CIRCLE_MASK = (1 << 8 * POSITION_BYTES) - 1


class HashRing:
    """Ranks names by how closely one of their positions follows a key's.

    Adding or removing a name changes the rank of few others. The fewer the
    names, the more positions each has, so that the keys are evenly
    distributed. A ring holds at most 65,536 names.
    """

    def __init__(self, names: Iterable[str] = ()) -> None:
        self._positions_per_name = 0
        self._names_by_number: dict[int, str] = {}
        self._numbers_by_name: dict[str, int] = {}
        self._positions = array.array("Q")
        self.update(names)

    def update(self, names: Iterable[str]) -> None:
        """Replace the names; the cost grows with the names that change."""
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
            self._add_name(name)
            for position in self._list_positions(name):
                bisect.insort(self._positions, position)

    def _build(self, names: set[str], count: int) -> None:
        self._positions_per_name = count
        self._names_by_number = {}
        self._numbers_by_name = {}
        for name in names:
            self._add_name(name)
        positions = [
            position
            for name in names
            for position in self._list_positions(name)
        ]
        positions.sort()
        self._positions = array.array("Q", positions)

    def _add_name(self, name: str) -> None:
        number = len(self._names_by_number)
        while number in self._names_by_number:
            number = (number + 1) & OWNER_MASK
        self._names_by_number[number] = name
        self._numbers_by_name[name] = number

    def _list_positions(self, name: str) -> list[int]:
        number = self._numbers_by_name[name]
        return [
            hashed & ~OWNER_MASK | number
            for hashed in _hash(name, self._positions_per_name)
        ]

    def rank(self, key: str) -> Iterator[str]:
        """Yield all names, the one closest to a position of the key first."""
        if not self._positions:
            return
        indexes = self._list_nearest_indexes(key)
        indexes = itertools.chain(indexes, self._list_following(indexes[0]))
        seen = set()
        for index in indexes:
            number = self._positions[index] & OWNER_MASK
            if number in seen:
                continue
            seen.add(number)
            yield self._names_by_number[number]

    def _list_nearest_indexes(self, key: str) -> list[int]:
        """Return the indexes that follow a key's positions, nearest first."""
        found = []
        for position in _hash(key, PROBES_PER_KEY):
            index = self._find_next_index(position)
            distance = (self._positions[index] - position) & CIRCLE_MASK
            found.append((distance, index))
        found.sort()
        return [index for _, index in found]

    def _find_next_index(self, position: int) -> int:
        index = bisect.bisect_left(self._positions, position)
        return index if index < len(self._positions) else 0

    def _list_following(self, index: int) -> Iterator[int]:
        """Yield all other indexes in ring order, starting after one."""
        count = len(self._positions)
        for step in range(1, count):
            yield (index + step) % count


def _choose_positions_per_name(names: int) -> int:
    """Return how many positions each of this many names gets."""
    count = TARGET_POSITIONS // max(1, names)
    return min(MAX_POSITIONS_PER_NAME, max(MIN_POSITIONS_PER_NAME, count))


def _hash(text: str, count: int) -> tuple[int, ...]:
    """Hash a text to a number of 64-bit integers."""
    hashed = hashlib.shake_128(text.encode())
    return struct.unpack(f"<{count}Q", hashed.digest(count * POSITION_BYTES))
