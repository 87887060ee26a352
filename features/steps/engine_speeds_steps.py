"""Steps for the speeds of engines, without a network."""

import random

import behave

from buckthornhold import engine_speeds

SERVICE = "s"
ENGINES = [(f"e{number}", 1) for number in range(5)]
#: Seconds between two streams.
STREAM_INTERVAL_SECONDS = 0.1
#: Times of equal work vary by this share, up and down.
VARIATION = 0.15
EVENT_INTERVAL_SECONDS = 0.02
EVENT_INTERVAL_SECONDS_PER_REQUEST = 0.0005
SLOTS = 16
TYPICAL_REQUEST = {
    "own_tokens": 2000,
    "shared_tokens": 3000,
    "output_tokens": 200,
    "slots": SLOTS,
}


class SpeedBench:
    """Engines with a pace, and what is learned of them."""

    def __init__(self, pace):
        self.now = 100.0
        self.pace = pace
        self.slow = {}
        self.draw = random.Random(7)
        self.speeds = engine_speeds.EngineSpeeds(clock=lambda: self.now)

    def make_work(self):
        return engine_speeds.FirstEventWork(
            own_tokens=self.draw.randrange(100, 6000),
            cached_tokens=self.draw.choice((0, 500, 5000)),
            waiting_tokens=self.draw.choice((0, 0, 3000)),
            running_requests=self.draw.randrange(10),
        )

    def measure(self, work, engine):
        """Return the time that an engine takes."""
        usual = sum(
            factor * coefficient
            for factor, coefficient in zip(
                work.list_factors(),
                engine_speeds.DEFAULT_FIRST_EVENT_SECONDS,
                strict=True,
            )
        )
        varied = self.draw.uniform(1 - VARIATION, 1 + VARIATION)
        return usual * self.pace * self.slow.get(engine, 1.0) * varied

    def answer(self, engine=None, late=0.0, factor=1.0):
        """Answer a stream; return the relative error of its estimate."""
        self.now += STREAM_INTERVAL_SECONDS
        engine = engine or self.draw.choice(ENGINES)
        work = self.make_work()
        seconds = self.measure(work, engine) * factor + late
        speed = self.speeds.find_service(SERVICE)
        estimate = speed.estimate_first_event(work)
        self.speeds.learn_first_event(SERVICE, engine, work, seconds)
        interval = EVENT_INTERVAL_SECONDS
        interval += work.running_requests * EVENT_INTERVAL_SECONDS_PER_REQUEST
        speed.learn_interval(interval * self.pace, work.running_requests)
        speed.learn_length(50, 200)
        return abs(estimate - seconds) / seconds

    def find_paces(self):
        return {
            engine: round(self.speeds.find_pace(engine), 2)
            for engine in ENGINES
        }


@behave.given("speeds: engines at {pace:g} times the default speed")
def make_bench(context, pace):
    context.bench = SpeedBench(pace)


@behave.when("speeds: {count:d} streams are answered")
def answer_streams(context, count):
    for _ in range(count):
        context.bench.answer()


@behave.when("speeds: one takes {factor:g} times as long")
def answer_oddly(context, factor):
    context.bench.answer(factor=factor)


@behave.when(
    "speeds: {count:d} streams are answered {seconds:g} seconds late, one on "
    "each engine"
)
def answer_late(context, count, seconds):
    for engine in ENGINES[:count]:
        context.bench.answer(engine=engine, late=seconds)


@behave.when("speeds: the engines change to {pace:g} times the default speed")
def change_pace(context, pace):
    context.bench.pace = pace


@behave.when(
    "speeds: one of {count:d} engines becomes {factor:g} times as slow"
)
def slow_down(context, count, factor):
    assert count == len(ENGINES)
    context.bench.slow[ENGINES[0]] = factor


@behave.when("speeds: it gets no streams for {seconds:g} seconds")
def pass_time(context, seconds):
    context.bench.now += seconds


@behave.then(
    "speeds: of the next {count:d} estimates half are at most {percent:g}% off"
)
def check_median(context, count, percent):
    errors = sorted(context.bench.answer() for _ in range(count))
    context.errors = errors
    assert errors[count // 2] <= percent / 100, errors[count // 2]


@behave.then("speeds: 90 of 100 are at most {percent:g}% off")
def check_most(context, percent):
    error = context.errors[int(0.9 * len(context.errors))]
    assert error <= percent / 100, error


@behave.then(
    "speeds: that engine's pace is at least {least:g}, the others' is 1"
)
def check_slow(context, least):
    paces = context.bench.find_paces()
    assert paces.pop(ENGINES[0]) >= least, context.bench.find_paces()
    assert set(paces.values()) == {1.0}, paces


@behave.then("speeds: its pace is 1")
def check_forgotten(context):
    assert context.bench.find_paces()[ENGINES[0]] == 1.0


@behave.then("speeds: every engine's pace is 1")
def check_paces(context):
    paces = context.bench.find_paces()
    assert set(paces.values()) == {1.0}, paces


@behave.then(
    "speeds: a request keeps an engine busy for {least:g} to {most:g} times "
    "the default"
)
def check_demand(context, least, most):
    learned = context.bench.speeds.find_service(SERVICE)
    seconds = learned.estimate_engine_seconds(**TYPICAL_REQUEST)
    usual = engine_speeds.ServiceSpeed().estimate_engine_seconds(
        **TYPICAL_REQUEST
    )
    assert least <= seconds / usual <= most, seconds / usual
