"""Other ways to hold a limit over many hosts, to compare with.

Each has the methods of ``quotas.Quotas`` that ``shared_limits`` plays.
"""

from buckthornhold import limit_uses

#: Depth of a host's bucket, in seconds of its part of the rate.
DEPTH_SECONDS = 1.0
#: Time over which a host measures its part of the demand, in seconds.
PART_SECONDS = 6.0
#: How long a host's lease is on its way, in seconds, and how long the demand
#: is that it asks for.
LEASE_DELAY_SECONDS = 1.0
LEASE_SECONDS = 0.5
MIN_WAIT_SECONDS = 0.2


class BucketWay:
    """A bucket on each host with an equal part of the rate."""

    def __init__(self, *, rate, window, count_hosts, clock) -> None:
        self._rate = rate
        self._window = window
        self._count_hosts = count_hosts
        self._clock = clock
        self._level = 0.0
        self._filled_at = clock()
        self._admitted = 0.0
        self._requested = 0.0

    def admit(self, workspace, units, *, urgency=0, returning=False):
        """Admit a request if the bucket isn't in debt."""
        now = self._clock()
        self._requested += units
        rate = self._find_part() * self._rate
        filled = self._level + (now - self._filled_at) * rate
        self._level = min(DEPTH_SECONDS * rate, filled)
        self._filled_at = now
        if self._level <= 0:
            return max(MIN_WAIT_SECONDS, -self._level / rate)
        self._level -= units
        self._admitted += units
        return 0.0

    def publish_uses(self, workspaces):
        """Return the totals."""
        use = limit_uses.Use(
            admitted=self._admitted, requested={0: self._requested}
        )
        return {workspaces[0].name: use}

    def apply_remote_uses(self, process, uses, *, age=0.0, aggregated=False):
        """Ignore what the others report."""

    def _find_part(self) -> float:
        return 1 / self._count_hosts()


class DemandWay(BucketWay):
    """A bucket on each host with its part of the demand."""

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._reports: list[tuple[float, float, float]] = []
        self._own: list[tuple[float, float]] = [(self._clock(), 0.0)]

    def publish_uses(self, workspaces):
        """Remember this host's own demand at this time, too."""
        self._own.append((self._clock(), self._requested))
        return super().publish_uses(workspaces)

    def apply_remote_uses(self, process, uses, *, age=0.0, aggregated=False):
        """Note the others' demand, and this host's own at that time."""
        now = self._clock()
        others = sum(sum(use.requested.values()) for use in uses.values())
        while len(self._own) > 1 and self._own[1][0] <= now - age:
            self._own.pop(0)
        self._reports.append((now, others, self._own[0][1]))
        while self._reports[0][0] < now - PART_SECONDS:
            self._reports.pop(0)

    def _find_part(self) -> float:
        equal = super()._find_part()
        if len(self._reports) < 2:
            return equal
        _, others, own = self._reports[0]
        _, latest_others, latest_own = self._reports[-1]
        total = latest_others - others + latest_own - own
        if total <= 0:
            return equal
        return max(equal / 4, (latest_own - own) / total)


class LeasePool:
    """The collectors' pool, refilled at the limit's rate."""

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._level = 0.0
        self._filled_at: float | None = None

    def take(self, wanted: float, now: float) -> float:
        """Return what may be leased of a wanted amount."""
        if self._filled_at is not None:
            filled = self._level + (now - self._filled_at) * self._rate
            self._level = min(DEPTH_SECONDS * self._rate, filled)
        self._filled_at = now
        leased = max(0.0, min(wanted, self._level))
        self._level -= leased
        return leased


class LeaseWay(BucketWay):
    """Tokens that hosts lease ahead from a pool, by their recent demand."""

    def __init__(self, *, pool: LeasePool, **options) -> None:
        super().__init__(**options)
        self._pool = pool
        self._coming: list[tuple[float, float]] = []
        self._asked_at = self._clock()
        self._asked = 0.0

    def admit(self, workspace, units, *, urgency=0, returning=False):
        """Admit a request if the leases aren't used up."""
        now = self._clock()
        self._requested += units
        while self._coming and self._coming[0][0] <= now:
            self._level += self._coming.pop(0)[1]
        if self._level <= 0:
            return MIN_WAIT_SECONDS + LEASE_DELAY_SECONDS
        self._level -= units
        self._admitted += units
        return 0.0

    def publish_uses(self, workspaces):
        """Ask for the next lease, too."""
        now = self._clock()
        demand = self._requested - self._asked
        self._asked = self._requested
        ahead = LEASE_DELAY_SECONDS / LEASE_SECONDS + 1
        coming = sum(units for _, units in self._coming)
        wanted = max(0.0, ahead * demand - self._level - coming)
        leased = self._pool.take(wanted, now)
        self._coming.append((now + LEASE_DELAY_SECONDS, leased))
        return super().publish_uses(workspaces)
