"""Pools of upstreams that may get new work of one kind."""

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
    """Attributes of an upstream that a pool uses."""

    name: str
    key: Hashable


class Pool(Sequence):
    """Immutable sequence of upstreams to choose from.

    ``summaries`` caches values that are computed over all members and used
    for many requests.
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
        """Hash ring that ranks the members; it may hold others as well."""
        if self._parent is not None:
            return self._parent.ring
        if self._ring is None:
            self._ring = hash_rings.HashRing(
                member.name for member in self._members
            )
        return self._ring

    def reuse_ring(self, stale: "Pool") -> None:
        """Reuse the ring of a pool that is no longer used."""
        self._ring, stale._ring = stale._ring, None
        if self._ring is not None:
            self._ring.update(member.name for member in self._members)

    def select_by_name(self, names: Iterable[str]) -> Iterator[Member]:
        """Yield the members with some names, in the order of the names.

        A name may have two incarnations.
        """
        if not self._by_name:
            for member in self._members:
                self._by_name.setdefault(member.name, []).append(member)
        for name in names:
            yield from self._by_name.get(name, ())

    def rank(self, key: str) -> Iterator[Member]:
        """Return the members in a key's order, the same on every host."""
        return self.select_by_name(self.ring.rank(key))

    def filter(self, keep: Callable[[Member], bool]) -> "Pool":
        """Return the members to keep as a pool with the same ring."""
        kept = [member for member in self._members if keep(member)]
        if len(kept) == len(self._members):
            return self
        return Pool(kept, parent=self)

    def exclude(self, keys: Collection[Hashable]) -> "Pool":
        """Return the members without those of some keys."""
        if not keys:
            return self
        return self.filter(lambda member: member.key not in keys)


class PoolCache:
    """Caches each pool until its members may have changed."""

    def __init__(self) -> None:
        self._pools: dict[Hashable, Pool] = {}
        self._stale: dict[Hashable, Pool] = {}
        self._invalidation_times: collections.deque[float] = (
            collections.deque()
        )

    def find(
        self, key: Hashable, list_members: Callable[[], Sequence[Member]]
    ) -> Pool:
        """Return a pool; ``list_members`` is called if it isn't cached."""
        now = time.monotonic()
        if self._invalidation_times and self._invalidation_times[0] <= now:
            self.invalidate()
        found = self._pools.get(key)
        if found is not None:
            return found
        found = self._pools[key] = Pool(list_members())
        stale = self._stale.pop(key, None)
        if stale is not None:
            found.reuse_ring(stale)
        return found

    def invalidate(self) -> None:
        """Drop all pools, since something has changed.

        The next pools of the same keys reuse their rings.
        """
        if self._pools:
            self._stale = self._pools
            self._pools = {}
        now = time.monotonic()
        while self._invalidation_times and self._invalidation_times[0] <= now:
            self._invalidation_times.popleft()

    def invalidate_at(self, due_at: float) -> None:
        """Drop all pools now, and again at a time.

        The time is on the monotonic clock and never before that of an
        earlier call.
        """
        self.invalidate()
        self._invalidation_times.append(due_at)


def make_pool(candidates: Sequence[Member]) -> Pool:
    """Return candidates as a pool, unchanged if they are one."""
    if isinstance(candidates, Pool):
        return candidates
    return Pool(candidates)
