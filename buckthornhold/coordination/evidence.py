"""Evidence on a new version beside the old one, and what it is worth.

Requests are split between the versions by a hash, so that, if the new
version is no worse, each bad event (a failure, a slow answer) falls to it
with the probability of its share, whatever the weather is like for both. A
likelihood ratio on this label is an e-process: it depends on counts only,
counts of hosts add up, and it may be looked at after every request.
"""

import dataclasses
import itertools
import math

#: Ratios of bad-event rates, new to old, over which the test is mixed.
ALTERNATIVE_RATE_RATIOS = (2.0, 4.0, 10.0, 40.0)
#: A failure rate up to this many times the old one is no worse.
FAILURE_TOLERANCE = 1.25
#: Latencies up to this many times the old ones are no worse; also the
#: distance of the edges, so that it is one bin.
LATENCY_TOLERANCE = 1.5
FIRST_TOKEN_EDGES_SECONDS = tuple(
    0.1 * LATENCY_TOLERANCE**k for k in range(16)
)
GAP_EDGES_SECONDS = tuple(0.03 * LATENCY_TOLERANCE**k for k in range(12))

#: What the new version must be shown to stay under to be judged good.
MAX_FAILURE_RATE_EXCESS = 0.05
MAX_SLOW_SHARE_EXCESS = 0.25

#: While the old version fails more often than this, nothing is counted.
OUTAGE_FAILURE_RATE = 0.25
OUTAGE_DECAY_ATTEMPTS = 10


def _make_bins(edges: tuple[float, ...]) -> list[int]:
    return [0] * (len(edges) + 1)


@dataclasses.dataclass(kw_only=True)
class Tally:
    """Counts of finished attempts; bins are latencies between edges."""

    attempts: int = 0
    failures: int = 0
    first_tokens: list[int] = dataclasses.field(
        default_factory=lambda: _make_bins(FIRST_TOKEN_EDGES_SECONDS)
    )
    gaps: list[int] = dataclasses.field(
        default_factory=lambda: _make_bins(GAP_EDGES_SECONDS)
    )

    def record_outcome(self, *, failed: bool) -> None:
        """Count the end of an attempt."""
        self.attempts += 1
        self.failures += failed

    def record_first_token(self, seconds: float) -> None:
        """Count the time to an attempt's first token."""
        self.first_tokens[_find_bin(FIRST_TOKEN_EDGES_SECONDS, seconds)] += 1

    def record_gap(self, seconds: float) -> None:
        """Count an attempt's mean time between tokens."""
        self.gaps[_find_bin(GAP_EDGES_SECONDS, seconds)] += 1

    def add(self, other: "Tally") -> None:
        """Add another tally's counts."""
        self.attempts += other.attempts
        self.failures += other.failures
        for place, count in enumerate(other.first_tokens):
            self.first_tokens[place] += count
        for place, count in enumerate(other.gaps):
            self.gaps[place] += count

    def subtract(self, part: "Tally") -> None:
        """Take another tally's counts, which this one includes, out."""
        self.attempts -= part.attempts
        self.failures -= part.failures
        for place, count in enumerate(part.first_tokens):
            self.first_tokens[place] -= count
        for place, count in enumerate(part.gaps):
            self.gaps[place] -= count

    def dump(self) -> list[int]:
        """Return all counts as one list."""
        return [self.attempts, self.failures, *self.first_tokens, *self.gaps]


def load_tally(counts: list[int]) -> Tally:
    """Read a tally from its list of counts."""
    end = 2 + len(FIRST_TOKEN_EDGES_SECONDS) + 1
    return Tally(
        attempts=counts[0],
        failures=counts[1],
        first_tokens=list(counts[2:end]),
        gaps=list(counts[end:]),
    )


class BaselineHealth:
    """Tells whether the old version itself fails too often to compare.

    Counting stops by the old version's past alone, so the label of what is
    counted stays as random as it was.
    """

    def __init__(self) -> None:
        self._failure_rate = 0.0

    @property
    def comparable(self) -> bool:
        """Whether what ends now may be counted."""
        return self._failure_rate <= OUTAGE_FAILURE_RATE

    def record_outcome(self, *, failed: bool) -> None:
        """Take in the end of an attempt on the old version."""
        self._failure_rate += (
            failed - self._failure_rate
        ) / OUTAGE_DECAY_ATTEMPTS


@dataclasses.dataclass(frozen=True, kw_only=True)
class Series:
    """What a tally is of: one workspace's part in one step of a move."""

    move: str
    step: int
    workspace: str
    new: bool


#: All tallies that some host or sum of hosts holds.
Tallies = dict[Series, Tally]


def add_tallies(total: Tallies, part: Tallies) -> None:
    """Add tallies into a total, series by series."""
    for series, tally in part.items():
        total.setdefault(series, Tally()).add(tally)


@dataclasses.dataclass(kw_only=True)
class TallyPair:
    """Tallies of the old and the new version at one share of the new."""

    share: float
    old: Tally
    new: Tally


@dataclasses.dataclass(frozen=True, kw_only=True)
class TestResult:
    """How strongly the evidence speaks against the new version.

    ``weight`` is the natural logarithm of the e-value; ``what`` names the
    part that speaks loudest.
    """

    log_e_value: float
    metric: str


