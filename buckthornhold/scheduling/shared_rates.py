"""Shared rates: a workspace's limit, divided among hosts by what is asked.

All hosts compute the same plan from the same figures: what the fleet may
admit per second, and for each urgency the part of the requests that this
allows. Each host admits that part of its own requests, whatever their size,
so the admitted amount stays right when all hosts' demand is uneven, and a
large request is admitted as often as a small one of its urgency.

The figures of other hosts are up to some seconds old. What the fleet admits
since then is taken from the plan. A sudden rise of the demand isn't in the
figures yet, so each host may exceed its planned part only by its part of what
the limit's window still has room for.
"""

import collections
from collections.abc import Hashable
from collections.abc import Mapping
import dataclasses
import math
import random

#: Resolution of the recorded amounts, in seconds.
SLOT_SECONDS = 0.25
#: Time over which the demand is averaged, in seconds. At 0.75 s, random
#: arrivals of large requests look like changes of the demand.
DEMAND_SECONDS = 1.5
#: Time over which a host's part of the fleet's demand is measured, and the
#: demand of a host that knows nothing of the others, in seconds.
SHARE_SECONDS = 6.0
#: What is aimed at, as a share of the limit. The bound allows 1.1 and more,
#: and callers are due 0.95.
TARGET_SHARE = 1.03
#: The sum of a window is kept between these shares of the limit.
LEAST_SHARE = 1.02
MOST_SHARE = 1.06
#: Time in which the sum of a window is corrected, in seconds. Corrections
#: within the age of the figures (up to 2 s) oscillate.
CORRECTION_SECONDS = 2.0
#: Slots over which the amount that leaves the window next is averaged.
LEAVING_SLOTS = 1
MOST_PLAN_FACTOR = 3.0
REFILL_FACTOR = 1.2
MAX_DEBT_SECONDS = 3.0
RISE_SECONDS = 2.0
RISE_SIGMAS = 2.5
RISE_REQUESTS = 1.2
SHARE_REQUESTS = 2.0
SILENCE_SECONDS = 1.5
MAX_AGE_SECONDS = 3.0
CHANGE_REQUESTS = 3.0
#: Highest planned rate, relative to the target, while the window has room.
MAX_PLAN_FACTOR = 1.3
#: Time in which the room of a window may be used up, in seconds.
ROOM_SECONDS = 4.0
#: Part of the rate that each lower urgency gets if it asks for it.
FLOOR_SHARE = 0.1
#: Part of the rate up to which small requests precede all urgencies.
SMALL_SHARE = 0.2
#: Part of the window's room that hosts may use beyond the plan. The rest is
#: for hosts that join.
GUARD_SHARE = 0.6
#: Part of a host's reserve from which on fewer requests are admitted.
GUARD_START = 0.8
GUARD_SIGMAS = 3.0
GUARD_RETRY_SECONDS = 0.4
JUMP = 1.4
JUMP_SECONDS = 0.75
SIZE_WEIGHT = 0.05
HOT = 2.0
#: Least part of the planned requests that a host without room admits.
GUARD_FLOOR = 0.02
#: How much more often a request that was refused before is admitted.
RETURNING_WEIGHT = 1.5
#: Bounds of the time after which a refused request should return, and the
#: time for each request of its kind that is refused per admitted one.
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 8.0
RETRY_SECONDS_PER_REFUSAL = 0.5
#: Part of the Retry-After by which it varies at random, so that refused
#: requests don't return together.
RETRY_JITTER = 0.5
#: Longest time span that one report is distributed over, and age relative to
#: the newest report from which on a source isn't waited for, in seconds.
MAX_SPAN_SECONDS = 8.0
MAX_SPREAD_SECONDS = 2.5

