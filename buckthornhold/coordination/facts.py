"""Facts, small replicated entries that are merged by rank (a CRDT).

Each fact has a key and a rank; of two facts with the same key the one with
the higher rank wins. Merging is commutative and idempotent, so messages may
be lost, repeated or reordered.
"""

from collections.abc import Callable
import dataclasses
import hashlib
import json
import math
import time

DIGEST_BYTES = 8
#: Exceptions that ``load_fact`` raises for an invalid text.
PARSE_ERRORS = (ValueError, KeyError, TypeError, RecursionError)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fact:
    """A replicated entry.

    ``expires`` is in seconds since the epoch, or 0 for never.
    """

    key: str
    rank: tuple[int, ...]
    value: str
    expires: float = 0.0

    @property
    def precedence(self) -> tuple:
        """Sort key by which one of two facts with the same key wins."""
        return (self.rank, self.value, self.expires)

    @property
    def digest(self) -> int:
        """64-bit digest of key, rank, value and expiry."""
        text = json.dumps([self.key, *self.precedence])
        hashed = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
        return int.from_bytes(hashed.digest(), "big")

    def dump(self) -> str:
        """Return rank, value and expiry as JSON."""
        return json.dumps(
            {"rank": self.rank, "expires": self.expires, "value": self.value}
        )


def load_fact(key: str, text: str) -> Fact:
    """Parse the output of ``Fact.dump``; raises ``PARSE_ERRORS``."""
    values = json.loads(text)
    return Fact(
        key=key,
        rank=tuple(values["rank"]),
        value=values["value"],
        expires=values["expires"],
    )


class FactStore:
    """The facts known to this process.

    ``notify`` is called with each fact that is new or replaces an older one.
    Above ``limit`` facts, those that expire first are evicted.
    """

    def __init__(
        self,
        *,
        notify: Callable[[Fact], None],
        limit: int = 2000,
        read_time: Callable[[], float] = time.time,
    ) -> None:
        self._notify = notify
        self._limit = limit
        self._read_time = read_time
        self._facts: dict[str, Fact] = {}
        self._digest = 0
        self._next_expiry = math.inf

    @property
    def digest(self) -> int:
        """Digest of all facts; equal sets of facts have equal digests."""
        return self._digest

    def find(self, key: str) -> Fact | None:
        """Return the fact of a key."""
        return self._facts.get(key)

    def list_all(self, prefix: str = "") -> list[Fact]:
        """Return the facts whose keys start with a prefix."""
        return [
            fact for key, fact in self._facts.items() if key.startswith(prefix)
        ]

    def merge(self, fact: Fact) -> bool:
        """Merge a fact from any source; return whether it changed the set."""
        if fact.expires and fact.expires <= self._read_time():
            return False
        known = self._facts.get(fact.key)
        if known is not None and known.precedence >= fact.precedence:
            return False
        if known is not None:
            self._digest ^= known.digest
        self._facts[fact.key] = fact
        self._digest ^= fact.digest
        if fact.expires:
            self._next_expiry = min(self._next_expiry, fact.expires)
        if len(self._facts) > self._limit:
            self._evict_next_to_expire()
        self._notify(fact)
        return True

    def prune(self) -> None:
        """Remove the facts that have expired."""
        now = self._read_time()
        if now < self._next_expiry:
            return
        for fact in list(self._facts.values()):
            if fact.expires and fact.expires <= now:
                self._remove(fact)
        expiries = [
            kept.expires for kept in self._facts.values() if kept.expires
        ]
        self._next_expiry = min(expiries, default=math.inf)

    def _evict_next_to_expire(self) -> None:
        expiring = [fact for fact in self._facts.values() if fact.expires]
        if expiring:
            self._remove(min(expiring, key=lambda fact: fact.expires))

    def _remove(self, fact: Fact) -> None:
        del self._facts[fact.key]
        self._digest ^= fact.digest
