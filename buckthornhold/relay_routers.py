"""Relay routers: selection of the upstream for a relayed request.

Model requests go to the engine with the lowest estimated time to the first
event. The estimate counts this host's queued prompt tokens, the running
requests and the tokens that are not in the engine's prefix cache; the weights
are learned (``engine_speeds``). All hosts map a prompt prefix to an engine by
the same hash ring, so requests that share a prefix reach the same engine
without coordination.
"""

import abc
from collections.abc import Sequence
import dataclasses
import random

from buckthornhold import engine_speeds
from buckthornhold import hash_rings
from buckthornhold import relay_upstreams

#: Cost added for an engine whose slots are all in use: a request waits there
#: until another one ends.
NO_SLOT_PENALTY_SECONDS = 1.0
#: Cost added for an engine in another availability zone.
REMOTE_ZONE_PENALTY_SECONDS = 0.02
#: Load, as a share of the slots, that is added for an upstream in another
#: availability zone: the local zone is preferred until its load exceeds the
#: other one's by this much.
REMOTE_ZONE_PENALTY_SHARE = 0.7


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workload:
    """Tokens that a request makes an engine process.

    ``prefix`` names the longest prompt prefix shared with other requests and
    ``shared_tokens`` is its length. ``own_tokens`` is the length of the rest
    of the prompt. All are 0 for requests to plain services.
    """

    prefix: str = ""
    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Length of the whole prompt."""
        return self.shared_tokens + self.own_tokens


@dataclasses.dataclass(frozen=True, kw_only=True)
class Estimate:
    """What a router expects of a request on the upstream that it chose.

    ``seconds`` is the time to the first event and ``work`` what it depends
    on; 0 and None where the router doesn't estimate it. ``pace`` is the
    factor on the engine's times and ``load_share`` its load per slot, 0 where
    they aren't known; ``saved_tokens`` are expected in its prefix cache.
    """

    seconds: float = 0.0
    work: engine_speeds.FirstEventWork | None = None
    pace: float = 0.0
    load_share: float = 0.0
    saved_tokens: int = 0


class RelayRouter(abc.ABC):
    """Chooses the upstream of lowest cost."""

    def __init__(self, *, zone: str) -> None:
        self._zone = zone

    def choose(
        self,
        candidates: Sequence[relay_upstreams.RelayUpstream],
        workload: Workload,
    ) -> relay_upstreams.RelayUpstream:
        """Return a candidate of lowest cost; there must be at least one."""
        costs = self.estimate_costs(candidates, workload)
        lowest_cost = min(costs)
        cheapest = [
            candidate
            for candidate, cost in zip(candidates, costs, strict=True)
            if cost <= lowest_cost
        ]
        return random.choice(cheapest)

    @abc.abstractmethod
    def estimate_costs(
        self,
        candidates: Sequence[relay_upstreams.RelayUpstream],
        workload: Workload,
    ) -> list[float]:
        """Return the cost of each candidate, in the router's own unit."""

    @abc.abstractmethod
    def estimate(
        self, upstream: relay_upstreams.RelayUpstream, workload: Workload
    ) -> Estimate:
        """Return what is expected of a request on an upstream."""

    @abc.abstractmethod
    def learn_first_event(
        self,
        upstream: relay_upstreams.RelayUpstream,
        estimate: Estimate,
        seconds: float,
    ) -> None:
        """Learn from the time of a first event, for later estimates."""

    def learn_interval(  # noqa: B027
        self, upstream: relay_upstreams.RelayUpstream, seconds: float
    ) -> None:
        """Learn the upstream's pace from the time between two events.

        Called before the service's speed learns from it; by default nothing
        is learned.
        """


class LeastLoadedRouter(RelayRouter):
    """Chooses the least loaded upstream and prefers the local zone."""

    def estimate_costs(self, candidates, workload):
        """Return each candidate's load per slot, plus the zone penalty."""
        costs = []
        for candidate in candidates:
            cost = candidate.load / max(1, candidate.record.slots)
            if candidate.record.zone != self._zone:
                cost += REMOTE_ZONE_PENALTY_SHARE
            costs.append(cost)
        return costs

    def estimate(self, upstream, workload):
        """Return an estimate without a time."""
        return Estimate()

    def learn_first_event(self, upstream, estimate, seconds):
        """Learn nothing: loads are counted."""


class EngineRouter(RelayRouter):
    """Chooses the engine with the lowest estimated time to first event."""

    def __init__(
        self, *, zone: str, speeds: engine_speeds.EngineSpeeds
    ) -> None:
        super().__init__(zone=zone)
        self._speeds = speeds
        #: For each service the candidates that its ring was built from.
        self._rings: dict[str, tuple[object, hash_rings.HashRing]] = {}
        #: Engine that the ring assigned to the prefix of the last request.
        self._prefix_engine: str | None = None

    def estimate_costs(self, candidates, workload):
        """Return the estimated seconds to the first event on each engine."""
        self._prefix_engine = self._find_prefix_engine(candidates, workload)
        costs = []
        for candidate in candidates:
            cost = self.estimate(candidate, workload).seconds
            cost += self._estimate_remote_wait(candidate)
            if candidate.load >= candidate.record.slots:
                cost += NO_SLOT_PENALTY_SECONDS
            if candidate.record.zone != self._zone:
                cost += REMOTE_ZONE_PENALTY_SECONDS
            costs.append(cost)
        return costs

    def _estimate_remote_wait(self, upstream) -> float:
        """Return the wait for long prompts that other hosts have sent."""
        speed = self._speeds.find_service(upstream.record.service)
        pace = self._speeds.find_pace(upstream.key)
        return upstream.estimate_remote_wait(speed.token_seconds * pace)

    def estimate(self, upstream, workload):
        """Return the work before the first event, and its time."""
        cached = upstream.name == self._prefix_engine
        work = engine_speeds.FirstEventWork(
            own_tokens=workload.own_tokens,
            cached_tokens=workload.shared_tokens if cached else 0,
            missing_tokens=0 if cached else workload.shared_tokens,
            waiting_tokens=upstream.waiting_tokens,
            running_requests=upstream.load,
        )
        speed = self._speeds.find_service(upstream.record.service)
        seconds = speed.estimate_first_event(work)
        seconds *= self._speeds.find_pace(upstream.key)
        return Estimate(seconds=seconds, work=work)

    def learn_first_event(self, upstream, estimate, seconds):
        """Learn the speed of the service and the pace of the engine."""
        self._speeds.learn_first_event(
            upstream.record.service, upstream.key, estimate.work, seconds
        )

    def _find_prefix_engine(self, candidates, workload) -> str | None:
        """Return the engine that the ring assigns to the prefix, if any."""
        if not workload.prefix:
            return None
        service = candidates[0].record.service
        members, ring = self._rings.get(service, (None, hash_rings.HashRing()))
        if members is not candidates:
            ring.update(candidate.name for candidate in candidates)
            self._rings[service] = (candidates, ring)
        return next(iter(ring.rank(workload.prefix)), None)
