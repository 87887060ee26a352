"""The operator's documents, decoded into the product's configuration."""

import typing

import pydantic

from buckthornhold import routes

#: Where the store has the newest configuration, and all of the operator's.
KEY = "op/config"
PREFIX = "op/"


class _Document(pydantic.BaseModel, extra="ignore", frozen=True):
    """Fields that are not known are left out: documents may grow."""


class _Backend(_Document):
    service: str
    weight: pydantic.FiniteFloat


class _Route(_Document):
    name: str
    host: str
    pathPrefix: str
    kind: typing.Literal["streaming", "idempotent", "non_idempotent"]
    timeoutMs: pydantic.FiniteFloat
    targetLatencyMs: pydantic.FiniteFloat = 1000
    #: 0 is the most urgent, so it says urgency rather than priority.
    priority: int = 5
    service: str | None = None
    #: Services with weights; stands in place of ``service``.
    backends: tuple[_Backend, ...] = ()
    #: How many upstreams may run a request, not how often it may be sent.
    maxAttempts: int = 1
    #: Whether requests need no key.
    public: bool = False
    resumable: bool = False
    gapAimMs: pydantic.FiniteFloat = 0


class _Engine(_Document):
    slots: int
    kvCapacityTokens: int


class _Scale(_Document):
    min: int
    max: int
    bootS: pydantic.FiniteFloat = 0
    spotPrice: float | None = None
    zonePrices: dict[str, float] = {}


class _Service(_Document):
    name: str
    maxConnections: int = 100
    engine: _Engine | None = None
    scale: _Scale | None = None


class _Limits(_Document):
    maxHeaderBytes: int = 16384
    maxBodyBytes: int = 4 << 20
    headerTimeoutMs: pydantic.FiniteFloat = 3000
    idleTimeoutMs: pydantic.FiniteFloat = 15000


class _Tenant(_Document):
    name: str
    apiKeys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = "requests"
    plainTokens: int = 1
    ratePerS: pydantic.FiniteFloat = 0
    burst: pydantic.FiniteFloat = 0


class _Configuration(_Document):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


def decode(text: str) -> routes.Configuration:
    """Return the configuration that a document holds.

    Raises ValueError for a document that can't be read.
    """
    found = _Configuration.model_validate_json(text)
    return routes.Configuration(
        version=found.version,
        routes=tuple(_make_route(it) for it in found.routes),
        services=tuple(_make_service(it) for it in found.services),
        workspaces=tuple(_make_workspace(it) for it in found.tenants),
        limits=routes.CallerLimits(
            head_bytes=found.limits.maxHeaderBytes,
            body_bytes=found.limits.maxBodyBytes,
            head_timeout=found.limits.headerTimeoutMs / 1000,
            idle_timeout=found.limits.idleTimeoutMs / 1000,
        ),
    )


def _make_route(found: _Route) -> routes.Route:
    shares = tuple(
        routes.Share(service=it.service, weight=it.weight)
        for it in found.backends
    )
    if not shares and found.service is not None:
        shares = (routes.Share(service=found.service, weight=1.0),)
    if not shares:
        raise ValueError(f"route {found.name} names no service")
    return routes.Route(
        name=found.name,
        host=found.host,
        path_prefix=found.pathPrefix,
        shares=shares,
        streamed=found.kind == "streaming",
        idempotent=found.kind == "idempotent",
        resumable=found.resumable,
        keyed=not found.public,
        timeout=found.timeoutMs / 1000,
        target=found.targetLatencyMs / 1000,
        longest_gap=found.gapAimMs / 1000,
        attempts=found.maxAttempts,
        urgency=found.priority,
    )


def _make_service(found: _Service) -> routes.Service:
    engine = None
    if found.engine is not None:
        engine = routes.Engine(
            slots=found.engine.slots,
            cache_tokens=found.engine.kvCapacityTokens,
        )
    offer = None
    if found.scale is not None:
        offer = routes.Offer(
            least=found.scale.min,
            most=found.scale.max,
            start_seconds=found.scale.bootS,
            zone_prices=found.scale.zonePrices,
            reclaimable_price=found.scale.spotPrice,
        )
    return routes.Service(
        name=found.name,
        connections=found.maxConnections,
        engine=engine,
        offer=offer,
    )


def _make_workspace(found: _Tenant) -> routes.Workspace:
    return routes.Workspace(
        name=found.name,
        keys=found.apiKeys,
        urgency=found.priority,
        rate=found.ratePerS,
        burst=found.burst,
        counts_tokens=found.unit == "tokens",
        plain_tokens=found.plainTokens,
    )