def test_regression(pairs: list[TallyPair]) -> TestResult:
    """Return the evidence that the new version is worse than the old."""
    weights = {
        "failures": _test_failures(pairs),
        "time to first token": _test_latencies(pairs, "first_tokens"),
        "time between tokens": _test_latencies(pairs, "gaps"),
    }
    loudest = max(weights, key=weights.get)
    return TestResult(
        log_e_value=_average_e_values(list(weights.values())), metric=loudest
    )


def _test_failures(pairs: list[TallyPair]) -> float:
    events = [
        (pair.share, pair.old.failures, pair.new.failures) for pair in pairs
    ]
    return _test_bad_events(events, FAILURE_TOLERANCE)


def _test_latencies(pairs: list[TallyPair], bins: str) -> float:
    """Mix over thresholds; the new version's is one bin higher."""
    above = [
        (
            pair.share,
            _count_above(getattr(pair.old, bins)),
            _count_above(getattr(pair.new, bins)),
        )
        for pair in pairs
    ]
    edges = len(above[0][1]) - 1
    return _average_e_values(
        [
            _test_bad_events(
                [
                    (share, old[edge], new[edge + 1])
                    for share, old, new in above
                ],
                1.0,
            )
            for edge in range(edges)
        ]
    )


def _count_above(bins: list[int]) -> list[int]:
    """Return for each edge how many were above it."""
    sums = list(itertools.accumulate(reversed(bins)))
    return sums[-2::-1]


def _test_bad_events(
    events: list[tuple[float, int, int]], tolerance: float
) -> float:
    """Weigh how the bad events fell on old and new.

    Each item gives the new version's share, and the bad events of the old
    and of the new one.
    """
    if not any(new for _, _, new in events):
        return -sum(old for _, old, _ in events) * 1e-9
    weights = []
    for ratio in ALTERNATIVE_RATE_RATIOS:
        weight = 0.0
        for share, old, new in events:
            expected = 1 + share * (tolerance - 1)
            claimed = 1 + share * (ratio - 1)
            weight += new * math.log(ratio / tolerance)
            weight += (old + new) * math.log(expected / claimed)
        weights.append(weight)
    return _average_e_values(weights)


def _average_e_values(weights: list[float]) -> float:
    """Return the logarithm of the mean of e-values given by logarithm."""
    greatest = max(weights)
    total = sum(math.exp(weight - greatest) for weight in weights)
    return greatest + math.log(total / len(weights))


def test_non_inferiority(old: Tally, new: Tally) -> TestResult:
    """Return the evidence that the new version is not clearly worse.

    It is the weakest of the evidence against a failure rate that is
    ``MAX_FAILURE_RATE_EXCESS`` above the old one's and, for each latency
    threshold, against a share of slow answers that is
    ``MAX_SLOW_SHARE_EXCESS`` above the old one's.
    """
    worst_rate = old.failures / max(1, old.attempts) + MAX_FAILURE_RATE_EXCESS
    weights = {
        "failures": _test_rate_below(new.failures, new.attempts, worst_rate)
    }
    for what, bins in (
        ("time to first token", "first_tokens"),
        ("time between tokens", "gaps"),
    ):
        old_bins = getattr(old, bins)
        old_above = _count_above(old_bins)
        new_bins = getattr(new, bins)
        new_above = _count_above(new_bins)
        weights[what] = min(
            _test_rate_below(
                new_above[edge + 1],
                sum(new_bins),
                old_above[edge] / max(1, sum(old_bins))
                + MAX_SLOW_SHARE_EXCESS,
            )
            for edge in range(len(old_above) - 1)
        )
    weakest = min(weights, key=weights.get)
    return TestResult(log_e_value=weights[weakest], metric=weakest)


def _test_rate_below(events: int, trials: int, worst: float) -> float:
    """Weigh that events are rarer than ``worst`` in so many trials."""
    if worst >= 0.99:
        return math.inf
    weights = []
    for part in (0.8, 0.5, 0.2, 0.02):
        rate = worst * part
        weights.append(
            events * math.log(rate / worst)
            + (trials - events) * math.log((1 - rate) / (1 - worst))
        )
    return _average_e_values(weights)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RankSum:
    """How latencies of the new version rank among those of the old one.

    ``excess`` is by how many more of its ``count`` attempts than half were
    the slower ones, and ``variance`` that of the excess where both versions
    are alike: the rank sum of Wilcoxon, Mann and Whitney.
    """

    count: int = 0
    excess: float = 0.0
    variance: float = 0.0

    def add(self, other: "RankSum") -> "RankSum":
        """Return the ranks of two groups that were each ranked by itself."""
        return RankSum(
            count=self.count + other.count,
            excess=self.excess + other.excess,
            variance=self.variance + other.variance,
        )


def compute_rank_sum(old_bins: list[int], new_bins: list[int]) -> RankSum:
    """Rank latencies of the new version among the old one's.

    The old ones are taken to be one bin longer, ``LATENCY_TOLERANCE``.
    """
    old_count, new_count = sum(old_bins), sum(new_bins)
    if not old_count or not new_count:
        return RankSum()
    slower = 0.0
    passed = 0
    for old, new in zip([0, *old_bins[:-1]], new_bins, strict=True):
        slower += new * (passed + old / 2)
        passed += old
    share = slower / (old_count * new_count)
    total = old_count + new_count + 1
    return RankSum(
        count=new_count,
        excess=new_count * (share - 0.5),
        variance=new_count * total / (12 * old_count),
    )


def _find_bin(edges: tuple[float, ...], seconds: float) -> int:
    for place, edge in enumerate(edges):
        if seconds <= edge:
            return place
    return len(edges)
