"""Quotas: rate limits of workspaces that hold over all hosts together.

Each host keeps a token bucket for each workspace. It deducts the units that
it admits itself and those that the other hosts report in their summaries.
While little is left, each host admits at most its allowance between two
summaries, its share of what is left. A host that may still run but sends no
summaries is assumed to use an equal share of the limit.

With ``shared`` the rates are divided among the hosts by their demand instead;
see ``shared_quotas``.
"""

from collections.abc import Callable
import math
import random
import time

from buckthornhold import counters
from buckthornhold import limit_uses
from buckthornhold import relay_settings
from buckthornhold import routes

#: Lower bound of the Retry-After that a refused caller gets.
MIN_RETRY_AFTER_SECONDS = 0.2
#: Depth of the bucket, in seconds of the limit's rate. The rest of the burst
#: is added to the refill rate, evenly over the window: if all of it were
#: available at once, a spike would leave nothing for the rest of the window.
BURST_SECONDS = 1.0
#: Share of the depth that a bucket holds when its process starts. What earlier
#: processes admitted is unknown, so it does not start full.
INITIAL_BURST_SHARE = 0.25
#: A host has no allowance while the level is at least this share of the depth
#: and this many times what all hosts admitted between two summaries: they
#: can't use the level up before the next one, unless the demand jumps.
AMPLE_DEPTH_SHARE = 0.5
AMPLE_INTERVALS = 2.0
#: Level that a refused caller waits for, and least depth of a bucket, in
#: seconds of refill.
MIN_LEVEL_SECONDS = 0.1


class _TokenBucket:
    """Token bucket of one workspace, in the units of its limit.

    ``level`` is what is left; it may fall below zero.
    """

    def __init__(self, *, level: float, now: float) -> None:
        self.level = level
        self.refilled_at = now
        self.admitted = 0.0
        #: Units that this host admitted since its last summary.
        self.unpublished = 0.0
        #: Units that this host may admit until its next summary.
        self.allowance = level
        #: Units that other hosts reported since this host's last summary.
        self.remote_admitted = 0.0

    def renew_allowance(self, host_count: int, *, depth: float) -> None:
        """Set the units that this host may admit until its next summary.

        There is no limit while the level is ample. Else the host's share of
        it is its share of the units that all hosts admitted since the last
        summary, but at least an equal share.
        """
        admitted = self.unpublished + self.remote_admitted
        own_share = self.unpublished / admitted if admitted > 0 else 0.0
        self.allowance = max(0.0, self.level) * max(
            own_share, 1 / max(1, host_count)
        )
        if self.level >= max(
            AMPLE_DEPTH_SHARE * depth, AMPLE_INTERVALS * admitted
        ):
            self.allowance = math.inf
        self.unpublished = 0.0
        self.remote_admitted = 0.0


