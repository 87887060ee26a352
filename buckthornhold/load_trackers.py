"""Load trackers, which estimate the load of upstreams for one host."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import time
import typing

from buckthornhold import engines
from buckthornhold import pools
from buckthornhold import prompt_prefixes
from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import signals
from buckthornhold import upstreams

#: Summaries of pools larger than this are cached for several requests.
MAX_UNCACHED_POOL_SIZE = 32
#: A cached summary stays valid for one load change per this many members
#: of the pool.
MEMBERS_PER_CHANGE = 32
#: A cached summary is never used for longer than this.
MAX_SUMMARY_AGE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """Cached summary of a pool.

    ``change_count`` is the number of load changes before it was computed.
    """

    value: typing.Any
    change_count: int
    computed_at: float


class LoadTracker:
    """Keeps the latest load report of each engine that this host uses.

    A report is fetched when an engine gets a request and the last report is
    older than ``interval`` seconds, so the cost grows with the host's own
    traffic and not with the number of engines. Requests that this host has
    sent since the fetch of a report are added to it.
    """

    def __init__(self, *, host, interval: float) -> None:
        self._host = host
        self._interval = interval
        self._reports: dict[tuple[str, int], engines.Load] = {}
        self._requested_at: dict[tuple[str, int], float] = {}
        self._sent_since: dict[tuple[str, int], int] = {}
        self._tasks: set[asyncio.Task] = set()
        self._prefixes = prompt_prefixes.SentPrefixes()
        self._prefill_tokens: dict[tuple[str, int], int] = {}
        self._sharing_hosts: dict[str, float] = {}
        self._default_prefill_rate = 0.0
        self._change_count = 0
        signals.attempt_started.connect(self._count_attempt, sender=host)

    def estimate_requests(self, upstream: upstreams.Upstream) -> float:
        """Return the number of requests that run or wait on an upstream."""
        report = self._reports.get(upstream.key)
        if report is None:
            return upstream.in_flight
        reported = report.running + report.queued
        estimate = reported + self._sent_since.get(upstream.key, 0)
        return max(estimate, upstream.in_flight)

    def has_free_slot(self, upstream: upstreams.Upstream) -> bool:
        """Tell whether an engine can start a request at once."""
        report = self._reports.get(upstream.key)
        if report is None or not report.slots:
            return True
        return self.estimate_requests(upstream) < report.slots

    def summarize(
        self, candidates: Sequence, compute: Callable[[Sequence], typing.Any]
    ) -> typing.Any:
        """Return the summary of candidates that ``compute`` computes.

        The summary of a large pool is cached while the load of few members
        can have changed, so that the cost doesn't grow with the pool.
        """
        size = len(candidates)
        if size <= MAX_UNCACHED_POOL_SIZE or not isinstance(
            candidates, pools.Pool
        ):
            return compute(candidates)
        now = time.monotonic()
        cached = candidates.summaries.get(compute)
        if (
            cached is not None
            and self._change_count - cached.change_count
            <= size // MEMBERS_PER_CHANGE
            and now - cached.computed_at <= MAX_SUMMARY_AGE_SECONDS
        ):
            return cached.value
        candidates.summaries[compute] = Summary(
            value=compute(candidates),
            change_count=self._change_count,
            computed_at=now,
        )
        return candidates.summaries[compute].value

    def find_mean(self, candidates: Sequence) -> float:
        """Return the mean of the candidates' estimated requests."""
        return self.summarize(candidates, self._find_mean)

    def _find_mean(self, candidates: Sequence) -> float:
        return sum(map(self.estimate_requests, candidates)) / len(candidates)

    def estimate_prefill_tokens(
        self,
        upstream: upstreams.Upstream,
        contract: request_contracts.RequestContract,
    ) -> int:
        """Return the tokens that an engine has to prefill for a request."""
        return self._prefixes.estimate_missing_tokens(upstream.key, contract)

    def estimate_wait(
        self,
        upstream: upstreams.Upstream,
        contract: request_contracts.RequestContract,
    ) -> float:
        """Return how long a request would wait on an engine, in seconds.

        Only this host's own waiting requests are known in time; each of the
        sharing hosts is assumed to have as many.
        """
        rate = self.find_prefill_rate(upstream)
        if not rate:
            return 0.0
        sharing_hosts = self._sharing_hosts.get(contract.route, 1.0)
        tokens = self._prefill_tokens.get(upstream.key, 0)
        return sharing_hosts * tokens / rate

    def find_prefill_rate(self, upstream: upstreams.Upstream) -> float:
        """Return an engine's prefill rate, in tokens a second.

        An engine that has not reported one gets the rate last reported by
        any engine, 0 if there is none.
        """
        report = self._reports.get(upstream.key)
        if report is not None and report.prefill_rate:
            return report.prefill_rate
        return self._default_prefill_rate

    def set_sharing_hosts(self, model: str, sharing_hosts: float) -> None:
        """Set how many hosts are estimated to load a model's engines."""
        self._sharing_hosts[model] = sharing_hosts

    def add_prefill_tokens(
        self,
        upstream: upstreams.Upstream,
        contract: request_contracts.RequestContract,
        tokens: int,
    ) -> None:
        """Add the tokens to prefill of a request sent to an engine."""
        key = upstream.key
        self._prefill_tokens[key] = self._prefill_tokens.get(key, 0) + tokens
        report = self._reports.get(key)
        self._prefixes.record(
            key,
            contract,
            cached_tokens=report.cached_tokens if report else 0,
        )

    def remove_prefill_tokens(self, key: tuple[str, int], tokens: int) -> None:
        """Remove tokens that were prefilled or never will be."""
        self._prefill_tokens[key] = self._prefill_tokens.get(key, 0) - tokens
        if not self._prefill_tokens[key]:
            del self._prefill_tokens[key]

    def find_report(self, upstream: upstreams.Upstream) -> engines.Load | None:
        """Return an engine's latest report, or None."""
        return self._reports.get(upstream.key)

    def _count_attempt(self, host, *, attempt) -> None:
        upstream = attempt.upstream
        if upstream.engine is None:
            return
        key = upstream.key
        self._sent_since[key] = self._sent_since.get(key, 0) + 1
        self._change_count += 1
        self.refresh(upstream)

    def refresh(self, upstream: upstreams.Upstream) -> None:
        """Fetch a report from an engine if the latest one is old."""
        key = upstream.key
        now = time.monotonic()
        if now - self._requested_at.get(key, 0.0) < self._interval:
            return
        self._requested_at[key] = now
        self._remove_unlisted()
        task = asyncio.create_task(self._fetch_report(upstream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch_report(self, upstream: upstreams.Upstream) -> None:
        key = upstream.key
        sent_before = self._sent_since.get(key, 0)
        report = await upstream.engine.fetch_load()
        if isinstance(report, reasons.Failure):
            self._reports.pop(key, None)
            self._change_count += 1
            return
        if report.incarnation != upstream.record.incarnation:
            return
        self._reports[key] = report
        self._change_count += 1
        self._default_prefill_rate = (
            report.prefill_rate or self._default_prefill_rate
        )
        self._sent_since[key] = self._sent_since.get(key, 0) - sent_before

    def _remove_unlisted(self) -> None:
        """Drop the entries of upstreams that are no longer known."""
        listed = self._host.upstreams.list_all()
        if len(self._requested_at) <= len(listed):
            return
        listed_keys = {upstream.key for upstream in listed}
        for table in (self._reports, self._requested_at, self._sent_since):
            for key in [key for key in table if key not in listed_keys]:
                del table[key]
