"""Paces: how slow each engine is beside its service, learned by all hosts.

Each host adds up the logarithms of the ratios between the times that it saw
and those that it expected, with exponential decay. The sums and weights of
all hosts can be added, so that summaries and their aggregates carry them; the
decay stands for their age. A stretch in which an engine is slow for half a
second is a few of many observations. Times at an engine that is nearly full
are not observed, as they depend on the queue there.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import math
import statistics

#: Half-life of observations. The engines of a service get several requests a
#: second from all hosts together, so this holds some 50 for each.
HALF_LIFE_SECONDS = 20.0
#: Observations that the service's median counts for: a new engine has the
#: median pace, and a single slow stream changes it by an eighth at most.
PRIOR_WEIGHT = 2.0
#: Limits of one observation; a longer time is an interruption.
MAX_RATIO = 4.0
#: Weight of a first event beside that of a mean interval between events: it
#: depends on other hosts' prompts, which are known late.
FIRST_EVENT_WEIGHT = 0.25
#: Load per slot from which on times aren't observed.
NEARLY_FULL_SHARE = 0.95
#: An engine is judged slow above this multiple of the median pace, and normal
#: again below the second one. Slow stretches of 15% of the time give 1.15.
SLOW_FACTOR = 1.4
NORMAL_FACTOR = 1.25
#: Observations that a judgement needs.
MIN_JUDGED_WEIGHT = 8.0
#: Observations below which a host reports nothing of an engine.
MIN_REPORTED_WEIGHT = 0.05
#: Summaries carry sums and weights as multiples of this.
REPORT_UNIT = 0.01

Key = tuple[str, int]


#: Interval between two changes of the scale in which weights are kept; they
#: grow by a factor of two in a half-life.
RESCALE_SECONDS = 600.0

#: Weight of observations and weighted sum of the logarithms of ratios.
Observations = tuple[float, float]
NONE: Observations = (0.0, 0.0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Judgement:
    """An engine that was judged slow, or normal again."""

    engine: Key
    slow: bool
    factor: float
    weight: float


class JointPaces:
    """The paces of all engines, from this host's and others' observations.

    Internally observations are weighted by how late they are (forward
    decay), so that only what changes has to be computed. ``clock`` returns
    monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._base = clock()
        self._own: dict[Key, Observations] = {}
        self._others: dict[Key, Observations] = {}
        self._medians: dict[str, float] = {}
        self._paces: dict[Key, float] = {}
        self._slow: set[Key] = set()

    def learn(
        self,
        engine: Key,
        *,
        seconds: float,
        expected: float,
        weight: float = 1.0,
    ) -> None:
        """Learn from a time and what it would be at the usual pace."""
        if seconds <= 0 or expected <= 0:
            return
        limit = math.log(MAX_RATIO)
        logarithm = min(limit, max(-limit, math.log(seconds / expected)))
        weight *= self._compute_scale()
        known, total = self._own.get(engine, NONE)
        self._own[engine] = (known + weight, total + weight * logarithm)

    def set_others(
        self, observed: Mapping[Key, Observations], *, age: float
    ) -> None:
        """Replace what the other hosts observed, ``age`` seconds ago."""
        scale = self._compute_scale(age)
        self._others = {
            engine: (weight * scale, total * scale)
            for engine, (weight, total) in observed.items()
        }

    def list_own(self) -> Iterator[tuple[Key, Observations]]:
        """Yield this host's observations that are enough to be reported."""
        scale = self._compute_scale()
        least = MIN_REPORTED_WEIGHT * scale
        for engine, (weight, total) in self._own.items():
            if weight >= least:
                yield engine, (weight / scale, total / scale)

    def find(self, service: str, engine: Key) -> float:
        """Return the factor on an engine's times as of the last update.

        That of the service's median engine for one that isn't known.
        """
        pace = self._paces.get(engine)
        if pace is None:
            pace = math.exp(self._medians.get(service, 0.0))
        return pace

    def is_slow(self, engine: Key) -> bool:
        """Tell whether an engine is judged slow."""
        return engine in self._slow

    def update(self, service: str, engines: Iterable[Key]) -> list[Judgement]:
        """Compute the paces of a service's engines; return new judgements."""
        scale = self._compute_scale()
        sums = {}
        for engine in engines:
            weight, total = self._own.get(engine, NONE)
            other_weight, other_total = self._others.get(engine, NONE)
            sums[engine] = (
                (weight + other_weight) / scale,
                (total + other_total) / scale,
            )
        median = self._medians[service] = statistics.median(
            [
                total / weight
                for weight, total in sums.values()
                if weight >= MIN_JUDGED_WEIGHT
            ]
            or [0.0]
        )
        judgements = []
        for engine, (weight, total) in sums.items():
            logarithm = (total + PRIOR_WEIGHT * median) / (
                weight + PRIOR_WEIGHT
            )
            self._paces[engine] = math.exp(logarithm)
            factor = math.exp(logarithm - median)
            slow = engine in self._slow
            limit = NORMAL_FACTOR if slow else SLOW_FACTOR
            if weight < MIN_JUDGED_WEIGHT or (factor > limit) == slow:
                continue
            self._slow ^= {engine}
            judgements.append(
                Judgement(
                    engine=engine,
                    slow=not slow,
                    factor=factor,
                    weight=weight,
                )
            )
        return judgements

    def retain(self, engines: Container[Key]) -> None:
        """Forget all engines but these."""
        for known in (self._own, self._others, self._paces):
            for engine in [it for it in known if it not in engines]:
                del known[engine]
        self._slow = {it for it in self._slow if it in engines}

    def _compute_scale(self, age: float = 0.0) -> float:
        """Return the internal weight of an observation of some age."""
        passed = self._clock() - self._base
        if passed > RESCALE_SECONDS:
            factor = 0.5 ** (passed / HALF_LIFE_SECONDS)
            for known in (self._own, self._others):
                for engine, (weight, total) in known.items():
                    known[engine] = (weight * factor, total * factor)
            self._base += passed
            passed = 0.0
        return 2.0 ** ((passed - age) / HALF_LIFE_SECONDS)
