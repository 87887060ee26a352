"""Attempt plans, which choose a stream's next upstream and when to stop."""

import dataclasses
import random
import time

from buckthornhold import attempts
from buckthornhold import engines
from buckthornhold import hosts
from buckthornhold import pools
from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import rule_evacuations
from buckthornhold import rules
from buckthornhold import upstreams

ATTEMPTS_PER_EPOCH = 1000
#: Failures of an upstream that left or is lost before it did the work.
GONE_REASONS = (
    reasons.Reason.UPSTREAM_LEAVING,
    reasons.Reason.UPSTREAM_UNREACHABLE,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResumedState:
    """State of a request that another entry host accepted.

    ``epoch`` is the number of its entry hosts so far. ``upstream`` may still
    keep its text.
    """

    texts: tuple[str, ...] = ()
    ended: bool = False
    epoch: int = 0
    upstream: upstreams.Upstream | None = None
    version: str = ""


class AttemptPlan:
    """Plans the attempts of one model request.

    Before the first token, failed attempts count towards ``max_attempts``,
    and retries draw on the host's retry budget. An attempt that surely did
    not run, or whose engine stopped responding, counts as half. After the
    first token the client relies on the answer, so it is retried whatever
    the budget until it makes no progress for ``request_deadline`` seconds.
    ``epoch`` is the number of entry hosts that had the request before.
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
        """Whether any attempt so far ran on an upstream."""
        return self._ran

    def record_progress(self) -> None:
        """Record that a token arrived."""
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
        """Return the next attempt, at the target if it accepts work."""
        if time.monotonic() >= self._deadline:
            return self._make_failure(reasons.Reason.DEADLINE_PASSED, "stream")
        rule = self._host.versions.choose(self._contract)
        if isinstance(rule, reasons.Failure):
            return rule.replace(ran=self._ran)
        candidates = self._list_candidates(rule)
        if not candidates:
            return self._make_no_upstream_failure(rule, "")
        if all(map(self._host.silences.is_lost, candidates)):
            return self._make_no_upstream_failure(rule, " responds")
        if (
            target is None
            or target.leaving
            or not self._host.upstreams.placements.allows(target.record.zone)
        ):
            target = self._host.router.choose(candidates, self._contract)
        return self._make_numbered_attempt(target, rule.version)

    def make_resumption(
        self, upstream: upstreams.Upstream, version: str
    ) -> attempts.Attempt:
        """Return an attempt that fetches the text that an engine kept."""
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
        """Return an attempt's generation request to its engine."""
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
        """Return another upstream that can take over the stream."""
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
        """Record a failed attempt; return the failure if it is final."""
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
            self._host.backoffs.begin(
                attempt.upstream.key, failure.retry_after
            )
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
        """Return the final failure before the first token, or None to retry.

        Sets the backoff before the retry.
        """
        retry_after = failure.retry_after or self._settings.retry_after
        if self._weighted_failures >= self._settings.max_attempts:
            return failure.replace(retry_after=retry_after)
        if self._is_retry_free(gone):
            self._backoff = 0.0
            return None
        backoff = self._host.retry_budget.acquire_retry(
            failure,
            number=self._consecutive_failures,
            left=self._deadline - time.monotonic(),
        )
        if isinstance(backoff, reasons.Failure):
            return backoff
        self._backoff = backoff
        return None

    def _is_retry_free(self, gone: bool) -> bool:
        """Tell whether a retry adds no load to what has failed.

        It goes to another version, once each, or the upstream is gone and
        another that was not tried responds.
        """
        rule = self._host.versions.choose(self._contract)
        if isinstance(rule, reasons.Failure):
            return False
        if rule.version not in self._tried_versions:
            return True
        if not gone:
            return False
        return any(
            upstream.key not in self._tried
            and not self._host.silences.is_silent(upstream)
            for upstream in self._list_candidates(rule)
        )

    def add_attempts_ran(self, refusal: reasons.Failure) -> reasons.Failure:
        """Return a refusal whose ``ran`` covers the attempts before it."""
        return refusal.replace(ran=merge_ran(self._ran, refusal.ran))

    def make_refusal(
        self, reason: reasons.Reason, retry_after: float | None = None
    ) -> reasons.Failure:
        """Return a failure of a request that may have run."""
        return reasons.Failure(
            reason=reason,
            step="stream",
            ran=merge_ran(self._ran, reasons.Ran.UNKNOWN),
            retry_after=retry_after,
        )

    def find_backoff(self) -> float:
        """Return the backoff before the next attempt, in seconds."""
        if not self._answer_started:
            return self._backoff
        if self._consecutive_failures <= 1:
            return 0.0
        max_backoff = min(
            self._settings.retry_pause_limit,
            self._settings.retry_pause_base * 2**self._consecutive_failures,
        )
        return random.uniform(0, max_backoff)

    def _list_candidates(self, rule: rules.ServeRule) -> pools.Pool:
        candidates = self._host.upstreams.list_engines_for_rule(rule)
        candidates = candidates.exclude(self._host.backoffs.list_active())
        untried = candidates.exclude(self._tried)
        return self._host.quarantines.filter_candidates(
            self._contract, untried or candidates
        )

    def _make_no_upstream_failure(
        self, rule: rules.ServeRule, suffix: str
    ) -> reasons.Failure:
        """Return the failure without a candidate.

        It may be retried when the first pause of an upstream ends.
        """
        refusal = rule_evacuations.find_refusal(
            self._host,
            hosts.HostKind.ENGINE,
            f"{rule.model}@{rule.version}",
            rule,
        )
        if refusal is not None:
            return refusal.replace(ran=self._ran)
        allowed = self._host.upstreams.list_engines_for_rule(rule)
        wait = self._host.backoffs.find_wait(
            upstream.key for upstream in allowed
        )
        failure = self._make_failure(
            reasons.Reason.NO_UPSTREAM,
            "route",
            f"no engine for {rule.model}@{rule.version}{suffix}",
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
    """Return whether either of two attempts ran."""
    if reasons.Ran.YES in (first, second):
        return reasons.Ran.YES
    if reasons.Ran.UNKNOWN in (first, second):
        return reasons.Ran.UNKNOWN
    return reasons.Ran.NO