class Quotas:
    """Admits requests within the limits that workspaces have over all hosts.

    A limit is ``rate`` times ``window_seconds`` plus ``burst`` units in any
    window. ``count_hosts`` returns the number of hosts that share the limits.
    ``read_limit_share`` returns the share of the limits that the hosts with
    recent summaries may use: 1 unless a host is silent. ``overage`` and
    ``slack`` say by how much a limit may be exceeded; they, ``draw`` and
    ``notify`` are used for shared rates only.
    """

    def __init__(
        self,
        *,
        window_seconds: float,
        count_hosts: Callable[[], int] = lambda: 1,
        read_limit_share: Callable[[], float] = lambda: 1.0,
        clock: Callable[[], float] = time.monotonic,
        shared: bool = False,
        overage: float = 0.0,
        slack: float = 0.0,
        draw: random.Random | None = None,
        notify: Callable[[limit_uses.LimitChange], None] = lambda _: None,
    ) -> None:
        self._shared = None
        if shared:
            # Loaded where it is switched on: each module delays the start of
            # a host with a small part of a core.
            from buckthornhold import shared_quotas

            self._shared = shared_quotas.SharedQuotas(
                window_seconds=window_seconds,
                overage=overage,
                slack=slack,
                count_hosts=count_hosts,
                read_limit_share=read_limit_share,
                clock=clock,
                draw=draw or random.Random(),
                notify=notify,
            )
        self._window_seconds = window_seconds
        self._count_hosts = count_hosts
        self._read_limit_share = read_limit_share
        self._clock = clock
        self._buckets: dict[str, _TokenBucket] = {}
        self._remote_usage: dict[tuple[str, int], dict[str, float]] = {}

    def admit(
        self,
        workspace: routes.Workspace,
        units: float,
        *,
        urgency: int = 0,
        returning: bool = False,
    ) -> float:
        """Admit a request and return 0, or return the seconds to wait.

        A request may be larger than what is left; the level falls below zero
        and later requests wait. Otherwise small requests would starve large
        ones. ``urgency`` and ``returning``, whether the request was refused
        before, count for shared rates only.
        """
        if not workspace.rate:
            return 0.0
        if self._shared is not None:
            return self._shared.admit(
                workspace, units, urgency=urgency, returning=returning
            )
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

    def refund(
        self, workspace: routes.Workspace, units: float, *, urgency: int = 0
    ) -> None:
        """Give back the units of a request that was not run."""
        if self._shared is not None:
            self._shared.refund(workspace, units, urgency=urgency)
            return
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            return
        bucket.level += units
        bucket.admitted -= units
        bucket.unpublished -= units

    def publish_admitted(
        self, workspaces: tuple[routes.Workspace, ...]
    ) -> dict[str, float]:
        """Return the units admitted since the process started, by workspace.

        Must be called once for each summary: it renews the allowances.
        """
        admitted = {}
        for workspace in workspaces:
            if workspace.name not in self._buckets or not workspace.rate:
                continue
            bucket = self._refill(workspace)
            bucket.renew_allowance(
                self._count_hosts(), depth=self._compute_depth(workspace)
            )
            admitted[workspace.name] = bucket.admitted
        return admitted

    def apply_remote_usage(
        self, process: tuple[str, int], uses: dict[str, float]
    ) -> None:
        """Deduct what another host's process admitted since its last report.

        ``uses`` are totals since that process started. Its first report only
        sets the base.
        """
        totals = self._remote_usage.setdefault(process, {})
        for name, total in uses.items():
            previous = totals.get(name)
            totals[name] = total
            bucket = self._buckets.get(name)
            if bucket is not None and previous is not None:
                bucket.level -= total - previous
                bucket.remote_admitted += total - previous

    def publish_uses(
        self, workspaces: tuple[routes.Workspace, ...]
    ) -> dict[str, limit_uses.Use]:
        """Return the units since the process started, by workspace.

        Must be called once for each summary, as ``publish_admitted``.
        """
        if self._shared is not None:
            return self._shared.publish_uses(workspaces)
        admitted = self.publish_admitted(workspaces)
        return {
            name: limit_uses.Use(admitted=units)
            for name, units in admitted.items()
        }

    def apply_remote_uses(
        self,
        process: tuple[str, int],
        uses: dict[str, limit_uses.Use],
        *,
        age: float = 0.0,
        aggregated: bool = False,
    ) -> None:
        """Apply what another process, or several, reported.

        ``age`` is the seconds since the units were counted, ``aggregated``
        whether they are those of several hosts.
        """
        if self._shared is not None:
            self._shared.apply_remote_uses(
                process, uses, age=age, aggregated=aggregated
            )
            return
        self.apply_remote_usage(
            process, {name: use.admitted for name, use in uses.items()}
        )

    def retain(self, processes: set[tuple[str, int]]) -> None:
        """Forget the reported usage of all processes but these."""
        if self._shared is not None:
            self._shared.retain(processes)
        for process in self._remote_usage.keys() - processes:
            del self._remote_usage[process]

    def _compute_refill_rate(self, workspace: routes.Workspace) -> float:
        """Return the units that a bucket gains per second."""
        remaining_burst = workspace.burst - compute_depth(workspace)
        rate = workspace.rate + remaining_burst / self._window_seconds
        return rate * self._read_limit_share()

    def _compute_depth(self, workspace: routes.Workspace) -> float:
        """Return the most units that a bucket holds.

        A limit without a burst would never admit anything at depth 0.
        """
        return max(
            compute_depth(workspace) * self._read_limit_share(),
            MIN_LEVEL_SECONDS * self._compute_refill_rate(workspace),
        )

    def _refill(self, workspace: routes.Workspace) -> _TokenBucket:
        """Return the workspace's bucket, refilled up to now."""
        now = self._clock()
        depth = self._compute_depth(workspace)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = _TokenBucket(level=INITIAL_BURST_SHARE * depth, now=now)
            self._buckets[workspace.name] = bucket
        rate = self._compute_refill_rate(workspace)
        gained = max(0.0, now - bucket.refilled_at) * rate
        # What was admitted counts for one window. A larger deficit would
        # refuse requests that the limit allows.
        lowest = -(workspace.rate * self._window_seconds + workspace.burst)
        bucket.level = min(depth, max(lowest, bucket.level) + gained)
        bucket.refilled_at = now
        return bucket


def make_quotas(
    config: relay_settings.RelaySettings,
    *,
    count_hosts: Callable[[], int],
    read_limit_share: Callable[[], float],
    logger,
    counts: counters.Counters,
) -> Quotas:
    """Return the quotas of a host with these settings."""
    return Quotas(
        window_seconds=config.bounds.limit_window,
        count_hosts=count_hosts,
        read_limit_share=read_limit_share,
        shared=config.scheduling.shared_limits,
        overage=config.bounds.limit_overage,
        slack=config.bounds.limit_slack,
        notify=limit_uses.ChangeLog(logger=logger, counts=counts).note,
    )


def compute_depth(workspace: routes.Workspace) -> float:
    """Return the units of a workspace's limit that may be admitted at once."""
    return min(workspace.burst, BURST_SECONDS * workspace.rate)
