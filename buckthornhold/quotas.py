"""Quotas: what a workspace may ask of all hosts together.

Each host keeps a bucket for each workspace's limit and takes from it what
itself and, as their summaries tell, all other hosts have admitted. What is
left near the limit is shared out until the next summaries. A host that may
still run but is not heard is taken to use its equal part.
"""

from collections.abc import Callable
import time

from buckthornhold import routes

#: A refused caller is asked to wait at least so long, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.2
#: What may be taken at once, as seconds of a limit's rate. The rest of its
#: burst is given out evenly over the window, so that a rush is not followed
#: by a drought.
BURST_SECONDS = 1.0
#: Part of that burst which a process has when it starts: what the processes
#: before it admitted is not known.
INITIAL_BURST_SHARE = 0.25
#: What is to be left when a refused caller comes back, as seconds of refill.
MIN_LEVEL_SECONDS = 0.1


class _TokenBucket:
    """What is left of one workspace's limit, in its units."""

    def __init__(self, *, level: float, now: float) -> None:
        self.level = level
        self.refilled_at = now
        self.admitted = 0.0
        #: Units of this host that the others have not been told of.
        self.unpublished = 0.0
        #: What of the limit this host may take until they are told again.
        self.allowance = level
        #: Units of the other hosts that were heard of since then.
        self.remote_admitted = 0.0

    def renew_allowance(self, host_count: int) -> None:
        """Set this host's part of what is left until the next telling.

        It is in proportion to what the hosts took since the last one, and
        an equal part at least.
        """
        taken = self.unpublished + self.remote_admitted
        own = self.unpublished / taken if taken > 0 else 0.0
        self.allowance = max(0.0, self.level) * max(
            own, 1 / max(1, host_count)
        )
        self.unpublished = 0.0
        self.remote_admitted = 0.0


class Quotas:
    """Admits requests within the workspaces' limits over all hosts.

    A limit is ``rate`` times ``window_seconds`` plus ``burst`` units in any
    window. ``count_hosts`` returns how many hosts take part, and
    ``read_share`` the part of the limits that those heard lately may use, 1
    when none is silent.
    """

    def __init__(
        self,
        *,
        window_seconds: float,
        count_hosts: Callable[[], int] = lambda: 1,
        read_limit_share: Callable[[], float] = lambda: 1.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._window_seconds = window_seconds
        self._count_hosts = count_hosts
        self._read_limit_share = read_limit_share
        self._clock = clock
        self._buckets: dict[str, _TokenBucket] = {}
        self._remote_usage: dict[tuple[str, int], dict[str, float]] = {}

    def admit(self, workspace: routes.Workspace, units: float) -> float:
        """Admit a request; return 0, or the seconds to wait instead.

        A large request may take more than is left, and the next ones wait
        for it: else small ones would always leave it too little.
        """
        if not workspace.rate:
            return 0.0
        bucket = self._refill(workspace)
        if bucket.level <= 0.0:
            rate = self._compute_refill_rate(workspace)
            missing = MIN_LEVEL_SECONDS * rate - bucket.level
            return max(MIN_RETRY_AFTER_SECONDS, missing / rate)
        if bucket.unpublished > 0 and bucket.unpublished >= bucket.allowance:
            return MIN_RETRY_AFTER_SECONDS
        bucket.level -= units
        bucket.admitted += units
        bucket.unpublished += units
        return 0.0

    def refund(self, workspace: routes.Workspace, units: float) -> None:
        """Return what a request had taken that was not run."""
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            return
        bucket.level += units
        bucket.admitted -= units
        bucket.unpublished -= units

    def publish_admitted(
        self, workspaces: tuple[routes.Workspace, ...]
    ) -> dict[str, float]:
        """Return the units that this process has admitted, by workspace.

        To be called when the other hosts are told.
        """
        told = {}
        for workspace in workspaces:
            if workspace.name not in self._buckets or not workspace.rate:
                continue
            bucket = self._refill(workspace)
            bucket.renew_allowance(self._count_hosts())
            told[workspace.name] = bucket.admitted
        return told

    def apply_remote_usage(
        self, process: tuple[str, int], uses: dict[str, float]
    ) -> None:
        """Learn what a process of another host has admitted in all."""
        known = self._remote_usage.setdefault(process, {})
        for name, taken in uses.items():
            before = known.get(name)
            known[name] = taken
            bucket = self._buckets.get(name)
            if bucket is not None and before is not None:
                bucket.level -= taken - before
                bucket.remote_admitted += taken - before

    def retain(self, processes: set[tuple[str, int]]) -> None:
        """Keep what is known of these processes alone."""
        for process in self._remote_usage.keys() - processes:
            del self._remote_usage[process]

    def _compute_refill_rate(self, workspace: routes.Workspace) -> float:
        """Return the units that a bucket gains a second."""
        rest = workspace.burst - compute_depth(workspace)
        rate = workspace.rate + rest / self._window_seconds
        return rate * self._read_limit_share()

    def _refill(self, workspace: routes.Workspace) -> _TokenBucket:
        now = self._clock()
        depth = compute_depth(workspace) * self._read_limit_share()
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = _TokenBucket(level=INITIAL_BURST_SHARE * depth, now=now)
            self._buckets[workspace.name] = bucket
        rate = self._compute_refill_rate(workspace)
        # Without a burst there must still be room for a request now and then.
        depth = max(depth, MIN_LEVEL_SECONDS * rate)
        gained = max(0.0, now - bucket.refilled_at) * rate
        bucket.level = min(depth, bucket.level + gained)
        bucket.refilled_at = now
        return bucket


def compute_depth(workspace: routes.Workspace) -> float:
    """Return the units of a limit that may be taken at once."""
    return min(workspace.burst, BURST_SECONDS * workspace.rate)
