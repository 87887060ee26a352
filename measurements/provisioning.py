"""Trials of what to order: cost, and time without enough hosts.

Each run draws prices, a demand, waves of reclaims and refused starts from a
seed, and follows one policy through a day. All policies of a seed meet the
same day. No process is started: it is the decision that is measured.
"""

import abc
import argparse
import collections
import dataclasses
import json
import math
import pathlib
import random
import statistics

from buckthornhold import clouds
from buckthornhold.coordination import capacities

ZONES = ("zone-a", "zone-b", "zone-c")
ON_DEMAND_PRICE = 3.0
RECLAIMABLE_PRICE = 1.0
PRICE_SWING = 0.03
STEP_SECONDS = 10
STEPS = 24 * 3600 // STEP_SECONDS
WINDOW_STEPS = 300 // STEP_SECONDS
#: Time from an order until the host serves: the start, then the load of the
#: weights, which the weight store gives to one host after the other.
START_STEPS = 6
LOAD_STEPS = 2
LOAD = 8
LEAST = 3
MOST = 60
BASE_DEMAND = 60
WAVES_PER_DAY = 12
#: Part of the waves that take a whole zone; the others take a third of it.
WHOLE_ZONE_SHARE = 0.5
REFUSED_STEPS = 600 // STEP_SECONDS


class Policy(abc.ABC):
    """One way to choose hosts."""

    name: str

    @abc.abstractmethod
    def choose(self, need, offers, held, refused) -> dict:
        """Return the hosts to hold."""


class OnDemand(Policy):
    """Baseline: on-demand hosts alone, as many as the demand needs."""

    name = "on-demand"

    def choose(self, need, offers, held, refused) -> dict:
        """Return the hosts to hold."""
        lasting = [it for it in offers if not it.reclaimable]
        return capacities.choose_cheapest(need, lasting, held, refused=refused)


class Cheapest(Policy):
    """Baseline: the cheapest offers, as many as the demand needs."""

    name = "cheapest"

    def choose(self, need, offers, held, refused) -> dict:
        """Return the hosts to hold."""
        as_lasting = [
            dataclasses.replace(it, reclaimable=False) for it in offers
        ]
        return capacities.choose_cheapest(
            need, as_lasting, held, refused=refused
        )


class CheapestAndHalf(Cheapest):
    """Baseline: half as many again of the cheapest offers."""

    name = "cheapest and half"

    def choose(self, need, offers, held, refused) -> dict:
        """Return the hosts to hold."""
        more = dataclasses.replace(need, demand=1.5 * need.demand)
        return super().choose(more, offers, held, refused)


class Reserve(Policy):
    """What the daemon does: enough without any zone's reclaimable hosts."""

    name = "reserve"

    def choose(self, need, offers, held, refused) -> dict:
        """Return the hosts to hold."""
        return capacities.choose_cheapest(need, offers, held, refused=refused)


POLICIES = (OnDemand(), Cheapest(), CheapestAndHalf(), Reserve())


@dataclasses.dataclass(frozen=True, kw_only=True)
class Moment:
    """What one step of a day brings, the same for every policy."""

    offers: tuple[clouds.Offer, ...]
    demand: int
    lost: dict[str, float]
    refused: tuple[tuple[str, str], ...]


def draw_day(seed: int) -> list[Moment]:
    """Draw prices, demand, waves and refused starts."""
    generator = random.Random(seed)
    prices = dict.fromkeys(ZONES, RECLAIMABLE_PRICE)
    refused_until: dict[str, int] = {}
    burst_until = 0
    day = []
    for step in range(STEPS):
        for zone in ZONES:
            change = generator.uniform(-PRICE_SWING, PRICE_SWING)
            prices[zone] = min(2.5, max(0.4, prices[zone] * (1 + change)))
        lost = {}
        if generator.random() < WAVES_PER_DAY / STEPS:
            whole = generator.random() < WHOLE_ZONE_SHARE
            zone = generator.choice(ZONES)
            lost[zone] = 1.0 if whole else 1 / 3
            refused_until[zone] = step + REFUSED_STEPS
        if generator.random() < 4 / STEPS:
            burst_until = step + generator.randint(60, 360)
        wave = 1 + 0.5 * math.sin(2 * math.pi * step / STEPS)
        burst = 1.5 if step < burst_until else 1.0
        demand = BASE_DEMAND * wave * burst * generator.uniform(0.9, 1.1)
        day.append(
            Moment(
                offers=_list_offers(prices),
                demand=round(demand),
                lost=lost,
                refused=tuple(
                    (zone, "reclaimable")
                    for zone, until in refused_until.items()
                    if until > step
                ),
            )
        )
    return day


