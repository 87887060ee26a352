"""Engine speeds: how fast engines answer, learned from their streams.

The time to a stream's first event is estimated as a sum over the work that
comes before it, the time between two events as a sum over the requests that
run beside it. The coefficients are learned for each service from the times
of its streams; until then careful defaults apply. What distinguishes one
engine from the others of its service is learned as a factor, its pace.
Needs no network.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math
import operator
import time

#: Coefficients of the time to the first event before any stream was seen:
#: in all, and for each token and each request of ``FirstEventWork``.
DEFAULT_FIRST_EVENT_SECONDS = (0.03, 25e-6, 5e-6, 25e-6, 12e-6, 0.002)
#: Coefficients of the time between two events before any stream was seen: in
#: all, and for each request that the engine runs.
DEFAULT_EVENT_INTERVAL_SECONDS = (0.02, 0.0005)
#: Events of a stream for each token that it may generate at most, before any
#: stream was seen.
DEFAULT_EVENTS_PER_TOKEN = 0.25
#: Weight of the latest stream in the mean number of events per token.
EVENTS_EWMA_WEIGHT = 0.05
#: Streams after which the coefficients are computed anew; at first after each.
SOLVE_INTERVAL = 16
#: Weight of earlier streams relative to each next one.
FORGETTING_FACTOR = 0.99
#: Variance of an estimate relative to the stream's time.
RELATIVE_VARIANCE = 0.16
#: Standard deviation of the defaults, relative to them.
DEFAULT_DEVIATION = 1.0
#: A time counts as no more and no less than these multiples of its estimate.
MAX_RELATIVE_TIME = 4.0
MIN_RELATIVE_TIME = 0.25
#: A coefficient stays within this factor of its default.
MAX_COEFFICIENT_FACTOR = 20.0
#: Weight of the latest stream in an engine's pace.
PACE_EWMA_WEIGHT = 0.3
#: Half-life of an engine's pace: an engine that gets no requests any more is
#: tried again.
PACE_HALF_LIFE_SECONDS = 8.0
#: A pace counts from this factor on, up or down; the times of equal engines
#: differ as well.
MIN_PACE = 1.8


@dataclasses.dataclass(frozen=True, kw_only=True)
class FirstEventWork:
    """What an engine does before a stream's first event.

    ``own_tokens`` belong to the request alone. ``cached_tokens`` are shared
    with other requests and expected in the engine's prefix cache,
    ``missing_tokens`` are shared and not expected there. ``waiting_tokens``
    are those of this host's other requests that wait for their first event,
    ``running_requests`` all requests at the engine.
    """

    own_tokens: int = 0
    cached_tokens: int = 0
    missing_tokens: int = 0
    waiting_tokens: int = 0
    running_requests: int = 0

    def list_factors(self) -> tuple[float, ...]:
        """Return the factors of the coefficients, in their order."""
        return (
            1.0,
            self.own_tokens,
            self.cached_tokens,
            self.missing_tokens,
            self.waiting_tokens,
            self.running_requests,
        )


class RelativeRegression:
    """Learns the coefficients of a sum by least squares.

    It minimizes the error relative to the observed sum. So short times count
    as much as long ones, and times that a queue made long count little.
    Later observations count more, and the defaults count like a few
    observations. Internally coefficients are multiples of their defaults.
    """

    def __init__(self, defaults: Sequence[float]) -> None:
        self._defaults = tuple(defaults)
        self._coefficients = tuple(defaults)
        self._products = [[0.0] * len(defaults) for _ in defaults]
        self._sums = [0.0] * len(defaults)
        self._count = 0

    @property
    def coefficients(self) -> tuple[float, ...]:
        """The coefficients, in the order of the factors."""
        return self._coefficients

    def estimate(self, factors: Sequence[float]) -> float:
        """Return the sum of the factors times their coefficients."""
        return sum(map(operator.mul, self._coefficients, factors))

    def learn(self, factors: Sequence[float], observed: float) -> None:
        """Learn from an observed sum."""
        estimate = self.estimate(factors)
        observed = min(
            MAX_RELATIVE_TIME * estimate,
            max(MIN_RELATIVE_TIME * estimate, observed),
        )
        parts = [
            factor * default / observed
            for factor, default in zip(factors, self._defaults, strict=True)
        ]
        for row, part in zip(self._products, parts, strict=True):
            for column, other in enumerate(parts):
                row[column] = row[column] * FORGETTING_FACTOR + part * other
        for row, part in enumerate(parts):
            self._sums[row] = self._sums[row] * FORGETTING_FACTOR + part
        self._count += 1
        if self._count < SOLVE_INTERVAL or not self._count % SOLVE_INTERVAL:
            self._solve()

    def _solve(self) -> None:
        """Set the coefficients of least error."""
        weight = RELATIVE_VARIANCE / DEFAULT_DEVIATION**2
        rows = [
            [*products, total + weight]
            for products, total in zip(self._products, self._sums, strict=True)
        ]
        for number, row in enumerate(rows):
            row[number] += weight
        self._coefficients = tuple(
            default
            * min(MAX_COEFFICIENT_FACTOR, max(1 / MAX_COEFFICIENT_FACTOR, it))
            for default, it in zip(
                self._defaults, solve_equations(rows), strict=True
            )
        )


def solve_equations(rows: list[list[float]]) -> list[float]:
    """Return the solution of linear equations; changes ``rows``.

    Each row holds an equation's coefficients and its right side. The matrix
    must be symmetric and positive definite.
    """
    for number, row in enumerate(rows):
        for below in rows[number + 1 :]:
            factor = below[number] / row[number]
            for column in range(number, len(row)):
                below[column] -= factor * row[column]
    solution = [0.0] * len(rows)
    for number in range(len(rows) - 1, -1, -1):
        row = rows[number]
        known = sum(
            map(operator.mul, row[number + 1 : -1], solution[number + 1 :])
        )
        solution[number] = (row[-1] - known) / row[number]
    return solution


class ServiceSpeed:
    """What was learned of the engines of one service."""

    def __init__(self) -> None:
        self._first_event = RelativeRegression(DEFAULT_FIRST_EVENT_SECONDS)
        self._interval = RelativeRegression(DEFAULT_EVENT_INTERVAL_SECONDS)
        self._events_per_token = DEFAULT_EVENTS_PER_TOKEN

    @property
    def token_seconds(self) -> float:
        """Seconds in which an engine reads one token of a prompt."""
        return self._first_event.coefficients[1]

    def estimate_first_event(self, work: FirstEventWork) -> float:
        """Return the seconds until the first event of a stream."""
        return self._first_event.estimate(work.list_factors())

    def learn_first_event(self, work: FirstEventWork, seconds: float) -> None:
        """Learn from the time of a stream's first event."""
        self._first_event.learn(work.list_factors(), seconds)

    def estimate_interval(self, running_requests: int) -> float:
        """Return the seconds between two events of a stream."""
        return self._interval.estimate((1.0, running_requests))

    def learn_interval(self, seconds: float, running_requests: int) -> None:
        """Learn from the mean time between two events of a stream."""
        self._interval.learn((1.0, running_requests), seconds)

    def learn_length(self, events: int, output_tokens: int) -> None:
        """Learn from a whole stream that could have had so many tokens."""
        if output_tokens <= 0:
            return
        change = events / output_tokens - self._events_per_token
        self._events_per_token += EVENTS_EWMA_WEIGHT * change

    def estimate_engine_seconds(
        self,
        *,
        own_tokens: int,
        shared_tokens: int,
        output_tokens: int,
        slots: int,
    ) -> float:
        """Return for how long a request keeps an engine busy, in seconds.

        Shared tokens count as cached. Of the time between two events of a
        full engine a request bears the part of one of its ``slots``.
        """
        prefill = FirstEventWork(
            own_tokens=own_tokens, cached_tokens=shared_tokens
        )
        base = self._first_event.coefficients[0]
        events = output_tokens * self._events_per_token
        interval = self._interval.estimate((1.0, slots))
        return (
            self.estimate_first_event(prefill)
            - base
            + events * interval / slots
        )