#: Key of the requests that are small whatever their urgency.
SMALL = -1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limit:
    """A limit: ``rate`` times ``window`` plus ``burst`` units in any window.

    It may be exceeded by the share ``overage`` plus ``slack`` units.
    """

    rate: float
    burst: float
    window: float
    overage: float
    slack: float

    @property
    def sum(self) -> float:
        """Units that a window may admit."""
        return self.rate * self.window + self.burst

    @property
    def bound(self) -> float:
        """Units that a window never exceeds."""
        return self.sum * (1 + self.overage) + self.slack


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetView:
    """The fleet as this host sees it.

    ``host_count`` are all hosts that may run, ``limit_share`` the part of
    the limit for those that this host hears from.
    """

    host_count: int
    limit_share: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticket:
    """A request for ``units`` of a limit.

    ``returning`` tells that it was refused before.
    """

    units: float
    urgency: int
    small: bool = False
    returning: bool = False

    @property
    def kind(self) -> int:
        """The class that it is counted in."""
        return SMALL if self.small else self.urgency

    @property
    def weight(self) -> float:
        """How much more often it is admitted than another of its class."""
        return RETURNING_WEIGHT if self.returning else 1.0

    @property
    def demand(self) -> float:
        """Units that it counts as demand: those of its weight.

        So the sum that is admitted stays right when many return.
        """
        return self.weight * self.units


@dataclasses.dataclass
class _Slot:
    """Amounts of one time slot: of this host, of the others, and planned."""

    own: float = 0.0
    others: float = 0.0
    planned: float = 0.0
    #: Whether the plan refused requests.
    limited: bool = False
    #: Weighted units that were requested, by class.
    own_requested: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    others_requested: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    #: Weighted number of this host's requests.
    own_count: float = 0.0
    #: Part of the limit for the hosts whose amounts these are.
    limit_share: float = 1.0


