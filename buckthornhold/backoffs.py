"""Backoffs: what upstreams say of themselves in their answers.

An upstream that turns a request away may name a time for which it wants no
more from this host. Both request paths keep to it.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import email.utils
import math
import random
import re
import time

import loguru

#: Longest Retry-After that is kept to. A longer one is a fault of the
#: upstream, and nobody could take it back.
MAX_RETRY_AFTER_SECONDS = 600.0
#: Hosts that were told the same time return one after the other, this many a
#: second.
RETURNS_PER_SECOND = 40.0
#: Requests that a host may have in flight at an upstream right after a
#: backoff. The limit doubles at each interval until the ramp is over.
RAMP_START_REQUESTS = 1
RAMP_INTERVAL_SECONDS = 0.25
RAMP_SECONDS = 1.0
#: Present, with any value but 0, in the answers of engines and services that
#: are leaving, on the own interface.
LEAVING_HEADER = "X-Leaving"
#: Whole seconds, as in RFC 9110, or with a fraction.
DELAY_SECONDS = re.compile(r"[0-9]+(\.[0-9]+)?")

Key = tuple[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announcement:
    """What one answer says of its upstream.

    ``retry_after`` is in seconds, None if the upstream names no time.
    """

    leaving: bool = False
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Backoff:
    """The end of the time that an upstream named, and when this host returns.

    Both are on the monotonic clock, in seconds.
    """

    ends_at: float
    returns_at: float


class Backoffs:
    """The upstreams that want no requests from this host, and until when.

    An upstream is identified by its name and its start, so that a process
    that starts anew under the same name has asked for nothing. ``count_hosts``
    returns how many hosts send requests, ``draw`` a random number below 1.
    """

    def __init__(
        self,
        *,
        count_hosts: Callable[[], int] = lambda: 1,
        clock: Callable[[], float] = time.monotonic,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._count_hosts = count_hosts
        self._clock = clock
        self._draw = draw
        self._backoffs: dict[Key, _Backoff] = {}

    def begin(self, key: Key, seconds: float) -> None:
        """Send nothing to an upstream for so long.

        A shorter time doesn't replace a longer one.
        """
        self._drop_old()
        ends_at = self._clock() + seconds
        known = self._backoffs.get(key)
        if known is not None and known.ends_at >= ends_at:
            return
        delay = self._draw() * self._count_hosts() / RETURNS_PER_SECOND
        self._backoffs[key] = _Backoff(
            ends_at=ends_at, returns_at=ends_at + delay
        )

    def list_active(self) -> set[Key]:
        """Return the upstreams to which nothing is sent now."""
        now = self._clock()
        return {
            key
            for key, backoff in self._backoffs.items()
            if backoff.returns_at > now
        }

    def admits(self, key: Key, in_flight: int) -> bool:
        """Tell whether one more request may be sent to an upstream.

        ``in_flight`` is the number of this host's requests there. After a
        backoff it may rise step by step.
        """
        backoff = self._backoffs.get(key)
        if backoff is None:
            return True
        passed = self._clock() - backoff.returns_at
        if passed < 0:
            return False
        steps = passed // RAMP_INTERVAL_SECONDS
        return (
            passed >= RAMP_SECONDS
            or in_flight < RAMP_START_REQUESTS * 2**steps
        )

    def list_refusing(self, count_in_flight: Callable[[Key], int]) -> set[Key]:
        """Return the upstreams to which no more request may be sent."""
        return {
            key
            for key in self._backoffs
            if not self.admits(key, count_in_flight(key))
        }

    def find_wait(self, keys: Iterable[Key]) -> float:
        """Return the seconds until the first of some upstreams wants work.

        0 if one of them does now.
        """
        return min((self._find_wait(key) for key in keys), default=0.0)

    def _find_wait(self, key: Key) -> float:
        backoff = self._backoffs.get(key)
        if backoff is None:
            return 0.0
        now = self._clock()
        if backoff.ends_at > now:
            return backoff.ends_at - now
        return max(0.0, backoff.returns_at - now)

    def _drop_old(self) -> None:
        oldest = self._clock() - RAMP_SECONDS
        for key, backoff in list(self._backoffs.items()):
            if backoff.returns_at < oldest:
                del self._backoffs[key]


def ignore(announcement: Announcement) -> None:
    """Take no notice of what an upstream says of itself."""


def read_announcement(
    fields: Mapping[str, str], leaving_header: str = LEAVING_HEADER
) -> Announcement:
    """Return whether the head of an answer says that its sender leaves."""
    value = fields.get(leaving_header, "0")
    return Announcement(leaving=value.strip() != "0")


def parse_retry_after(text: str | None, *, peer: str = "") -> float | None:
    """Return a Retry-After in seconds, or None without a usable one.

    Fractions and dates (RFC 9110, 10.2.3) are read. A time in the past is 0,
    one above ``MAX_RETRY_AFTER_SECONDS`` is bounded.
    """
    if not text:
        return None
    seconds = _read_seconds(text.strip())
    logger = loguru.logger.bind(step="read answer", peer=peer)
    if math.isnan(seconds) or seconds < 0:
        logger.warning(f"Retry-After {text[:40]!r} is no time, left out")
        return None
    if seconds > MAX_RETRY_AFTER_SECONDS:
        logger.warning(
            f"Retry-After {text[:40]!r} is bounded to "
            f"{MAX_RETRY_AFTER_SECONDS:g} s"
        )
        return MAX_RETRY_AFTER_SECONDS
    return seconds


def _read_seconds(text: str) -> float:
    """Return the seconds that a text means, NaN if it means none."""
    if DELAY_SECONDS.fullmatch(text):
        return float(text)
    try:
        moment = email.utils.parsedate_to_datetime(text)
        return max(0.0, moment.timestamp() - time.time())
    except (ValueError, TypeError, OverflowError):
        return math.nan
