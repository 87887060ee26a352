"""Cold starts: which requests a host may send to upstreams that are cold.

A cold upstream bears a number of requests a second over all hosts, and no
host knows what the others send. So it has a number of places, and each may
send at most one request in any second. The places are divided among the
configured availability zones, and within a zone each belongs to one host by a
hash ring. Hosts whose views differ by a few members disagree on a few places
only, and no host needs recent figures of the others.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math
import random
import time

from buckthornhold import hash_rings
from buckthornhold.coordination import host_rankings

#: Least time between two requests of one place. It is longer than a second
#: because two requests may arrive closer to each other than they were sent.
PLACE_SECONDS = 1.05
#: Share of the bound that places may use together. The rest is for hosts that
#: consider a place theirs at the same time, while members join, fail or
#: return. More places than the rate needs let it be used when some hosts have
#: no requests.
PLACE_BOUND_SHARE = 0.75
#: A host that has just started may not know all members yet, and the last
#: requests of its previous process count as well.
SETTLE_SECONDS = 3.0
#: Entries are written every 1.2 s and reach a host up to 2 s later, so other
#: upstreams that turned cold at the same moment are known after this time.
NEWS_SECONDS = 3.2
#: Share of a service's upstreams, and their least number, that turn cold
#: within ``NEWS_SECONDS`` from which on others are assumed to follow.
JOINT_SHARE = 0.25
MIN_JOINT_COUNT = 2
#: A host takes several entries at once, in no order. Those that came with the
#: first news may be older than it.
BATCH_SECONDS = 0.05

Key = tuple[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneView:
    """What a host knows of the hosts in its availability zone.

    ``hosts`` are the names of those that may send requests, this one and
    doubted ones included. ``present`` is the number of those without a doubt,
    ``silent`` that of the hosts that recently became gone by silence and may
    run behind a partition. ``informed`` tells whether other hosts' summaries
    arrive, ``age`` how long this process has run, in seconds.
    """

    hosts: tuple[str, ...]
    present: int
    silent: int = 0
    informed: bool = True
    age: float = math.inf

    @property
    def may_send(self) -> bool:
        """Whether a host with this view may use its places.

        Two sides of a partition within a zone can't both see more than half
        of the zone. Doubted hosts aren't seen, but keep their places: a host
        that is cut off stops before others take its places.
        """
        return (
            self.informed
            and self.age >= SETTLE_SECONDS
            and 2 * self.present > len(self.hosts) + self.silent
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bound:
    """Most requests that reach a cold upstream in a second.

    That is ``overage`` times its rate, plus ``slack`` requests.
    """

    overage: float
    slack: float

    def compute(self, rate: float) -> float:
        """Return the bound for a rate."""
        return rate * self.overage + self.slack

    def count_places(self, rate: float) -> int:
        """Return the number of places over all zones."""
        bound = self.compute(rate)
        return max(math.floor(bound * PLACE_BOUND_SHARE), int(bound >= 1))


def count_zone_places(
    count: int, *, upstream: str, zone: str, zones: tuple[str, ...]
) -> int:
    """Return how many of an upstream's places belong to a zone.

    Places that can't be divided evenly go to zones that depend on the
    upstream.
    """
    if zone not in zones:
        return 0
    each, rest = divmod(count, len(zones))
    ranked = sorted(
        zones, key=lambda name: host_rankings.hash_name(upstream, name)
    )
    return each + (ranked.index(zone) < rest)


@dataclasses.dataclass(kw_only=True)
class _ColdUpstream:
    """A cold upstream; times are on the monotonic clock.

    This host may send from ``next_turn`` on. ``due_at`` is when its next
    request is due at an even pace; one that comes later is followed by the
    next one sooner. ``places`` is the number of this host's places, computed
    for the hosts and the rate in ``basis``; None before that.
    """

    ends_at: float
    next_turn: float
    due_at: float
    places: int | None = None
    basis: tuple | None = None


class ColdStarts:
    """The cold upstreams that one host knows, and its places at them.

    An upstream is identified by its name and its start. ``read_view`` returns
    what this host knows of its availability zone ``zone``; ``zones`` are all
    that are configured.
    """

    def __init__(
        self,
        *,
        host: str,
        zone: str,
        zones: tuple[str, ...],
        bound: Bound,
        read_view: Callable[[], ZoneView],
        clock: Callable[[], float] = time.monotonic,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._host = host
        self._zone = zone
        self._zones = zones
        self._bound = bound
        self._read_view = read_view
        self._clock = clock
        self._draw = draw
        self._upstreams: dict[Key, _ColdUpstream] = {}
        #: When each upstream turned cold again after it was warm.
        self._turned_at: dict[Key, float] = {}
        #: When each upstream's latest entry arrived.
        self._entry_at: dict[Key, float] = {}
        self._ring = hash_rings.HashRing()
        self._ring_hosts: tuple[str, ...] = ()

    @property
    def any_cold(self) -> bool:
        """Whether the latest entry of any upstream said that it is cold."""
        return bool(self._upstreams)

    def apply_entry(
        self, key: Key, seconds: float, *, first_seen: bool
    ) -> bool:
        """Apply a new revision of an entry; return whether this is news.

        ``seconds`` is the remaining cold time, 0 if the upstream is warm.
        An entry only arrives after it was written, so the end that is
        derived here is never before the real one. Must not be called again
        for the same revision.
        """
        now = self._clock()
        self._entry_at[key] = now
        if seconds <= 0:
            return self._upstreams.pop(key, None) is not None
        ends_at = now + seconds
        known = self._upstreams.get(key)
        if known is not None and known.ends_at > now:
            known.ends_at = ends_at
            return False
        # This host may just have sent requests to an upstream that it took
        # for warm.
        next_turn = now if first_seen else now + PLACE_SECONDS
        if not first_seen:
            self._turned_at[key] = now
        self._upstreams[key] = _ColdUpstream(
            ends_at=ends_at, next_turn=next_turn, due_at=next_turn
        )
        return True

    def forget(self, key: Key) -> None:
        """Drop an upstream that is no longer listed."""
        self._upstreams.pop(key, None)
        self._turned_at.pop(key, None)
        self._entry_at.pop(key, None)

    def find_remaining(self, key: Key) -> float:
        """Return the seconds for which an upstream is cold, 0 if warm."""
        known = self._upstreams.get(key)
        if known is None:
            return 0.0
        return max(0.0, known.ends_at - self._clock())

    def select(self, keys: Sequence[Key], rate: float) -> list[Key]:
        """Return the upstreams of a service that one request may be sent to.

        While several turn cold, upstreams whose entry is older than that
        news may be cold as well. They get no more requests than before:
        those that would have gone to the cold ones aren't sent there.
        """
        cold = {key for key in keys if self.find_remaining(key)}
        if rate <= 0 or not cold:
            return list(keys)
        since = self._find_joint_turn(cold, len(keys))
        excluded = since is not None and self._draw() < len(cold) / len(keys)
        return [
            key
            for key in keys
            if (key in cold and self.admits(key, rate))
            or (
                key not in cold
                and not (excluded and self._entry_at.get(key, 0.0) < since)
            )
        ]

    def find_wait(self, keys: Sequence[Key], rate: float) -> float:
        """Return the shortest remaining cold time of a service's upstreams.

        0 if a request could be sent to one of them now. ``keys`` are all
        that could be used if they were warm.
        """
        cold = {key for key in keys if self.find_remaining(key)}
        if rate <= 0 or not cold:
            return 0.0
        if self._find_joint_turn(cold, len(keys)) is None and any(
            self.admits(key, rate) for key in keys
        ):
            return 0.0
        return min(self.find_remaining(key) for key in cold)

    def _find_joint_turn(self, cold: set[Key], count: int) -> float | None:
        """Return until when the first of several recent turns was news.

        Entries that arrive later say whether their upstreams followed. None
        if fewer than may have a common cause did.
        """
        oldest = self._clock() - NEWS_SECONDS
        turns = [
            self._turned_at[key]
            for key in cold
            if self._turned_at.get(key, -math.inf) >= oldest
        ]
        if len(turns) < max(MIN_JOINT_COUNT, JOINT_SHARE * count):
            return None
        return min(turns) + BATCH_SECONDS

    def admits(self, key: Key, rate: float) -> bool:
        """Tell whether this host may send a request to an upstream now.

        ``rate`` is the requests a second that a cold one bears, 0 if that
        isn't limited.
        """
        if rate <= 0 or not self.find_remaining(key):
            return True
        places = self.count_places(key, rate)
        return places > 0 and self._clock() >= self._upstreams[key].next_turn

    def record_request(self, key: Key, rate: float) -> None:
        """Count an attempt of any kind that is sent to an upstream."""
        if rate <= 0 or not self.find_remaining(key):
            return
        places = max(1, self.count_places(key, rate))
        interval = self._bound.count_places(rate) / rate / places
        known = self._upstreams[key]
        now = self._clock()
        known.due_at = max(known.due_at, now - interval) + interval
        known.next_turn = max(known.due_at, now + PLACE_SECONDS / places)

    def count_places(self, key: Key, rate: float) -> int:
        """Return how many places this host has at a cold upstream now."""
        view = self._read_view()
        known = self._upstreams[key]
        basis = (view.hosts, view.may_send, rate)
        if basis == known.basis:
            return known.places or 0
        places = self._compute_places(key[0], rate, view)
        if known.places is not None and places > known.places:
            # The place's previous host may just have used it.
            known.next_turn = max(
                known.next_turn, self._clock() + PLACE_SECONDS
            )
        known.places = places
        known.basis = basis
        return places

    def _compute_places(self, name: str, rate: float, view: ZoneView) -> int:
        if not view.may_send:
            return 0
        count = count_zone_places(
            self._bound.count_places(rate),
            upstream=name,
            zone=self._zone,
            zones=self._zones,
        )
        if view.hosts != self._ring_hosts:
            self._ring.update(view.hosts)
            self._ring_hosts = view.hosts
        return sum(
            next(self._ring.rank(f"{name}/{place}"), None) == self._host
            for place in range(count)
        )
