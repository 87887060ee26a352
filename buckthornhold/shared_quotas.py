"""Shared quotas: workspaces' limits as rates that hosts share by demand."""

import collections
from collections.abc import Callable
import dataclasses
import math
import random

from buckthornhold import limit_uses
from buckthornhold import routes
from buckthornhold.scheduling import limits
from buckthornhold.scheduling import shared_rates

#: How long a workspace counts as limited after the last time that it was, so
#: that one at its limit doesn't change its state with each plan.
LIMITED_SECONDS = 4.0


@dataclasses.dataclass
class _OwnUse:
    """This host's units of a shared rate since its process started."""

    rate: shared_rates.SharedRate
    admitted: float = 0.0
    requested: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    limited: bool = False
    limited_at: float = -math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class _RemoteUse:
    """A process's last report and when its units were counted."""

    use: limit_uses.Use
    counted_at: float


class SharedQuotas:
    """Admits requests by shared rates; see ``quotas.Quotas``."""

    def __init__(
        self,
        *,
        window_seconds: float,
        overage: float,
        slack: float,
        count_hosts: Callable[[], int],
        read_limit_share: Callable[[], float],
        clock: Callable[[], float],
        draw: random.Random,
        notify: Callable[[limit_uses.LimitChange], None],
    ) -> None:
        self._window_seconds = window_seconds
        self._overage = overage
        self._slack = slack
        self._count_hosts = count_hosts
        self._read_limit_share = read_limit_share
        self._clock = clock
        self._draw = draw
        self._notify = notify
        self._started_at = clock()
        self._own_uses: dict[str, _OwnUse] = {}
        self._remote_uses: dict[tuple[str, int], dict[str, _RemoteUse]] = {}

    def admit(
        self,
        workspace: routes.Workspace,
        units: float,
        *,
        urgency: int,
        returning: bool,
    ) -> float:
        """Admit a request and return 0, or return the seconds to wait."""
        own = self._own_uses.get(workspace.name)
        if own is None:
            own = _OwnUse(
                rate=shared_rates.SharedRate(
                    draw=self._draw, started_at=self._started_at
                )
            )
            self._own_uses[workspace.name] = own
        ticket = _make_ticket(workspace, units, urgency, returning=returning)
        own.requested[ticket.kind] += ticket.demand
        wait = own.rate.admit(
            ticket,
            limit=self._make_limit(workspace),
            fleet=self._view_fleet(),
            now=self._clock(),
        )
        if not wait:
            own.admitted += units
        return wait

    def refund(
        self, workspace: routes.Workspace, units: float, *, urgency: int
    ) -> None:
        """Give back the units of a request that was not run."""
        own = self._own_uses.get(workspace.name)
        if own is None:
            return
        ticket = _make_ticket(workspace, units, urgency)
        own.admitted -= units
        own.requested[ticket.kind] -= units
        own.rate.refund(ticket, now=self._clock())

    def publish_uses(
        self, workspaces: tuple[routes.Workspace, ...]
    ) -> dict[str, limit_uses.Use]:
        """Return the units since the process started, by workspace."""
        uses = {}
        for workspace in workspaces:
            own = self._own_uses.get(workspace.name)
            if own is None or not workspace.rate:
                continue
            self._note_change(workspace, own)
            uses[workspace.name] = limit_uses.Use(
                admitted=own.admitted, requested=dict(own.requested)
            )
        return uses

    def apply_remote_uses(
        self,
        process: tuple[str, int],
        uses: dict[str, limit_uses.Use],
        *,
        age: float,
        aggregated: bool,
    ) -> None:
        """Apply what another process, or several, reported."""
        counted_at = self._clock() - age
        reported = self._remote_uses.setdefault(process, {})
        for name, use in uses.items():
            previous = reported.get(name)
            if previous is not None and counted_at <= previous.counted_at:
                continue
            reported[name] = _RemoteUse(use=use, counted_at=counted_at)
            own = self._own_uses.get(name)
            if own is None:
                continue
            if previous is not None:
                own.rate.apply_others(
                    use.admitted - previous.use.admitted,
                    {
                        kind: units - previous.use.requested.get(kind, 0.0)
                        for kind, units in use.requested.items()
                    },
                    source=process,
                    since=previous.counted_at,
                    until=counted_at,
                )
            elif aggregated:
                own.rate.note_first_total(use.admitted)
                own.rate.assume_planned(until=counted_at)

    def retain(self, processes: set[tuple[str, int]]) -> None:
        """Forget the reported usage of all processes but these."""
        for process in self._remote_uses.keys() - processes:
            del self._remote_uses[process]

    def _make_limit(self, workspace: routes.Workspace) -> limits.Limit:
        return limits.Limit(
            rate=workspace.rate,
            burst=workspace.burst,
            window=self._window_seconds,
            overage=self._overage,
            slack=self._slack,
        )

    def _view_fleet(self) -> limits.FleetView:
        return limits.FleetView(
            host_count=max(1, self._count_hosts()),
            limit_share=self._read_limit_share(),
        )

    def _note_change(self, workspace: routes.Workspace, own: _OwnUse) -> None:
        """Tell when a workspace becomes limited, or is no longer."""
        now = self._clock()
        own.rate.update(self._make_limit(workspace), self._view_fleet(), now)
        if own.rate.limited:
            own.limited_at = now
        limited = now - own.limited_at < LIMITED_SECONDS
        if limited == own.limited:
            return
        own.limited = limited
        self._notify(
            limit_uses.LimitChange(
                workspace=workspace.name,
                limited=limited,
                shares=dict(own.rate.shares),
                age=own.rate.compute_age(now),
            )
        )


def _make_ticket(
    workspace: routes.Workspace,
    units: float,
    urgency: int,
    *,
    returning: bool = False,
) -> limits.Ticket:
    return limits.Ticket(
        units=units,
        urgency=urgency,
        small=workspace.counts_tokens and units <= workspace.plain_tokens,
        returning=returning,
    )
