"""Paces: how fast the events of a stream come."""

from collections.abc import Callable
import time

#: A stream's pace is the mean time between so many events, or fewer if it
#: ends before.
PACE_EVENTS = 5


class Pace:
    """Measures one stream's pace and tells it once.

    ``notify`` is called with the mean time between events, in seconds; not
    for a stream of fewer than two.
    """

    def __init__(self, *, notify: Callable[[float], None]) -> None:
        self._notify = notify
        self._began_at = time.monotonic()
        self._events = 0

    def count_event(self) -> None:
        """Count an event that has come."""
        self._events += 1
        if self._events == PACE_EVENTS:
            self._tell()

    def end(self) -> None:
        """Tell the pace of a stream that ended early."""
        if 2 <= self._events < PACE_EVENTS:
            self._tell()

    def _tell(self) -> None:
        since = time.monotonic() - self._began_at
        self._notify(since / (self._events - 1))
