"""Relay settings: the settings file of a relay host."""

import typing

import pydantic

from buckthornhold import settings

#: Defaults of optional settings; times are in seconds. A deployment sets its
#: own values.
DEFAULTS: dict[str, typing.Any] = {
    "grace_seconds": 8.0,
    "entry_return_seconds": 2.0,
    "retry_share": 0.2,
    "retry_reserve": 50.0,
    "limit_window": 8.0,
    "lease_seconds": 3.0,
    "usage_window": 5.0,
    "usage_late": 10.0,
    "exposure_share": 0.1,
    "config_seconds": 2.0,
    "evacuation_seconds": 5.0,
    "limit_overage": 0.1,
    "limit_slack": 0.0,
    "cold_overage": 1.5,
    "cold_slack": 5.0,
    "shared_limits": False,
    "learned_paces": False,
    "prefix_savings": False,
}

PositiveSeconds = typing.Annotated[float, pydantic.Field(gt=0)]
NonNegative = typing.Annotated[float, pydantic.Field(ge=0)]


class RelayListen(pydantic.BaseModel, extra="forbid", frozen=True):
    """The addresses the host listens on, each ``IP:port``.

    ``ready`` serves the load balancer's readiness checks; ``metrics`` serves
    counters and histograms.
    """

    callers: settings.Address
    ready: settings.Address
    peers: settings.Address
    metrics: settings.Address


class Bounds(pydantic.BaseModel, extra="forbid", frozen=True):
    """Limits that the deployment guarantees and decisions depend on.

    ``grace_seconds`` is the time between a termination signal and the kill.
    ``entry_return_seconds`` is the time within which upstreams register
    again after an outage of the store. ``retry_share`` of a service's
    requests may be retried, plus ``retry_reserve`` requests. A workspace's
    limit holds in each ``limit_window``. The usage of a ``usage_window`` is
    due ``usage_late`` after its end. A bad version may receive at most
    ``exposure_share`` of its service's requests during a move. A
    configuration has to be in force on every host within ``config_seconds``.
    ``evacuation_seconds`` after a zone's evacuation was ordered no request
    reaches its upstreams. In each ``limit_window`` a workspace may exceed
    its limit by the share ``limit_overage``, plus ``limit_slack`` units. A
    cold upstream gets at most ``cold_overage`` times its rate in a second,
    plus ``cold_slack`` requests.
    """

    grace_seconds: PositiveSeconds = DEFAULTS["grace_seconds"]
    entry_return_seconds: PositiveSeconds = DEFAULTS["entry_return_seconds"]
    retry_share: NonNegative = DEFAULTS["retry_share"]
    retry_reserve: NonNegative = DEFAULTS["retry_reserve"]
    limit_window: PositiveSeconds = DEFAULTS["limit_window"]
    lease_seconds: PositiveSeconds = DEFAULTS["lease_seconds"]
    usage_window: PositiveSeconds = DEFAULTS["usage_window"]
    usage_late: PositiveSeconds = DEFAULTS["usage_late"]
    exposure_share: NonNegative = DEFAULTS["exposure_share"]
    config_seconds: PositiveSeconds = DEFAULTS["config_seconds"]
    evacuation_seconds: PositiveSeconds = DEFAULTS["evacuation_seconds"]
    limit_overage: NonNegative = DEFAULTS["limit_overage"]
    limit_slack: NonNegative = DEFAULTS["limit_slack"]
    cold_overage: NonNegative = DEFAULTS["cold_overage"]
    cold_slack: NonNegative = DEFAULTS["cold_slack"]


class Scheduling(pydantic.BaseModel, extra="forbid", frozen=True):
    """Scheduling features that a deployment switches on.

    ``shared_limits`` divides the rates of workspaces' limits among the hosts
    by what is requested there. ``learned_paces`` chooses upstreams by paces
    that all hosts learn together. ``prefix_savings`` weighs cached prompt
    prefixes against the wait.
    """

    shared_limits: bool = DEFAULTS["shared_limits"]
    learned_paces: bool = DEFAULTS["learned_paces"]
    prefix_savings: bool = DEFAULTS["prefix_savings"]


class RelaySettings(settings.Settings, extra="forbid", frozen=True):
    """Settings of one relay host.

    ``zones`` lists all availability zones, ``zone_regions`` their regions.
    ``cloud`` is the address of the
    API for usage reports and orders of upstreams, None if there is none.
    ``duties`` selects the calls to it that hosts make.
    """

    listen: RelayListen
    zones: tuple[settings.Name, ...]
    cloud: settings.Address | None = None
    duties: tuple[str, ...] = ()
    bounds: Bounds = Bounds()
    zone_regions: dict[settings.Name, str] = {}
    scheduling: Scheduling = Scheduling()


def load(path: str):
    """Load and validate a relay host's settings file."""
    return settings.load_settings(path, model=RelaySettings)
