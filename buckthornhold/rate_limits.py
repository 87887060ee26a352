"""Limits: how many requests a second a workspace may send to all hosts."""

from buckthornhold import hosts
from buckthornhold import reasons
from buckthornhold.coordination import shared_limits


class WorkspaceRateLimits:
    """Holds each workspace to the rate that the rules give it.

    The platform's list says how many entry hosts share a rate. It is kept
    as it was during a cut, so that no side of a cut takes the other's part.
    """

    def __init__(self, *, host) -> None:
        self._host = host
        self._live_hosts = hosts.LiveCount()
        self._shared = shared_limits.SharedLimits(
            count_hosts=self._count_hosts
        )

    def check(self, workspace: str) -> reasons.Failure | None:
        """Count one request; return why it is over the limit, or None."""
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
