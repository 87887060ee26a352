"""Usage totals: the totals of windows that hosts have agreed on.

The store holds them. If it is restored from a copy, a total may be lost that
was reported already. Where the store names its era, the holder of the duty
therefore tells all hosts a total before it reports it, and any later holder
reports and stores the total that it knows.
"""

from collections.abc import Callable
import json
import math

from buckthornhold.coordination import broadcasts

TOPIC = "usage-totals"
#: Totals written this long ago aren't lost by a restoration: the copy is at
#: most 10 s old, and the outage before it is brief.
RETENTION_SECONDS = 20.0
#: Windows that are kept at least: as many as ``usages.RETAINED_WINDOWS``. A
#: later holder may still report any of these, and a total that is dropped as
#: soon as it is added would be announced in each step and never reported.
MIN_RETAINED_WINDOWS = 8


class UsageTotals:
    """Holds the totals of the latest windows, the first one of each.

    ``is_needed`` tells whether the store may lose totals.
    """

    def __init__(
        self, *, window_seconds: float, is_needed: Callable[[], bool]
    ) -> None:
        self._retained = max(
            MIN_RETAINED_WINDOWS, math.ceil(RETENTION_SECONDS / window_seconds)
        )
        self._is_needed = is_needed
        self._totals: dict[int, dict[str, int]] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """The topic's version: it rises with each total, also of old windows.

        A later holder may add windows that are older than the latest one.
        """
        return self._version

    def register_topic(self, broadcast: broadcasts.Broadcasts) -> None:
        """Let all hosts know the totals."""
        broadcast.add_topic(
            TOPIC,
            read=self._make_document,
            read_version=lambda: self.version,
            apply=self._apply_document,
        )

    def find(self, window: int) -> dict[str, int] | None:
        """Return the total of a window, None if it isn't known."""
        return self._totals.get(window)

    def add(self, window: int, counts: dict[str, int]) -> bool:
        """Add a total; return whether other hosts must be told it."""
        if not self._is_needed() or window in self._totals:
            return False
        self._totals[window] = counts
        self._version = max(self._version + 1, window)
        self._prune()
        return True

    def _make_document(self) -> broadcasts.Document:
        return broadcasts.Document(
            topic=TOPIC, version=self.version, body=json.dumps(self._totals)
        )

    def _apply_document(self, document: broadcasts.Document) -> bool:
        if document.version <= self.version:
            return False
        totals = {
            int(window): counts
            for window, counts in json.loads(document.body).items()
        }
        for window, counts in totals.items():
            self._totals.setdefault(window, counts)
        self._version = document.version
        self._prune()
        if self._totals.keys() - totals.keys():
            # The sender asks only for a higher version.
            self._version += 1
        return True

    def _prune(self) -> None:
        oldest = max(self._totals, default=0) - self._retained
        for window in [it for it in self._totals if it < oldest]:
            del self._totals[window]
