"""Cloud orders: what is written down is asked of the cloud and followed."""

import time

from buckthornhold import clouds
from buckthornhold import reasons
from buckthornhold import start_refusals
from buckthornhold.coordination import leases
from buckthornhold.coordination import provisions


class CloudOrders:
    """Asks the cloud while the role of ordering hosts is held."""

    def __init__(
        self,
        *,
        host,
        cloud: clouds.Cloud,
        keeper: leases.LeaderElector,
        refusals: start_refusals.StartRefusals,
    ) -> None:
        self._host = host
        self._cloud = cloud
        self._keeper = keeper
        self._refusals = refusals

    async def carry_out(
        self,
        written: tuple[provisions.Provision, ...],
        listed: dict[str, provisions.ListedHost],
    ) -> tuple[provisions.Provision, ...] | reasons.Failure:
        """Ask for all that is not done yet; return how far each host is.

        What has no sure answer stays as it is and is asked again.
        """
        kept = []
        for it in written:
            lease = self._keeper.active_lease
            if lease is None:
                return fail_not_holder()
            if it.state is provisions.State.ORDERED:
                it = await self._order(it, lease.fence)
            elif it.state is provisions.State.RELEASING:
                it = await self._release(it, lease.fence, listed)
            if it is not None:
                kept.append(it)
        return tuple(kept)

    async def _order(
        self, it: provisions.Provision, fence: int
    ) -> provisions.Provision | None:
        """Order one host; None when the cloud has surely refused."""
        offer = clouds.Offer(
            zone=it.zone,
            host_class=it.host_class,
            reclaimable=it.reclaimable,
        )
        found = await self._cloud.order_host(
            offer, order_id=it.order_id, fence=fence
        )
        if not isinstance(found, reasons.Failure):
            self._host.counters.count_event("provisions.ordered")
            self._refusals.note_start(it.placement)
            self._log(found).info(f"ordered in {it.zone}, {it.host_class}")
            return it.advance(
                provisions.State.STARTING, changed=time.time(), host=found
            )
        if found.ran is not reasons.Ran.NO:
            return it
        self._host.counters.count_event("provisions.refused")
        self._refusals.note_refusal(it.placement)
        self._log(it.zone).warning(
            f"no {it.host_class} host to be had: {found.detail}"
        )
        return None

    async def _release(
        self,
        it: provisions.Provision,
        fence: int,
        listed: dict[str, provisions.ListedHost],
    ) -> provisions.Provision | None:
        """Give one host back; None when that is done."""
        result = await self._cloud.release_host(it.host, fence=fence)
        if isinstance(result, reasons.Failure):
            self._log(it.host).warning(f"not released: {result.detail}")
            return it
        if it.host in listed:
            return it
        self._host.counters.count_event("provisions.released")
        return None

    def _log(self, peer: str):
        return self._host.logger.bind(step="provision", peer=peer)


def fail_not_holder() -> reasons.Failure:
    """Return the failure of one that lost the role in the midst."""
    return reasons.Failure(reason=reasons.Reason.NOT_HOLDER, step="provision")
