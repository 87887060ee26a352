"""Event intervals of streams."""

from collections.abc import Callable
import time

#: The mean interval is taken over this many events, or fewer if the stream
#: ends earlier.
SAMPLE_EVENTS = 5


class EventIntervalMeter:
    """Measures the mean interval between a stream's first events.

    ``notify`` is called once with it, in seconds, or never for a stream of
    fewer than two events.
    """

    def __init__(self, *, notify: Callable[[float], None]) -> None:
        self._notify = notify
        self._started_at = time.monotonic()
        self._event_count = 0

    def count_event(self) -> None:
        """Count an event that arrived."""
        self._event_count += 1
        if self._event_count == SAMPLE_EVENTS:
            self._report()

    def finish(self) -> None:
        """Report the interval of a stream that ended early."""
        if 2 <= self._event_count < SAMPLE_EVENTS:
            self._report()

    def _report(self) -> None:
        seconds = time.monotonic() - self._started_at
        self._notify(seconds / (self._event_count - 1))
