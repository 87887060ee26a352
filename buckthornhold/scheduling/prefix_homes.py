"""Prefix homes: which engines probably hold a prompt's prefix.

All hosts compute the same homes from capacities. A prefix in high demand gets
as many homes as it needs before the first is full, and loses them when the
demand decays. Beside the homes an engine holds what this host sent there
lately, within this host's part of the engine's cache.
"""

import collections
from collections.abc import Callable
from collections.abc import Hashable
import math

#: Half-life of the demand for a prefix: what was in demand a minute ago is
#: still read on its second home while that is dropped.
DEMAND_HALF_LIFE_SECONDS = 20.0
#: Requests that a host must have seen before it counts on demands; all hosts
#: see parts of the same demand.
MIN_COUNTED_REQUESTS = 20.0
#: A prefix gets another home for each such part of an engine's share of the
#: requests: the first home is then half full with it.
DEMAND_PER_HOME = 0.5
MAX_HOMES = 4
#: Prefixes and engines that are remembered; the oldest ones are dropped.
MAX_PREFIXES = 4096
MAX_ENGINES = 1024


class PrefixDemands:
    """The shares of prefixes in this host's requests."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._counts: collections.OrderedDict[str, tuple[float, float]] = (
            collections.OrderedDict()
        )
        self._total = (0.0, -math.inf)

    def add(self, prefix: str) -> None:
        """Count a request with a prefix."""
        now = self._clock()
        self._total = (_decay(self._total, now) + 1.0, now)
        known = self._counts.get(prefix, (0.0, now))
        self._counts[prefix] = (_decay(known, now) + 1.0, now)
        self._counts.move_to_end(prefix)
        if len(self._counts) > MAX_PREFIXES:
            self._counts.popitem(last=False)

    def count_homes(self, prefix: str, engines: int) -> int:
        """Return how many homes a prefix needs among so many engines."""
        now = self._clock()
        total = _decay(self._total, now)
        if total < MIN_COUNTED_REQUESTS or prefix not in self._counts:
            return 1
        # One request doesn't make a demand, however few there were.
        count = max(0.0, _decay(self._counts[prefix], now) - 1.0)
        homes = 1 + int(count / total * engines / DEMAND_PER_HOME)
        return min(MAX_HOMES, homes)


class SentPrefixes:
    """What engines hold of this host's requests, least recently used first.

    An engine's cache is shared with the other hosts, whose requests evict
    this host's; so only this host's part of the cache counts.
    """

    def __init__(self) -> None:
        self._held: collections.OrderedDict[
            Hashable, collections.OrderedDict[str, int]
        ] = collections.OrderedDict()
        self._holders: dict[str, dict[Hashable, None]] = {}

    def add(
        self, engine: Hashable, prefix: str, *, tokens: int, room: float
    ) -> None:
        """Record a prefix sent to an engine with so much room, in tokens."""
        held = self._held.setdefault(engine, collections.OrderedDict())
        self._held.move_to_end(engine)
        held[prefix] = tokens
        held.move_to_end(prefix)
        self._holders.setdefault(prefix, {})[engine] = None
        while held and sum(held.values()) > room:
            self._drop(engine, held.popitem(last=False)[0])
        if len(self._held) > MAX_ENGINES:
            oldest, prefixes = self._held.popitem(last=False)
            for name in prefixes:
                self._drop(oldest, name)

    def list_holders(self, prefix: str) -> list[Hashable]:
        """Return the engines that hold a prefix."""
        return list(self._holders.get(prefix, ()))

    def _drop(self, engine: Hashable, prefix: str) -> None:
        holders = self._holders[prefix]
        del holders[engine]
        if not holders:
            del self._holders[prefix]


def _decay(counted: tuple[float, float], now: float) -> float:
    """Return what a count at a time is worth now."""
    count, at = counted
    return count * 0.5 ** ((now - at) / DEMAND_HALF_LIFE_SECONDS)
