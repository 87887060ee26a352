"""Decodes the entries with which upstreams register in the store."""

import typing

import pydantic

from buckthornhold import settings
from buckthornhold import upstream_directories

PREFIX = "servers/"
#: More than any upstream has; a larger number makes an entry invalid.
MAX_SLOTS = 1_000_000
#: Latest start time that is accepted as valid, in Unix ms: the year 3000.
MAX_START_TIME_MS = 32_503_680_000_000


class _Entry(pydantic.BaseModel, extra="ignore", frozen=True, strict=True):
    """An upstream's entry; a missing or mistyped field makes it invalid."""

    service: settings.Name
    address: settings.Address
    zone: str
    #: Version of the upstream's software.
    version: str
    slots: int = pydantic.Field(ge=1, le=MAX_SLOTS)
    state: typing.Literal["ready", "draining"]
    coldRemainingMs: pydantic.FiniteFloat = pydantic.Field(default=0, ge=0)
    #: Unix time in ms at which the process started.
    born: int = pydantic.Field(default=0, ge=0, le=MAX_START_TIME_MS)
    spot: bool = False
    leaves_ms: pydantic.FiniteFloat | None = None


def decode(name: str, text: str) -> upstream_directories.UpstreamRecord:
    """Return the upstream that an entry describes.

    Raises ValueError for an invalid entry.
    """
    entry = _Entry.model_validate_json(text)
    leaves_in_seconds = None
    if entry.leaves_ms is not None:
        leaves_in_seconds = entry.leaves_ms / 1000
    return upstream_directories.UpstreamRecord(
        name=name,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        version=entry.version,
        slots=entry.slots,
        started_at=entry.born,
        leaving=entry.state == "draining",
        leaves_in_seconds=leaves_in_seconds,
        warm_up_seconds=entry.coldRemainingMs / 1000,
        reclaimable=entry.spot,
    )
