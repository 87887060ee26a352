"""Start refusals: offers of which the cloud lately started no host."""

from collections.abc import Callable
import dataclasses
import random
import time

#: Repeated refusals lengthen the pause up to so many times the first.
LONGEST_PAUSES = 16


@dataclasses.dataclass(kw_only=True)
class Refusal:
    """Refusals of one offer since a start; ``until`` is monotonic time."""

    count: int = 0
    until: float = 0.0


class StartRefusals:
    """Keeps offers out of the choice for a while after a refusal.

    The pause doubles with each refusal in a row. It would else be over
    before all cheaper offers were tried, and a dear one never reached. The
    first lasts up to ``pause`` seconds.
    """

    def __init__(
        self, *, pause: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._pause = pause
        self._clock = clock
        self._refusals: dict[tuple[str, str], Refusal] = {}

    def note_refusal(self, place: tuple[str, str]) -> None:
        """Take in that the cloud started no host in a zone and class."""
        refusal = self._refusals.setdefault(place, Refusal())
        longest = self._pause * min(2**refusal.count, LONGEST_PAUSES)
        refusal.count += 1
        refusal.until = self._clock() + random.uniform(longest / 2, longest)

    def note_start(self, place: tuple[str, str]) -> None:
        """Take in that the cloud starts hosts in a zone and class."""
        self._refusals.pop(place, None)

    def list_places(self) -> list[tuple[str, str]]:
        """Return the zones and classes that are not to be tried now."""
        now = self._clock()
        return sorted(
            place
            for place, refusal in self._refusals.items()
            if refusal.until > now
        )
