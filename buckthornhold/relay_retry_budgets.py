"""Relay budgets: how often requests of a service may be sent again."""

from buckthornhold import reasons
from buckthornhold import retry_budgets

#: Part of the budget that all hosts share which is used; the rest covers the
#: requests of clients that come again as new ones.
USABLE_BUDGET_SHARE = 0.7


class RelayRetryBudgets:
    """This host's equal part of each service's budget of repeats."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._retries: dict[str, retry_budgets.RetryBudget] = {}

    def acquire(self, service: str) -> bool:
        """Take one repeat of a service's budget; False if there is none."""
        allowed = self._find(service).acquire_retry(
            reasons.Failure(
                reason=reasons.Reason.UPSTREAM_ERROR, step="retry"
            ),
            number=0,
            left=float("inf"),
        )
        return not isinstance(allowed, reasons.Failure)

    def record_success(self, service: str) -> None:
        """Earn part of a repeat by a request that succeeded."""
        self._find(service).record_success()

    def _find(self, service: str) -> retry_budgets.RetryBudget:
        found = self._retries.get(service)
        if found is None:
            bounds = self._host.settings.bounds
            hosts = len(self._host.members.list_all()) + 1
            reserve = bounds.retry_reserve * USABLE_BUDGET_SHARE / hosts
            found = retry_budgets.RetryBudget(
                share=bounds.retry_share * USABLE_BUDGET_SHARE,
                reserve=max(1.0, reserve),
            )
            self._retries[service] = found
        return found
