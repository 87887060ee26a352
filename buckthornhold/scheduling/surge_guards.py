"""Surge guards: what a host may admit while its figures are out of date.

When the demand of all hosts rises at once, the others' figures show it 0.5 to
2 s later. Until then each host keeps to what the plan expects of it, plus a
reserve for chance. The reserve isn't more than its part of what the window
still has room for, but covers at least one request.
"""

import math

from buckthornhold.scheduling import rate_records

#: Part of the window's room that hosts may use beyond the plan. The rest is
#: for hosts that join, and for the last request of each host.
ROOM_SHARE = 0.6
#: The reserve in standard deviations of what arrives by chance, if there is
#: room, and the least one when the limit is reached: there the plan already
#: refuses what exceeds it.
RESERVE_SIGMAS = 3.0
LIMITED_SIGMAS = 2.0
#: Utilisation of the limit that is assumed without figures of other hosts.
UNKNOWN_LOAD = 0.7
#: Part of the reserve from which on fewer requests are admitted, and the
#: least part of the planned requests that is.
EASING_START = 0.8
MIN_EASING = 0.02
#: A rise is no chance if within this time, in seconds, the host had this many
#: standard deviations and requests more than usual.
RISE_SECONDS = 2.0
RISE_SIGMAS = 2.0
RISE_REQUESTS = 0.8
#: Least part of the demand that is taken to be usual. A rise by chance must
#: not keep callers away for seconds.
MIN_USUAL_PART = 0.25
#: Refill while the limit is reached, relative to the host's part of the
#: plan, which is uncertain; and the greatest debt, in seconds of refill.
REFILL_FACTOR = 1.2
MAX_DEBT_SECONDS = 3.0
#: Refill while the limit isn't reached, relative to the host's part of it. At
#: 1, hosts admit more than the bound of a window that began with a surge.
UNLIMITED_REFILL_FACTOR = 0.9
#: Weight of a request in the means of the sizes.
SIZE_WEIGHT = 0.05


class SurgeGuard:
    """Reserve of one workspace on this host."""

    def __init__(self) -> None:
        self._mean_units = 0.0
        self._mean_square = 0.0
        self._size_count = 0
        #: Units that the plan expects since the others' latest figures.
        self._expected = 0.0
        self._reserve = 0.0
        #: What is left of the reserve while the demand rises.
        self._level = 0.0
        self._rises = False
        self._usual_part = 1.0

    @property
    def mean_units(self) -> float:
        """Mean size of this host's requests."""
        return self._mean_units

    @property
    def size_count(self) -> int:
        """Number of this host's requests, up to those that count."""
        return self._size_count

    @property
    def typical_units(self) -> float:
        """Mean size of the request that a random unit belongs to."""
        return self._mean_square / max(1.0, self._mean_units)

    @property
    def usual_part(self) -> float:
        """Part of the present demand that is usual; 1 without a rise."""
        return self._usual_part

    def note_size(self, units: float) -> None:
        """Include a request in the means of the sizes."""
        self._size_count = min(self._size_count + 1, int(1 / SIZE_WEIGHT))
        if not self._mean_units:
            self._mean_units, self._mean_square = units, units * units
        self._mean_units += SIZE_WEIGHT * (units - self._mean_units)
        self._mean_square += SIZE_WEIGHT * (units * units - self._mean_square)

    def take(self, units: float) -> None:
        """Deduct admitted units; negative ones are given back."""
        self._level -= units

    def compute_easing(self, admitted: float) -> float:
        """Return the part of the planned requests to admit.

        ``admitted`` are the units since the others' latest figures.
        """
        if self._rises:
            part = self._level / max(1.0, EASING_START * self._reserve)
            return max(MIN_EASING, min(1.0, part))
        start = self._expected + EASING_START * self._reserve
        if admitted <= start:
            return 1.0
        rest = self._expected + self._reserve - admitted
        width = (1 - EASING_START) * self._reserve
        return max(MIN_EASING, rest / max(1.0, width))

    def update(
        self,
        *,
        expected: float,
        refill: float,
        room: float,
        load: float,
        seconds: float,
    ) -> None:
        """Renew the reserve after some seconds.

        ``expected`` and ``refill`` are this host's part of the plan, in units
        and in units a second, and ``room`` that of the room in the window.
        ``load`` is the demand relative to the limit, at most 1.
        """
        self._expected = expected
        typical = self.typical_units
        # Standard deviation of a sum of requests that arrive at random.
        noise = math.sqrt(typical * expected)
        self._reserve = max(
            LIMITED_SIGMAS * noise * load**3,
            min(
                RESERVE_SIGMAS * noise + typical / 2,
                ROOM_SHARE * room - typical / 2,
            ),
        )
        self._level = min(
            self._reserve,
            max(-MAX_DEBT_SECONDS * refill, self._level) + refill * seconds,
        )

    def note_counts(self, count: float, *, usual: float | None) -> None:
        """Note how many requests came in RISE_SECONDS, and how many usually.

        Without figures of other hosts every request is taken for a rise.
        """
        if usual is None:
            self._rises = True
            self._usual_part = 1.0
            return
        most = usual + RISE_SIGMAS * math.sqrt(usual) + RISE_REQUESTS
        self._rises = count > most
        self._usual_part = 1.0
        if self._rises:
            self._usual_part = max(MIN_USUAL_PART, min(1.0, usual / count))


def count_recent(record: rate_records.RateRecord, index: int) -> float:
    """Return the requests of RISE_SECONDS up to now, in a slot."""
    return record.count_own(index, RISE_SECONDS)
