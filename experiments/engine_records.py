"""Engine records: what the model engines of one run counted."""

import collections
import statistics

from buckthornhold.standins import caches
from experiments import traces
from testbed import machines


class EngineRecords:
    """Totals and executions of all engines, also of those killed since.

    ``started`` is when the run began, in wall time.
    """

    def __init__(self) -> None:
        self.started = 0.0
        self._totals: collections.Counter[str] = collections.Counter()
        self._executions: list[dict] = []

    @property
    def prefilled(self) -> int:
        """Tokens that the engines computed of prompts and moved text."""
        return self._totals["prefilled"]

    def read(self, engine: machines.StandInMachine) -> None:
        """Add what an engine counted; once for each engine."""
        if not engine.running:
            return
        self._totals.update(engine.get("/state")["totals"])
        self._executions += engine.get("/executions")

    def count_least_prefill(
        self, arrivals: list[tuple[float, traces.Item]]
    ) -> int:
        """Return the tokens to compute if none were computed twice.

        Counts the prompts that were sent to an engine, each start once.
        """
        cache = caches.PrefixCache(capacity_tokens=2**62)
        least = 0
        numbers = {find_number(it) for it in self._executions}
        for number in sorted(numbers):
            prompt = f"user: {arrivals[number][1].make_prompt()}"
            least += caches.count_tokens(prompt) - cache.use(prompt)
        return least

    def find_attempts(self) -> dict[str, float]:
        """Return how often a request was sent to engines: mean and most."""
        counts = collections.Counter(
            it["request_id"] for it in self._executions
        )
        return {
            "mean": round(statistics.fmean(counts.values() or [0]), 4),
            "most": max(counts.values(), default=0),
        }

    def count_arrivals(self) -> dict[int, int]:
        """Return how many sendings reached engines, by second of the run."""
        counts = collections.Counter(
            int((it["time"] - self.started) // 1) for it in self._executions
        )
        return dict(sorted(counts.items()))


def find_number(execution: dict) -> int:
    """Return the number of an execution's request in its run."""
    return int(execution["request_id"].rpartition("-")[2])
