"""Tallies of an old and a new version, and sequential tests on them.

Requests are split between the versions by a hash. If the new version is no
worse, each bad event (a failure or a slow answer) belongs to it with the
probability of its share, whatever conditions both versions run under. A
likelihood ratio on this label is an e-process: it depends on counts only,
counts of hosts add up, and it stays valid when evaluated after every request.
"""

import dataclasses
import itertools
import math

#: Alternative hypotheses, averaged: ratios of bad-event rates, new to old.
ALTERNATIVE_RATE_RATIOS = (2.0, 4.0, 10.0, 40.0)
#: A failure rate up to this multiple of the old one counts as no worse.
FAILURE_TOLERANCE = 1.25
#: Latencies up to this multiple of the old ones count as no worse. It is also
#: the ratio of adjacent edges, so the tolerance is exactly one bin.
LATENCY_TOLERANCE = 1.5
FIRST_TOKEN_EDGES_SECONDS = tuple(
    0.1 * LATENCY_TOLERANCE**k for k in range(16)
)
GAP_EDGES_SECONDS = tuple(0.03 * LATENCY_TOLERANCE**k for k in range(12))

#: Non-inferiority margins: to pass, the new version must be shown to exceed
#: the old one's rates by less than these.
MAX_FAILURE_RATE_EXCESS = 0.05
MAX_SLOW_SHARE_EXCESS = 0.25

#: While the old version's failure rate exceeds this, nothing is counted.
OUTAGE_FAILURE_RATE = 0.25
#: Decay constant, in attempts, of the moving average of that rate.
OUTAGE_DECAY_ATTEMPTS = 10


def _make_bins(edges: tuple[float, ...]) -> list[int]:
    return [0] * (len(edges) + 1)


@dataclasses.dataclass(kw_only=True)
class Tally:
    """Counts of finished attempts, with latency histograms.

    ``gaps`` are the mean times between the tokens of an attempt.
    """

    attempts: int = 0
    failures: int = 0
    first_tokens: list[int] = dataclasses.field(
        default_factory=lambda: _make_bins(FIRST_TOKEN_EDGES_SECONDS)
    )
    gaps: list[int] = dataclasses.field(
        default_factory=lambda: _make_bins(GAP_EDGES_SECONDS)
    )

    def record_outcome(self, *, failed: bool) -> None:
        """Record the outcome of an attempt."""
        self.attempts += 1
        self.failures += failed

    def record_first_token(self, seconds: float) -> None:
        """Record an attempt's time to first token."""
        self.first_tokens[_find_bin(FIRST_TOKEN_EDGES_SECONDS, seconds)] += 1

    def record_gap(self, seconds: float) -> None:
        """Record an attempt's mean time between tokens."""
        self.gaps[_find_bin(GAP_EDGES_SECONDS, seconds)] += 1

    def add(self, other: "Tally") -> None:
        """Add another tally's counts."""
        self.attempts += other.attempts
        self.failures += other.failures
        for index, count in enumerate(other.first_tokens):
            self.first_tokens[index] += count
        for index, count in enumerate(other.gaps):
            self.gaps[index] += count

    def subtract(self, part: "Tally") -> None:
        """Subtract another tally's counts, which this one includes."""
        self.attempts -= part.attempts
        self.failures -= part.failures
        for index, count in enumerate(part.first_tokens):
            self.first_tokens[index] -= count
        for index, count in enumerate(part.gaps):
            self.gaps[index] -= count

    def dump(self) -> list[int]:
        """Return all counts as one list."""
        return [self.attempts, self.failures, *self.first_tokens, *self.gaps]


def load_tally(counts: list[int]) -> Tally:
    """Parse a tally from its list of counts."""
    end = 2 + len(FIRST_TOKEN_EDGES_SECONDS) + 1
    return Tally(
        attempts=counts[0],
        failures=counts[1],
        first_tokens=list(counts[2:end]),
        gaps=list(counts[end:]),
    )


class BaselineHealth:
    """Detects outages of the old version, in which a comparison is void.

    Counting stops depending on the old version's past outcomes only, so the
    version of each counted event remains random.
    """

    def __init__(self) -> None:
        self._failure_rate = 0.0

    @property
    def comparable(self) -> bool:
        """Whether attempts that end now may be counted."""
        return self._failure_rate <= OUTAGE_FAILURE_RATE

    def record_outcome(self, *, failed: bool) -> None:
        """Record the outcome of an attempt on the old version."""
        self._failure_rate += (
            failed - self._failure_rate
        ) / OUTAGE_DECAY_ATTEMPTS


@dataclasses.dataclass(frozen=True, kw_only=True)
class Series:
    """Key of a tally: a workspace's attempts on one version in one step."""

    move: str
    step: int
    workspace: str
    new: bool


#: All tallies of one host, or of several hosts added up.
Tallies = dict[Series, Tally]


def add_tallies(total: Tallies, part: Tallies) -> None:
    """Add tallies to a total, series by series."""
    for series, tally in part.items():
        total.setdefault(series, Tally()).add(tally)


@dataclasses.dataclass(kw_only=True)
class TallyPair:
    """Tallies of both versions at one share of the new version."""

    share: float
    old: Tally
    new: Tally


@dataclasses.dataclass(frozen=True, kw_only=True)
class TestResult:
    """Result of a sequential test.

    ``log_e_value`` is the natural logarithm of the e-value. ``metric`` names
    the decisive metric.
    """

    log_e_value: float
    metric: str


