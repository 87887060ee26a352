"""Usages: the number of requests that began to run, by window and workspace.

Every host counts its own requests and sends the counts in its summaries. The
host that holds the duty (a lease) adds them up, writes the total to the store
and reports the stored total, so that a later holder reports the same numbers.
Totals that a restored store has lost are written again (``usage_totals``). A
window whose total may be lost and that nobody knows is not reported
(``era_starts``): another count than the reported one would be wrong.
"""

import abc
import collections
import json
import math

from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold import tasks
from buckthornhold import usage_totals
from buckthornhold.coordination import era_starts
from buckthornhold.coordination import store_eras
from buckthornhold.peers import summaries_pb2

#: Time between two checks for windows to report.
INTERVAL_SECONDS = 0.5
#: Time after a window's end in which late responses are counted and summaries
#: arrive.
SETTLE_SECONDS = 2.0
#: Time before its deadline at which a report is sent although summaries of
#: some hosts are missing.
REPORT_MARGIN_SECONDS = 2.5
#: Number of windows for which a host keeps its counts.
RETAINED_WINDOWS = 8
#: One of this many summaries holds all windows. The others only hold the open
#: ones, whose counts still change: the current and the previous one.
FULL_SUMMARY_EVERY = 8
OPEN_WINDOWS = 2
#: TTL of the lease of stored totals; longer than any holder may need them.
TOTAL_LEASE_SECONDS = 600.0