class EngineSpeeds:
    """The speeds of all services, and the pace of each engine."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._services: dict[str, ServiceSpeed] = {}
        #: Logarithm of each engine's pace, and when it was learned.
        self._paces: dict[tuple[str, int], tuple[float, float]] = {}

    def find_service(self, service: str) -> ServiceSpeed:
        """Return what was learned of a service, the defaults at first."""
        speed = self._services.get(service)
        if speed is None:
            speed = self._services[service] = ServiceSpeed()
        return speed

    def find_pace(self, engine: tuple[str, int]) -> float:
        """Return the factor on an engine's times, 1 for one not known."""
        logarithm = self._read_pace(engine)
        if abs(logarithm) < math.log(MIN_PACE):
            return 1.0
        return math.exp(logarithm)

    def learn_first_event(
        self,
        service: str,
        engine: tuple[str, int],
        work: FirstEventWork,
        seconds: float,
    ) -> None:
        """Learn from the time of a stream's first event on an engine."""
        speed = self.find_service(service)
        ratio = seconds / speed.estimate_first_event(work)
        ratio = min(MAX_RELATIVE_TIME, max(MIN_RELATIVE_TIME, ratio))
        speed.learn_first_event(work, seconds)
        known = self._read_pace(engine)
        changed = known + PACE_EWMA_WEIGHT * (math.log(ratio) - known)
        self._paces[engine] = (changed, self._clock())

    def _read_pace(self, engine: tuple[str, int]) -> float:
        """Return the logarithm of an engine's pace."""
        logarithm, learned_at = self._paces.get(engine, (0.0, 0.0))
        age = self._clock() - learned_at
        return logarithm * 0.5 ** (age / PACE_HALF_LIFE_SECONDS)

    def forget(self, engine: tuple[str, int]) -> None:
        """Forget the pace of an engine that is gone."""
        self._paces.pop(engine, None)
