"""Recent claims of this host, which a restored store may have lost."""

from collections.abc import Callable
import time

from buckthornhold.coordination import claim_records

#: Age from which on a claim isn't lost by a restoration: the copy is at most
#: 10 s old, and the outage before it is brief.
RETENTION_SECONDS = 20.0


class RecentClaims:
    """Keeps the latest state of this host's claims for some seconds.

    A claim that runs for longer is kept until its outcome is that old.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        #: Claims by change id, in the order of their last change.
        self._claims: dict[str, tuple[float, claim_records.Claim]] = {}

    def add(self, claim: claim_records.Claim) -> None:
        """Keep a claim that was acquired, or one that has ended."""
        now = self._clock()
        self._claims.pop(claim.change_id, None)
        self._claims[claim.change_id] = (now, claim)
        oldest = now - RETENTION_SECONDS
        for change_id, (changed_at, _) in list(self._claims.items()):
            if changed_at >= oldest:
                break
            del self._claims[change_id]

    def list_all(self) -> list[claim_records.Claim]:
        """Return the claims, the oldest first."""
        return [claim for _, claim in self._claims.values()]
