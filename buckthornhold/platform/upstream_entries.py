"""Workers' entries in the store, decoded into upstream records."""

import typing

import pydantic

from buckthornhold import settings
from buckthornhold import upstream_directories

PREFIX = "servers/"
#: More than any worker runs at once.
MAX_SLOTS = 1_000_000
#: The end of the times that are taken for true, in Unix ms: the year 3000.
MAX_START_TIME_MS = 32_503_680_000_000


class _Entry(pydantic.BaseModel, extra="ignore", frozen=True, strict=True):
    """An entry; one with a field missing or of another type is no use."""

    service: settings.Name
    address: settings.Address
    zone: str
    #: Version of the worker's software.
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

    Raises ValueError if it describes none.
    """
    found = _Entry.model_validate_json(text)
    leaves_in = None
    if found.leaves_ms is not None:
        leaves_in = found.leaves_ms / 1000
    return upstream_directories.UpstreamRecord(
        name=name,
        service=found.service,
        address=found.address,
        zone=found.zone,
        version=found.version,
        slots=found.slots,
        started_at=found.born,
        leaving=found.state == "draining",
        leaves_in_seconds=leaves_in,
        warm_up_seconds=found.coldRemainingMs / 1000,
        reclaimable=found.spot,
    )
