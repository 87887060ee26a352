"""Rate records: what hosts admitted and requested, by time slots.

Amounts of the other hosts are recorded with the time at which they were
taken, so that sums over the limit's window are right although reports are
up to some seconds old.
"""

import collections
from collections.abc import Hashable
from collections.abc import Mapping
import dataclasses
import math

from buckthornhold.scheduling import limits

#: Resolution of the recorded amounts, in seconds.
SLOT_SECONDS = 0.25
#: Time over which the demand is averaged, in seconds. At 0.75 s, random
#: arrivals of large requests look like changes of the demand.
DEMAND_SECONDS = 1.5
#: A shorter average is used if it differs from the longer one by more than
#: this factor: then it is no chance any more.
JUMP_SECONDS = 0.75
JUMP_FACTOR = 1.4
#: Time over which a host's part of the fleet's demand is measured, and the
#: requests of an equal part that are added. At one of 390 hosts the requests
#: of 6 s are mostly chance.
SHARE_SECONDS = 6.0
SHARE_REQUESTS = 2.0
#: Requests added to both sides when a host compares its demand now with that
#: of the others' latest figures.
CHANGE_REQUESTS = 2.5
#: Longest time span that one report is distributed over, and age relative to
#: the newest report from which on a source isn't waited for, in seconds.
MAX_SPAN_SECONDS = 8.0
MAX_SPREAD_SECONDS = 2.5
#: Time until hosts that are partitioned off count as silent, in seconds.
SILENCE_SECONDS = 1.5
#: Slots beyond the window that are kept for what leaves it.
LEAVING_SLOTS = 1
#: Least part that admitted units are taken to be of the requested ones.
MIN_PART = 0.05


@dataclasses.dataclass
class Slot:
    """Amounts of one time slot: of this host, of the others, and planned.

    ``limited`` tells whether the plan refused requests, and ``part`` which
    part it admitted. ``own_count`` is the weighted number of this host's
    requests. ``limit_share`` is the part of the limit for the hosts whose
    amounts these are.
    """

    own: float = 0.0
    others: float = 0.0
    planned: float = 0.0
    limited: bool = False
    part: float = 1.0
    own_count: float = 0.0
    limit_share: float = 1.0
    own_requested: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    others_requested: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class WindowSums:
    """Sums over the limit's window.

    ``total`` is what was admitted. ``potential`` counts slots without
    refusals as full: they can't be made up for. ``leaving`` is what leaves
    the window now, in units a second.
    """

    total: float
    potential: float
    leaving: float


