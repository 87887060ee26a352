"""Pools: the upstreams that may get new work of one kind."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import time
import typing

from buckthornhold import hash_rings


class Member(typing.Protocol):
    """What a pool needs to know of an upstream."""

    name: str
    key: Hashable


class Pool(Sequence):
    """Upstreams that are chosen from, and what was found out of them.

    It never changes. ``summaries`` is for those who need the same sum over
    all members for many requests.
    """

    def __init__(
        self, members: Sequence[Member], *, parent: "Pool | None" = None
    ) -> None:
        self._members = tuple(members)
        self._parent = parent
        self._ring: hash_rings.HashRing | None = None
        self._by_name: dict[str, list[Member]] = {}
        self.summaries: dict[Hashable, typing.Any] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __getitem__(self, index):
        return self._members[index]

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members)

    @property
    def ring(self) -> hash_rings.HashRing:
        """The ring that orders the members; others may be on it as well."""
        if self._parent is not None:
            return self._parent.ring
        if self._ring is None:
            self._ring = hash_rings.HashRing(it.name for it in self._members)
        return self._ring

    def reuse_ring(self, former: "Pool") -> None:
        """Take over the ring of a pool that is in use no more."""
        self._ring, former._ring = former._ring, None
        if self._ring is not None:
            self._ring.update(it.name for it in self._members)

    def select_by_name(self, names: Iterable[str]) -> Iterator[Member]:
        """Yield the members of some names, one name after the other.

        There may be two incarnations of a name.
        """
        if not self._by_name:
            for member in self._members:
                self._by_name.setdefault(member.name, []).append(member)
        for name in names:
            yield from self._by_name.get(name, ())

    def rank(self, key: str) -> Iterator[Member]:
        """Return the members in the order of a key, alike on any host."""
        return self.select_by_name(self.ring.rank(key))

    def filter(self, keep: Callable[[Member], bool]) -> "Pool":
        """Return the members to keep, in the order of the same ring."""
        kept = [it for it in self._members if keep(it)]
        if len(kept) == len(self._members):
            return self
        return Pool(kept, parent=self)

    def exclude(self, keys: Collection[Hashable]) -> "Pool":
        """Return all members but those of some keys."""
        if not keys:
            return self
        return self.filter(lambda it: it.key not in keys)


class PoolCache:
    """Keeps each pool until something changes who belongs to it."""

    def __init__(self) -> None:
        self._pools: dict[Hashable, Pool] = {}
        self._stale: dict[Hashable, Pool] = {}
        self._invalidation_times: collections.deque[float] = (
            collections.deque()
        )

    def find(
        self, key: Hashable, read: Callable[[], Sequence[Member]]
    ) -> Pool:
        """Return a pool; ``read`` gives its members if it isn't kept."""
        now = time.monotonic()
        if self._invalidation_times and self._invalidation_times[0] <= now:
            self.invalidate()
        found = self._pools.get(key)
        if found is not None:
            return found
        found = self._pools[key] = Pool(read())
        former = self._stale.pop(key, None)
        if former is not None:
            found.reuse_ring(former)
        return found

    def invalidate(self) -> None:
        """Forget all pools, since something has changed.

        Their rings go over to the next pools of their keys.
        """
        if self._pools:
            self._stale = self._pools
            self._pools = {}
        now = time.monotonic()
        while self._invalidation_times and self._invalidation_times[0] <= now:
            self._invalidation_times.popleft()

    def invalidate_at(self, moment: float) -> None:
        """Forget all pools now, and again at a moment.

        It is on the monotonic clock and never before an earlier one's.
        """
        self.invalidate()
        self._invalidation_times.append(moment)


def make_pool(candidates: Sequence[Member]) -> Pool:
    """Return candidates as a pool."""
    if isinstance(candidates, Pool):
        return candidates
    return Pool(candidates)
