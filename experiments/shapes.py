"""Makes the shipped traces: the users' workloads, from a seed."""

import random

from experiments import traces

SECONDS = 20.0


class Shape:
    """A user's workload; subclasses say what arrives how often."""

    header: traces.Header
    #: Rows of requests a second and the method that makes one.
    rates: tuple[tuple[float, str], ...] = ()

    def __init__(self, *, seed: int) -> None:
        self._random = random.Random(seed)

    def make_trace(self) -> traces.Trace:
        """Return the trace of this shape."""
        items = []
        for rate, name in self.rates:
            at = self._random.expovariate(rate)
            while at < self.header.seconds:
                items.append(getattr(self, name)(round(at, 3)))
                at += self._random.expovariate(rate)
        items.sort(key=lambda item: item.at)
        return traces.Trace(header=self.header, items=tuple(items))

    def _make_number(self) -> str:
        return f"{self._random.randrange(10**6):06}"


class Racing(Shape):
    """Race desk: rulings, marshals' questions, booth, registration."""

    header = traces.Header(
        trace="racing",
        model="race-desk-llm",
        service="entries-app",
        rules="examples/racing.rules",
        zones=("port-of-spain", "chaguanas", "arima"),
        seconds=SECONDS,
        outcomes=traces.Outcomes(
            first_token_p95=0.91, gap_p95=0.07, call_p95=0.5
        ),
    )
    rates = (
        (2.0, "_make_ruling"),
        (4.0, "_make_question"),
        (2.0, "_make_summary"),
        (3.0, "_make_payment"),
        (2.0, "_make_bib"),
        (8.0, "_make_lookup"),
    )

    def _make_ruling(self, at: float) -> traces.Item:
        book = self._random.choices(range(8), weights=range(8, 0, -1))[0]
        return traces.Item(
            at=at,
            kind="chat",
            workspace="secretaries",
            document=f"rulebook-{book}",
            document_tokens=3000 + 300 * book,
            question=f"draft a ruling on protest {self._make_number()}",
            max_tokens=60,
        )

    def _make_question(self, at: float) -> traces.Item:
        return traces.Item(
            at=at,
            kind="chat",
            workspace="timing-marshals",
            document=f"landing-{self._random.randrange(12)}",
            document_tokens=200,
            question=f"runner {self._make_number()} missed a tag, what now?",
            max_tokens=20,
        )

    def _make_summary(self, at: float) -> traces.Item:
        return traces.Item(
            at=at,
            kind="chat",
            workspace="booth",
            document="booth-style",
            document_tokens=600,
            question=f"splits {self._make_number()}",
            max_tokens=40,
        )

    def _make_payment(self, at: float) -> traces.Item:
        return self._make_call(at, "pay", self._make_number())

    def _make_bib(self, at: float) -> traces.Item:
        return self._make_call(at, "assign-bib", self._make_number())

    def _make_lookup(self, at: float) -> traces.Item:
        heat = f"heat-{self._random.randrange(20)}"
        return self._make_call(at, "heat-lookup", heat)

    def _make_call(self, at: float, operation: str, key: str) -> traces.Item:
        return traces.Item(
            at=at,
            kind="call",
            workspace="registration",
            operation=operation,
            key=key,
        )


class Postcards(Shape):
    """Refill desk: season plans, rack photos, driver chat, stock."""

    header = traces.Header(
        trace="postcards",
        model="model-pool",
        service="order-desk",
        rules="examples/postcards.rules",
        zones=("riga-a", "riga-b", "riga-c"),
        seconds=SECONDS,
        outcomes=traces.Outcomes(
            first_token_p95=0.91, gap_p95=0.07, call_p95=0.5
        ),
    )
    rates = (
        (1.0, "_make_plan"),
        (2.0, "_make_photo"),
        (3.0, "_make_chat"),
        (2.0, "_make_refill"),
        (10.0, "_make_stock"),
    )

    def _make_plan(self, at: float) -> traces.Item:
        shop = self._random.randrange(6)
        return traces.Item(
            at=at,
            kind="chat",
            workspace="season-planning",
            document=f"sales-{shop}",
            document_tokens=2500 + 200 * shop,
            question=f"plan week {self._make_number()}",
            max_tokens=80,
        )

    def _make_photo(self, at: float) -> traces.Item:
        return traces.Item(
            at=at,
            kind="chat",
            workspace="rack-photos",
            document=f"rack-{self._make_number()}",
            document_tokens=700,
            question="which pockets are empty?",
            max_tokens=20,
        )

    def _make_chat(self, at: float) -> traces.Item:
        return traces.Item(
            at=at,
            kind="chat",
            workspace="drivers",
            document=f"route-{self._random.randrange(5)}",
            document_tokens=400,
            question=f"next stop after {self._make_number()}?",
            max_tokens=40,
        )

    def _make_refill(self, at: float) -> traces.Item:
        return self._make_call(at, "refill", self._make_number())

    def _make_stock(self, at: float) -> traces.Item:
        card = self._random.choices(range(10), weights=range(10, 0, -1))[0]
        return self._make_call(at, "stock", f"card-{card}")

    def _make_call(self, at: float, operation: str, key: str) -> traces.Item:
        return traces.Item(
            at=at,
            kind="call",
            workspace="shops",
            operation=operation,
            key=key,
        )


SHAPES = {shape.header.trace: shape for shape in (Racing, Postcards)}
