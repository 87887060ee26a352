"""Routers, which choose the upstream of a request."""

import abc
from collections.abc import Sequence
import itertools
import math
import random

from buckthornhold import load_trackers
from buckthornhold import pools
from buckthornhold import request_contracts
from buckthornhold import settings
from buckthornhold import upstreams


class Router(abc.ABC):
    """Chooses one of the upstreams that may serve a request."""

    #: Name of the router in the settings.
    name: str

    def __init__(self, *, loads: load_trackers.LoadTracker) -> None:
        self._loads = loads

    @abc.abstractmethod
    def choose(
        self,
        candidates: Sequence[upstreams.Upstream],
        contract: request_contracts.RequestContract,
    ) -> upstreams.Upstream:
        """Return one of the candidates, of which there is at least one."""


class RandomRouter(Router):
    """Baseline: a random candidate."""

    name = "random"

    def choose(
        self,
        candidates: Sequence[upstreams.Upstream],
        contract: request_contracts.RequestContract,
    ) -> upstreams.Upstream:
        """Return a random candidate."""
        return random.choice(candidates)


class LeastInFlightRouter(Router):
    """Baseline: the candidate with the fewest of this host's requests."""

    name = "least_in_flight"

    def choose(
        self,
        candidates: Sequence[upstreams.Upstream],
        contract: request_contracts.RequestContract,
    ) -> upstreams.Upstream:
        """Return the candidate with the fewest requests in flight."""
        fewest = min(upstream.in_flight for upstream in candidates)
        return random.choice(
            [
                upstream
                for upstream in candidates
                if upstream.in_flight == fewest
            ]
        )


class TwoChoicesRouter(Router):
    """Power of two choices: the less loaded of two random candidates.

    The random choice keeps all hosts from sending to the one upstream whose
    outdated load report is the lowest.
    """

    name = "two_choices"

    def choose(
        self,
        candidates: Sequence[upstreams.Upstream],
        contract: request_contracts.RequestContract,
    ) -> upstreams.Upstream:
        """Return the less loaded of two candidates."""
        sample = random.sample(candidates, min(2, len(candidates)))
        return min(sample, key=self._loads.estimate_requests)


class PrefixRouter(TwoChoicesRouter):
    """Prefix affinity: prompts with equal prefixes go to the same engine.

    Every host ranks the candidates by consistent hashing of the prompt's
    prefix, so all hosts agree without communication, and the loss of an
    engine moves only its own prompts. A candidate whose load is above
    ``load_factor`` times the mean is skipped for the next in rank.
    """

    name = "prefix"

    #: Bound on an engine's load, as a factor of the mean.
    load_factor = 1.25

    def choose(
        self,
        candidates: Sequence[upstreams.Upstream],
        contract: request_contracts.RequestContract,
    ) -> upstreams.Upstream:
        """Return the first candidate in rank below the load bound."""
        if not contract.prefix:
            return super().choose(candidates, contract)
        mean = self._loads.find_mean(candidates)
        bound = math.ceil(self.load_factor * (mean + 1))
        for upstream in pools.make_pool(candidates).rank(contract.prefix):
            if self._loads.estimate_requests(upstream) < bound:
                return upstream
        return min(candidates, key=self._loads.estimate_requests)


class EarliestRouter(PrefixRouter):
    """Least estimated time to first token among the first in rank.

    Of the first few candidates in rank with a free slot, it chooses the one
    with the shortest wait and prefill of uncached tokens together.
    """

    name = "earliest"

    #: Candidates with a free slot whose costs are compared.
    max_compared = 3
    #: Candidates in rank that are searched for a free slot.
    max_ranked = 16

    def choose(
        self,
        candidates: Sequence[upstreams.Upstream],
        contract: request_contracts.RequestContract,
    ) -> upstreams.Upstream:
        """Return the candidate with the earliest expected first token."""
        pool = pools.make_pool(candidates)
        first = super().choose(pool, contract)
        if not contract.prefix:
            return first
        ranked = itertools.islice(pool.rank(contract.prefix), self.max_ranked)
        ranked = itertools.islice(
            filter(self._loads.has_free_slot, ranked), self.max_compared
        )
        best, least = first, math.inf
        for position, upstream in enumerate(ranked, start=1):
            cost = self._estimate_cost(upstream, contract, position)
            if cost < least:
                best, least = upstream, cost
        return best

    def _estimate_cost(
        self,
        upstream: upstreams.Upstream,
        contract: request_contracts.RequestContract,
        position: int,
    ) -> float:
        """Return the estimated seconds to the first token on an engine.

        The lower its ``position`` in rank, the likelier other hosts have
        sent it the blocks that this host has not, so the more of them are
        taken to be cached.
        """
        tokens = self._loads.estimate_prefill_tokens(upstream, contract)
        tokens *= position / self.max_compared
        rate = self._loads.find_prefill_rate(upstream)
        if not rate:
            return tokens
        return self._loads.estimate_wait(upstream, contract) + tokens / rate


ROUTERS = {
    router.name: router
    for router in (
        RandomRouter,
        LeastInFlightRouter,
        TwoChoicesRouter,
        PrefixRouter,
        EarliestRouter,
    )
}
if set(ROUTERS) != set(settings.ROUTER_NAMES):
    raise ImportError("settings.ROUTER_NAMES doesn't name all routers")


def make_router(name: str, *, loads: load_trackers.LoadTracker) -> Router:
    """Return a new router by its name in the settings."""
    return ROUTERS[name](loads=loads)
