"""Shared rates: a workspace's limit, divided among hosts by what is asked.

All hosts compute the same plan from the same figures: what the fleet may
admit per second, and for each urgency the part of the requests that this
allows. Each host admits that part of its own requests, whatever their size,
so the admitted amount stays right when all hosts' demand is uneven, and a
large request is admitted as often as a small one of its urgency.

The figures of other hosts are up to some seconds old. What the fleet admits
since then is taken from the plan, and how its demand changed since then from
how this host's own did. ``surge_guards`` limit what hosts admit while the
figures don't show a rise yet.
"""

from collections.abc import Hashable
from collections.abc import Mapping
import random

from buckthornhold.scheduling import calm_guards
from buckthornhold.scheduling import limits
from buckthornhold.scheduling import planned_rates
from buckthornhold.scheduling import rate_records
from buckthornhold.scheduling import surge_guards

#: Part of the limit's rate up to which small requests precede all urgencies.
SMALL_SHARE = 0.2
#: Age from which the others' figures aren't used any more, in seconds.
MAX_AGE_SECONDS = 3.0
#: What a host admits before it has figures of the others: its equal part of
#: the rate for this time, in seconds.
UNKNOWN_SECONDS = 2.5
#: Factor of the demand by which a host without figures of others computes
#: its shares.
ALONE_CHANGE = 0.6
#: Bounds of the time after which a refused request should return, in
#: seconds: at once, when a host only waits for newer figures, and at most.
MIN_RETRY_SECONDS = 0.2
GUARD_RETRY_SECONDS = 0.4
MAX_RETRY_SECONDS = 8.0
#: Bounds of the time until newer figures arrive, in seconds, for requests
#: that wait for them while the limit isn't reached.
CALM_RETRY_SECONDS = (0.3, 0.6)
#: The time for each request that is refused per admitted one.
RETRY_SECONDS_PER_REFUSAL = 0.5
#: Part of the Retry-After by which it varies at random, so that refused
#: requests don't return together.
RETRY_JITTER = 0.5
#: Least part that a Retry-After is computed from.
MIN_RETRY_PART = 0.02
#: Plans that are made up for at most after an idle time.
MAX_MISSED_SLOTS = 40


