"""Rooms: which model requests can have their first token in time."""

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

#: Waits vary, so that a first token is aimed at in this part of the target.
FIRST_TOKEN_TARGET_SHARE = 0.7
#: A request that needs most of the target for its own prefill may still
#: wait for this part of the target.
MIN_WAIT_TARGET_SHARE = 0.25
#: Stands for workspaces that no line of the rules limits.
DEFAULT_LIMIT = rules.LimitRule(asked_by="", workspace=rules.ANY)


class AdmissionPolicy(abc.ABC):
    """Decides at once whether a new model request is taken."""

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
        """Return the request's place or why it is refused.

        ``attempt`` is the planned one. None means that the request is taken
        without being counted.
        """

    @abc.abstractmethod
    def record_first_token(
        self, place: prefill_backlogs.AdmittedRequest | None
    ) -> None:
        """Note that a request's prefill is over."""

    @abc.abstractmethod
    def release(self, place: prefill_backlogs.AdmittedRequest | None) -> None:
        """Note that a request is over."""


class UnboundedPolicy(AdmissionPolicy):
    """Baseline: every request is taken."""

    name = "unbounded"

    def admit(
        self,
        contract: request_contracts.RequestContract,
        *,
        max_tokens: int,
        attempt: attempts.Attempt,
    ) -> prefill_backlogs.AdmittedRequest | reasons.Failure | None:
        """Take every request."""
        return None

    def record_first_token(
        self, place: prefill_backlogs.AdmittedRequest | None
    ) -> None:
        """Do nothing."""

    def release(self, place: prefill_backlogs.AdmittedRequest | None) -> None:
        """Do nothing."""


class MeasuredPolicy(AdmissionPolicy):
    """Takes a request if its first token can come within the target."""

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
        """Take a request if the wait before it leaves time for itself."""
        target = attempt.upstream
        self._host.loads.refresh(target)
        capacity = self._find_capacity(contract.route, attempt.version)
        if capacity is None:
            return None
        backlog = self._find_backlog(contract.route)
        missing = self._host.loads.estimate_prefill_tokens(target, contract)
        tokens = round(missing * backlog.cache_miss_share)
        own_seconds = (
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
        patience = self._find_max_wait(
            contract, own_seconds, FIRST_TOKEN_TARGET_SHARE
        )
        turn = self._check_share(
            contract,
            work_seconds=estimate_work_seconds(tokens, max_tokens, capacity),
        )
        bound = fair_shares.find_max_wait(
            turn,
            patience,
            precedence_max_wait=self._find_max_wait(
                contract, own_seconds, fair_shares.PRECEDENCE_TARGET_SHARE
            ),
            target=self._host.settings.first_token_target,
            prefill_seconds=tokens
            * backlog.sharing_hosts
            / capacity.total_prefill_rate,
        )
        if wait > bound:
            back = turn.record_refusal(bound, wait)
            if back is None:
                back = backlog.schedule_retry(tokens, wait - bound, capacity)
            failure = _make_failure(wait, own_seconds, patience, turn)
            return failure.replace(retry_after=back)
        place = prefill_backlogs.AdmittedRequest(
            model=contract.route,
            workspace=contract.workspace,
            upstream_key=target.key,
            prefill_tokens=tokens,
            service_seconds=own_seconds,
            expected_wait=wait,
        )
        backlog.add(place)
        turn.record_admission()
        self._host.loads.add_prefill_tokens(target, contract, tokens)
        return place

    def record_first_token(
        self, place: prefill_backlogs.AdmittedRequest | None
    ) -> None:
        """Note that a request's prefill is over, and how long it took."""
        if place is None:
            return
        self._host.loads.remove_prefill_tokens(
            place.upstream_key, place.prefill_tokens
        )
        self._backlogs[place.model].record_first_token(place)

    def release(self, place: prefill_backlogs.AdmittedRequest | None) -> None:
        """Note that a request is over."""
        if place is None:
            return
        if not place.first_token_at:
            self._host.loads.remove_prefill_tokens(
                place.upstream_key, place.prefill_tokens
            )
        self._backlogs[place.model].remove(place)

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
        """Return how a request of so much work stands to the others."""
        return fair_shares.ShareCheck()

    def _find_max_wait(
        self,
        contract: request_contracts.RequestContract,
        own_seconds: float,
        aim: float,
    ) -> float:
        """Return how long a request may wait for others, in seconds.

        ``aim`` is the part of the target within which it is to be served.
        """
        target = self._host.settings.first_token_target
        patience = max(
            aim * target - own_seconds, target * MIN_WAIT_TARGET_SHARE
        )
        left = contract.deadline - self._clock() - own_seconds
        return min(patience, left)

    def _find_capacity(
        self, model: str, version: str
    ) -> prefill_backlogs.EngineCapacity | None:
        candidates = self._host.upstreams.list_engines(model, version)
        return self._host.loads.summarize(candidates, self._summarize_engines)

    def _summarize_engines(
        self, candidates: Sequence[upstreams.Upstream]
    ) -> prefill_backlogs.EngineCapacity | None:
        found = [self._host.loads.find_report(it) for it in candidates]
        known = [it for it in found if it and it.prefill_rate > 0]
        target = self._host.settings.first_token_target
        return prefill_backlogs.estimate_capacity(
            known, engine_count=len(candidates), target=target
        )

    def _count_hosts(self) -> int:
        return max(1, self._live_hosts.count(self._host.upstreams.entry_hosts))


class FairPolicy(MeasuredPolicy):
    """As measured, and while room is short by shares and priorities."""

    name = "fair"

    def __init__(
        self, *, host, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__(host=host, clock=clock)
        self._shares: dict[str, fair_shares.FairShares] = {}

    def find_fair_shares(self, model: str) -> fair_shares.FairShares:
        """Return what the workspaces have used of a model's engines."""
        if model not in self._shares:
            self._shares[model] = fair_shares.FairShares(clock=self._clock)
        return self._shares[model]

    def _check_share(
        self,
        contract: request_contracts.RequestContract,
        *,
        work_seconds: float,
    ) -> fair_shares.ShareCheck:
        line = self._host.rules.find_limit(contract.workspace) or DEFAULT_LIMIT
        return self.find_fair_shares(contract.route).check(
            line, work_seconds=work_seconds
        )


def estimate_work_seconds(
    tokens: int, max_tokens: int, capacity: prefill_backlogs.EngineCapacity
) -> float:
    """Return what a request costs, in seconds of all engines' work."""
    work = tokens / capacity.total_prefill_rate
    if capacity.slots:
        work += max_tokens * capacity.step_seconds / capacity.slots
    return work


def _make_failure(
    wait: float,
    own_seconds: float,
    patience: float,
    turn: fair_shares.ShareCheck,
) -> reasons.Failure:
    if wait > patience:
        return reasons.Failure(
            reason=reasons.Reason.NO_ROOM,
            step="room",
            detail=f"first token not before {wait + own_seconds:.1f} s",
        )
    return reasons.Failure(
        reason=reasons.Reason.SHARE_EXCEEDED,
        step="room",
        detail=f"others go before limit workspace={turn.name}",
    )


POLICIES = {
    room.name: room for room in (UnboundedPolicy, MeasuredPolicy, FairPolicy)
}


def make_policy(name: str, *, host) -> AdmissionPolicy:
    """Return a new room by its name in the settings."""
    return POLICIES[name](host=host)
