"""Duties: what one host at a time does for all, and which one does it."""

from buckthornhold import reasons
from buckthornhold import tasks
from buckthornhold.coordination import leases
from buckthornhold.coordination import store_eras

#: Hosts that ask for the role at a time; the others ask if these are gone.
CANDIDATES = 2
#: Part of the lease that is left unused, for clocks that run unlike.
MARGIN_SHARE = 0.15


class Duty(tasks.PeriodicService):
    """Takes and keeps the role of the host that does the duties."""

    def __init__(self, *, host) -> None:
        term = host.settings.bounds.lease_seconds
        super().__init__(
            interval=term * leases.RENEW_AFTER_SHARE,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._keeper = leases.LeaderElector(
            store=host.store,
            role="duties",
            holder=f"{host.settings.host}/{host.incarnation}",
            ttl=term,
            margin=term * MARGIN_SHARE,
            logger=host.logger,
            counters=host.counters,
            is_candidate=self._is_candidate,
        )
        host.store.eras.add_part(
            store_eras.Order.LEASES, "duty", lambda change: self.wake()
        )

    @property
    def held(self) -> bool:
        """Whether this host may act now."""
        return self._keeper.active_lease is not None

    @property
    def fence(self) -> int:
        """The fencing number of the lease, 0 without one."""
        lease = self._keeper.active_lease
        return lease.fence if lease is not None else 0

    async def run_once(self) -> None:
        """Take or renew the role."""
        await self._keeper.run_once()

    async def is_superseded(self) -> bool:
        """Tell whether another host has got the role after this one.

        If the store doesn't say, the lease alone decides, which another host
        can't get before it has run out.
        """
        superseded = await self._keeper.is_superseded()
        if isinstance(superseded, reasons.Failure):
            self._logger.bind(
                step="duty", reason=superseded.reason.value
            ).warning(f"can't tell who has the role: {superseded.detail}")
            return not self.held
        return superseded

    async def give_up(self) -> None:
        """Give the role up, as another host has acted after this one."""
        self._keeper.observe_fence(self.fence + 1)
        await self._keeper.release()

    def _is_candidate(self) -> bool:
        if self._host.stopping or not self._host.ready:
            return False
        ranked = self._host.members.rank_present(purpose="duties")
        own = self._host.settings.host
        return own in [it.host for it in ranked[:CANDIDATES]]