def _list_offers(prices: dict[str, float]) -> tuple[clouds.Offer, ...]:
    offers = []
    for zone, price in prices.items():
        offers.append(
            clouds.Offer(
                zone=zone,
                host_class="reclaimable",
                reclaimable=True,
                price=price,
            )
        )
        offers.append(
            clouds.Offer(
                zone=zone,
                host_class="on-demand",
                reclaimable=False,
                price=ON_DEMAND_PRICE,
            )
        )
    return tuple(offers)


@dataclasses.dataclass(kw_only=True)
class Day:
    """One policy's day."""

    policy: Policy
    serving: collections.Counter
    starting: list
    window: collections.deque
    cost: float = 0.0
    short_steps: int = 0
    missing: float = 0.0
    starts: int = 0

    def follow(self, step: int, moment: Moment) -> None:
        """Go through one step."""
        self._lose(moment)
        self._finish_starts(step)
        self._count(moment)
        self.window.append(moment.demand)
        need = capacities.Requirement(
            demand=max(self.window),
            host_load=LOAD,
            min_hosts=LEAST,
            max_hosts=MOST,
            zones=ZONES,
        )
        held = collections.Counter(self.serving)
        held.update(place for _, place in self.starting)
        wanted = self.policy.choose(need, moment.offers, held, moment.refused)
        self._order(step, wanted, held, moment)
        self._release(wanted, need, held, moment)

    def _lose(self, moment: Moment) -> None:
        for zone, share in moment.lost.items():
            place = (zone, "reclaimable")
            self.serving[place] -= math.ceil(self.serving[place] * share)

    def _finish_starts(self, step: int) -> None:
        ready = [it for it in self.starting if it[0] <= step]
        self.starting = [it for it in self.starting if it[0] > step]
        self.serving.update(place for _, place in ready)

    def _count(self, moment: Moment) -> None:
        prices = {
            capacities.get_placement(it): it.price for it in moment.offers
        }
        paid = [*self.serving.elements(), *[it[1] for it in self.starting]]
        hours = STEP_SECONDS / 3600
        self.cost += hours * sum(prices[place] for place in paid)
        room = self.serving.total() * LOAD
        if room < moment.demand:
            self.short_steps += 1
            self.missing += moment.demand - room

    def _order(self, step, wanted, held, moment) -> None:
        loads_at = max([step + START_STEPS, *[it[0] for it in self.starting]])
        for place, count in wanted.items():
            if place in moment.refused:
                continue
            for _ in range(count - held[place]):
                if sum(held.values()) >= MOST:
                    return
                held[place] += 1
                loads_at += LOAD_STEPS
                self.starts += 1
                self.starting.append((loads_at, place))

    def _release(self, wanted, need, held, moment) -> None:
        if self.starting:
            return
        if self.policy.name != "reserve":
            for place in list(self.serving):
                extra = self.serving[place] - wanted.get(place, 0)
                if extra > 0:
                    self.serving[place] -= 1
                    return
            return
        place = capacities.find_surplus_placement(
            self.serving, wanted, need, moment.offers
        )
        if place is not None:
            self.serving[place] -= 1


def run_day(policy: Policy, day: list[Moment]) -> dict:
    """Run one policy through a day and return its figures."""
    followed = Day(
        policy=policy,
        serving=collections.Counter(
            {(zone, "on-demand"): 4 for zone in ZONES}
        ),
        starting=[],
        window=collections.deque(maxlen=WINDOW_STEPS),
    )
    for step, moment in enumerate(day):
        followed.follow(step, moment)
    return {
        "cost": followed.cost,
        "short": followed.short_steps / STEPS,
        "missing": followed.missing / sum(it.demand for it in day),
        "starts": followed.starts,
    }


def main() -> None:
    """Run all policies on all seeds and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--output", type=pathlib.Path)
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.runs)
    found: dict[str, list[dict]] = {it.name: [] for it in POLICIES}
    for seed in seeds:
        day = draw_day(seed)
        for policy in POLICIES:
            found[policy.name].append(run_day(policy, day))
    print(f"seeds {seeds.start} to {seeds.stop - 1}")
    table = {}
    for name, rows in found.items():
        table[name] = {
            key: {
                "mean": statistics.mean(row[key] for row in rows),
                "spread": statistics.stdev(row[key] for row in rows),
            }
            for key in rows[0]
        }
        figures = ", ".join(
            f"{key} {value['mean']:.4g} ± {value['spread']:.2g}"
            for key, value in table[name].items()
        )
        print(f"{name}: {figures}")
    if arguments.output:
        arguments.output.write_text(json.dumps(table, indent=1) + "\n")


if __name__ == "__main__":
    main()
