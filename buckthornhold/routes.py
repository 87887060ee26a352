"""Routes: the operator's configuration of requests that are relayed.

The configuration says which service answers a host name and path, what may
be repeated, and which workspace a key belongs to. It is immutable; a change
brings a whole new one with a higher version.
"""

import bisect
import dataclasses
import itertools
import random


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """One service's part of a route's traffic; weights are relative."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Where the requests of a host name and path prefix go, and how.

    ``timeout`` and ``target`` are in seconds: the longest time a caller is
    kept waiting, and that within which an answer (a stream's first event) is
    of full use. ``attempts`` is how many upstreams may run one request.
    ``urgency`` is 0 for the most urgent. ``longest_gap`` is the longest
    pause of a stream that is still of full use, in seconds. Upstreams in
    other regions than ``regions`` run no request; empty allows all.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[Share, ...]
    streamed: bool = False
    idempotent: bool = False
    resumable: bool = False
    keyed: bool = True
    timeout: float = 60.0
    target: float = 1.0
    longest_gap: float = 0.0
    attempts: int = 1
    urgency: int = 5
    regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.resumable if self.streamed else self.idempotent

    def choose_service(self) -> str:
        """Return a service, drawn by the shares' weights."""
        if len(self.shares) == 1:
            return self.shares[0].service
        sums = list(itertools.accumulate(it.weight for it in self.shares))
        place = bisect.bisect(sums, random.uniform(0, sums[-1]))
        return self.shares[min(place, len(sums) - 1)].service


@dataclasses.dataclass(frozen=True, kw_only=True)
class Offer:
    """In what numbers upstreams of a service can be ordered.

    ``least`` and ``most`` bound each zone; ``start_seconds`` is how long one
    takes to start. ``zone_prices`` are relative prices of a second, those of
    reclaimable upstreams times ``reclaimable_price``.
    """

    least: int
    most: int
    start_seconds: float
    zone_prices: dict[str, float]
    reclaimable_price: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Engine:
    """What is configured of a service's model engines.

    ``slots`` is how many requests one runs at once, ``cache_tokens`` how
    many tokens of context it holds.
    """

    slots: int
    cache_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service; ``connections`` is what one upstream accepts in all.

    An upstream is cold for ``cold_start_seconds`` after its start. A cold one
    bears ``cold_rate`` requests a second over all hosts; 0 means no limit.
    """

    name: str
    connections: int
    engine: Engine | None = None
    offer: Offer | None = None
    cold_start_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A workspace with its keys and its limit.

    ``rate`` is in units a second over all hosts, ``burst`` in units on top;
    0 means no limit. A unit is a token if ``counts_tokens``, else a request;
    a request that names no tokens counts as ``plain_tokens``. Upstreams in
    other regions than ``regions`` run no request; empty allows all.
    """

    name: str
    keys: tuple[str, ...] = ()
    urgency: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_tokens: int = 1
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """What callers may send: sizes in bytes, times in seconds."""

    head_bytes: int = 16384
    body_bytes: int = 4 << 20
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


class Configuration:
    """One version of the configuration, with what is looked up in it."""

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...] = (),
        services: tuple[Service, ...] = (),
        workspaces: tuple[Workspace, ...] = (),
        limits: CallerLimits | None = None,
    ) -> None:
        self._version = version
        self._routes = routes
        self._services = {it.name: it for it in services}
        self._workspaces = workspaces
        self._limits = limits or CallerLimits()
        self._by_key = {
            key: workspace
            for workspace in workspaces
            for key in workspace.keys
        }
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    @property
    def version(self) -> int:
        """Number that only rises from one configuration to the next."""
        return self._version

    @property
    def routes(self) -> tuple[Route, ...]:
        """All routes."""
        return self._routes

    @property
    def services(self) -> dict[str, Service]:
        """All services by name."""
        return self._services

    @property
    def workspaces(self) -> tuple[Workspace, ...]:
        """All workspaces; none means that requests carry no keys."""
        return self._workspaces

    @property
    def limits(self) -> CallerLimits:
        """What callers may send."""
        return self._limits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        Prefixes end with a slash, so only the path's own parts are looked
        up, however many routes a host name has.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key."""
        return self._by_key.get(key)
