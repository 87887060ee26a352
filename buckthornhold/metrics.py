"""Metrics: counters and latency histograms for a scraper."""

from collections.abc import Iterable

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from buckthornhold import counters

#: Upper bounds in seconds; from a plain call's work to the longest stream.
SECONDS_BUCKETS = (
    0.02,
    0.05,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.0,
    4.0,
    8.0,
    16.0,
)


class Metrics(registry.Collector):
    """Shows the host's counters and times requests by route kind.

    Each host has a registry of its own, so that several can run in one
    process.
    """

    def __init__(self, *, counts: counters.Counters) -> None:
        self._counts = counts
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(self)
        self._requests = prometheus_client.Counter(
            "buckthornhold_requests",
            "Relayed requests by how they ended",
            ["kind", "outcome"],
            registry=self._registry,
        )
        self._seconds = prometheus_client.Histogram(
            "buckthornhold_answer_seconds",
            "Time to an answer, of a stream to its first event",
            ["kind"],
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )

    def note_request(self, kind: str, outcome: str, seconds: float) -> None:
        """Count one request and the time to its answer or refusal."""
        self._requests.labels(kind, outcome).inc()
        self._seconds.labels(kind).observe(seconds)

    def collect(self) -> Iterable[core.Metric]:
        """Return the daemon's counters as metrics."""
        for group in ("refusals", "retries", "events"):
            metric = core.CounterMetricFamily(
                f"buckthornhold_{group}",
                f"Count of {group} by name",
                labels=["name"],
            )
            for name, count in self._counts.totals.items():
                kind, _, rest = name.partition(".")
                if kind == group:
                    metric.add_metric([rest], count)
            yield metric

    def render(self) -> bytes:
        """Return all metrics as text."""
        return prometheus_client.generate_latest(self._registry)
