"""Store copies: earlier states of a stand-in's store, to go back to."""

from collections.abc import Callable
import copy
import time

#: Oldest copy that a drill restores, with some room.
RETAINED_SECONDS = 11.0
#: Time between two copies that are kept.
SPACING_SECONDS = 0.1


class StoreCopies:
    """Keeps copies of a store's state for some seconds.

    ``dump`` returns the state to copy. A copy is taken before a write.
    """

    def __init__(
        self,
        *,
        dump: Callable[[], dict],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._dump = dump
        self._clock = clock
        self._copies: list[tuple[float, dict]] = []

    def take(self) -> dict:
        """Return a copy of the state as it is now."""
        return copy.deepcopy(self._dump())

    def record(self) -> None:
        """Keep a copy of the state before a write."""
        now = self._clock()
        if self._copies and now - self._copies[-1][0] < SPACING_SECONDS:
            return
        self._copies.append((now, self.take()))
        while self._copies[1:] and (
            self._copies[1][0] <= now - RETAINED_SECONDS
        ):
            self._copies.pop(0)

    def find(self, age: float) -> dict:
        """Return the state of ``age`` seconds ago, or the oldest copy.

        That is the state before the first write since then.
        """
        since = self._clock() - age
        for taken_at, state in self._copies:
            if taken_at >= since:
                return copy.deepcopy(state)
        return self.take()

    def clear(self) -> None:
        """Drop the copies, which are of an earlier era."""
        self._copies.clear()
