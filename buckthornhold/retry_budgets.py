"""Retry budgets, which limit the retries of failed attempts."""

import random

from buckthornhold import reasons

#: The backoff doubles with each attempt, from about the base to the maximum.
BACKOFF_BASE_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 2.0
#: Shares of tokens don't add up to exactly one token.
TOKEN_ROUNDING_ERROR = 1e-9


class RetryBudget:
    """Token bucket for the retries of plain calls and streams on one host.

    Each success adds ``share`` of a token, each retry takes one token, and
    the bucket holds ``reserve`` tokens. So retries stay below that share of
    the successes when many requests fail at once, and a host that has just
    started can still retry a few. Entry hosts don't forward requests to each
    other, so retries don't multiply.

    Usage::

        host.retry_budget.record_success()
        backoff = host.retry_budget.acquire_retry(failure, number=1, left=4.0)
        if isinstance(backoff, reasons.Failure):
            return backoff
        await asyncio.sleep(backoff)
    """

    def __init__(self, *, share: float, reserve: float) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    @property
    def tokens(self) -> float:
        """Number of retries that are allowed now."""
        return self._tokens

    def record_success(self) -> None:
        """Add a share of a token for a successful attempt."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def acquire_retry(
        self,
        failure: reasons.Failure,
        *,
        number: int,
        left: float,
        idempotent: bool = True,
        elsewhere: bool = True,
    ) -> float | reasons.Failure:
        """Return the seconds to wait before a retry, or the final failure.

        ``number`` is the number of attempts made, ``left`` the seconds to
        the request's deadline. With ``elsewhere`` the retry can go to
        another upstream, so it need not wait for the failed one's
        Retry-After. A request that isn't idempotent is only retried if the
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
    """Return the full-jitter backoff after ``number`` attempts.

    It is in seconds.
    """
    max_backoff = min(
        MAX_BACKOFF_SECONDS, BACKOFF_BASE_SECONDS * 2 ** min(number, 16)
    )
    return random.uniform(0, max_backoff)
