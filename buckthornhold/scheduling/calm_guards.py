"""Calm guards: whether a workspace is over its limit, and what applies if not.

While the fleet isn't known to be over a limit, every request is admitted but
for what could break the bound before newer figures arrive: each host may use
its part of the room that the window still has.
"""

import math

from buckthornhold.scheduling import limits

#: Demand above the target by this many standard deviations is no chance.
OVER_SIGMAS = 2.0
#: Shortest time that a demand is averaged over, in seconds.
SHORTEST_SECONDS = 0.75
#: Part of the overage and slack that a window's sum may use by chance.
CHANCE_SHARE = 0.25
#: Time that the demand is below the rate before the rate isn't divided any
#: more, in seconds. Returning callers make the demand vary within it.
CALM_SECONDS = 1.0
#: A request is always admitted if less than this, in typical requests, was
#: requested of the host within some seconds: a clump of two is chance.
#: Counting what was admitted instead would renew it during a surge.
LEAST_REQUESTS = 3.0
LEAST_SECONDS = 1.25
#: Size that is taken for typical before sizes are known, as a part of the
#: slack, and the number of requests that it counts as. The first request
#: alone may be far smaller than the next one.
UNKNOWN_SLACK_PART = 1 / 12
UNKNOWN_REQUESTS = 8
#: Typical requests that are kept back of a host's part of the room: its last
#: request may exceed the allowance, and others come by the least one.
LAST_REQUESTS = 1.3


class CalmGuard:
    """Tells whether a workspace's rate has to be divided on this host."""

    def __init__(self) -> None:
        self._over = False
        self._below_since: float | None = None
        self._allowance = 0.0
        self._least = 0.0

    @property
    def over(self) -> bool:
        """Whether the fleet is known to be over the limit."""
        return self._over

    def allows(self, *, unreported: float, recent: float) -> bool:
        """Tell whether a request is admitted while the limit isn't reached.

        ``unreported`` are the units that this host admitted since the
        others' latest figures, ``recent`` those that were requested of it
        within LEAST_SECONDS.
        """
        return unreported < self._allowance or recent < self._least

    def update(
        self,
        limit: limits.Limit,
        *,
        total: float,
        demand: float,
        rate: float,
        target: float,
        typical: float,
        now: float,
    ) -> None:
        """Compare the window's sum and the demand with the limit.

        ``rate`` is what the fleet should admit to keep the sum at the limit,
        ``target`` the limit's own rate.
        """
        noise = math.sqrt(typical * demand / SHORTEST_SECONDS)
        most = limit.sum + CHANCE_SHARE * (limit.bound - limit.sum)
        if demand - OVER_SIGMAS * noise > target or (
            total > most and demand > rate
        ):
            self._over = True
            self._below_since = None
            return
        if not self._over:
            return
        if demand > min(rate, target):
            self._below_since = None
            return
        if self._below_since is None:
            self._below_since = now
        if now - self._below_since >= CALM_SECONDS:
            self._over = False
            self._below_since = None

    def set_room(self, room: float, *, typical: float) -> None:
        """Set this host's part of the window's room."""
        self._allowance = room - LAST_REQUESTS * typical
        self._least = LEAST_REQUESTS * typical


def estimate_typical(limit: limits.Limit, typical: float, count: int) -> float:
    """Return the typical size, of which ``count`` requests are known."""
    unknown = UNKNOWN_SLACK_PART * limit.slack
    whole = UNKNOWN_REQUESTS + count
    return (UNKNOWN_REQUESTS * unknown + count * typical) / whole
