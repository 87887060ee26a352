"""Store eras: detection of a store that was restored from a copy.

The store numbers its eras; each restoration from a copy begins a new one.
Revisions are issued again in it, so that the same revision names two states.
Store clients therefore put the era into the upper bits of each version that
they return. Versions of a later era are higher than all of earlier ones, also
on hosts that haven't seen the new era. In era 0 versions are the store's
revisions.
"""

from collections.abc import Callable
import dataclasses
import enum
import math
import time

import loguru

#: Topic whose version is the highest era that a host has seen.
TOPIC = "store-era"
#: Revisions of one era; 2**40 last for 29 years at 1,200 writes a second.
REVISIONS_PER_ERA = 2**40
#: Fencing tokens of one era.
FENCES_PER_ERA = 2**32


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision."""
    return era * REVISIONS_PER_ERA + revision


def find_era(version: int) -> int:
    """Return the era of a version."""
    return version // REVISIONS_PER_ERA


def find_revision(version: int) -> int:
    """Return the store's own revision of a version."""
    return version % REVISIONS_PER_ERA


class Order(enum.IntEnum):
    """Order in which the parts of a process are told of a new era.

    Whoever acts for all hosts stops first. What is written again follows
    after the caches, whose entries it is compared with.
    """

    LEASES = 1
    WATCHERS = 2
    DIRECTORY = 3
    CONFIGURATIONS = 4
    MOVES = 5
    USAGE = 6
    ROSTER = 7
    CLAIMS = 8
    RULES = 9


@dataclasses.dataclass(frozen=True, kw_only=True)
class EraChange:
    """A change from an era that this process knew to a later one."""

    before: int
    now: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Part:
    order: Order
    name: str
    receive: Callable[[EraChange], None]


class StoreEras:
    """Holds the highest era that this process has seen.

    Store clients report the era of each response, before anyone uses the
    response. Each registered part is told once of each change, in the order
    of ``Order``. A part must not block; an error in one part is logged and
    doesn't keep the others from being told.
    """

    def __init__(
        self,
        *,
        logger=None,
        counters=None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._seen_at = -math.inf
        self._logger = logger or loguru.logger
        self._counters = counters
        self._current = 0
        self._first = 0
        self._known = False
        self._numbered = False
        self._parts: list[_Part] = []
        self._pending: list[EraChange] = []
        self._notifying = False

    @property
    def current(self) -> int:
        """The highest era seen, 0 before the first response."""
        return self._current

    @property
    def first(self) -> int:
        """The first era that this process saw, 0 if nothing was restored."""
        return self._first

    @property
    def numbered(self) -> bool:
        """Whether the store or a peer has named an era."""
        return self._numbered

    @property
    def age(self) -> float:
        """Seconds since this process saw the era; infinite in era 0."""
        return self._clock() - self._seen_at

    def add_part(
        self, order: Order, name: str, receive: Callable[[EraChange], None]
    ) -> None:
        """Have a part told of each change."""
        self._parts.append(_Part(order=order, name=name, receive=receive))
        self._parts.sort(key=lambda part: part.order)

    def observe(self, era: int | None) -> bool:
        """Record a response's era, None for a response without one.

        Returns False if the response is of an earlier era than the known
        one. Such a response must not be used.
        """
        if era is not None:
            self._numbered = True
        era = era or 0
        if era < self._current:
            return False
        if era == self._current:
            self._known = True
            return True
        change = EraChange(before=self._current, now=era)
        was_known, self._known = self._known, True
        self._current = era
        self._seen_at = self._clock()
        # The first response tells in which era the process has started.
        if was_known:
            self._pending.append(change)
            self._notify()
        else:
            self._first = era
        return True

    def learn(self, era: int) -> None:
        """Record the era that a peer has seen."""
        if era > self._current:
            self.observe(era)

    def _notify(self) -> None:
        # A part that is told may itself see a still later era.
        if self._notifying:
            return
        self._notifying = True
        try:
            while self._pending:
                self._notify_parts(self._pending.pop(0))
        finally:
            self._notifying = False

    def _notify_parts(self, change: EraChange) -> None:
        if self._counters is not None:
            self._counters.count_event("store.eras_changed")
        logger = self._logger.bind(step="store era")
        logger.warning(
            f"the store was restored from a copy: era {change.now} follows "
            f"era {change.before}, its last writes are lost"
        )
        for part in self._parts:
            try:
                part.receive(change)
            except Exception:
                if self._counters is not None:
                    self._counters.count_event("tasks.errors")
                logger.bind(peer=part.name).exception(
                    "a part failed to handle the store's new era"
                )


def make_eras(host) -> StoreEras:
    """Return a host's view of the store's eras, which it tells its peers."""
    eras = StoreEras(logger=host.logger, counters=host.counters)
    host.members.add_topic(
        TOPIC,
        read_version=lambda: eras.current,
        on_behind=lambda member, era: eras.learn(era),
    )
    return eras


def parse_era(text: str | None) -> int | None:
    """Return the era in a response header, None if there is none."""
    if text is None or not text.isascii() or not text.isdecimal():
        return None
    return int(text)
