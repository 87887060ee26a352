"""Admission policies that decide which model requests are admitted."""

import abc
from collections.abc import Callable
from collections.abc import Sequence
import time

from buckthornhold import attempts
from buckthornhold import fair_shares
from buckthornhold import hosts
from buckthornhold import prefill_backlogs
from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import rules
from buckthornhold import upstreams

#: The first token is planned for within this share of the target, which
#: leaves a margin because waits vary.
FIRST_TOKEN_TARGET_SHARE = 0.7
#: A request may always wait for this share of the target, also if its own
#: prefill takes most of it.
MIN_WAIT_TARGET_SHARE = 0.25
#: Limit line of workspaces that the rules don't limit.
DEFAULT_LIMIT = rules.LimitRule(asked_by="", workspace=rules.ANY)


class AdmissionPolicy(abc.ABC):
    """Decides without waiting whether a new model request is admitted."""

    #: Name of the policy in the settings.
    name: str

    def __init__(self, *, host) -> None:
        self._host = host

    @abc.abstractmethod
    def admit(
        self,
        contract: request_contracts.RequestContract,
        *,
        max_tokens: int,
        attempt: attempts.Attempt,
    ) -> prefill_backlogs.AdmittedRequest | reasons.Failure | None:
        """Return the admitted request or the reason for its refusal.

        ``attempt`` is the planned attempt. None means that the request is
        admitted without being counted.
        """

    @abc.abstractmethod
    def record_first_token(
        self, admitted: prefill_backlogs.AdmittedRequest | None
    ) -> None:
        """Record the end of a request's prefill."""

    @abc.abstractmethod
    def release(
        self, admitted: prefill_backlogs.AdmittedRequest | None
    ) -> None:
        """Release the capacity of a finished request."""


class UnboundedPolicy(AdmissionPolicy):
    """Baseline policy that admits every request."""

    name = "unbounded"

    def admit(
        self,
        contract: request_contracts.RequestContract,
        *,
        max_tokens: int,
        attempt: attempts.Attempt,
    ) -> prefill_backlogs.AdmittedRequest | reasons.Failure | None:
        """Admit every request."""
        return None

    def record_first_token(
        self, admitted: prefill_backlogs.AdmittedRequest | None
    ) -> None:
        """Do nothing."""

    def release(
        self, admitted: prefill_backlogs.AdmittedRequest | None
    ) -> None:
        """Do nothing."""


