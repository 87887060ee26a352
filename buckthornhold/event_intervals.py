"""Paces: how fast the events of a stream come."""

from collections.abc import Callable
import time

#: A stream's pace is the mean time between so many events, or fewer if it
#: ends before.
SAMPLE_EVENTS = 5


class EventIntervalMeter:
    """Measures one stream's pace and tells it once.

    ``notify`` is called with the mean time between events, in seconds; not
    for a stream of fewer than two.
    """

    def __init__(self, *, notify: Callable[[float], None]) -> None:
        self._notify = notify
        self._started_at = time.monotonic()
        self._event_count = 0

    def count_event(self) -> None:
        """Count an event that has come."""
        self._event_count += 1
        if self._event_count == SAMPLE_EVENTS:
            self._report()

    def finish(self) -> None:
        """Tell the pace of a stream that ended early."""
        if 2 <= self._event_count < SAMPLE_EVENTS:
            self._report()

    def _report(self) -> None:
        since = time.monotonic() - self._started_at
        self._notify(since / (self._event_count - 1))
