"""Orders to upstreams by the holder of a role.

An upstream that checks fencing numbers refuses an order of an earlier
holder by itself. For one that does not, the holder waits until every order
of the one before has landed, sends only what lands within its own lease,
and looks at what the upstream then has, again after a while: a process that
was paused between its check and its write may still send one late order.
"""

import abc
import asyncio
from collections.abc import Callable

from buckthornhold import reasons
from buckthornhold.coordination import leases
from buckthornhold.coordination import pause_detectors

#: Times an order is given again when another state is found afterwards.
MAX_RESENDS = 2


class Target(abc.ABC):
    """An upstream that takes one kind of order.

    ``checks_fence`` says whether it refuses old fencing numbers; a refusal
    is a failure with the reason ``FENCE_OLD``, its detail the number that
    the upstream has seen, where it tells.
    """

    checks_fence = False
    name = ""

    @abc.abstractmethod
    async def send(
        self, order, *, fence: int, timeout: float
    ) -> None | reasons.Failure:
        """Send the order once, for at most ``timeout`` seconds."""

    @abc.abstractmethod
    async def is_applied(self, order) -> bool | reasons.Failure:
        """Look whether the upstream has what the order asks for."""


class OrderIssuer:
    """Gives orders while a role is held.

    ``flight`` is the longest time in seconds from sending an order until it
    has taken effect or never will. Needs a ``leases.Keeper`` alone.
    """

    def __init__(
        self,
        *,
        keeper: leases.LeaderElector,
        max_flight_seconds: float,
        counters,
        clock: Callable[[], float] = pause_detectors.read_boot_clock,
    ) -> None:
        self._keeper = keeper
        self._max_flight_seconds = max_flight_seconds
        self._counters = counters
        self._clock = clock

    async def issue(self, target: Target, order) -> None | reasons.Failure:
        """Give an order and return when it is sure to stand.

        A failure says with ``ran`` whether the order may have taken effect.
        """
        if target.checks_fence:
            return await self._send_once(target, order)
        failure = await self._wait_for_earlier_orders(target)
        if failure is not None:
            return failure
        for _ in range(1 + MAX_RESENDS):
            failure = await self._send_once(target, order)
            if failure is not None:
                return failure
            stands = await self._stays_applied(target, order)
            if isinstance(stands, reasons.Failure):
                return stands.replace(ran=reasons.Ran.UNKNOWN)
            if stands:
                return None
            self._counters.count_event("orders.overridden")
        return self._fail(
            target, reasons.Reason.ORDER_OVERRIDDEN, reasons.Ran.YES
        )

    async def _wait_for_earlier_orders(
        self, target: Target
    ) -> None | reasons.Failure:
        lease = self._keeper.active_lease
        if lease is None:
            return self._fail(target, reasons.Reason.NOT_HOLDER)
        wait = lease.acquired_at + self._max_flight_seconds - self._clock()
        await asyncio.sleep(max(0.0, wait))
        return None

    async def _send_once(
        self, target: Target, order
    ) -> None | reasons.Failure:
        lease = self._keeper.active_lease
        if lease is None:
            return self._fail(target, reasons.Reason.NOT_HOLDER)
        if lease.expires_at - self._clock() < self._max_flight_seconds:
            return self._fail(target, reasons.Reason.LEASE_TOO_SHORT)
        result = await target.send(
            order, fence=lease.fence, timeout=self._max_flight_seconds
        )
        if result is None:
            return None
        if result.reason is reasons.Reason.FENCE_OLD:
            self._counters.count_event("orders.fenced")
            if result.detail.isdigit():
                self._keeper.observe_fence(int(result.detail))
        return result

    async def _stays_applied(
        self, target: Target, order
    ) -> bool | reasons.Failure:
        """Look now and once more after a late order would have landed."""
        for wait in (0.0, self._max_flight_seconds):
            await asyncio.sleep(wait)
            found = await target.is_applied(order)
            if found is not True:
                return found
        return True

    def _fail(
        self,
        target: Target,
        reason: reasons.Reason,
        ran: reasons.Ran = reasons.Ran.NO,
    ) -> reasons.Failure:
        return reasons.Failure(
            reason=reason, step="give order", peer=target.name, ran=ran
        )
