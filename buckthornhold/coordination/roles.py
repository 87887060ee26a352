"""Roles that one process at a time holds, as their holders need them."""

import abc

from buckthornhold.coordination import leases


class Role(abc.ABC):
    """What its holder needs to know of a role."""

    @property
    @abc.abstractmethod
    def is_held(self) -> bool:
        """Whether this process may act in the role now."""

    @property
    @abc.abstractmethod
    def fence(self) -> int:
        """Number that is higher for each later holder."""

    @abc.abstractmethod
    async def acquire_or_renew(self) -> None:
        """Take or renew the role; to be called a few times in its term."""


class LeasedRole(Role):
    """A role that a keeper of leases holds.

    It is kept at its holder's own pace and needs no service of its own.
    """

    def __init__(self, *, elector: leases.LeaderElector) -> None:
        self._elector = elector
        self._last_fence = 0

    @property
    def is_held(self) -> bool:
        """Whether this process may act in the role now."""
        return self._elector.active_lease is not None

    @property
    def fence(self) -> int:
        """Number of this process's latest lease, 0 before the first."""
        lease = self._elector.active_lease
        if lease is not None:
            self._last_fence = lease.fence
        return self._last_fence

    async def acquire_or_renew(self) -> None:
        """Take or renew the role; to be called a few times in its term."""
        await self._elector.run_once()