class RateRecord:
    """The recorded slots of one workspace, since ``started_at``."""

    def __init__(self, *, started_at: float) -> None:
        self._slots: dict[int, Slot] = {}
        self._start = find_index(started_at)
        self._sources: dict[Hashable, float] = {}
        self._known_at: float | None = None
        #: First slot that demands are known of.
        self._first = self._start

    @property
    def known_at(self) -> float | None:
        """When the others' latest figures were taken; None without any."""
        return self._known_at

    @property
    def known(self) -> int:
        """Index of the last slot that the others' figures cover."""
        if self._known_at is None:
            return self._start - 1
        return find_index(self._known_at) - 1

    def find_slot(self, index: int) -> Slot:
        """Return a slot; a new one if there is none yet."""
        return self._slots.setdefault(index, Slot())

    def drop_before(self, index: int) -> None:
        """Forget older slots."""
        for old in [it for it in self._slots if it < index]:
            del self._slots[old]

    def apply_others(
        self,
        admitted: float,
        requested: Mapping[int, float],
        *,
        source: Hashable,
        since: float,
        until: float,
    ) -> None:
        """Record what other hosts admitted and requested in a time span.

        ``source`` is the process that reported it.
        """
        first = find_index(max(since, until - MAX_SPAN_SECONDS))
        last = max(first, find_index(until) - 1)
        if self._known_at is None:
            self._first = first
        count = last - first + 1
        reported = sum(units for units in requested.values() if units > 0)
        for index in range(first, last + 1):
            slot = self.find_slot(index)
            slot.others += admitted / count
            for kind, units in requested.items():
                if units > 0:
                    slot.others_requested[kind] += units / count
            if admitted > reported:
                # Hosts of an earlier build report only what they admitted.
                slot.others_requested[limits.UNREPORTED] += (
                    (admitted - reported) / count / max(MIN_PART, slot.part)
                )
        self._sources[source] = until
        newest = max(self._sources.values())
        self._sources = {
            it: at
            for it, at in self._sources.items()
            if at > newest - MAX_SPREAD_SECONDS
        }
        known_at = min(self._sources.values())
        self._known_at = max(self._known_at or known_at, known_at)

    def assume_planned(self, *, until: float) -> None:
        """Take the plan for what the others did until a time.

        For reports whose predecessor is unknown.
        """
        if self._known_at is None:
            return
        for index in range(find_index(self._known_at), find_index(until)):
            slot = self.find_slot(index)
            slot.others = max(slot.others, slot.planned - slot.own)
            previous = self._slots.get(index - 1, slot)
            slot.others_requested = previous.others_requested.copy()
        self._known_at = max(self._known_at, until)

    def note_limit_share(self, limit_share: float, index: int) -> None:
        """Store the part of the limit with the slots that it applies to.

        Silence of other hosts is noticed after some time, so it also applies
        to the slots of that time.
        """
        slot = self.find_slot(index)
        slot.limit_share = limit_share
        if self._slots.get(index - 1, slot).limit_share <= limit_share:
            return
        for at in range(index - int(SILENCE_SECONDS / SLOT_SECONDS), index):
            if at in self._slots:
                self._slots[at].limit_share = limit_share

    def sum_window(self, index: int, *, slots: int, full: float) -> WindowSums:
        """Return the sums of the slots before ``index``.

        Amounts are scaled to the whole fleet. ``full`` is a slot's part of
        the limit. It is assumed for the time before the record's start.
        """
        total = potential = 0.0
        known = self.known
        for at in range(index - slots, index):
            slot = self._slots.get(at)
            if at < self._start or slot is None:
                total += full
                potential += full
                continue
            amount = slot.planned
            if at <= known:
                amount = (slot.own + slot.others) / slot.limit_share
            total += amount
            potential += amount if slot.limited else max(amount, full)
        # Reports are spread over the time since the one before, so an amount
        # may have been admitted later than recorded: the least is taken.
        leaving = [
            (slot.own + slot.others) / slot.limit_share / SLOT_SECONDS
            for at in range(index - slots - LEAVING_SLOTS, index - slots + 1)
            if (slot := self._slots.get(at)) is not None
        ]
        return WindowSums(
            total=total,
            potential=potential,
            leaving=min(leaving, default=full / SLOT_SECONDS),
        )

    def sum_known(
        self, index: int, *, slots: int, before: float
    ) -> tuple[float, float]:
        """Return what the window admitted, and what is planned since.

        ``before`` is assumed for each slot of the time before the record's
        start.
        """
        total = planned = 0.0
        known = self.known
        for at in range(index - slots, index):
            slot = self._slots.get(at)
            if at < self._first or slot is None:
                total += before
            elif at <= known:
                total += (slot.own + slot.others) / slot.limit_share
            else:
                planned += slot.planned
        return total, planned

    def raise_planned(self, last: int, *, amount: float, most: float) -> None:
        """Raise the plan of slots that the others' figures don't cover.

        Up to the slot ``last``, each to ``amount``, and ``most`` in all.
        """
        for at in range(self.known + 1, last + 1):
            slot = self.find_slot(at)
            slot.planned = max(slot.planned, min(amount, most))
            most = max(0.0, most - slot.planned)

    def measure_demands(
        self, last: int, *, limit_share: float
    ) -> collections.Counter[int]:
        """Return the units a second that are requested, by class.

        ``last`` is the last slot that is used.
        """
        usual = self._average_demands(last, DEMAND_SECONDS, limit_share)
        latest = self._average_demands(last, JUMP_SECONDS, limit_share)
        ratio = sum(latest.values()) / max(1e-9, sum(usual.values()))
        if not 1 / JUMP_FACTOR <= ratio <= JUMP_FACTOR:
            usual = latest
        # Refunds may exceed the requests of a short time.
        return +usual

    def measure_change(self, index: int) -> float:
        """Return by what factor the own demand changed since it was known.

        The others' demand is likely to have changed as much.
        """
        now = self.count_own(index - 1, DEMAND_SECONDS)
        then = self.count_own(self.known, DEMAND_SECONDS)
        return (now + CHANGE_REQUESTS) / (then + CHANGE_REQUESTS)

    def measure_own_share(
        self, *, host_count: int, mean_units: float
    ) -> float:
        """Return this host's part of the demand."""
        own = total = 0.0
        last = self.known
        for at in range(last - _count_slots(SHARE_SECONDS) + 1, last + 1):
            slot = self._slots.get(at)
            if slot is None:
                continue
            own += sum(slot.own_requested.values())
            total += sum(slot.others_requested.values())
        total += own
        chance = SHARE_REQUESTS * mean_units
        if not total or not chance:
            return 1 / host_count
        return (own + chance) / (total + chance * host_count)

    def count_own(self, last: int, seconds: float) -> float:
        """Return the own requests of the time that ends with a slot."""
        return sum(
            self._slots[at].own_count
            for at in range(last - _count_slots(seconds) + 1, last + 1)
            if at in self._slots
        )

    def sum_own_since(self, index: int) -> float:
        """Return what this host admitted from a slot on."""
        return sum(slot.own for at, slot in self._slots.items() if at >= index)

    def sum_own_requested(self, last: int, seconds: float) -> float:
        """Return the own requested units of the time that ends with a slot."""
        return sum(
            sum(self._slots[at].own_requested.values())
            for at in range(last - _count_slots(seconds) + 1, last + 1)
            if at in self._slots
        )

    def _average_demands(
        self, last: int, seconds: float, limit_share: float
    ) -> collections.Counter[int]:
        demands: collections.Counter[int] = collections.Counter()
        first = max(self._first, last - _count_slots(seconds) + 1)
        seconds = max(1, last - first + 1) * SLOT_SECONDS
        for at in range(first, last + 1):
            slot = self._slots.get(at)
            if slot is None:
                continue
            # What hosts that are silent now requested then doesn't count.
            part = min(1.0, limit_share / slot.limit_share)
            for kind, units in slot.own_requested.items():
                demands[kind] += units / seconds
            for kind, units in slot.others_requested.items():
                demands[kind] += part * units / seconds
        return demands


def find_index(at: float) -> int:
    """Return the index of a time's slot."""
    return math.floor(at / SLOT_SECONDS)


def _count_slots(seconds: float) -> int:
    return int(seconds / SLOT_SECONDS)
