"""Paced routers: choice of the upstream by paces that all hosts learn.

They replace the routers of ``relay_routers`` where the setting
``scheduling.learned_paces`` is set; the decisions are in ``scheduling``.
"""

from collections.abc import Callable
import random
import time
import weakref

from buckthornhold import engine_speeds
from buckthornhold import pace_exchanges
from buckthornhold import relay_routers
from buckthornhold.scheduling import choices
from buckthornhold.scheduling import paces
from buckthornhold.scheduling import prefix_homes
from buckthornhold.scheduling import spreads

#: Transfer of a request and of its answer's first bytes to another zone and
#: back, where 0.5 to 1.5 ms pass one way.
ZONE_TRIP_SECONDS = 0.002
#: What a prefix costs that an engine doesn't hold, in readings of it: it is
#: read, and evicts another that is read again later.
MISS_FACTOR = 2.0


class PrefixSavings:
    """What this host knows of the prefixes that engines hold.

    ``count_hosts`` returns the number of hosts that share the engines,
    ``find_cache_tokens`` what one engine of a service holds.
    """

    def __init__(
        self,
        *,
        count_hosts: Callable[[], int],
        find_cache_tokens: Callable[[str], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._count_hosts = count_hosts
        self._find_cache_tokens = find_cache_tokens
        self._demands = prefix_homes.PrefixDemands(clock=clock)
        self._sent = prefix_homes.SentPrefixes()

    def find(self, prefix: str, engines: int) -> tuple[int, list]:
        """Return the number of a prefix's homes, and other holders."""
        self._demands.add(prefix)
        homes = self._demands.count_homes(prefix, engines)
        return homes, self._sent.list_holders(prefix)

    def record(self, upstream, workload) -> None:
        """Record that a request is sent to an engine."""
        tokens = self._find_cache_tokens(upstream.record.service)
        self._sent.add(
            upstream,
            workload.prefix,
            tokens=workload.shared_tokens,
            room=tokens / max(1, self._count_hosts()),
        )


class PacedEngineRouter(relay_routers.RelayRouter):
    """Chooses the engine of lowest expected time among a few."""

    def __init__(
        self,
        *,
        zone: str,
        speeds: engine_speeds.EngineSpeeds,
        joint_paces: paces.JointPaces,
        clock: Callable[[], float] = time.monotonic,
        draw: random.Random | None = None,
        savings: PrefixSavings | None = None,
    ) -> None:
        super().__init__(zone=zone)
        self._speeds = speeds
        self._paces = joint_paces
        self._clock = clock
        self._draw = draw or random.Random()
        self._choosers: dict[str, choices.EngineChooser] = {}
        #: Engines that hold the prefix of the last request.
        self._holders: list = []
        self._savings = savings

    def choose(self, candidates, workload):
        """Return the best of a few candidates and the prefix's home."""
        service = candidates[0].record.service
        chooser = self._choosers.get(service)
        if chooser is None:
            chooser = self._choosers[service] = choices.EngineChooser(
                measure_capacity=self._measure_capacity,
                clock=self._clock,
                draw=self._draw,
            )
        if self._savings is None or not workload.prefix:
            options, self._holders = chooser.list_options(
                candidates, workload.prefix
            )
            return self._choose_cheapest(options, workload)
        homes, holders = self._savings.find(workload.prefix, len(candidates))
        options, self._holders = chooser.list_options(
            candidates, workload.prefix, homes=homes, holders=holders
        )
        chosen = self._choose_cheapest(options, workload)
        self._savings.record(chosen, workload)
        return chosen

    def _choose_cheapest(self, options, workload):
        costs = self.estimate_costs(options, workload)
        return options[costs.index(min(costs))]

    def estimate_costs(self, candidates, workload):
        """Return the expected seconds of each candidate."""
        speed = self._speeds.find_service(candidates[0].record.service)
        miss_factor = 1.0 if self._savings is None else MISS_FACTOR
        costs = []
        for candidate in candidates:
            pace = self._find_pace(candidate)
            tokens = candidate.waiting_tokens + workload.own_tokens
            if candidate not in self._holders:
                tokens += workload.shared_tokens * miss_factor
            token_seconds = speed.token_seconds * pace
            cost = tokens * token_seconds
            cost += candidate.estimate_remote_wait(token_seconds)
            if candidate.load >= candidate.slots:
                cost += pace * relay_routers.NO_SLOT_PENALTY_SECONDS
            if candidate.record.zone != self._zone:
                cost += ZONE_TRIP_SECONDS
            costs.append(cost)
        return costs

    def estimate(self, upstream, workload):
        """Return the work before the first event, and its time."""
        cached = upstream in self._holders
        work = engine_speeds.FirstEventWork(
            own_tokens=workload.own_tokens,
            cached_tokens=workload.shared_tokens if cached else 0,
            missing_tokens=0 if cached else workload.shared_tokens,
            waiting_tokens=upstream.waiting_tokens,
            running_requests=upstream.load,
        )
        speed = self._speeds.find_service(upstream.record.service)
        pace = self._find_pace(upstream)
        return relay_routers.Estimate(
            seconds=speed.estimate_first_event(work) * pace,
            work=work,
            pace=pace,
            load_share=upstream.load / upstream.slots,
            saved_tokens=workload.shared_tokens if cached else 0,
        )

    def learn_first_event(self, upstream, estimate, seconds):
        """Learn the speed of the service and the pace of the engine."""
        speed = self._speeds.find_service(upstream.record.service)
        expected = speed.estimate_first_event(estimate.work)
        speed.learn_first_event(estimate.work, seconds)
        if estimate.load_share < paces.NEARLY_FULL_SHARE:
            self._paces.learn(
                upstream.key,
                seconds=seconds,
                expected=expected,
                weight=paces.FIRST_EVENT_WEIGHT,
            )

    def learn_interval(self, upstream, seconds):
        """Learn the pace from the mean time between a stream's events."""
        speed = self._speeds.find_service(upstream.record.service)
        expected = speed.estimate_interval(upstream.load)
        self._paces.learn(upstream.key, seconds=seconds, expected=expected)

    def _find_pace(self, upstream) -> float:
        return self._paces.find(upstream.record.service, upstream.key)

    def _measure_capacity(self, upstream) -> float:
        return upstream.slots / self._find_pace(upstream)


class SpreadingRouter(relay_routers.RelayRouter):
    """Spreads calls over plain upstreams by their capacity.

    ``count_hosts`` returns the number of hosts in each zone.
    """

    def __init__(
        self,
        *,
        zone: str,
        count_hosts: Callable[[], dict[str, int]],
        clock: Callable[[], float] = time.monotonic,
        draw: random.Random | None = None,
    ) -> None:
        super().__init__(zone=zone)
        self._count_hosts = count_hosts
        self._clock = clock
        self._draw = draw or random.Random()
        self._means: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()

    def choose(self, candidates, workload):
        """Return a candidate, drawn in proportion to its weight."""
        weights = self.estimate_costs(candidates, workload)
        return self._draw.choices(candidates, weights)[0]

    def estimate_costs(self, candidates, workload):
        """Return the weight of each candidate."""
        return spreads.weigh(
            [
                spreads.Option(
                    zone=it.record.zone,
                    slots=it.slots,
                    own=it.in_flight,
                    load=self._smooth_load(it),
                )
                for it in candidates
            ],
            zone=self._zone,
            hosts=self._count_hosts(),
            trip_seconds=ZONE_TRIP_SECONDS,
        )

    def _smooth_load(self, upstream) -> float:
        mean = self._means.get(upstream)
        if mean is None:
            mean = self._means[upstream] = choices.SmoothedLoad()
        return mean.update(upstream.load, self._clock())

    def estimate(self, upstream, workload):
        """Return an estimate without a time."""
        return relay_routers.Estimate()

    def learn_first_event(self, upstream, estimate, seconds):
        """Learn nothing: loads are counted."""


class PacedRouting:
    """The paced routers of one host, and the exchange of the paces."""

    def __init__(self, *, host) -> None:
        self._host = host
        zone = host.settings.zone
        self._paces = paces.JointPaces(clock=time.monotonic)
        self._exchange = pace_exchanges.PaceExchange(
            host=host, joint_paces=self._paces
        )
        self._engine_router = PacedEngineRouter(
            zone=zone,
            speeds=host.engine_speeds,
            joint_paces=self._paces,
            savings=self._make_savings(),
        )
        self._plain_router = SpreadingRouter(
            zone=zone,
            count_hosts=lambda: self._exchange.zone_hosts,
        )

    def _make_savings(self) -> PrefixSavings | None:
        if not self._host.settings.scheduling.prefix_savings:
            return None
        return PrefixSavings(
            count_hosts=self._host.count_hosts,
            find_cache_tokens=self._find_cache_tokens,
        )

    def _find_cache_tokens(self, service: str) -> int:
        current = self._host.configurations.current
        record = current.services.get(service) if current else None
        if record is None or record.engine is None:
            return 0
        return record.engine.cache_tokens

    def find_router(self, *, is_engine: bool) -> relay_routers.RelayRouter:
        """Return the router for engines or for plain upstreams."""
        self._exchange.update(time.monotonic())
        return self._engine_router if is_engine else self._plain_router
