"""Attempts, each to serve one request on one upstream."""

import dataclasses
import math
import time

from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import upstreams


@dataclasses.dataclass(kw_only=True, eq=False)
class Attempt:
    """One attempt to serve a request on one upstream.

    Times are on the monotonic clock, in seconds; ``first_token_at`` and
    ``ended_at`` are 0 until then. ``failure`` is None for a complete answer.
    ``emitted_before`` counts the tokens of earlier attempts. ``entry_host``
    is the host that sends it. With ``resumes`` it fetches the text that the
    upstream kept of an earlier attempt.
    """

    contract: request_contracts.RequestContract
    number: int
    upstream: upstreams.Upstream
    version: str = ""
    entry_host: str = ""
    emitted_before: int = 0
    resumes: bool = False
    started_at: float = dataclasses.field(default_factory=time.monotonic)
    first_token_at: float = 0.0
    ended_at: float = 0.0
    tokens: int = 0
    failure: reasons.Failure | None = None

    @property
    def name(self) -> str:
        """Name that distinguishes the attempts of one request."""
        parts = [self.contract.request_id, self.entry_host, str(self.number)]
        return "/".join(part for part in parts if part)

    def estimate_seconds(self, tokens: int) -> float:
        """Return how long more tokens take at the attempt's token rate."""
        if self.tokens <= 1:
            return math.inf
        seconds = time.monotonic() - self.first_token_at
        return tokens * seconds / (self.tokens - 1)


RETRY_REASONS = {
    reasons.Reason.UPSTREAM_UNREACHABLE: reasons.RetryReason.CONNECT_FAILED,
    reasons.Reason.UPSTREAM_REFUSED: reasons.RetryReason.UPSTREAM_REFUSED,
    reasons.Reason.UPSTREAM_ERROR: reasons.RetryReason.UPSTREAM_ERROR,
    reasons.Reason.UPSTREAM_LEAVING: reasons.RetryReason.UPSTREAM_LEAVING,
    reasons.Reason.ANSWER_CROSSED: reasons.RetryReason.ANSWER_CROSSED,
    reasons.Reason.UPSTREAM_BROKEN: reasons.RetryReason.STREAM_TRUNCATED,
    reasons.Reason.UPSTREAM_TIMEOUT: reasons.RetryReason.STREAM_STALLED,
}


def find_retry_reason(failure: reasons.Failure) -> reasons.RetryReason:
    """Return the retry reason of a failed attempt."""
    return RETRY_REASONS[failure.reason]
