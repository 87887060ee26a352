"""Store readers: the few hosts of a large fleet that watch the store.

Each call to the store is counted, also a waiting one. In a small fleet every
host watches the store. In a larger one a few hosts of each availability zone
do, and they push each change to their zone. Every host's summaries say how
old what it knows of the store is; a host that hears of nothing recent reads
the store itself.
"""

from collections.abc import Callable
import math
import random
import time

from buckthornhold.coordination import pause_detectors
from buckthornhold.peers import summaries_pb2

#: Purpose for which a zone's hosts are ranked to choose its watchers. The
#: collector of summaries is chosen for the same purpose, so it is a watcher.
PURPOSE = "summaries"
#: Share of the time within which a configuration has to be in force after
#: which a host that hears nothing reads the store itself.
MAX_AGE_SHARE = 0.75
#: Mean time between two reads of a host that hears nothing.
READ_INTERVAL_SECONDS = 1.2


class StoreAge:
    """Age of what this host knows of the store, in seconds.

    It knows the store by its own calls below each of ``prefixes``, and by
    other hosts, which report their own ages. ``clock`` also advances while
    the process is suspended.
    """

    def __init__(
        self,
        *,
        prefixes: tuple[str, ...],
        clock: Callable[[], float] = pause_detectors.read_boot_clock,
    ) -> None:
        self._clock = clock
        self._answered_at = dict.fromkeys(prefixes, -math.inf)
        self._reported_at = -math.inf

    def record_answer(self, prefix: str) -> None:
        """Record that the store answered a call below a prefix."""
        self._answered_at[prefix] = self._clock()

    def record_report(self, age: float) -> None:
        """Record another host's age."""
        self._reported_at = max(self._reported_at, self._clock() - age)

    def apply_summary(self, summary: summaries_pb2.Summary) -> None:
        """Record the age that a summary carries, if any."""
        if summary.HasField("store_age"):
            self.record_report(summary.store_age)

    def fill_summary(self, summary: summaries_pb2.Summary) -> None:
        """Set a summary's age; none if nothing is known."""
        age = self.read()
        summary.ClearField("store_age")
        if math.isfinite(age):
            summary.store_age = age

    def read(self) -> float:
        """Return the age; infinite if nothing is known."""
        own = min(self._answered_at.values())
        return self._clock() - max(own, self._reported_at)


class StoreReadPolicy:
    """Decides when this host reads the store itself.

    ``is_small`` tells that every host of the fleet watches, ``is_selected``
    that this host is one of its zone's watchers or has another reason to be.
    ``read_age`` returns the age of what it knows of the store, and
    ``max_age_seconds`` is the age from which on it reads. When this host
    begins or ends to read, the reason is logged.
    """

    def __init__(
        self,
        *,
        max_age_seconds: float,
        is_small: Callable[[], bool],
        is_selected: Callable[[], bool],
        read_age: Callable[[], float],
        logger,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._logger = logger.bind(step="read store")
        self._logged = ""
        self._max_age_seconds = max_age_seconds
        self._is_small = is_small
        self._is_selected = is_selected
        self._read_age = read_age
        self._clock = clock
        self._read_again_at: dict[str, float] = {}

    def is_watcher(self) -> bool:
        """Return whether this host watches the store all the time."""
        return self._is_small() or self._is_selected()

    def should_read(self, prefix: str) -> bool:
        """Return whether this host is to call the store now.

        The reads of hosts that hear nothing are spread at random, as many
        may hear nothing at the same time.
        """
        if self.is_watcher():
            self._log("watches the store")
            return True
        now = self._clock()
        if self._read_age() <= self._max_age_seconds:
            self._log("hears of the store from other hosts")
            return False
        self._log("hears nothing of the store, reads it at intervals")
        if now < self._read_again_at.get(prefix, -math.inf):
            return False
        wait = READ_INTERVAL_SECONDS * random.uniform(0.5, 1.5)
        self._read_again_at[prefix] = now + wait
        return True

    def _log(self, text: str) -> None:
        """Log what this host does, if it did something else before."""
        if text != self._logged:
            self._logged = text
            self._logger.info(text)
