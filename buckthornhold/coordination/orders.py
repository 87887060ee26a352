"""Fenced orders to upstreams from the lease holder of a role.

An upstream that checks fencing tokens refuses orders of earlier holders
itself. For one that doesn't, the holder waits until every order of the
previous holder has taken effect or failed, sends only orders that take effect
within its own lease, and then verifies the upstream's state twice: a process
that was paused between its check and its write may still send one late order.
"""

import abc
import asyncio
from collections.abc import Callable

from buckthornhold import reasons
from buckthornhold.coordination import leases
from buckthornhold.coordination import pause_detectors

#: Resends of an order after the upstream was found in another state.
MAX_RESENDS = 2


class Target(abc.ABC):
    """An upstream that accepts one kind of order.

    ``checks_fence`` tells whether it refuses old fencing tokens. A refusal
    is a failure with the reason ``FENCE_OLD``; its detail is the newest token
    that the upstream has seen, if it reports one.
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
        """Tell whether the upstream is in the state the order requests."""


class OrderIssuer:
    """Issues orders while this process holds a role's lease.

    ``max_flight_seconds`` is the maximum time from sending an order until it
    has taken effect or never will. Needs only a ``leases.LeaderElector``.
    """

    def __init__(
        self,
        *,
        elector: leases.LeaderElector,
        max_flight_seconds: float,
        counters,
        clock: Callable[[], float] = pause_detectors.read_boot_clock,
    ) -> None:
        self._elector = elector
        self._max_flight_seconds = max_flight_seconds
        self._counters = counters
        self._clock = clock

    async def issue(self, target: Target, order) -> None | reasons.Failure:
        """Issue an order; return once no earlier order can override it.

        A failure's ``ran`` tells whether the order may have taken effect.
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
            applied = await self._stays_applied(target, order)
            if isinstance(applied, reasons.Failure):
                return applied.replace(ran=reasons.Ran.UNKNOWN)
            if applied:
                return None
            self._counters.count_event("orders.overridden")
        return self._fail(
            target, reasons.Reason.ORDER_OVERRIDDEN, reasons.Ran.YES
        )

    async def _wait_for_earlier_orders(
        self, target: Target
    ) -> None | reasons.Failure:
        lease = self._elector.active_lease
        if lease is None:
            return self._fail(target, reasons.Reason.NOT_HOLDER)
        wait = lease.acquired_at + self._max_flight_seconds - self._clock()
        await asyncio.sleep(max(0.0, wait))
        return None

    async def _send_once(
        self, target: Target, order
    ) -> None | reasons.Failure:
        lease = self._elector.active_lease
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
                self._elector.observe_fence(int(result.detail))
        return result

    async def _stays_applied(
        self, target: Target, order
    ) -> bool | reasons.Failure:
        """Check now, and again once any late order has taken effect."""
        for wait in (0.0, self._max_flight_seconds):
            await asyncio.sleep(wait)
            applied = await target.is_applied(order)
            if applied is not True:
                return applied
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
