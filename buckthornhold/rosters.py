"""Rosters: relay hosts find each other through the store.

Seeds may all be gone by the time that a new host starts, so each host also
writes its address into the store, under a lease.
"""

from collections.abc import Callable

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold import tasks
from buckthornhold.coordination import store_eras

PREFIX = "entry-hosts/"
#: Time between two readings, in seconds; probes find changes sooner.
INTERVAL = 5.0
#: An address that was not renewed for so long is gone, in seconds.
LEASE_SECONDS = 60.0
#: Part of the lease after which it is renewed.
RENEW_AFTER = 1 / 4


class Roster(tasks.PeriodicService):
    """Keeps this host's address in the store and reads those of others.

    A host that knows others reads them only while ``is_reader`` returns
    True.
    """

    def __init__(self, *, host, is_reader: Callable[[], bool]) -> None:
        super().__init__(
            interval=INTERVAL, logger=host.logger, counters=host.counters
        )
        self._host = host
        self._is_reader = is_reader
        self._lease_id: str | None = None
        self._rounds = 0
        host.eras.add_part(store_eras.Order.ROSTER, "roster", self._begin_era)

    async def run_once(self) -> None:
        """Write or renew the own address, and read all now and then."""
        await self._keep()
        due = self._rounds % int(LEASE_SECONDS * RENEW_AFTER / INTERVAL) == 0
        due = due and self._is_reader()
        if not due and len(self._host.members.list_all()):
            self._rounds += 1
            return
        listed = await self._host.store.list_entries(PREFIX)
        if isinstance(listed, reasons.Failure):
            return
        self._rounds += 1
        addresses = {entry.value for entry in listed.entries}
        addresses |= set(self._host.settings.seeds)
        addresses.discard(self._host.settings.listen.peers)
        self._host.prober.apply_listing(sorted(addresses))

    def _begin_era(self, change: store_eras.EraChange) -> None:
        """Register again in the next round; hosts' rounds are spread.

        The lease's id may belong to another host by now.
        """
        self._lease_id = None

    async def _keep(self) -> None:
        if self._lease_id is not None:
            if self._rounds % int(LEASE_SECONDS * RENEW_AFTER / INTERVAL):
                return
            kept = await self._host.store.keep_lease(self._lease_id)
            if kept is None or (
                kept.reason is not reasons.Reason.STORE_CONFLICT
            ):
                return
            self._lease_id = None
        granted = await self._host.store.grant_lease(LEASE_SECONDS)
        if isinstance(granted, reasons.Failure):
            return
        written = await self._host.store.put(
            PREFIX + self._host.settings.host,
            self._host.settings.listen.peers,
            expect=None,
            lease_id=granted.lease_id,
        )
        if not isinstance(written, stores.Entry):
            return
        if store_eras.find_era(written.version) == granted.era:
            self._lease_id = granted.lease_id
