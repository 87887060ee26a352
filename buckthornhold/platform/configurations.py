"""Decodes the operator's configuration documents."""

import typing

import pydantic

from buckthornhold import routes

#: Key of the newest configuration, and the prefix of all operator documents.
KEY = "op/config"
PREFIX = "op/"


class _Document(pydantic.BaseModel, extra="ignore", frozen=True):
    """Base of a document's parts; ignores unknown fields of newer formats."""


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
    #: 0 is the most urgent.
    priority: int = 5
    service: str | None = None
    #: Services with weights; replaces ``service``.
    backends: tuple[_Backend, ...] = ()
    #: Number of upstreams that may run a request, not of times it is sent.
    maxAttempts: int = 1
    #: Whether requests need no API key.
    public: bool = False
    resumable: bool = False
    gapAimMs: pydantic.FiniteFloat = 0
    #: Regions whose upstreams may run requests; empty allows all.
    allowedRegions: tuple[str, ...] = ()


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
    #: How long an upstream is cold after its start.
    coldStartS: pydantic.FiniteFloat = pydantic.Field(default=0, ge=0)
    #: Requests a second that a cold upstream bears, from all hosts together.
    coldPerS: pydantic.FiniteFloat = pydantic.Field(default=0, ge=0)
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
    allowedRegions: tuple[str, ...] = ()


class _Configuration(_Document):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


def decode(text: str) -> routes.Configuration:
    """Return the configuration that a document describes.

    Raises ValueError for an invalid document.
    """
    document = _Configuration.model_validate_json(text)
    return routes.Configuration(
        version=document.version,
        routes=tuple(_make_route(route) for route in document.routes),
        services=tuple(
            _make_service(service) for service in document.services
        ),
        workspaces=tuple(
            _make_workspace(tenant) for tenant in document.tenants
        ),
        limits=routes.CallerLimits(
            head_bytes=document.limits.maxHeaderBytes,
            body_bytes=document.limits.maxBodyBytes,
            head_timeout=document.limits.headerTimeoutMs / 1000,
            idle_timeout=document.limits.idleTimeoutMs / 1000,
        ),
    )


def _make_route(document: _Route) -> routes.Route:
    shares = tuple(
        routes.Share(service=backend.service, weight=backend.weight)
        for backend in document.backends
    )
    if not shares and document.service is not None:
        shares = (routes.Share(service=document.service, weight=1.0),)
    if not shares:
        raise ValueError(f"route {document.name} has no service")
    return routes.Route(
        name=document.name,
        host=document.host,
        path_prefix=document.pathPrefix,
        shares=shares,
        streamed=document.kind == "streaming",
        idempotent=document.kind == "idempotent",
        resumable=document.resumable,
        keyed=not document.public,
        timeout=document.timeoutMs / 1000,
        target=document.targetLatencyMs / 1000,
        longest_gap=document.gapAimMs / 1000,
        attempts=document.maxAttempts,
        urgency=document.priority,
        regions=document.allowedRegions,
    )


def _make_service(document: _Service) -> routes.Service:
    engine = None
    if document.engine is not None:
        engine = routes.Engine(
            slots=document.engine.slots,
            cache_tokens=document.engine.kvCapacityTokens,
        )
    offer = None
    if document.scale is not None:
        offer = routes.Offer(
            least=document.scale.min,
            most=document.scale.max,
            start_seconds=document.scale.bootS,
            zone_prices=document.scale.zonePrices,
            reclaimable_price=document.scale.spotPrice,
        )
    return routes.Service(
        name=document.name,
        connections=document.maxConnections,
        engine=engine,
        offer=offer,
        cold_start_seconds=document.coldStartS,
        cold_rate=document.coldPerS,
    )


def _make_workspace(document: _Tenant) -> routes.Workspace:
    return routes.Workspace(
        name=document.name,
        keys=document.apiKeys,
        urgency=document.priority,
        rate=document.ratePerS,
        burst=document.burst,
        counts_tokens=document.unit == "tokens",
        plain_tokens=document.plainTokens,
        regions=document.allowedRegions,
    )