class SharedRate:
    """This host's part in admitting one workspace's requests.

    ``draw`` is the source of random numbers. Times are seconds on one
    monotonic clock.
    """

    def __init__(self, *, draw: random.Random, started_at: float) -> None:
        self._draw = draw
        self._record = rate_records.RateRecord(started_at=started_at)
        self._guard = surge_guards.SurgeGuard()
        self._calm_guard = calm_guards.CalmGuard()
        #: Whether this host decides by the calm guard.
        self._calm = True
        self._first_at: float | None = None
        #: What the others had admitted by their first report.
        self._first_total: float | None = None
        self._planned_index = rate_records.find_index(started_at) - 1
        #: Last slot that the others' figures covered when it was planned.
        self._planned_known = self._record.known
        #: Last slot in which requests were admitted by the calm guard.
        self._calm_until = self._planned_index
        #: Units a second that the whole fleet admits by the plan.
        self._plan_rate = 0.0
        self._shares: dict[int, float] = {}
        #: Position in the sequence of requests of a class: an admission is
        #: due each time that the sum of the shares passes a whole number.
        self._phases: dict[int, float] = {}
        self._limited = False
        #: Requests that usually come in RISE_SECONDS; None if unknown.
        self._usual_count: float | None = None

    @property
    def limited(self) -> bool:
        """Whether more is requested than the plan allows."""
        return self._limited

    @property
    def shares(self) -> Mapping[int, float]:
        """Parts of the requests that are admitted, by class."""
        return self._shares

    def compute_age(self, now: float) -> float | None:
        """Return the age of the others' figures; None without any."""
        known_at = self._record.known_at
        return None if known_at is None else now - known_at

    def admit(
        self,
        ticket: limits.Ticket,
        *,
        limit: limits.Limit,
        fleet: limits.FleetView,
        now: float,
    ) -> float:
        """Admit a request and return 0, or return the seconds to wait."""
        self._guard.note_size(ticket.units)
        self.update(limit, fleet, now)
        slot = self._record.find_slot(rate_records.find_index(now))
        if self._calm:
            return self._admit_calm(ticket, slot)
        plan = self._shares.get(ticket.urgency, 1.0)
        if ticket.small:
            plan = max(plan, self._shares.get(limits.SMALL, 1.0))
        share = min(1.0, ticket.weight * plan)
        eased = share
        if not ticket.small or share < 1.0:
            self._guard.note_counts(
                surge_guards.count_recent(self._record, self._planned_index),
                usual=self._usual_count,
            )
            admitted = self._record.sum_own_since(self._record.known + 1)
            eased *= self._guard.compute_easing(admitted)
        slot.own_requested[ticket.kind] += ticket.demand
        slot.own_count += ticket.weight
        if self._is_due(ticket.kind, eased):
            slot.own += ticket.units
            self._guard.take(ticket.units)
            return 0.0
        return self._compute_wait(share, waits_for_figures=eased < share)

    def _admit_calm(
        self, ticket: limits.Ticket, slot: rate_records.Slot
    ) -> float:
        # Figures that came since the plan lower the allowance with the next
        # one; until then what they cover still counts as unreported.
        record = self._record
        unreported = record.sum_own_since(self._planned_known + 1)
        recent = record.sum_own_requested(
            self._planned_index, calm_guards.LEAST_SECONDS
        )
        slot.own_requested[ticket.kind] += ticket.demand
        slot.own_count += ticket.weight
        if ticket.small or self._calm_guard.allows(
            unreported=unreported, recent=recent
        ):
            slot.own += ticket.units
            self._guard.take(ticket.units)
            return 0.0
        return self._draw.uniform(*CALM_RETRY_SECONDS)

    def refund(self, ticket: limits.Ticket, *, now: float) -> None:
        """Give back the units of a request that was not run.

        They aren't demand either: what can't run doesn't use the limit.
        """
        slot = self._record.find_slot(rate_records.find_index(now))
        slot.own -= ticket.units
        slot.own_requested[ticket.kind] -= ticket.units
        self._guard.take(-ticket.units)

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
        self._record.apply_others(
            admitted, requested, source=source, since=since, until=until
        )

    def note_first_total(self, admitted: float) -> None:
        """Note what the others admitted by their first report."""
        if self._first_total is None:
            self._first_total = admitted

    def assume_planned(self, *, until: float) -> None:
        """Take the plan for what the others did until a time.

        For reports whose predecessor is unknown.
        """
        self._record.assume_planned(until=until)

    def update(
        self, limit: limits.Limit, fleet: limits.FleetView, now: float
    ) -> None:
        """Renew the plan, once in each time slot."""
        index = rate_records.find_index(now)
        if index <= self._planned_index:
            return
        record = self._record
        passed = min(MAX_MISSED_SLOTS, index - self._planned_index)
        for missed in range(index - passed + 1, index):
            record.find_slot(missed).planned = (
                self._plan_rate * rate_records.SLOT_SECONDS
            )
        slots = int(limit.window / rate_records.SLOT_SECONDS)
        record.drop_before(index - slots - rate_records.LEAVING_SLOTS - 1)
        self._planned_index = index
        self._plan(
            limit,
            fleet,
            now,
            seconds=passed * rate_records.SLOT_SECONDS,
        )

    def _plan(
        self,
        limit: limits.Limit,
        fleet: limits.FleetView,
        now: float,
        *,
        seconds: float,
    ) -> None:
        record = self._record
        index = self._planned_index
        target = planned_rates.TARGET_SHARE * limit.sum / limit.window
        record.note_limit_share(fleet.limit_share, index)
        age = self.compute_age(now)
        informed = age is not None and age <= MAX_AGE_SECONDS
        demands = record.measure_demands(
            record.known if informed else index - 1,
            limit_share=fleet.limit_share,
        )
        demand = sum(demands.values()) / fleet.limit_share
        # Without figures of others the guard alone keeps to the limit: both
        # together would admit too little. The shares set the order then.
        change = record.measure_change(index) if informed else ALONE_CHANGE
        self._update_calm(
            limit,
            fleet,
            now,
            demand=demand,
            informed=informed,
        )
        sums, rate = self._sum_up(limit, informed=informed)
        self._shares = limits.divide_rate(
            rate * fleet.limit_share,
            {kind: change * units for kind, units in demands.items()},
            small_rate=SMALL_SHARE * target * fleet.limit_share,
        )
        self._limited = demand > rate and not self._calm
        self._plan_rate = min(rate, demand)
        slot = record.find_slot(index)
        slot.planned = self._plan_rate * rate_records.SLOT_SECONDS
        slot.limited = self._limited
        slot.part = min(1.0, rate / demand) if self._limited else 1.0
        own_share = 1 / fleet.host_count
        if informed:
            own_share = fleet.limit_share * record.measure_own_share(
                host_count=fleet.host_count,
                mean_units=self._guard.mean_units,
            )
        refill = surge_guards.UNLIMITED_REFILL_FACTOR * target
        if not informed:
            refill = target
        elif self._limited:
            refill = surge_guards.REFILL_FACTOR * self._plan_rate
        self._guard.update(
            expected=own_share
            * (
                self._plan_rate * age if informed else target * MAX_AGE_SECONDS
            ),
            refill=own_share * refill,
            room=max(0.0, limit.bound - sums.total) / fleet.host_count,
            load=(
                min(1.0, demand / max(target, 1e-9))
                if informed
                else surge_guards.UNKNOWN_LOAD
            ),
            seconds=seconds,
        )
        self._usual_count = None
        if informed:
            requests = demand * surge_guards.RISE_SECONDS
            self._usual_count = (
                own_share * requests / max(1e-9, self._guard.mean_units)
            )

    def _sum_up(
        self, limit: limits.Limit, *, informed: bool
    ) -> tuple[rate_records.WindowSums, float]:
        """Return the window's sums and what the fleet should admit."""
        target = planned_rates.TARGET_SHARE * limit.sum / limit.window
        sums = self._record.sum_window(
            self._planned_index,
            slots=int(limit.window / rate_records.SLOT_SECONDS),
            full=target * rate_records.SLOT_SECONDS,
        )
        rate = planned_rates.choose_rate(sums, limit=limit, target=target)
        if not informed:
            # What the fleet admitted is unknown, so nothing is made up for.
            rate = min(rate, target)
        return sums, rate

    def _update_calm(
        self,
        limit: limits.Limit,
        fleet: limits.FleetView,
        now: float,
        *,
        demand: float,
        informed: bool,
    ) -> None:
        """Decide whether the rate is divided, and renew the calm guard."""
        record = self._record
        typical = calm_guards.estimate_typical(
            limit, self._guard.typical_units, self._guard.size_count
        )
        self._planned_known = record.known
        if self._first_at is None:
            self._first_at = now
        if not informed:
            # A host alone needs no others' figures.
            self._calm = (
                record.known_at is None
                and fleet.host_count > 1
                and now - self._first_at < MAX_AGE_SECONDS
            )
            # The first total of the others covers their whole time: if it is
            # below the limit, the fleet has just started. Else this host
            # joins one that may be at its limit.
            total = self._first_total
            room = UNKNOWN_SECONDS * limit.rate
            room += calm_guards.LAST_REQUESTS * typical * fleet.host_count
            if total is not None:
                room = limit.bound - total
                self._calm = self._calm and total < limit.sum
            self._calm_guard.set_room(room / fleet.host_count, typical=typical)
            return
        target = planned_rates.TARGET_SHARE * limit.sum / limit.window
        known, planned = record.sum_known(
            self._planned_index,
            slots=int(limit.window / rate_records.SLOT_SECONDS),
            before=min(demand, target) * rate_records.SLOT_SECONDS,
        )
        self._calm_guard.update(
            limit,
            total=known + planned,
            demand=demand,
            rate=self._sum_up(limit, informed=True)[1],
            target=target,
            typical=typical,
            now=now,
        )
        own_share = fleet.limit_share * record.measure_own_share(
            host_count=fleet.host_count, mean_units=self._guard.mean_units
        )
        # The measured share is partly chance on hosts with few requests.
        own_share = (own_share + fleet.limit_share / fleet.host_count) / 2
        self._calm_guard.set_room(
            own_share * (limit.bound - known), typical=typical
        )
        self._calm = not self._calm_guard.over
        if self._calm:
            self._calm_until = self._planned_index
            return
        # All was admitted before the rise was known, up to the room.
        record.raise_planned(
            self._calm_until,
            amount=demand * rate_records.SLOT_SECONDS,
            most=max(0.0, limit.bound - known),
        )

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

    def _compute_wait(self, share: float, *, waits_for_figures: bool) -> float:
        """Return when a refused request's turn comes, with jitter."""
        part = max(MIN_RETRY_PART, min(share, self._guard.usual_part))
        wait = GUARD_RETRY_SECONDS if waits_for_figures else MIN_RETRY_SECONDS
        wait += RETRY_SECONDS_PER_REFUSAL * (1 / part - 1)
        wait = min(MAX_RETRY_SECONDS, wait)
        jitter = self._draw.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        return max(MIN_RETRY_SECONDS, wait * jitter)
