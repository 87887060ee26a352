"""Settings of a host that relays requests by an operator's routes."""

import typing

import pydantic

from buckthornhold import settings

#: Defaults of what the deployment's settings may leave out. Times are in
#: seconds; the deployment's own figures replace them.
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
}

PositiveSeconds = typing.Annotated[float, pydantic.Field(gt=0)]
NonNegative = typing.Annotated[float, pydantic.Field(ge=0)]


class RelayListen(pydantic.BaseModel, extra="forbid", frozen=True):
    """The addresses the host listens on, each ``IP:port``.

    ``ready`` answers the balancer's question whether the host takes
    requests, ``metrics`` serves counters and histograms.
    """

    callers: settings.Address
    ready: settings.Address
    peers: settings.Address
    metrics: settings.Address


class Bounds(pydantic.BaseModel, extra="forbid", frozen=True):
    """What the deployment promises, as far as a decision depends on it.

    ``grace_seconds`` is the time between a termination signal and the end.
    ``entry_return_seconds`` is that in which entries of upstreams return
    after an outage of the store. ``retry_share`` of a service's requests may
    be sent a second time, and ``retry_reserve`` more. A workspace's limit
    holds over each ``limit_window``. ``usage_late`` is how long after the end
    of a ``usage_window`` its usage is due. A bad version may get
    ``exposure_share`` of its service's requests while it is moved to.
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


class RelaySettings(settings.Settings, extra="forbid", frozen=True):
    """Settings of one relaying host.

    ``zones`` are all availability zones. ``cloud`` is the address of the
    API that takes usage reports and orders of upstreams, None where there
    is none; ``duties`` are the calls to it that the deployment wants.
    """

    listen: RelayListen
    zones: tuple[settings.Name, ...]
    cloud: settings.Address | None = None
    duties: tuple[str, ...] = ()
    bounds: Bounds = Bounds()


def load(path: str):
    """Read and check a relaying host's settings file."""
    return settings.load_settings(path, model=RelaySettings)