def test_regression(pairs: list[TallyPair]) -> TestResult:
    """Test whether the new version is worse than the old one.

    The e-values of all metrics are averaged; ``metric`` is the strongest.
    """
    log_e_values = {
        "failures": _test_failures(pairs),
        "time to first token": _test_latencies(pairs, "first_tokens"),
        "time between tokens": _test_latencies(pairs, "gaps"),
    }
    strongest = max(log_e_values, key=log_e_values.get)
    return TestResult(
        log_e_value=_average_e_values(list(log_e_values.values())),
        metric=strongest,
    )


def _test_failures(pairs: list[TallyPair]) -> float:
    events = [
        (pair.share, pair.old.failures, pair.new.failures) for pair in pairs
    ]
    return _test_bad_events(events, FAILURE_TOLERANCE)


def _test_latencies(pairs: list[TallyPair], bins: str) -> float:
    """Average the tests of all thresholds; the new one's is a bin higher."""
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
    """Return the number of values above each edge."""
    sums = list(itertools.accumulate(reversed(bins)))
    return sums[-2::-1]


def _test_bad_events(
    events: list[tuple[float, int, int]], tolerance: float
) -> float:
    """Return the log e-value of how bad events divide between the versions.

    Each item of ``events`` holds the new version's share, and the numbers of
    bad events of the old and of the new version.
    """
    if not any(new for _, _, new in events):
        return -sum(old for _, old, _ in events) * 1e-9
    log_e_values = []
    for ratio in ALTERNATIVE_RATE_RATIOS:
        log_e_value = 0.0
        for share, old, new in events:
            null = 1 + share * (tolerance - 1)
            alternative = 1 + share * (ratio - 1)
            log_e_value += new * math.log(ratio / tolerance)
            log_e_value += (old + new) * math.log(null / alternative)
        log_e_values.append(log_e_value)
    return _average_e_values(log_e_values)


def _average_e_values(log_e_values: list[float]) -> float:
    """Return the logarithm of the mean of e-values given as logarithms."""
    maximum = max(log_e_values)
    total = sum(
        math.exp(log_e_value - maximum) for log_e_value in log_e_values
    )
    return maximum + math.log(total / len(log_e_values))


def test_non_inferiority(old: Tally, new: Tally) -> TestResult:
    """Test that the new version is not clearly worse than the old one.

    The result is the weakest of several tests: against a failure rate that
    is ``MAX_FAILURE_RATE_EXCESS`` above the old one's and, for each latency
    threshold, against a share of slow answers that is
    ``MAX_SLOW_SHARE_EXCESS`` above the old one's.
    """
    max_rate = old.failures / max(1, old.attempts) + MAX_FAILURE_RATE_EXCESS
    log_e_values = {
        "failures": _test_rate_below(new.failures, new.attempts, max_rate)
    }
    for metric, bins in (
        ("time to first token", "first_tokens"),
        ("time between tokens", "gaps"),
    ):
        old_bins = getattr(old, bins)
        old_above = _count_above(old_bins)
        new_bins = getattr(new, bins)
        new_above = _count_above(new_bins)
        log_e_values[metric] = min(
            _test_rate_below(
                new_above[edge + 1],
                sum(new_bins),
                old_above[edge] / max(1, sum(old_bins))
                + MAX_SLOW_SHARE_EXCESS,
            )
            for edge in range(len(old_above) - 1)
        )
    weakest = min(log_e_values, key=log_e_values.get)
    return TestResult(log_e_value=log_e_values[weakest], metric=weakest)


def _test_rate_below(events: int, trials: int, max_rate: float) -> float:
    """Return the log e-value that the event rate is below ``max_rate``."""
    if max_rate >= 0.99:
        return math.inf
    log_e_values = []
    for factor in (0.8, 0.5, 0.2, 0.02):
        rate = max_rate * factor
        log_e_values.append(
            events * math.log(rate / max_rate)
            + (trials - events) * math.log((1 - rate) / (1 - max_rate))
        )
    return _average_e_values(log_e_values)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RankSum:
    """Wilcoxon-Mann-Whitney rank sum of the new version's latencies.

    ``count`` is the number of attempts on the new version. ``excess`` is how
    many of them, beyond half, were slower than those on the old version;
    ``variance`` is that of the excess if both versions are alike.
    """

    count: int = 0
    excess: float = 0.0
    variance: float = 0.0

    def add(self, other: "RankSum") -> "RankSum":
        """Return the sum of two groups that were ranked separately."""
        return RankSum(
            count=self.count + other.count,
            excess=self.excess + other.excess,
            variance=self.variance + other.variance,
        )


def compute_rank_sum(old_bins: list[int], new_bins: list[int]) -> RankSum:
    """Rank the new version's latencies among the old one's.

    The old latencies are shifted up by one bin, which is
    ``LATENCY_TOLERANCE``.
    """
    old_count, new_count = sum(old_bins), sum(new_bins)
    if not old_count or not new_count:
        return RankSum()
    slower = 0.0
    below = 0
    for old, new in zip([0, *old_bins[:-1]], new_bins, strict=True):
        slower += new * (below + old / 2)
        below += old
    share = slower / (old_count * new_count)
    total = old_count + new_count + 1
    return RankSum(
        count=new_count,
        excess=new_count * (share - 0.5),
        variance=new_count * total / (12 * old_count),
    )


def _find_bin(edges: tuple[float, ...], seconds: float) -> int:
    for index, edge in enumerate(edges):
        if seconds <= edge:
            return index
    return len(edges)
