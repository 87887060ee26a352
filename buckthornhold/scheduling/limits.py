"""Limits: what a workspace's limit allows, and what asks for it."""

from collections.abc import Mapping
import dataclasses

#: Class of the requests that are small whatever their urgency.
SMALL = -1
#: Class of the units of which a host reports only that they were admitted.
UNREPORTED = 5
#: How much more often a request that was refused before is admitted than a
#: new one of its class. With 2 the returning ones make the demand oscillate.
RETURNING_WEIGHT = 1.5
#: Part of the rate that each urgency gets if it asks for it.
FLOOR_SHARE = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limit:
    """A limit: ``rate`` times ``window`` plus ``burst`` units in any window.

    It may be exceeded by the share ``overage`` plus ``slack`` units.
    """

    rate: float
    burst: float
    window: float
    overage: float
    slack: float

    @property
    def sum(self) -> float:
        """Units that a window may admit."""
        return self.rate * self.window + self.burst

    @property
    def bound(self) -> float:
        """Units that a window never exceeds."""
        return self.sum * (1 + self.overage) + self.slack


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetView:
    """The fleet as this host sees it.

    ``host_count`` are all hosts that may run, ``limit_share`` the part of
    the limit for those that this host hears from.
    """

    host_count: int
    limit_share: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticket:
    """A request for ``units`` of a limit.

    ``returning`` tells that it was refused before.
    """

    units: float
    urgency: int
    small: bool = False
    returning: bool = False

    @property
    def kind(self) -> int:
        """The class that it is counted in."""
        return SMALL if self.small else self.urgency

    @property
    def weight(self) -> float:
        """How much more often it is admitted than another of its class."""
        return RETURNING_WEIGHT if self.returning else 1.0

    @property
    def demand(self) -> float:
        """Units that it counts as demand: those of its weight.

        So the sum that is admitted stays right when many return.
        """
        return self.weight * self.units


def divide_rate(
    rate: float, demands: Mapping[int, float], *, small_rate: float
) -> dict[int, float]:
    """Return which part of each class's requests a rate allows.

    Small requests come first, up to ``small_rate``; then each urgency gets
    its floor, and the most urgent ones the rest.
    """
    if sum(demands.values()) <= rate:
        return dict.fromkeys(demands, 1.0)
    small = min(demands.get(SMALL, 0.0), small_rate)
    rate = max(0.0, rate - small)
    granted = {
        kind: min(demand, FLOOR_SHARE * rate)
        for kind, demand in demands.items()
    }
    granted[SMALL] = small
    rest = rate - sum(granted.values()) + small
    for kind in sorted(it for it in demands if it != SMALL):
        more = max(0.0, min(demands[kind] - granted[kind], rest))
        granted[kind] += more
        rest -= more
    return {
        kind: granted[kind] / demand if demand else 1.0
        for kind, demand in demands.items()
    }
