"""Rate limits of workspaces over all entry hosts."""

from buckthornhold import hosts
from buckthornhold import reasons
from buckthornhold.coordination import shared_limits


class WorkspaceRateLimits:
    """Limits each workspace to its rate from the rules.

    A rate is divided by the number of entry hosts on the platform's list.
    The list stays unchanged during a network partition, so neither side uses
    the other's part.
    """

    def __init__(self, *, host) -> None:
        self._host = host
        self._live_hosts = hosts.LiveCount()
        self._shared = shared_limits.SharedLimits(
            count_hosts=self._count_hosts
        )

    def check(self, workspace: str) -> reasons.Failure | None:
        """Count a request; return the failure if it exceeds the limit."""
        limit = self._host.rules.find_limit(workspace)
        if limit is None or not limit.rate:
            return None
        wait = self._shared.acquire(workspace, rate=limit.rate)
        if not wait:
            return None
        return reasons.Failure(
            reason=reasons.Reason.LIMIT_REACHED,
            step="limit",
            detail=f"workspace {workspace} may send {limit.rate:g}/s",
            retry_after=wait,
        )

    def _count_hosts(self) -> int:
        return self._live_hosts.count(self._host.upstreams.entry_hosts)
