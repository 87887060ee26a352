"""Relay routers: which upstream gets a relayed request.

For model requests the engine is sought at which the first event is likely
to come first: what waits there, what runs there, and how much of the
prompt's shared parts it has surely not read yet. Hosts rank the engines by
the shared part alike, so that requests with one subject meet at one engine
without any talk.
"""

import abc
from collections.abc import Sequence
import dataclasses
import math
import random

from buckthornhold import hash_rings
from buckthornhold import relay_upstreams

#: Tokens that an engine prefills a second where none is measured; from the
#: deployments' sheets, rounded down.
PREFILL_TOKENS_PER_SECOND = 70_000.0
#: By how much each running request delays the next one's first event, in
#: seconds: the growth of a decoding step, over the few steps until then.
RUNNING_REQUEST_DELAY_SECONDS = 0.0005
#: What sending to another availability zone costs, in seconds.
REMOTE_ZONE_PENALTY_SECONDS = 0.02
#: Part of a plain service's slots that may be in use before another
#: availability zone's upstream is preferred.
REMOTE_ZONE_PENALTY_SHARE = 0.7


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workload:
    """What a request asks of its upstream.

    ``prefix`` names the longest part that other requests share and
    ``shared_tokens`` is its length with all before it; ``own_tokens`` are
    those behind it. All are 0 for a plain service's request.
    """

    prefix: str = ""
    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt."""
        return self.shared_tokens + self.own_tokens


class RelayRouter(abc.ABC):
    """Chooses one of the upstreams that may get a request."""

    def __init__(self, *, zone: str) -> None:
        self._zone = zone

    def choose(
        self,
        candidates: Sequence[relay_upstreams.RelayUpstream],
        work: Workload,
    ) -> relay_upstreams.RelayUpstream:
        """Return the candidate of least cost, of which there is one."""
        costs = self.estimate_costs(candidates, work)
        least = min(costs)
        best = [
            candidate
            for candidate, cost in zip(candidates, costs, strict=True)
            if cost <= least
        ]
        return random.choice(best)

    @abc.abstractmethod
    def estimate_costs(
        self,
        candidates: Sequence[relay_upstreams.RelayUpstream],
        work: Workload,
    ) -> list[float]:
        """Return what each candidate costs, in seconds or alike."""


class LeastLoadedRouter(RelayRouter):
    """Sends to the own availability zone while slots are free there."""

    def estimate_costs(self, candidates, work):
        """Return the share of slots in use, other zones' higher."""
        costs = []
        for it in candidates:
            cost = it.load / max(1, it.record.slots)
            if it.record.zone != self._zone:
                cost += REMOTE_ZONE_PENALTY_SHARE
            costs.append(cost)
        return costs


class EngineRouter(RelayRouter):
    """Sends to the engine where the first event is likely to come first."""

    def __init__(self, *, zone: str) -> None:
        super().__init__(zone=zone)
        self._ring = hash_rings.HashRing()

    def estimate_costs(self, candidates, work):
        """Return the seconds to the first event on each engine."""
        homes = self._find_prefix_engine(candidates, work)
        costs = []
        for it in candidates:
            missing = work.own_tokens
            if it.name not in homes[:1]:
                missing += work.shared_tokens
            cost = (it.backlog + missing) / PREFILL_TOKENS_PER_SECOND
            cost += it.load * RUNNING_REQUEST_DELAY_SECONDS
            if it.load >= it.record.slots:
                cost += math.inf if work.prompt_tokens == 0 else 1.0
            if it.record.zone != self._zone:
                cost += REMOTE_ZONE_PENALTY_SECONDS
            costs.append(cost)
        return costs

    def _find_prefix_engine(self, candidates, work) -> list[str]:
        """Return the engine at which requests with this prefix meet."""
        if not work.prefix:
            return []
        self._ring.update(it.name for it in candidates)
        for name in self._ring.rank(work.prefix):
            return [name]
        return []
