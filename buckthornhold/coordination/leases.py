"""Leases that let one process at a time hold a role, with fencing tokens.

The role's key is attached to a store lease and is deleted when that expires.
A second, permanent key counts fencing tokens. A process increments the
counter, creates the role's key, and becomes the holder only if the counter
still has its own value. So each holder has a higher token than all earlier
ones. Tokens of a restored store are higher than all of its earlier eras, and
a lease is valid only in the era in which it was acquired.
"""

from collections.abc import Callable
import dataclasses
import json
import math

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold import tasks
from buckthornhold.coordination import pause_detectors
from buckthornhold.coordination import store_eras

#: Share of the lease's TTL after which it is renewed.
RENEW_AFTER_SHARE = 1 / 3
#: Attempts to acquire or renew per lease TTL.
ATTEMPTS_PER_LEASE = 6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lease:
    """A held role; times are on the holder's clock.

    ``expires_at`` is when the holder must stop acting, which is before the
    store's lease expires. ``era`` is the store's era that has the lease.
    """

    role: str
    fence: int
    lease_id: str
    acquired_at: float
    expires_at: float
    era: int = 0


class LeaderElector(tasks.PeriodicService):
    """Acquires a role and renews its lease as long as possible.

    ``ttl`` is the store lease's time to live in seconds. The holder measures
    it from the time before each request is sent, minus ``margin``, on a
    clock that also advances while the process is stopped. ``is_candidate``
    returns whether this process should try to acquire the role. There should
    be few candidates, as each reads the store ``ATTEMPTS_PER_LEASE`` times
    per TTL. ``notify`` is called with True when the role is acquired and with
    False when it is lost. Depends on a store only.
    """

    def __init__(
        self,
        *,
        store: stores.Store,
        role: str,
        holder: str,
        ttl: float,
        margin: float,
        logger,
        counters,
        is_candidate: Callable[[], bool] = lambda: True,
        notify: Callable[[bool], None] = lambda acquired: None,
        clock: Callable[[], float] = pause_detectors.read_boot_clock,
    ) -> None:
        super().__init__(
            interval=ttl / ATTEMPTS_PER_LEASE, logger=logger, counters=counters
        )
        self._store = store
        self._role = role
        self._holder = holder
        self._ttl = ttl
        self._margin = margin
        self._is_candidate = is_candidate
        self._notify = notify
        self._clock = clock
        self._lease: Lease | None = None
        self._renewed_at = 0.0
        self._highest_fence = 0
        self._eras = store.eras
        #: No attempt to acquire the role is made before this time.
        self._acquire_after = -math.inf
        #: The own role entry of an earlier era, which the copy may contain.
        self._former_value = ""
        self._eras.add_part(
            store_eras.Order.LEASES, f"lease {role}", self._begin_era
        )

    @property
    def role(self) -> str:
        """The role's name."""
        return self._role

    @property
    def active_lease(self) -> Lease | None:
        """The lease if this process may act as the holder now, else None."""
        lease = self._lease
        if lease is None or self._clock() >= lease.expires_at:
            return None
        return lease if lease.era == self._eras.current else None

    async def find_holder(self) -> str | reasons.Failure:
        """Return the holder according to the store; empty if none."""
        entry = await self._store.get(self._role_key)
        if isinstance(entry, reasons.Failure):
            return entry
        return json.loads(entry.value)["holder"] if entry else ""

    async def is_superseded(self) -> bool | reasons.Failure:
        """Return whether the store has a higher token than this process.

        Makes one call to the store.
        """
        lease = self.active_lease
        if lease is None:
            return True
        entry = await self._store.get(self._fence_key)
        if isinstance(entry, reasons.Failure):
            return entry
        return entry is not None and int(entry.value) > lease.fence

    def observe_fence(self, fence: int) -> None:
        """Record a fencing token that was in use, from a rejected order.

        Tokens allocated later are higher, even if the store was restored to
        an older count.
        """
        self._highest_fence = max(self._highest_fence, fence)

    async def run_once(self) -> None:
        """Renew the lease if it is due, or try to acquire the role."""
        if self._lease is None:
            if self._clock() >= self._acquire_after and self._is_candidate():
                await self._acquire()
            return
        if self._clock() - self._renewed_at >= self._ttl * RENEW_AFTER_SHARE:
            await self._renew()
        if self._lease is not None and self.active_lease is None:
            self._counters.count_event("leases.lapsed")
            self._drop_lease("lease expired locally")

    async def release(self) -> None:
        """Release the role so that another process can acquire it at once."""
        lease = self._lease
        if lease is None:
            return
        self._drop_lease("released")
        entry = await self._store.get(self._role_key)
        if isinstance(entry, stores.Entry) and self._is_own_entry(
            entry, lease
        ):
            await self._store.delete(entry.key, expect=entry.version)

    @property
    def _role_key(self) -> str:
        return f"leases/{self._role}"

    @property
    def _fence_key(self) -> str:
        return f"fences/{self._role}"

    async def _acquire(self) -> None:
        entry = await self._store.get(self._role_key)
        if entry is not None and not await self._delete_former(entry):
            return
        era = self._eras.current
        fence = await self._allocate_fence(era)
        if fence is None:
            return
        sent_at = self._clock()
        granted = await self._store.grant_lease(self._ttl)
        if isinstance(granted, reasons.Failure) or granted.era != era:
            return
        lease = Lease(
            role=self._role,
            fence=fence,
            lease_id=granted.lease_id,
            acquired_at=self._clock(),
            expires_at=sent_at + self._ttl - self._margin,
            era=era,
        )
        entry = await self._create_role_entry(lease)
        if entry is None:
            return
        stored = await self._read_fence()
        if era != self._eras.current:
            # The key expires with its lease if the copy contains it.
            self._counters.count_event("leases.eras_mixed")
            self._logger.bind(step="lease", peer=self._role).info(
                f"did not take the role: the store left era {era} meanwhile"
            )
            return
        if stored != fence or self._clock() >= lease.expires_at:
            await self._store.delete(entry.key, expect=entry.version)
            return
        self._lease = dataclasses.replace(lease, acquired_at=self._clock())
        self._renewed_at = sent_at
        self._counters.count_event("leases.taken")
        self._logger.bind(step="lease", peer=self._role).info(
            f"acquired the role with fencing token {fence}"
        )
        self._notify(True)

    async def _delete_former(self, entry) -> bool:
        """Delete this process's own role entry of an earlier era."""
        if not isinstance(entry, stores.Entry):
            return False
        if entry.value != self._former_value:
            return False
        result = await self._store.delete(entry.key, expect=entry.version)
        return result is None

    async def _allocate_fence(self, era: int) -> int | None:
        """Return a token that is higher than those of earlier eras."""
        entry = await self._store.get(self._fence_key)
        if isinstance(entry, reasons.Failure):
            return None
        stored = int(entry.value) if entry else 0
        lowest = era * store_eras.FENCES_PER_ERA
        fence = max(stored, self._highest_fence, lowest) + 1
        self._highest_fence = fence
        result = await self._store.put(
            self._fence_key,
            str(fence),
            expect=entry.version if entry else stores.MUST_NOT_EXIST,
        )
        if isinstance(result, reasons.Failure) or era != self._eras.current:
            return None
        return fence

    async def _read_fence(self) -> int | None:
        entry = await self._store.get(self._fence_key)
        if not isinstance(entry, stores.Entry):
            return None
        return int(entry.value)

    async def _create_role_entry(self, lease: Lease) -> stores.Entry | None:
        """Create the role's key; after a lost reply read it to find out."""
        value = self._dump(lease)
        created = await self._store.put(
            self._role_key,
            value,
            expect=stores.MUST_NOT_EXIST,
            lease_id=lease.lease_id,
        )
        if isinstance(created, stores.Entry):
            return created if self._is_of_era(created, lease) else None
        entry = await self._store.get(self._role_key)
        if isinstance(entry, stores.Entry) and self._is_own_entry(
            entry, lease
        ):
            return entry if self._is_of_era(entry, lease) else None
        return None

    def _is_of_era(self, entry: stores.Entry, lease: Lease) -> bool:
        return store_eras.find_era(entry.version) == lease.era

    def _dump(self, lease: Lease) -> str:
        return json.dumps(
            {
                "holder": self._holder,
                "fence": lease.fence,
                "lease_id": lease.lease_id,
            }
        )

    def _is_own_entry(self, entry: stores.Entry, lease: Lease) -> bool:
        # Lease ids are issued again in a new era, tokens are not.
        return entry.value == self._dump(lease)

    async def _renew(self) -> None:
        sent_at = self._clock()
        lease = self._lease
        result = await self._store.keep_lease(lease.lease_id)
        if self._lease is not lease:
            return
        if result is None:
            self._renewed_at = sent_at
            self._lease = dataclasses.replace(
                lease, expires_at=sent_at + self._ttl - self._margin
            )
            return
        self._counters.count_event("leases.renewals_failed")
        if result.reason is reasons.Reason.STORE_CONFLICT:
            self._drop_lease("lease expired in the store")

    def _begin_era(self, change: store_eras.EraChange) -> None:
        """Drop a lease of an earlier era.

        A holder that hasn't seen the new era yet acts until its lease expires
        locally, so that other processes wait for a TTL before they acquire
        the role.
        """
        if self._lease is None:
            self._acquire_after = self._clock() + self._ttl
            return
        self._former_value = self._dump(self._lease)
        self._counters.count_event("leases.era_ended")
        self._drop_lease(f"the store is in era {change.now}")
        self.wake()

    def _drop_lease(self, reason: str) -> None:
        self._lease = None
        self._logger.bind(step="lease", peer=self._role).warning(
            f"lost the role: {reason}"
        )
        self._notify(False)
