"""Retries: when an attempt may be repeated, and after which wait."""

from collections.abc import Iterable
import random
import time

from buckthornhold import reasons

#: Waits before a repeat grow from the first to the second, in seconds.
BACKOFF_BASE_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 2.0
#: Shares of tokens don't add up to whole ones exactly.
TOKEN_ROUNDING_ERROR = 1e-9


class RetryBudget:
    """One budget for all repeated attempts of an entry host.

    Each success earns ``share`` of a token, each repeat costs a whole one,
    and no more than ``reserve`` tokens are kept. So repeats stay below that
    share of the successes when much fails at once, and a host that has just
    started can still repeat a few. Entry hosts don't pass requests on to
    each other, so that no host repeats another's repeats. An upstream that
    asked for a pause gets nothing of any request before it is over.

    For plain calls and for streams alike::

        host.retries.note_success()
        wait = host.retries.may_retry(failure, number=1, left=4.0)
        if isinstance(wait, reasons.Failure):
            return wait
        await asyncio.sleep(wait)
    """

    def __init__(self, *, share: float, reserve: float) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve
        self._paused_until: dict[tuple[str, int], float] = {}

    @property
    def tokens(self) -> float:
        """Repeats that may be made now."""
        return self._tokens

    def record_success(self) -> None:
        """Earn part of a repeat by an attempt that succeeded."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def pause_upstream(self, key: tuple[str, int], seconds: float) -> None:
        """Send an upstream nothing for so long."""
        paused = self.list_paused_upstreams()
        self._paused_until = {
            name: self._paused_until[name] for name in paused
        }
        self._paused_until[key] = time.monotonic() + seconds

    def list_paused_upstreams(self) -> set[tuple[str, int]]:
        """Return the upstreams that are sent nothing now."""
        now = time.monotonic()
        return {
            key for key, until in self._paused_until.items() if until > now
        }

    def find_pause_left(self, keys: Iterable[tuple[str, int]]) -> float:
        """Return the seconds until the first of some may be sent to."""
        now = time.monotonic()
        waits = [self._paused_until.get(key, 0.0) - now for key in keys]
        return max(0.0, min(waits, default=0.0))

    def acquire_retry(
        self,
        failure: reasons.Failure,
        *,
        number: int,
        left: float,
        idempotent: bool = True,
        elsewhere: bool = True,
    ) -> float | reasons.Failure:
        """Return the seconds to wait before a repeat, or the final failure.

        ``number`` counts the attempts made, ``left`` is the time to the
        request's deadline in seconds. With ``elsewhere`` another upstream
        can be tried, so that the failed one's Retry-After need not pass
        first. A request that isn't idempotent is only repeated if the
        failed attempt surely did not run.
        """
        if not idempotent and failure.ran is not reasons.Ran.NO:
            return failure
        wait = draw_backoff(number)
        if failure.retry_after is not None and not elsewhere:
            wait += failure.retry_after
        if wait >= left:
            return failure.replace(retry_after=failure.retry_after or wait)
        if self._tokens < 1 - TOKEN_ROUNDING_ERROR:
            return failure.replace(
                reason=reasons.Reason.RETRY_BUDGET,
                retry_after=failure.retry_after or MAX_BACKOFF_SECONDS,
                detail=f"{failure.reason.value}: {failure.detail}",
            )
        self._tokens = max(0.0, self._tokens - 1)
        return wait


def draw_backoff(number: int) -> float:
    """Return a wait with full jitter after ``number`` attempts, seconds."""
    longest = min(
        MAX_BACKOFF_SECONDS, BACKOFF_BASE_SECONDS * 2 ** min(number, 16)
    )
    return random.uniform(0, longest)