class MeasuredPolicy(AdmissionPolicy):
    """Admits a request if its first token can come within the target."""

    name = "measured"

    def __init__(
        self, *, host, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__(host=host)
        self._clock = clock
        self._backlogs: dict[str, prefill_backlogs.PrefillBacklog] = {}
        self._live_hosts = hosts.LiveCount()

    def admit(
        self,
        contract: request_contracts.RequestContract,
        *,
        max_tokens: int,
        attempt: attempts.Attempt,
    ) -> prefill_backlogs.AdmittedRequest | reasons.Failure | None:
        """Admit a request if the estimated wait is within its limit."""
        target = attempt.upstream
        self._host.loads.refresh(target)
        capacity = self._find_capacity(contract.route, attempt.version)
        if capacity is None:
            return None
        backlog = self._find_backlog(contract.route)
        missing = self._host.loads.estimate_prefill_tokens(target, contract)
        tokens = round(missing * backlog.cache_miss_share)
        service_seconds = (
            tokens / capacity.engine_prefill_rate + capacity.step_seconds
        )
        backlog.observe(capacity, host_count=self._count_hosts())
        self._host.loads.set_sharing_hosts(
            contract.route, backlog.sharing_hosts
        )
        wait = max(
            backlog.estimate_wait(capacity, max_tokens=max_tokens),
            self._host.loads.estimate_wait(target, contract),
        )
        own_max_wait = self._find_max_wait(
            contract, service_seconds, FIRST_TOKEN_TARGET_SHARE
        )
        check = self._check_share(
            contract,
            work_seconds=estimate_work_seconds(tokens, max_tokens, capacity),
        )
        max_wait = fair_shares.find_max_wait(
            check,
            own_max_wait,
            precedence_max_wait=self._find_max_wait(
                contract,
                service_seconds,
                fair_shares.PRECEDENCE_TARGET_SHARE,
            ),
            target=self._host.settings.first_token_target,
            prefill_seconds=tokens
            * backlog.sharing_hosts
            / capacity.total_prefill_rate,
        )
        if wait > max_wait:
            retry_after = check.record_refusal(max_wait, wait)
            if retry_after is None:
                retry_after = backlog.schedule_retry(
                    tokens, wait - max_wait, capacity
                )
            failure = _make_failure(wait, service_seconds, own_max_wait, check)
            return failure.replace(retry_after=retry_after)
        admitted = prefill_backlogs.AdmittedRequest(
            model=contract.route,
            workspace=contract.workspace,
            upstream_key=target.key,
            prefill_tokens=tokens,
            service_seconds=service_seconds,
            expected_wait=wait,
        )
        backlog.add(admitted)
        check.record_admission()
        self._host.loads.add_prefill_tokens(target, contract, tokens)
        return admitted

    def record_first_token(
        self, admitted: prefill_backlogs.AdmittedRequest | None
    ) -> None:
        """Record the end of a request's prefill and its duration."""
        if admitted is None:
            return
        self._host.loads.remove_prefill_tokens(
            admitted.upstream_key, admitted.prefill_tokens
        )
        self._backlogs[admitted.model].record_first_token(admitted)

    def release(
        self, admitted: prefill_backlogs.AdmittedRequest | None
    ) -> None:
        """Release the capacity of a finished request."""
        if admitted is None:
            return
        if not admitted.first_token_at:
            self._host.loads.remove_prefill_tokens(
                admitted.upstream_key, admitted.prefill_tokens
            )
        self._backlogs[admitted.model].remove(admitted)

    def _find_backlog(self, model: str) -> prefill_backlogs.PrefillBacklog:
        if model not in self._backlogs:
            target = self._host.settings.first_token_target
            self._backlogs[model] = prefill_backlogs.PrefillBacklog(
                target=target, clock=self._clock
            )
        return self._backlogs[model]

    def _check_share(
        self,
        contract: request_contracts.RequestContract,
        *,
        work_seconds: float,
    ) -> fair_shares.ShareCheck:
        """Return the precedence of a request; this policy has no shares."""
        return fair_shares.ShareCheck()

    def _find_max_wait(
        self,
        contract: request_contracts.RequestContract,
        service_seconds: float,
        target_share: float,
    ) -> float:
        """Return how long a request may wait for others, in seconds.

        Its first token is then expected within ``target_share`` of the
        first-token target and before its deadline.
        """
        target = self._host.settings.first_token_target
        max_wait = max(
            target_share * target - service_seconds,
            target * MIN_WAIT_TARGET_SHARE,
        )
        left = contract.deadline - self._clock() - service_seconds
        return min(max_wait, left)

    def _find_capacity(
        self, model: str, version: str
    ) -> prefill_backlogs.EngineCapacity | None:
        candidates = self._host.upstreams.list_engines(model, version)
        return self._host.loads.summarize(candidates, self._summarize_engines)

    def _summarize_engines(
        self, candidates: Sequence[upstreams.Upstream]
    ) -> prefill_backlogs.EngineCapacity | None:
        reports = [
            self._host.loads.find_report(upstream) for upstream in candidates
        ]
        known = [
            report for report in reports if report and report.prefill_rate > 0
        ]
        target = self._host.settings.first_token_target
        return prefill_backlogs.estimate_capacity(
            known, engine_count=len(candidates), target=target
        )

    def _count_hosts(self) -> int:
        return max(1, self._live_hosts.count(self._host.upstreams.entry_hosts))


class FairPolicy(MeasuredPolicy):
    """Measured policy that enforces shares and priorities under overload."""

    name = "fair"

    def __init__(
        self, *, host, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__(host=host, clock=clock)
        self._shares: dict[str, fair_shares.FairShares] = {}

    def find_fair_shares(self, model: str) -> fair_shares.FairShares:
        """Return the workspaces' usage of a model's engines."""
        if model not in self._shares:
            self._shares[model] = fair_shares.FairShares(clock=self._clock)
        return self._shares[model]

    def _check_share(
        self,
        contract: request_contracts.RequestContract,
        *,
        work_seconds: float,
    ) -> fair_shares.ShareCheck:
        """Record the request and return its precedence by its limit line."""
        limit = (
            self._host.rules.find_limit(contract.workspace) or DEFAULT_LIMIT
        )
        return self.find_fair_shares(contract.route).check(
            limit, work_seconds=work_seconds
        )


def estimate_work_seconds(
    tokens: int, max_tokens: int, capacity: prefill_backlogs.EngineCapacity
) -> float:
    """Return the cost of a request, in seconds of all engines' work."""
    seconds = tokens / capacity.total_prefill_rate
    if capacity.slots:
        seconds += max_tokens * capacity.step_seconds / capacity.slots
    return seconds


def _make_failure(
    wait: float,
    service_seconds: float,
    own_max_wait: float,
    check: fair_shares.ShareCheck,
) -> reasons.Failure:
    if wait > own_max_wait:
        return reasons.Failure(
            reason=reasons.Reason.NO_ROOM,
            step="room",
            detail=f"first token expected in {wait + service_seconds:.1f} s",
        )
    return reasons.Failure(
        reason=reasons.Reason.SHARE_EXCEEDED,
        step="room",
        detail=f"others have precedence over limit workspace={check.name}",
    )


POLICIES = {
    policy.name: policy
    for policy in (UnboundedPolicy, MeasuredPolicy, FairPolicy)
}


def make_policy(name: str, *, host) -> AdmissionPolicy:
    """Return a new policy by its name in the settings."""
    return POLICIES[name](host=host)
