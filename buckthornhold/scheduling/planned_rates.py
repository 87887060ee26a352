"""Planned rates: the units a second that the fleet should admit of a limit."""

from buckthornhold.scheduling import limits
from buckthornhold.scheduling import rate_records

#: What is aimed at, as a share of the limit, and between which shares the
#: sum of a window is kept. Callers are due 0.95 and the bound allows 1.1 and
#: more, so both sides have a margin for chance.
TARGET_SHARE = 1.03
LEAST_SHARE = 1.02
MOST_SHARE = 1.06
#: Time in which the sum of a window is corrected, in seconds. Corrections
#: within the age of the figures (up to 2 s) oscillate.
CORRECTION_SECONDS = 2.0
#: Highest planned rate relative to the target while the window has room, and
#: time in which that room may be used up, in seconds.
MAX_PLAN_FACTOR = 1.5
ROOM_SECONDS = 3.0
#: Highest planned rate, relative to the target, that makes up for what
#: leaves the window.
MAX_REPEAT_FACTOR = 3.0


def choose_rate(
    sums: rate_records.WindowSums, *, limit: limits.Limit, target: float
) -> float:
    """Return the units a second that the fleet should admit.

    That is the target, unless the sum of the window would leave its range:
    what leaves the window may be admitted anew.
    """
    room = max(0.0, LEAST_SHARE * limit.sum - sums.total)
    rate = min(MAX_PLAN_FACTOR * target, target + room / ROOM_SECONDS)
    missing = LEAST_SHARE * limit.sum - sums.potential
    least = sums.leaving + missing / CORRECTION_SECONDS
    excess = sums.total - MOST_SHARE * limit.sum
    most = sums.leaving - excess / CORRECTION_SECONDS
    rate = max(rate, min(MAX_REPEAT_FACTOR * target, least))
    return max(0.0, min(rate, most))
