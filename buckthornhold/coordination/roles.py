"""Roles, each of which one process at a time holds."""

import abc

from buckthornhold.coordination import leases


class Role(abc.ABC):
    """A role as seen by a process that may hold it."""

    @property
    @abc.abstractmethod
    def is_held(self) -> bool:
        """Whether this process may act as the holder now."""

    @property
    @abc.abstractmethod
    def fence(self) -> int:
        """Fencing token, which increases with each new holder."""

    @abc.abstractmethod
    async def acquire_or_renew(self) -> None:
        """Acquire or renew the role; call this several times per lease."""


class LeasedRole(Role):
    """A role held by a lease.

    The owner calls ``acquire_or_renew`` at its own interval, so the elector
    needn't run as a service.
    """

    def __init__(self, *, elector: leases.LeaderElector) -> None:
        self._elector = elector
        self._last_fence = 0

    @property
    def is_held(self) -> bool:
        """Whether this process may act as the holder now."""
        return self._elector.active_lease is not None

    @property
    def fence(self) -> int:
        """Fencing token of this process's latest lease; 0 before the first."""
        lease = self._elector.active_lease
        if lease is not None:
            self._last_fence = lease.fence
        return self._last_fence

    async def acquire_or_renew(self) -> None:
        """Acquire or renew the role; call this several times per lease."""
        await self._elector.run_once()