class SharedRate:
    """This host's part in admitting one workspace's requests.

    ``draw`` is the source of random numbers. Times are seconds on one
    monotonic clock.
    """

    def __init__(self, *, draw: random.Random, now: float) -> None:
        self._draw = draw
        self._slots: dict[int, _Slot] = {}
        self._started_at = now
        #: When the latest figures of the others were taken.
        self._known_at: float | None = None
        self._sources: dict[Hashable, float] = {}
        self._planned_slot = int(now / SLOT_SECONDS) - 1
        self._shares: dict[int, float] = {}
        #: Units that this host admits by the plan since the others' latest
        #: figures, and those that it may admit beyond that.
        self._expected = 0.0
        self._reserve = 0.0
        #: What is left of the reserve, and whether this host's demand rises
        #: by more than chance since the others' latest figures.
        self._level = 0.0
        self._refill_rate = 0.0
        self._rises = False
        #: The others' figures' part of the demand that this host sees now.
        self._known_part = 1.0
        self._plan_rate = 0.0
        #: Position in the sequence of requests of a class: an admission is
        #: due each time that the sum of the shares passes a whole number.
        self._phases: dict[int, float] = {}
        #: Means of the units of this host's requests and of their squares.
        self._mean_units = 0.0
        self._mean_square = 0.0
        self.limited = False

    @property
    def shares(self) -> Mapping[int, float]:
        """Parts of the requests that are admitted, by urgency."""
        return self._shares

    def admit(
        self,
        ticket: Ticket,
        *,
        limit: Limit,
        fleet: FleetView,
        now: float,
    ) -> float:
        """Admit a request and return 0, or return the seconds to wait."""
        slot = self.update(limit, fleet, now)
        plan = self._shares.get(ticket.urgency, 1.0)
        if ticket.small:
            plan = max(plan, self._shares.get(SMALL, 1.0))
        share = min(1.0, ticket.weight * plan)
        eased = share
        if not (ticket.small and share >= 1.0):
            eased *= self._compute_easing(now)
        slot.own_requested[ticket.kind] += ticket.demand
        slot.own_count += ticket.weight
        self._note_size(ticket.units)
        if self._is_due(ticket.kind, eased):
            slot.own += ticket.units
            self._level -= ticket.units
            return 0.0
        pause = GUARD_RETRY_SECONDS if eased < share else MIN_RETRY_SECONDS
        likely = min(share, self._known_part)
        pause += RETRY_SECONDS_PER_REFUSAL * (1 / max(0.01, likely) - 1)
        pause = min(MAX_RETRY_SECONDS, pause)
        return pause * self._draw.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)

    def refund(self, units: float, *, now: float) -> None:
        """Give back the units of a request that was not run."""
        self._find_slot(now).own -= units
        self._level += units

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
        first = int(max(since, until - MAX_SPAN_SECONDS) / SLOT_SECONDS)
        last = max(first, int(until / SLOT_SECONDS) - 1)
        count = last - first + 1
        admitted /= count
        for index in range(first, last + 1):
            slot = self._slots.setdefault(index, _Slot())
            slot.others += admitted
            for kind, units in requested.items():
                if units > 0:
                    slot.others_requested[kind] += units / count
        self._sources[source] = until
        newest = max(self._sources.values())
        self._sources = {
            it: at
            for it, at in self._sources.items()
            if at > newest - MAX_SPREAD_SECONDS
        }
        self._known_at = max(
            self._known_at or -math.inf, min(self._sources.values())
        )

    def assume_planned(self, *, until: float) -> None:
        """Take the plan for what the others did until a time.

        For reports whose predecessor is unknown.
        """
        if self._known_at is None:
            return
        first = int(self._known_at / SLOT_SECONDS)
        for index in range(first, int(until / SLOT_SECONDS)):
            slot = self._slots.get(index)
            if slot is not None:
                slot.others = max(slot.others, slot.planned - slot.own)
        self._known_at = max(self._known_at, until)

    def compute_age(self, now: float) -> float | None:
        """Return the age of the others' figures; None without any."""
        return None if self._known_at is None else now - self._known_at

    def _find_slot(self, now: float) -> _Slot:
        return self._slots.setdefault(int(now / SLOT_SECONDS), _Slot())

    def _is_due(self, kind: int, share: float) -> bool:
        """Tell whether the next request of a class is admitted.

        Taking every n-th one instead of drawing each keeps the sum over all
        hosts steady.
        """
        if share >= 1.0:
            return True
        phase = self._phases.get(kind)
        if phase is None:
            phase = self._draw.random()
        phase += share
        self._phases[kind] = phase % 1.0
        return phase >= 1.0

    def _note_size(self, units: float) -> None:
        if not self._mean_units:
            self._mean_units, self._mean_square = units, units * units
        self._mean_units += SIZE_WEIGHT * (units - self._mean_units)
        self._mean_square += SIZE_WEIGHT * (units * units - self._mean_square)

    def _compute_easing(self, now: float) -> float:
        """Return the part of the plan that a rise of the demand leaves."""
        if self._known_at is None:
            known = int((now - SHARE_SECONDS) / SLOT_SECONDS)
        else:
            known = int(self._known_at / SLOT_SECONDS) - 1
        if self._rises:
            least = GUARD_START * max(1.0, self._reserve)
            return max(GUARD_FLOOR, min(1.0, self._level / least))
        admitted = sum(
            slot.own for index, slot in self._slots.items() if index > known
        )
        end = self._expected + self._reserve
        start = self._expected + GUARD_START * self._reserve
        if admitted <= start:
            return 1.0
        return max(GUARD_FLOOR, (end - admitted) / max(1.0, end - start))

    def update(self, limit: Limit, fleet: FleetView, now: float) -> _Slot:
        """Renew the plan once for each time slot; return the present slot."""
        index = int(now / SLOT_SECONDS)
        slot = self._slots.setdefault(index, _Slot())
        if index == self._planned_slot:
            return slot
        for missed in range(max(self._planned_slot + 1, index - 40), index):
            self._slots.setdefault(missed, _Slot()).planned = (
                self._plan_rate * SLOT_SECONDS
            )
        oldest = index - int(limit.window / SLOT_SECONDS) - LEAVING_SLOTS - 1
        for old in [it for it in self._slots if it < oldest]:
            del self._slots[old]
        passed = min(40, index - self._planned_slot)
        self._planned_slot = index
        self._plan(limit, fleet, index, now, passed=passed)
        return slot

    def _plan(
        self,
        limit: Limit,
        fleet: FleetView,
        index: int,
        now: float,
        *,
        passed: int,
    ) -> None:
        slots = int(limit.window / SLOT_SECONDS)
        self._note_limit_share(fleet.limit_share, index)
        target = TARGET_SHARE * limit.sum / limit.window
        start = int(self._started_at / SLOT_SECONDS)
        known = (
            start - 1
            if self._known_at is None
            else int(self._known_at / SLOT_SECONDS) - 1
        )
        total = least_total = 0.0
        for at in range(index - slots, index):
            slot = self._slots.get(at)
            full = target * SLOT_SECONDS
            if at < start or slot is None:
                amount = full
            elif at <= known:
                amount = (slot.own + slot.others) / slot.limit_share
            else:
                amount = slot.planned
            limited = slot is not None and slot.limited
            total += amount
            least_total += amount if limited else max(amount, full)
        leaving = self._find_leaving(index - slots)
        rate = min(
            MAX_PLAN_FACTOR * target,
            target + max(0.0, LEAST_SHARE * limit.sum - total) / ROOM_SECONDS,
        )
        leaving = min(leaving, target) if leaving == math.inf else leaving
        least = min(
            MOST_PLAN_FACTOR * target,
            leaving
            + (LEAST_SHARE * limit.sum - least_total) / CORRECTION_SECONDS,
        )
        most = leaving + (
            (MOST_SHARE * limit.sum - total) / CORRECTION_SECONDS
        )
        rate = max(0.0, min(max(rate, least), most))
        age = self.compute_age(now)
        informed = age is not None and age <= MAX_AGE_SECONDS
        demands = self._measure_demands(
            known if informed else index - 1, fleet
        )
        demand = sum(demands.values())
        change = self._measure_change(index, known) if informed else 1.0
        self._shares = divide_rate(
            rate * fleet.limit_share,
            {kind: change * units for kind, units in demands.items()},
            small_rate=SMALL_SHARE * target * fleet.limit_share,
        )
        self.limited = demand > rate * fleet.limit_share
        planned = min(rate, demand / fleet.limit_share)
        self._plan_rate = planned
        slot = self._slots[index]
        slot.planned = planned * SLOT_SECONDS
        slot.limited = self.limited
        own_share = (
            self._measure_own_share(known, fleet)
            if informed
            else 1 / fleet.host_count / fleet.limit_share
        )
        self._expected = (
            own_share
            * fleet.limit_share
            * (planned if informed else target)
            * (age if informed else MAX_AGE_SECONDS)
        )
        room = max(0.0, limit.bound - total) * GUARD_SHARE
        typical = self._mean_square / max(1.0, self._mean_units)
        noise = math.sqrt(typical * self._expected)
        least = GUARD_SIGMAS * noise
        load = min(1.0, demand / max(1.0, fleet.limit_share * target))
        if not informed:
            load = 0.7
        self._reserve = max(
            HOT * noise * load * load,
            min(
                least + typical / 2,
                room / fleet.host_count - typical / 2,
            ),
        )
        refill = (
            own_share
            * fleet.limit_share
            * (REFILL_FACTOR * planned if self.limited else target)
        )
        self._level = min(
            self._reserve,
            max(-MAX_DEBT_SECONDS * refill, self._level)
            + refill * SLOT_SECONDS * passed,
        )
        usual = own_share * demand * RISE_SECONDS / max(1.0, self._mean_units)
        count = self._count_own(index - 1, RISE_SECONDS)
        self._rises = not informed or count > usual + RISE_SIGMAS * math.sqrt(
            usual
        ) + (RISE_REQUESTS)
        self._known_part = (
            min(1.0, max(0.25, max(1.0, usual) / max(1.0, count)))
            if self._rises
            else 1.0
        )

    def _count_own(self, last: int, seconds: float) -> float:
        """Return the own requests of the time that ends with a slot."""
        return sum(
            self._slots[at].own_count
            for at in range(last - int(seconds / SLOT_SECONDS) + 1, last + 1)
            if at in self._slots
        )

    def _measure_change(self, index: int, known: int) -> float:
        """Return by what factor the own demand changed since it was known.

        The others' demand is likely to have changed as much.
        """
        now = self._count_own(index - 1, DEMAND_SECONDS)
        then = self._count_own(known, DEMAND_SECONDS)
        return (now + CHANGE_REQUESTS) / (then + CHANGE_REQUESTS)

    def _find_leaving(self, oldest: int) -> float:
        """Return the least amount a second that leaves the window now.

        Reports are spread over the time since the one before, so an amount
        may have been admitted some slots later than recorded.
        """
        amounts = []
        for at in range(oldest - LEAVING_SLOTS, oldest + 1):
            slot = self._slots.get(at)
            if slot is not None:
                amounts.append(
                    (slot.own + slot.others) / slot.limit_share / SLOT_SECONDS
                )
        return min(amounts, default=math.inf)

    def _note_limit_share(self, limit_share: float, index: int) -> None:
        """Store the part of the limit with the slots that it applies to.

        Silence of other hosts is noticed after some time, so it also applies
        to the slots of that time.
        """
        slot = self._slots[index]
        slot.limit_share = limit_share
        if self._slots.get(index - 1, slot).limit_share <= limit_share:
            return
        for at in range(index - int(SILENCE_SECONDS / SLOT_SECONDS), index):
            if at in self._slots:
                self._slots[at].limit_share = limit_share

    def _measure_demands(
        self, known: int, fleet: FleetView
    ) -> collections.Counter[int]:
        """Return the units a second that are requested, by class."""
        usual = self._sum_demands(known, DEMAND_SECONDS, fleet)
        latest = self._sum_demands(known, JUMP_SECONDS, fleet)
        ratio = sum(latest.values()) / max(1.0, sum(usual.values()))
        return latest if not 1 / JUMP <= ratio <= JUMP else usual

    def _sum_demands(
        self, known: int, seconds: float, fleet: FleetView
    ) -> collections.Counter[int]:
        demands: collections.Counter[int] = collections.Counter()
        count = int(seconds / SLOT_SECONDS)
        for at in range(known - count + 1, known + 1):
            slot = self._slots.get(at)
            if slot is None:
                continue
            # What hosts that are silent now requested then counts no more.
            part = min(1.0, fleet.limit_share / slot.limit_share)
            for kind, units in slot.own_requested.items():
                demands[kind] += units / seconds
            for kind, units in slot.others_requested.items():
                demands[kind] += part * units / seconds
        return demands

    def _measure_own_share(self, known: int, fleet: FleetView) -> float:
        """Return this host's part of the demand.

        At one of 390 hosts a part of some seconds is mostly chance, so some
        requests of an equal part are added.
        """
        equal = 1 / fleet.host_count
        own = total = 0.0
        for at in range(
            known - int(SHARE_SECONDS / SLOT_SECONDS) + 1, known + 1
        ):
            slot = self._slots.get(at)
            if slot is None:
                continue
            own += sum(slot.own_requested.values())
            total += sum(slot.others_requested.values())
        total += own
        chance = SHARE_REQUESTS * self._mean_units
        if not total:
            return equal
        return (own + chance) / (total + chance * fleet.host_count)


def divide_rate(
    rate: float, demands: Mapping[int, float], *, small_rate: float
) -> dict[int, float]:
    """Return which part of each class's requests a rate allows.

    Small requests come first, up to ``small_rate``; then each urgency gets
    its floor, and the most urgent ones the rest.
    """
    if sum(demands.values()) <= rate:
        return dict.fromkeys(demands, 1.0)
    small = min(demands.get(SMALL, 0.0), small_rate)
    rate = max(0.0, rate - small)
    granted = {
        kind: min(demand, FLOOR_SHARE * rate)
        for kind, demand in demands.items()
    }
    granted[SMALL] = small
    rest = rate - sum(granted.values()) + small
    for kind in sorted(it for it in demands if it != SMALL):
        more = max(0.0, min(demands[kind] - granted[kind], rest))
        granted[kind] += more
        rest -= more
    return {
        kind: granted[kind] / demand if demand else 1.0
        for kind, demand in demands.items()
    }