class FencedClient(abc.ABC):
    """Client of the platform's calls that only the duty's holder may make.

    Each call carries the holder's fencing token. ``failure.reason`` is
    ``FENCE_OLD`` only if the platform has seen a higher token.
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

        ``failure.reason`` is ``ORDER_REFUSED`` if none are available now or
        a higher token was seen, and the platform doesn't tell which.
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
        """Request counts of the latest windows, by window and workspace."""
        return self._counts

    def find_current_window(self) -> int:
        """Return the number of the current window."""
        return math.floor(self._read_time() / self._window_seconds)

    def count(self, workspace: str, *, age: float = 0.0) -> None:
        """Count a request that began to run ``age`` seconds ago."""
        started_at = self._read_time() - age
        window = math.floor(started_at / self._window_seconds)
        if window not in self._counts:
            self._counts[window] = collections.Counter()
            for old in [known for known in self._counts if known < window]:
                if old <= window - RETAINED_WINDOWS:
                    del self._counts[old]
        self._counts[window][workspace] += 1

    def fill_summary(self, summary: summaries_pb2.Summary) -> None:
        """Add the counts to a summary."""
        windows = sorted(self._counts)
        if summary.number % FULL_SUMMARY_EVERY:
            windows = windows[-OPEN_WINDOWS:]
        for window in windows:
            summary.counts.add(window=window, counts=self._counts[window])


class UsageReporter(tasks.PeriodicService):
    """Reports the usage of ended windows while this host holds the duty."""

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
        self._lease_reusable_until = 0.0
        self._totals = usage_totals.UsageTotals(
            window_seconds=self._bounds.usage_window,
            is_needed=lambda: host.eras.numbered,
        )
        self._totals.register_topic(host.broadcasts)
        self._era_start = era_starts.EraStart(
            store=host.store,
            read_time=host.summaries.read_time_of_day,
            logger=host.logger,
        )
        #: Windows that are not reported, as their totals may be lost.
        self._skipped: set[int] = set()
        #: The last time of day at which some host was silent.
        self._silent_at = -math.inf
        #: Earlier windows may have been reported without this host knowing.
        self._untold_before = -math.inf
        host.eras.add_part(store_eras.Order.USAGE, "usage", self._begin_era)

    async def run_once(self) -> None:
        """Report the windows that are due."""
        current = self._host.usage.find_current_window()
        if self._start_window is None:
            self._start_window = current
        self._note_silent_hosts()
        if not self._host.duty.held or not await self._era_start.update():
            return
        oldest = current - RETAINED_WINDOWS
        self._reported = {known for known in self._reported if known >= oldest}
        self._skipped = {known for known in self._skipped if known >= oldest}
        for window in range(oldest + 1, current):
            if window in self._reported or not self._is_settled(window):
                continue
            if window in self._skipped and self._totals.find(window) is None:
                continue
            # Windows from before this host started, if it has counts of them.
            if window < self._start_window and not self._aggregate_window(
                window
            ):
                continue
            if not await self._report(window):
                return

    def _note_silent_hosts(self) -> None:
        if not self._host.eras.numbered:
            return
        if self._host.summaries.count_silent_hosts():
            self._silent_at = self._host.summaries.read_time_of_day()

    def _is_settled(self, window: int) -> bool:
        """Return whether a window's counts are complete or due anyway."""
        ended_at = (window + 1) * self._bounds.usage_window
        age = self._host.summaries.read_time_of_day() - ended_at
        if (
            age
            < SETTLE_SECONDS + self._host.summaries.aggregation_delay_seconds
        ):
            return False
        if age >= self._bounds.usage_late - REPORT_MARGIN_SECONDS:
            return True
        return not self._host.summaries.count_silent_hosts()

    async def _report(self, window: int) -> bool:
        """Report a window's stored total; store it first if there is none.

        A total that other hosts must know is reported in a later step.
        Returns whether the next window may be reported.
        """
        counts = await self._find_total(window)
        if counts is None and window in self._skipped:
            return True
        if counts is not None and self._totals.add(window, counts):
            self._host.broadcasts.publish(usage_totals.TOPIC)
            return True
        if counts is None or not self._host.duty.held:
            return False
        fence = self._host.duty.fence
        result = await self._calls.report_usage(window, counts, fence=fence)
        logger = self._logger.bind(step="report usage", peer=str(window))
        if result is None:
            self._reported.add(window)
            logger.info(
                f"reported {sum(counts.values())} requests, fence {fence}"
            )
            return True
        logger.bind(reason=result.reason.value).warning(result.detail)
        if result.reason is reasons.Reason.FENCE_OLD:
            await self._host.duty.give_up()
        return False

    async def _find_total(self, window: int) -> dict[str, int] | None:
        """Return a window's total once the store has it."""
        key = f"usage/{window}"
        known = self._totals.find(window)
        entry = await self._host.store.get(key)
        stored = None
        if isinstance(entry, stores.Entry):
            stored = json.loads(entry.value)
        if known is None:
            if stored is not None:
                return stored
            if self._may_aggregate(window):
                counts = self._aggregate_window(window)
                return await self._write_total(key, counts)
            if entry is None and self._era_start.time is not None:
                self._skip(window)
            return None
        if stored is None:
            stored = await self._write_total(key, known)
        elif stored != known:
            stored = await self._replace_total(entry, known)
        return known if stored == known else None

    def _may_aggregate(self, window: int) -> bool:
        """Return whether a window that has no total can't have been reported.

        It may have been if the store was restored since the window ended and
        this host could not be told of the total.
        """
        era_start = self._era_start.time
        if era_start is None:
            # The store was restored in this very step.
            return False
        if (window + 1) * self._bounds.usage_window > era_start:
            return True
        return window >= max(self._start_window, self._untold_before)

    def _skip(self, window: int) -> None:
        """Don't report a window unless its total becomes known."""
        self._skipped.add(window)
        self._host.counters.count_event("usage.windows_skipped")
        self._logger.bind(step="report usage", peer=str(window)).warning(
            f"not reported: the store was restored to era "
            f"{self._host.eras.current} and may have lost its total"
        )

    async def _replace_total(
        self, entry: stores.Entry, counts: dict[str, int]
    ) -> dict[str, int] | None:
        """Replace a total that was summed up after the known one was lost."""
        self._host.counters.count_event("usage.totals_replaced")
        self._logger.bind(step="report usage", peer=entry.key).warning(
            "the restored store has another total than the one known before, "
            "which replaces it"
        )
        lease_id = await self._find_lease()
        if lease_id is None:
            return None
        written = await self._host.store.put(
            entry.key,
            json.dumps(counts, sort_keys=True),
            expect=entry.version,
            lease_id=lease_id,
        )
        return counts if isinstance(written, stores.Entry) else None

    async def _read_total(self, key: str) -> dict[str, int] | None:
        entry = await self._host.store.get(key)
        if not isinstance(entry, stores.Entry):
            return None
        return json.loads(entry.value)

    def _begin_era(self, change: store_eras.EraChange) -> None:
        """Take another lease: lost ids are issued again to others.

        A host that was cut off from others before may not know a total that
        was reported and is lost.
        """
        self._lease_id = None
        if self._start_window is not None and not self._was_in_touch():
            self._untold_before = self._host.usage.find_current_window()

    def _was_in_touch(self) -> bool:
        """Return whether this host was told all totals that were reported.

        It knows those of all windows that are due, and since then no host
        was silent.
        """
        now = self._host.summaries.read_time_of_day()
        due_at = now - self._bounds.usage_late
        if self._silent_at >= due_at:
            return False
        last_due = math.floor(due_at / self._bounds.usage_window) - 1
        first = max(self._start_window, last_due - OPEN_WINDOWS)
        return all(
            self._totals.find(window) is not None
            for window in range(first, last_due + 1)
        )

    async def _write_total(
        self, key: str, counts: dict[str, int]
    ) -> dict[str, int] | None:
        """Write a total unless one is stored; return the stored one."""
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
        """Return a lease for stored totals, so that they expire."""
        now = self._host.summaries.read_time_of_day()
        if self._lease_id is not None and now < self._lease_reusable_until:
            return self._lease_id
        granted = await self._host.store.grant_lease(TOTAL_LEASE_SECONDS)
        if isinstance(granted, reasons.Failure):
            return None
        if granted.era != self._host.eras.current:
            return None
        self._lease_id = granted.lease_id
        self._lease_reusable_until = now + granted.ttl / 2
        return self._lease_id

    def _aggregate_window(self, window: int) -> dict[str, int]:
        total: collections.Counter[str] = collections.Counter()
        total.update(self._host.usage.counts.get(window, {}))
        for summary in self._host.summaries.list_all():
            for item in summary.counts:
                if item.window == window:
                    total.update(item.counts)
        return dict(total)
