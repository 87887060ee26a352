"""Retentions: how long the state of a move that no rule names is kept."""

import time

from buckthornhold import exchanges
from buckthornhold import tasks
from buckthornhold.coordination import facts
from buckthornhold.coordination import host_rankings

#: Part of the retention that must be left for a move that a rule names again.
RENEW_PART = 0.5


class Retentions(tasks.PeriodicService):
    """Lets the states of moves expire whose rule lines are gone.

    One host gives such a state an expiry, by compare-and-swap in the store;
    it then drops out of the store and of all hosts. A state that a rule
    names does not expire, however old it is. Withdrawals never expire.
    """

    def __init__(self, *, host) -> None:
        super().__init__(
            interval=host.settings.facts_store_interval,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host

    async def run_once(self) -> None:
        """Set or put off the expiry of moves, on one host of all."""
        others = [link.host for link in self._host.links.list_all()]
        if not self._host.ready or not host_rankings.is_selected(
            self._host.settings.host, others, 1
        ):
            return
        for fact in self._host.exchanges.known.list_all(
            exchanges.MOVES_PREFIX
        ):
            if self._must_be_set(fact):
                expires = time.time() + self._host.settings.move_retention
                await self._host.exchanges.keep_until(fact, expires)

    def _must_be_set(self, fact: facts.Fact) -> bool:
        move = fact.key.removeprefix(exchanges.MOVES_PREFIX)
        if not self._host.moves.is_named(move):
            return not fact.expires
        if not fact.expires:
            return False
        left = fact.expires - time.time()
        return left < RENEW_PART * self._host.settings.move_retention
