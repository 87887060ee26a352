"""Era stores: a store in the process that can go back to a copy.

Each client has its own view of the eras, as each process has. ``restores``
says before or after which write the store goes back to the copy that was
taken by ``take_copy``.
"""

import copy

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold.coordination import store_eras


class EraBackend:
    """The keys, revisions, leases and era that all clients share.

    Without ``names_era`` responses carry no era.
    ``plan`` is the number of a write and ``before`` or ``after``: there the
    store goes back to the copy. Lease grants count as writes.
    """

    def __init__(self):
        self.era = 0
        self.names_era = True
        self.revision = 10
        self.items = {}
        self.leases = set()
        self.next_lease = 1
        self.writes = 0
        self.plan = None
        self._copy = None

    def take_copy(self):
        """Copy the state that a restoration goes back to."""
        self._copy = copy.deepcopy(
            (self.revision, self.items, self.leases, self.next_lease)
        )

    def restore(self):
        """Go back to the copy in a new era."""
        self.revision, self.items, self.leases, self.next_lease = (
            copy.deepcopy(self._copy)
        )
        self.era += 1

    def end_lease(self, lease_id):
        """Let a lease expire, with its keys."""
        self.leases.discard(lease_id)
        for key, (_, _, lease) in list(self.items.items()):
            if lease == lease_id:
                del self.items[key]
                self.revision += 1

    def enter_write(self):
        """Count a write; go back before it if so planned."""
        self.writes += 1
        if self.plan == (self.writes, "before"):
            self.restore()

    def leave_write(self):
        """Go back after a write if so planned."""
        if self.plan == (self.writes, "after"):
            self.restore()


class EraStore(stores.Store):
    """One process's client of an ``EraBackend``.

    A response names the era in which the call was done, which may have ended
    when the next call is made.
    """

    def __init__(self, *, backend):
        self._backend = backend
        self._eras = store_eras.StoreEras()
        self._observe(backend.era)

    @property
    def eras(self):
        """The eras that this client has seen."""
        return self._eras

    async def get(self, key):
        """Return the entry of a key, or None when there is none."""
        self._observe(self._backend.era)
        item = self._backend.items.get(key)
        return self._make_entry(key, item) if item else None

    async def list_entries(self, prefix):
        """Return all entries below a prefix."""
        self._observe(self._backend.era)
        entries = tuple(
            self._make_entry(key, item)
            for key, item in self._backend.items.items()
            if key.startswith(prefix)
        )
        return stores.Change(
            revision=self._make_version(self._backend.revision),
            entries=entries,
        )

    async def put(self, key, value, *, expect, lease_id=None):
        """Write a value if the key's version is ``expect``."""
        return self._write(key, expect, value, lease_id)

    async def delete(self, key, *, expect):
        """Delete a key if its version is ``expect``."""
        result = self._write(key, expect, None, None)
        return result if isinstance(result, reasons.Failure) else None

    async def watch(self, prefix, *, after, timeout):
        """Not used here: watches are tested over the wire."""
        raise NotImplementedError

    async def grant_lease(self, ttl):
        """Take a lease."""
        backend = self._backend
        backend.enter_write()
        lease_id = str(backend.next_lease)
        backend.next_lease += 1
        backend.leases.add(lease_id)
        era = backend.era
        backend.leave_write()
        self._observe(era)
        return stores.StoreLease(lease_id=lease_id, ttl=ttl, era=era)

    async def keep_lease(self, lease_id):
        """Renew a lease."""
        self._observe(self._backend.era)
        if lease_id in self._backend.leases:
            return None
        return self._fail("no such lease")

    def _write(self, key, expect, value, lease_id):
        failure = stores.check_expected(self._eras, expect, "write", "store")
        if failure is not None:
            return failure
        backend = self._backend
        backend.enter_write()
        revision = expect and store_eras.find_revision(expect)
        stored = backend.items.get(key)
        result = self._fail("conflict")
        known_lease = lease_id is None or lease_id in backend.leases
        matches = revision is None or revision == (stored or (0,))[0]
        era = backend.era
        if known_lease and matches:
            backend.revision += 1
            result = backend.revision
            if value is None:
                backend.items.pop(key, None)
            else:
                backend.items[key] = (result, value, lease_id)
        backend.leave_write()
        self._observe(era)
        failure = stores.check_written(
            self._eras, expect, result, "write", "store"
        )
        if failure is not None:
            return failure
        return stores.Entry(
            key=key, value=value or "", version=self._make_version(result)
        )

    def _observe(self, era):
        self._eras.observe(era if self._backend.names_era else None)

    def _make_entry(self, key, item):
        return stores.Entry(
            key=key, value=item[1], version=self._make_version(item[0])
        )

    def _make_version(self, revision):
        return store_eras.make_version(self._eras.current, revision)

    def _fail(self, detail):
        return reasons.Failure(
            reason=reasons.Reason.STORE_CONFLICT, step="store", detail=detail
        )
