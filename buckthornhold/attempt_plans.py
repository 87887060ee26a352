"""Plans: where a stream's next attempt goes, and when to give up."""

import dataclasses
import random
import time

from buckthornhold import attempts
from buckthornhold import engines
from buckthornhold import pools
from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import rules
from buckthornhold import upstreams

ATTEMPTS_PER_EPOCH = 1000
#: Failures that mean that an upstream went away without doing the work.
GONE_REASONS = (
    reasons.Reason.UPSTREAM_LEAVING,
    reasons.Reason.UPSTREAM_UNREACHABLE,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResumedState:
    """What is known of a request that another entry host accepted.

    ``epoch`` counts its entry hosts so far. ``upstream`` may still keep its
    text.
    """

    texts: tuple[str, ...] = ()
    ended: bool = False
    epoch: int = 0
    upstream: upstreams.Upstream | None = None
    version: str = ""


class AttemptPlan:
    """Plans the attempts of one model request.

    Until the first token the attempts are counted, by half those that
    surely did not run and those on an engine that fell silent, and repeats
    cost of the host's budget. After it the answer has been promised, and is
    tried, whatever the budget, until it made no progress for as long as the
    request's deadline allows.
    ``epoch`` counts the entry hosts that the request had before this one.
    """

    def __init__(
        self, *, host, contract: request_contracts.RequestContract, epoch: int
    ) -> None:
        self._host = host
        self._settings = host.settings
        self._contract = contract
        self._deadline = contract.deadline
        self._tried: set[tuple[str, int]] = set()
        self._tried_versions: set[str] = set()
        self._attempt_count = epoch * ATTEMPTS_PER_EPOCH
        self._answer_started = epoch > 0
        self._consecutive_failures = 0
        self._weighted_failures = 0.0
        self._backoff = 0.0
        self._ran = reasons.Ran.UNKNOWN if epoch else reasons.Ran.NO

    @property
    def answer_started(self) -> bool:
        """Whether the answer has been started, here or on another host."""
        return self._answer_started

    @property
    def ran(self) -> reasons.Ran:
        """Whether any attempt so far has run."""
        return self._ran

    def record_progress(self) -> None:
        """Note that a token came."""
        self._answer_started = True
        self._consecutive_failures = 0
        self._weighted_failures = 0.0
        self._ran = reasons.Ran.YES
        self._deadline = max(
            self._deadline,
            time.monotonic() + self._settings.request_deadline,
        )

    def make_attempt(
        self, target: upstreams.Upstream | None = None
    ) -> attempts.Attempt | reasons.Failure:
        """Return the next attempt; at the target, if it may take work."""
        if time.monotonic() >= self._deadline:
            return self._make_failure(reasons.Reason.DEADLINE_PASSED, "stream")
        rule = self._host.versions.choose(self._contract)
        if isinstance(rule, reasons.Failure):
            return rule.replace(ran=self._ran)
        candidates = self._list_candidates(rule)
        if not candidates:
            return self._make_no_upstream_failure(rule, "")
        if all(map(self._host.silences.is_lost, candidates)):
            return self._make_no_upstream_failure(rule, " answers")
        if target is None or target.leaving:
            target = self._host.router.choose(candidates, self._contract)
        return self._make_numbered_attempt(target, rule.version)

    def make_resumption(
        self, upstream: upstreams.Upstream, version: str
    ) -> attempts.Attempt:
        """Return an attempt that asks an engine for the text it kept."""
        attempt = self._make_numbered_attempt(upstream, version)
        attempt.resumes = True
        return attempt

    def _make_numbered_attempt(
        self, upstream: upstreams.Upstream, version: str
    ) -> attempts.Attempt:
        attempt = attempts.Attempt(
            contract=self._contract,
            number=self._attempt_count,
            entry_host=self._settings.host,
            upstream=upstream,
            version=version,
        )
        self._attempt_count += 1
        return attempt

    def make_generation(
        self,
        attempt: attempts.Attempt,
        *,
        prompt: str,
        max_tokens: int,
        emitted: tuple[str, ...],
    ) -> engines.Generation:
        """Return what an attempt asks of its engine."""
        return engines.Generation(
            request_id=self._contract.request_id,
            attempt=attempt.name,
            model=self._contract.route,
            version=attempt.version,
            workspace=self._contract.workspace,
            prompt=prompt,
            max_tokens=max_tokens,
            priority=self._contract.priority,
            emitted=emitted,
        )

    def choose_other_upstream(
        self, excluded: set[tuple[str, int]]
    ) -> upstreams.Upstream | None:
        """Return another upstream that may take the stream over."""
        rule = self._host.versions.choose(self._contract)
        if isinstance(rule, reasons.Failure):
            return None
        candidates = self._list_candidates(rule).exclude(excluded)
        if not candidates:
            return None
        return self._host.router.choose(candidates, self._contract)

    def record_failure(
        self, attempt: attempts.Attempt
    ) -> reasons.Failure | None:
        """Note why an attempt failed; return the final failure, if it is."""
        failure = attempt.failure
        if failure.reason is reasons.Reason.TEXT_LOST:
            return failure
        self._ran = merge_ran(self._ran, failure.ran)
        self._tried.add(attempt.upstream.key)
        self._tried_versions.add(attempt.version)
        self._consecutive_failures += 1
        silent = self._host.silences.is_silent(attempt.upstream)
        gone = silent or failure.reason in GONE_REASONS
        self._weighted_failures += (
            0.5 if silent or failure.ran is reasons.Ran.NO else 1
        )
        if failure.retry_after is not None:
            key = attempt.upstream.key
            self._host.retry_budget.pause_upstream(key, failure.retry_after)
        if failure.reason is reasons.Reason.ANSWER_CROSSED:
            self._host.counters.count_event("answers.late_dropped")
        final = None
        if not self._answer_started:
            final = self._find_final_failure(failure, gone=gone)
        if final is not None:
            return final.replace(ran=self._ran)
        self._host.counters.count_retry(attempts.find_retry_reason(failure))
        return None

    def _find_final_failure(
        self, failure: reasons.Failure, *, gone: bool
    ) -> reasons.Failure | None:
        """Return the refusal of an answer that was not started, if it is."""
        retry_after = failure.retry_after or self._settings.retry_after
        if self._weighted_failures >= self._settings.max_attempts:
            return failure.replace(retry_after=retry_after)
        if self._is_retry_free(gone):
            self._backoff = 0.0
            return None
        allowed = self._host.retry_budget.acquire_retry(
            failure,
            number=self._consecutive_failures,
            left=self._deadline - time.monotonic(),
        )
        if isinstance(allowed, reasons.Failure):
            return allowed
        self._backoff = allowed
        return None

    def _is_retry_free(self, gone: bool) -> bool:
        """Tell whether a repeat gives no more work to what has failed.

        It goes to another version, once each, or the upstream went away and
        there is one that was not tried and answers.
        """
        rule = self._host.versions.choose(self._contract)
        if isinstance(rule, reasons.Failure):
            return False
        if rule.version not in self._tried_versions:
            return True
        if not gone:
            return False
        return any(
            it.key not in self._tried and not self._host.silences.is_silent(it)
            for it in self._list_candidates(rule)
        )

    def add_attempts_ran(self, refusal: reasons.Failure) -> reasons.Failure:
        """Return a refusal that tells of the attempts before it."""
        return refusal.replace(ran=merge_ran(self._ran, refusal.ran))

    def make_refusal(
        self, reason: reasons.Reason, retry_after: float | None = None
    ) -> reasons.Failure:
        """Return a failure of a request that may have been run."""
        return reasons.Failure(
            reason=reason,
            step="stream",
            ran=merge_ran(self._ran, reasons.Ran.UNKNOWN),
            retry_after=retry_after,
        )

    def find_backoff(self) -> float:
        """Return the seconds to wait before the next attempt."""
        if not self._answer_started:
            return self._backoff
        if self._consecutive_failures <= 1:
            return 0.0
        longest = min(
            self._settings.retry_pause_limit,
            self._settings.retry_pause_base * 2**self._consecutive_failures,
        )
        return random.uniform(0, longest)

    def _list_candidates(self, rule: rules.ServeRule) -> pools.Pool:
        candidates = self._host.upstreams.list_engines_for_rule(rule)
        candidates = candidates.exclude(
            self._host.retry_budget.list_paused_upstreams()
        )
        fresh = candidates.exclude(self._tried)
        return self._host.quarantines.filter_candidates(
            self._contract, fresh or candidates
        )

    def _make_no_upstream_failure(
        self, rule: rules.ServeRule, what: str
    ) -> reasons.Failure:
        """Refuse, with when the first upstream's pause ends, if any."""
        allowed = self._host.upstreams.list_engines_for_rule(rule)
        wait = self._host.retry_budget.find_pause_left(
            it.key for it in allowed
        )
        failure = self._make_failure(
            reasons.Reason.NO_UPSTREAM,
            "route",
            f"no engine for {rule.model}@{rule.version}{what}",
        )
        return failure.replace(retry_after=max(failure.retry_after, wait))

    def _make_failure(
        self, reason: reasons.Reason, step: str, detail: str = ""
    ) -> reasons.Failure:
        return reasons.Failure(
            reason=reason,
            step=step,
            ran=self._ran,
            detail=detail,
            retry_after=self._settings.retry_after,
        )


def merge_ran(first: reasons.Ran, second: reasons.Ran) -> reasons.Ran:
    """Return whether any of two attempts ran."""
    if reasons.Ran.YES in (first, second):
        return reasons.Ran.YES
    if reasons.Ran.UNKNOWN in (first, second):
        return reasons.Ran.UNKNOWN
    return reasons.Ran.NO
