"""Routers: which upstream gets a request."""

import abc
from collections.abc import Sequence
import itertools
import math
import random

from buckthornhold import load_trackers
from buckthornhold import pools
from buckthornhold import request_contracts
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
    """Baseline: any candidate."""

    name = "random"

    def choose(
        self,
        candidates: Sequence[upstreams.Upstream],
        contract: request_contracts.RequestContract,
    ) -> upstreams.Upstream:
        """Return any candidate."""
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
    """The less loaded of two random candidates, by load reports.

    Two random choices keep hosts from herding on one upstream whose lagging
    report is the lowest.
    """

    name = "two_choices"

    def choose(
        self,
        candidates: Sequence[upstreams.Upstream],
        contract: request_contracts.RequestContract,
    ) -> upstreams.Upstream:
        """Return the less loaded of two candidates."""
        some = random.sample(candidates, min(2, len(candidates)))
        return min(some, key=self._loads.estimate_requests)


class PrefixRouter(TwoChoicesRouter):
    """Prompts that start alike go to the same engine while it has room.

    Every host ranks the candidates by hashing the prompt's start, so all
    agree without talk and a lost engine moves only its own prompts. A
    candidate whose load is above ``slack`` times the mean is passed over for
    the next in rank.
    """

    name = "prefix"

    #: How far an engine's load may lie above the mean, as a factor.
    load_factor = 1.25

    def choose(
        self,
        candidates: Sequence[upstreams.Upstream],
        contract: request_contracts.RequestContract,
    ) -> upstreams.Upstream:
        """Return the first candidate in rank that has room."""
        if not contract.prefix:
            return super().choose(candidates, contract)
        mean = self._loads.find_mean(candidates)
        bound = math.ceil(self.load_factor * (mean + 1))
        for upstream in pools.make_pool(candidates).rank(contract.prefix):
            if self._loads.estimate_requests(upstream) < bound:
                return upstream
        return min(candidates, key=self._loads.estimate_requests)


class EarliestRouter(PrefixRouter):
    """The engine at which the first token is likely to come first.

    Of the first few candidates in rank that have a free slot, the one whose
    wait and prefill of what it has not cached are the shortest together.
    """

    name = "earliest"

    #: How many candidates in rank are looked at.
    max_compared = 3
    #: How many candidates in rank a free slot is looked for among.
    max_ranked = 16

    def choose(
        self,
        candidates: Sequence[upstreams.Upstream],
        contract: request_contracts.RequestContract,
    ) -> upstreams.Upstream:
        """Return the candidate with the earliest first token."""
        pool = pools.make_pool(candidates)
        first = super().choose(pool, contract)
        if not contract.prefix:
            return first
        ranked = itertools.islice(pool.rank(contract.prefix), self.max_ranked)
        ranked = itertools.islice(
            filter(self._loads.has_free_slot, ranked), self.max_compared
        )
        best, least = first, math.inf
        for place, upstream in enumerate(ranked, start=1):
            cost = self._estimate_cost(upstream, contract, place)
            if cost < least:
                best, least = upstream, cost
        return best

    def _estimate_cost(
        self,
        upstream: upstreams.Upstream,
        contract: request_contracts.RequestContract,
        place: int,
    ) -> float:
        """Return the seconds to the first token on an engine.

        What this host has not sent there, others are the likelier to have
        sent the nearer it stands to the first ``place``.
        """
        tokens = self._loads.estimate_prefill_tokens(upstream, contract)
        tokens *= place / self.max_compared
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


def make_router(name: str, *, loads: load_trackers.LoadTracker) -> Router:
    """Return a new router by its name in the settings."""
    return ROUTERS[name](loads=loads)
