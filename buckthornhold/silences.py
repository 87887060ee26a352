"""Silences: which engines don't answer this host, and when they do again."""

from collections.abc import Iterable
import random
import time

from buckthornhold import tasks
from buckthornhold import upstreams

#: Seconds between two rounds of asking the engines that are silent.
ASK_INTERVAL = 1.0
#: Engines of one zone that are asked in a round.
ASKED_PER_ZONE = 2
#: Engines that are asked when one changed, in its zone and in each other one.
ASKED_NEAR = 4
ASKED_ELSEWHERE = 1
#: An engine that was silent for so long, in seconds, is taken for lost.
LOST_SECONDS = 3.0


class Silences(tasks.PeriodicService):
    """Keeps new work off engines that are silent, until they answer.

    A cut or a lost zone silences many engines at once. So when one falls
    silent, or answers again, a few others that had been like it are asked,
    and each change leads to further questions; while nothing changes, a few
    silent engines of each zone are asked in turn.
    """

    def __init__(self, *, host) -> None:
        super().__init__(
            interval=ASK_INTERVAL,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._silent: dict[upstreams.Upstream, float] = {}
        self._asked_at: dict[upstreams.Upstream, float] = {}

    @property
    def has_work(self) -> bool:
        """Whether an engine is silent."""
        return bool(self._silent)

    def is_silent(self, upstream: upstreams.Upstream) -> bool:
        """Tell whether an engine did not answer when it was last asked."""
        return upstream in self._silent

    def is_lost(self, upstream: upstreams.Upstream) -> bool:
        """Tell whether an engine has been silent for long."""
        since = self._silent.get(upstream)
        return since is not None and time.monotonic() - since >= LOST_SECONDS

    def note_silence(self, upstream: upstreams.Upstream) -> None:
        """Note that an engine could not be reached or did not answer."""
        if upstream in self._silent:
            return
        self._silent[upstream] = time.monotonic()
        self._host.upstreams.invalidate_pools()
        self._host.counters.count_event("upstreams.silent")
        self._ask_others(upstream, silent=False)
        self.wake()

    def note_answer(self, upstream: upstreams.Upstream) -> None:
        """Note that an engine answered."""
        if self._silent.pop(upstream, None) is None:
            return
        self._host.upstreams.invalidate_pools()
        self._ask_others(upstream, silent=True)

    async def run_once(self) -> None:
        """Ask a few silent engines of each zone."""
        known = set(self._host.upstreams.list_all())
        for upstream in list(self._silent):
            if upstream not in known:
                del self._silent[upstream]
                self._asked_at.pop(upstream, None)
        for silent in _group_by_zone(self._silent).values():
            silent.sort(key=lambda it: self._asked_at.get(it, 0.0))
            self._ask(silent[:ASKED_PER_ZONE])

    def _ask_others(
        self, upstream: upstreams.Upstream, *, silent: bool
    ) -> None:
        alike = [
            it
            for it in self._host.upstreams.list_all()
            if it.engine is not None
            and it is not upstream
            and self.is_silent(it) is silent
        ]
        for zone, others in _group_by_zone(alike).items():
            near = zone == upstream.record.zone
            count = ASKED_NEAR if near else ASKED_ELSEWHERE
            self._ask(random.sample(others, min(count, len(others))))

    def _ask(self, asked: list[upstreams.Upstream]) -> None:
        for upstream in asked:
            self._asked_at[upstream] = time.monotonic()
            self._host.background.start(
                self._host.upstreams.check_alive(upstream), step="ask upstream"
            )


def _group_by_zone(
    grouped: Iterable[upstreams.Upstream],
) -> dict[str, list[upstreams.Upstream]]:
    by_zone: dict[str, list[upstreams.Upstream]] = {}
    for upstream in grouped:
        by_zone.setdefault(upstream.record.zone, []).append(upstream)
    return by_zone
