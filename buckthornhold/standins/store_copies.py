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
        """Return the newest copy of a state that is ``age`` seconds old."""
        latest = self._clock() - age
        found = None
        for taken_at, state in self._copies:
            # A copy is the state up to the write that followed it.
            if found is None or taken_at <= latest:
                found = state
        if found is None or self._copies[-1][0] <= latest:
            return self.take()
        return copy.deepcopy(found)

    def clear(self) -> None:
        """Drop the copies, which are of an earlier era."""
        self._copies.clear()
