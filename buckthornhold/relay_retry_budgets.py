"""Relay retry budgets: limits on the retries of each service."""

from buckthornhold import reasons
from buckthornhold import retry_budgets

#: Share of the fleet's retry budget that hosts use. The rest covers retries by
#: clients, which arrive as new requests.
USABLE_BUDGET_SHARE = 0.7


class RelayRetryBudgets:
    """This host's equal share of the retry budget of each service."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._retries: dict[str, retry_budgets.RetryBudget] = {}

    def acquire(self, service: str) -> bool:
        """Take one retry from a service's budget; False if it is exhausted."""
        result = self._find(service).acquire_retry(
            reasons.Failure(
                reason=reasons.Reason.UPSTREAM_ERROR, step="retry"
            ),
            number=0,
            left=float("inf"),
        )
        return not isinstance(result, reasons.Failure)

    def record_success(self, service: str) -> None:
        """Replenish a service's budget for a successful request."""
        self._find(service).record_success()

    def _find(self, service: str) -> retry_budgets.RetryBudget:
        budget = self._retries.get(service)
        if budget is None:
            bounds = self._host.settings.bounds
            hosts = self._host.members.count_all() + 1
            reserve = bounds.retry_reserve * USABLE_BUDGET_SHARE / hosts
            budget = retry_budgets.RetryBudget(
                share=bounds.retry_share * USABLE_BUDGET_SHARE,
                reserve=max(1.0, reserve),
            )
            self._retries[service] = budget
        return budget
