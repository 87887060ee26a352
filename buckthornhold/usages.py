"""Usages: how many requests of each workspace began to run, by window.

Every host counts its own and tells the others with its summaries. The host
that holds the duty adds them up, writes the sum into the store, and reports
what stands there; so a later holder reports the same numbers.
"""

import abc
import collections
import json
import math

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold import tasks
from buckthornhold.peers import summaries_pb2

#: Time between two looks for windows to report, in seconds.
INTERVAL_SECONDS = 0.5
#: After a window's end the last answers come and summaries travel, seconds.
SETTLE_SECONDS = 2.0
#: How long before it is due a report is sent though hosts are not heard.
REPORT_MARGIN_SECONDS = 2.5
#: Windows for which a host keeps its counts.
RETAINED_WINDOWS = 8
#: Each so many summaries tell of all windows, the others only of those that
#: still change: the present one and the one before it.
FULL_SUMMARY_EVERY = 8
OPEN_WINDOWS = 2
#: Written sums outlive every holder that may still need them, in seconds.
TOTAL_LEASE_SECONDS = 600.0


class FencedClient(abc.ABC):
    """The platform's calls that one host at a time makes.

    Each bears the holder's fencing number. ``failure.reason`` is
    ``FENCE_OLD`` if a higher number was seen.
    """

    @abc.abstractmethod
    async def report_usage(
        self, window: int, counts: dict[str, int], *, fence: int
    ) -> None | reasons.Failure:
        """Report the requests of a window by workspace."""

    @abc.abstractmethod
    async def order_upstreams(
        self,
        service: str,
        zone: str,
        count: int,
        *,
        reclaimable: bool,
        fence: int,
    ) -> None | reasons.Failure:
        """Order a number of upstreams of a service in a zone.

        ``failure.reason`` is ``NO_ROOM`` if none can be had now.
        """


class UsageCounter:
    """Counts this host's requests by window and workspace.

    ``read_time`` returns the time of day in seconds since the epoch.
    """

    def __init__(self, *, window_seconds: float, read_time) -> None:
        self._window_seconds = window_seconds
        self._read_time = read_time
        self._counts: dict[int, collections.Counter[str]] = {}

    @property
    def counts(self) -> dict[int, collections.Counter[str]]:
        """Requests by window and workspace, of the latest windows."""
        return self._counts

    def find_current_window(self) -> int:
        """Return the number of the present window."""
        return math.floor(self._read_time() / self._window_seconds)

    def count(self, workspace: str, *, age: float = 0.0) -> None:
        """Count a request that began to run ``age`` seconds ago."""
        moment = self._read_time() - age
        window = math.floor(moment / self._window_seconds)
        if window not in self._counts:
            self._counts[window] = collections.Counter()
            for old in [it for it in self._counts if it < window]:
                if old <= window - RETAINED_WINDOWS:
                    del self._counts[old]
        self._counts[window][workspace] += 1

    def fill_summary(self, summary: summaries_pb2.Summary) -> None:
        """Add the counts to a summary for the other hosts."""
        windows = sorted(self._counts)
        if summary.number % FULL_SUMMARY_EVERY:
            windows = windows[-OPEN_WINDOWS:]
        for window in windows:
            summary.counts.add(window=window, counts=self._counts[window])


class UsageReporter(tasks.PeriodicService):
    """Reports the usage of ended windows while this host has the duty."""

    def __init__(self, *, host, calls: FencedClient) -> None:
        super().__init__(
            interval=INTERVAL_SECONDS,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._calls = calls
        self._bounds = host.settings.bounds
        self._reported: set[int] = set()
        self._start_window: int | None = None
        self._lease_id: str | None = None
        self._lease_renewal_due_at = 0.0

    async def run_once(self) -> None:
        """Report the windows that are due."""
        present = self._host.usage.find_current_window()
        if self._start_window is None:
            self._start_window = present
        if not self._host.duty.held:
            return
        kept = present - RETAINED_WINDOWS
        self._reported = {it for it in self._reported if it >= kept}
        for window in range(kept + 1, present):
            if window in self._reported or not self._is_settled(window):
                continue
            if window < self._start_window and not self._aggregate_window(
                window
            ):
                continue
            if not await self._report(window):
                return

    def _is_settled(self, window: int) -> bool:
        """Tell whether all that is to be heard of a window was heard."""
        ended = (window + 1) * self._bounds.usage_window
        age = self._host.summaries.read_time_of_day() - ended
        if (
            age
            < SETTLE_SECONDS + self._host.summaries.aggregation_delay_seconds
        ):
            return False
        if age >= self._bounds.usage_late - REPORT_MARGIN_SECONDS:
            return True
        return not self._host.summaries.count_silent_hosts()

    async def _report(self, window: int) -> bool:
        """Write the sum of a window if none is written, and report it."""
        key = f"usage/{window}"
        counts = await self._read_total(key)
        if counts is None:
            counts = await self._write_total(
                key, self._aggregate_window(window)
            )
        if counts is None or not self._host.duty.held:
            return False
        fence = self._host.duty.fence
        result = await self._calls.report_usage(window, counts, fence=fence)
        logger = self._logger.bind(step="report usage", peer=str(window))
        if result is None:
            self._reported.add(window)
            logger.info(f"{sum(counts.values())} requests, fence {fence}")
            return True
        logger.bind(reason=result.reason.value).warning(result.detail)
        if result.reason is reasons.Reason.FENCE_OLD:
            await self._host.duty.give_up()
        return False

    async def _read_total(self, key: str) -> dict[str, int] | None:
        entry = await self._host.store.get(key)
        if not isinstance(entry, stores.Entry):
            return None
        return json.loads(entry.value)

    async def _write_total(
        self, key: str, counts: dict[str, int]
    ) -> dict[str, int] | None:
        """Return the sum that stands in the store after writing one."""
        lease_id = await self._find_lease()
        if lease_id is None:
            return None
        written = await self._host.store.put(
            key,
            json.dumps(counts, sort_keys=True),
            expect=stores.MUST_NOT_EXIST,
            lease_id=lease_id,
        )
        if isinstance(written, stores.Entry):
            return counts
        if written.reason is not reasons.Reason.STORE_CONFLICT:
            return None
        self._lease_id = None
        return await self._read_total(key)

    async def _find_lease(self) -> str | None:
        """Return a lease under which written sums vanish at last."""
        now = self._host.summaries.read_time_of_day()
        if self._lease_id is not None and now < self._lease_renewal_due_at:
            return self._lease_id
        granted = await self._host.store.grant_lease(TOTAL_LEASE_SECONDS)
        if isinstance(granted, reasons.Failure):
            return None
        self._lease_id = granted.lease_id
        self._lease_renewal_due_at = now + granted.ttl / 2
        return self._lease_id

    def _aggregate_window(self, window: int) -> dict[str, int]:
        total: collections.Counter[str] = collections.Counter()
        total.update(self._host.usage.counts.get(window, {}))
        for summary in self._host.summaries.list_all():
            for item in summary.counts:
                if item.window == window:
                    total.update(item.counts)
        return dict(total)
