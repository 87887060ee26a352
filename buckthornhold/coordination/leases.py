"""Leases: one process at a time holds a role, with a fencing number.

The store's key of a role is bound to a store lease and vanishes with it. A
second key, which stays, counts fencing numbers. A process draws a number,
creates the role's key, and is the holder only if the count is still its own
number then; so each holder has a higher number than those before.
"""

from collections.abc import Callable
import dataclasses
import json

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold import tasks
from buckthornhold.coordination import pause_detectors

#: Share of the lease after which it is renewed.
RENEW_AFTER_SHARE = 1 / 3
#: Tries for a role or a renewal in the time of one lease.
ATTEMPTS_PER_LEASE = 6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lease:
    """A role as its holder sees it; times are of the holder's clock.

    ``until`` is when the holder must stop, before the store's lease lapses.
    """

    role: str
    fence: int
    lease_id: str
    acquired_at: float
    expires_at: float


class LeaderElector(tasks.PeriodicService):
    """Tries to take a role and keeps it while it can.

    ``ttl`` is the store's lease in seconds. The holder counts it from
    before each request was sent, less ``margin``, on a clock that also runs
    while the process stands still. ``is_candidate`` says whether this
    process should try; keep candidates few, as each asks the store
    ``TRIES_PER_LEASE`` times a lease. ``notify`` is called with True when
    the role was taken and False when it was lost. Needs a store alone.
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
        notify: Callable[[bool], None] = lambda taken: None,
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

    @property
    def role(self) -> str:
        """The role's name."""
        return self._role

    @property
    def active_lease(self) -> Lease | None:
        """The lease, if this process may act on it at this moment."""
        lease = self._lease
        if lease is None or self._clock() >= lease.expires_at:
            return None
        return lease

    async def find_holder(self) -> str | reasons.Failure:
        """Return the holder that the store names, empty for none."""
        entry = await self._store.get(self._role_key)
        if isinstance(entry, reasons.Failure):
            return entry
        return json.loads(entry.value)["holder"] if entry else ""

    def observe_fence(self, fence: int) -> None:
        """Learn that a fencing number was in use, from a refused order.

        Numbers drawn later are higher, also if the store was restored to
        an older count.
        """
        self._highest_fence = max(self._highest_fence, fence)

    async def run_once(self) -> None:
        """Renew the lease when due, or try to take the role."""
        if self._lease is None:
            if self._is_candidate():
                await self._acquire()
            return
        if self._clock() - self._renewed_at >= self._ttl * RENEW_AFTER_SHARE:
            await self._renew()
        if self._lease is not None and self.active_lease is None:
            self._counters.count_event("leases.lapsed")
            self._drop_lease("its time ran out")

    async def release(self) -> None:
        """Give the role up, so that another may take it at once."""
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
        if entry is not None:
            return
        fence = await self._allocate_fence()
        if fence is None:
            return
        sent_at = self._clock()
        granted = await self._store.grant_lease(self._ttl)
        if isinstance(granted, reasons.Failure):
            return
        lease = Lease(
            role=self._role,
            fence=fence,
            lease_id=granted.lease_id,
            acquired_at=self._clock(),
            expires_at=sent_at + self._ttl - self._margin,
        )
        entry = await self._create_role_entry(lease)
        if entry is None:
            return
        if (
            await self._read_fence() != fence
            or self._clock() >= lease.expires_at
        ):
            await self._store.delete(entry.key, expect=entry.version)
            return
        self._lease = dataclasses.replace(lease, acquired_at=self._clock())
        self._renewed_at = sent_at
        self._counters.count_event("leases.taken")
        self._logger.bind(step="lease", peer=self._role).info(
            f"took the role with fencing number {fence}"
        )
        self._notify(True)

    async def _allocate_fence(self) -> int | None:
        entry = await self._store.get(self._fence_key)
        if isinstance(entry, reasons.Failure):
            return None
        stored = int(entry.value) if entry else 0
        fence = max(stored, self._highest_fence) + 1
        self._highest_fence = fence
        result = await self._store.put(
            self._fence_key,
            str(fence),
            expect=entry.version if entry else stores.MUST_NOT_EXIST,
        )
        return None if isinstance(result, reasons.Failure) else fence

    async def _read_fence(self) -> int | None:
        entry = await self._store.get(self._fence_key)
        if not isinstance(entry, stores.Entry):
            return None
        return int(entry.value)

    async def _create_role_entry(self, lease: Lease) -> stores.Entry | None:
        """Create the role's key; a lost answer is settled by reading."""
        value = json.dumps(
            {
                "holder": self._holder,
                "fence": lease.fence,
                "lease_id": lease.lease_id,
            }
        )
        created = await self._store.put(
            self._role_key,
            value,
            expect=stores.MUST_NOT_EXIST,
            lease_id=lease.lease_id,
        )
        if isinstance(created, stores.Entry):
            return created
        entry = await self._store.get(self._role_key)
        if isinstance(entry, stores.Entry) and self._is_own_entry(
            entry, lease
        ):
            return entry
        return None

    def _is_own_entry(self, entry: stores.Entry, lease: Lease) -> bool:
        return json.loads(entry.value)["lease_id"] == lease.lease_id

    async def _renew(self) -> None:
        sent_at = self._clock()
        result = await self._store.keep_lease(self._lease.lease_id)
        if result is None:
            self._renewed_at = sent_at
            self._lease = dataclasses.replace(
                self._lease, expires_at=sent_at + self._ttl - self._margin
            )
            return
        self._counters.count_event("leases.renewals_failed")
        if result.reason is reasons.Reason.STORE_CONFLICT:
            self._drop_lease("the store's lease had lapsed")

    def _drop_lease(self, why: str) -> None:
        self._lease = None
        self._logger.bind(step="lease", peer=self._role).warning(
            f"gave the role up: {why}"
        )
        self._notify(False)
