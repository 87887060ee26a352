"""Stores that lose what is sent to them, for tests in one process."""

import random

from buckthornhold import reasons
from buckthornhold import stores


class LossyStore(stores.Store):
    """Passes calls on to a store, unless told to lose or refuse them.

    ``down`` refuses every call. ``next_write`` is what happens to the next
    write below ``prefix``: ``lose`` keeps it back in ``held``, ``answer``
    lets it through and loses the answer; then the store is down, unless
    ``after_loss`` is set and awaited instead. ``chance``
    is the share of writes whose answer is lost, by ``seed``.
    """

    def __init__(
        self,
        *,
        inner: stores.Store,
        prefix: str = "",
        chance: float = 0.0,
        seed: int = 0,
    ) -> None:
        self._inner = inner
        self._prefix = prefix
        self._chance = chance
        self._random = random.Random(seed)
        self.down = False
        self.next_write = ""
        self.held = []
        self.after_loss = None

    @property
    def eras(self):
        """The eras that the inner store has seen."""
        return self._inner.eras

    async def get(self, key):
        """Return the entry of a key, or None when there is none."""
        return self._refuse() or await self._inner.get(key)

    async def list_entries(self, prefix):
        """Return all entries below a prefix."""
        return self._refuse() or await self._inner.list_entries(prefix)

    async def put(self, key, value, *, expect, lease_id=None):
        """Write a value if the key's version is ``expect``."""

        async def write():
            return await self._inner.put(
                key, value, expect=expect, lease_id=lease_id
            )

        return await self._write(key, write)

    async def delete(self, key, *, expect):
        """Delete a key if its version is ``expect``."""

        async def write():
            return await self._inner.delete(key, expect=expect)

        return await self._write(key, write)

    async def watch(self, prefix, *, after, timeout):
        """Wait for a write below a prefix; a store that goes down is mute."""
        if self.down:
            return self._refuse()
        change = await self._inner.watch(prefix, after=after, timeout=timeout)
        return self._refuse() or change

    async def grant_lease(self, ttl):
        """Take a lease."""

        async def write():
            return await self._inner.grant_lease(ttl)

        return await self._write("grant", write)

    async def keep_lease(self, lease_id):
        """Renew a lease."""

        async def write():
            return await self._inner.keep_lease(lease_id)

        return await self._write("keep", write)

    async def _write(self, key, write):
        refusal = self._refuse()
        if refusal is not None:
            return refusal
        fate = self.next_write if key.startswith(self._prefix) else ""
        if fate:
            self.next_write = ""
            self.down = self.after_loss is None
        if fate == "lose":
            self.held.append(write)
        else:
            result = await write()
        if fate and self.after_loss is not None:
            await self.after_loss()
        if fate == "lose":
            return self._fail(reasons.Ran.UNKNOWN)
        if fate == "answer" or self._random.random() < self._chance:
            return self._fail(reasons.Ran.UNKNOWN)
        return result

    def _refuse(self):
        return self._fail(reasons.Ran.NO) if self.down else None

    def _fail(self, ran):
        return reasons.Failure(
            reason=reasons.Reason.STORE_UNAVAILABLE,
            step="lossy store",
            ran=ran,
        )
