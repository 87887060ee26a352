"""Relay routers: selection of the upstream for a relayed request.

Model requests go to the engine with the lowest estimated time to the first
event. The estimate counts the queued prompt tokens, the running requests and
the tokens that are not in the engine's prefix cache. All hosts map a prompt
prefix to an engine by the same hash ring, so requests that share a prefix
reach the same engine without coordination.
"""

import abc
from collections.abc import Sequence
import dataclasses
import math
import random

from buckthornhold import hash_rings
from buckthornhold import relay_upstreams

#: Prefill rate assumed for engines without a measured one; from the
#: deployments' data sheets, rounded down.
PREFILL_TOKENS_PER_SECOND = 70_000.0
#: Delay that each running request adds to the first event of the next one:
#: it lengthens the few decoding steps until then.
RUNNING_REQUEST_DELAY_SECONDS = 0.0005
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


class EngineRouter(RelayRouter):
    """Chooses the engine with the lowest estimated time to first event."""

    def __init__(self, *, zone: str) -> None:
        super().__init__(zone=zone)
        self._ring = hash_rings.HashRing()

    def estimate_costs(self, candidates, workload):
        """Return the estimated seconds to the first event on each engine."""
        prefix_engines = self._find_prefix_engine(candidates, workload)
        costs = []
        for candidate in candidates:
            missing = workload.own_tokens
            if candidate.name not in prefix_engines[:1]:
                missing += workload.shared_tokens
            cost = (candidate.backlog + missing) / PREFILL_TOKENS_PER_SECOND
            cost += candidate.load * RUNNING_REQUEST_DELAY_SECONDS
            if candidate.load >= candidate.record.slots:
                cost += math.inf if workload.prompt_tokens == 0 else 1.0
            if candidate.record.zone != self._zone:
                cost += REMOTE_ZONE_PENALTY_SECONDS
            costs.append(cost)
        return costs

    def _find_prefix_engine(self, candidates, workload) -> list[str]:
        """Return the engine that the ring assigns to the prefix, if any."""
        if not workload.prefix:
            return []
        self._ring.update(candidate.name for candidate in candidates)
        for name in self._ring.rank(workload.prefix):
            return [name]
        return []
