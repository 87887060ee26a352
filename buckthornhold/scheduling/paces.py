"""Paces: how slow each engine is beside its service, learned by all hosts.

Each host adds up the logarithms of the ratios between the times that it saw
and those that it expected, with exponential decay. The sums and weights of
all hosts can be added, so that summaries and their aggregates carry them; the
decay stands for their age. A stretch in which an engine is slow for half a
second is a few of many observations. Times at an engine that is nearly full
are not observed, as they depend on the queue there.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import statistics

#: Half-life of observations. The engines of a service get several requests a
#: second from all hosts together, so this holds some 50 for each.
HALF_LIFE_SECONDS = 10.0
#: Observations that the service's median counts for: a new engine has the
#: median pace, and a single slow stream changes it by an eighth at most.
PRIOR_WEIGHT = 8.0
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observations:
    """Weight of observations and weighted sum of the logarithms of ratios."""

    weight: float = 0.0
    total: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> "Observations":
        """Return what they count for at a later time."""
        factor = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_SECONDS)
        return Observations(
            weight=self.weight * factor, total=self.total * factor, at=now
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Judgement:
    """An engine that was judged slow, or normal again."""

    engine: Key
    slow: bool
    factor: float
    weight: float


class JointPaces:
    """The paces of all engines, from this host's and others' observations.

    ``clock`` returns monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
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
        known = self._own.get(engine, Observations()).decay(self._clock())
        self._own[engine] = dataclasses.replace(
            known,
            weight=known.weight + weight,
            total=known.total + weight * logarithm,
        )

    def set_others(
        self, engine: Key, *, weight: float, total: float, age: float
    ) -> None:
        """Replace what the other hosts observed of an engine."""
        self._others[engine] = Observations(
            weight=weight, total=total, at=self._clock() - age
        )

    def read_own(self, engine: Key) -> Observations | None:
        """Return this host's observations, None if they are too few."""
        known = self._own.get(engine)
        if known is None:
            return None
        known = known.decay(self._clock())
        return known if known.weight >= MIN_REPORTED_WEIGHT else None

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
        now = self._clock()
        sums = {engine: self._add_up(engine, now) for engine in engines}
        median = self._medians[service] = statistics.median(
            [
                it.total / it.weight
                for it in sums.values()
                if it.weight >= MIN_JUDGED_WEIGHT
            ]
            or [0.0]
        )
        judgements = []
        for engine, known in sums.items():
            logarithm = (known.total + PRIOR_WEIGHT * median) / (
                known.weight + PRIOR_WEIGHT
            )
            self._paces[engine] = math.exp(logarithm)
            factor = math.exp(logarithm - median)
            slow = engine in self._slow
            limit = NORMAL_FACTOR if slow else SLOW_FACTOR
            if known.weight < MIN_JUDGED_WEIGHT or (factor > limit) == slow:
                continue
            self._slow ^= {engine}
            judgements.append(
                Judgement(
                    engine=engine,
                    slow=not slow,
                    factor=factor,
                    weight=known.weight,
                )
            )
        return judgements

    def forget(self, engine: Key) -> None:
        """Forget an engine that is gone."""
        self._own.pop(engine, None)
        self._others.pop(engine, None)
        self._paces.pop(engine, None)
        self._slow.discard(engine)

    def _add_up(self, engine: Key, now: float) -> Observations:
        own = self._own.get(engine, Observations()).decay(now)
        others = self._others.get(engine, Observations()).decay(now)
        return Observations(
            weight=own.weight + others.weight,
            total=own.total + others.total,
            at=now,
        )
