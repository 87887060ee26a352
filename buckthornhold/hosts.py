"""Hosts as the platform lists them: entry hosts and upstream hosts."""

import abc
import dataclasses
import enum
import json
import random

import aiohttp
import pydantic

from buckthornhold import clients
from buckthornhold import reasons


class HostKind(enum.StrEnum):
    """What runs on a host."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class HostState(enum.StrEnum):
    """What the platform's list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRecord(pydantic.BaseModel, frozen=True):
    """One host on the platform's lagging list.

    ``address`` is the address for work (callers of an entry host, calls of
    an upstream); ``peer_address`` is an entry host's gRPC address. Both are
    ``IP:port``.
    """

    host: str
    kind: HostKind
    zone: str
    host_class: str
    address: str
    peer_address: str = ""
    incarnation: int
    state: HostState = HostState.LIVE
    serves: tuple[str, ...] = ()


#: Values of the fields that a listed host may lack.
RECORD_DEFAULTS = {
    name: field.default
    for name, field in HostRecord.model_fields.items()
    if not field.is_required()
}


class Notice(pydantic.BaseModel, frozen=True):
    """A reclaim notice: the host goes away in ``seconds_left``."""

    host: str
    incarnation: int
    seconds_left: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listing:
    """The platform's host list at one moment."""

    hosts: tuple[HostRecord, ...]
    notices: tuple[Notice, ...]


class LiveCount:
    """Counts the live hosts among records, once for each list of them."""

    def __init__(self) -> None:
        self._records: tuple[HostRecord, ...] = ()
        self._count = 0

    def count(self, records: tuple[HostRecord, ...]) -> int:
        """Return how many of the records say that the host is live."""
        if records is not self._records:
            self._records = records
            self._count = sum(it.state is HostState.LIVE for it in records)
        return self._count


#: Share of an interval by which fetches are varied at random.
JITTER = 0.1


class HostList(abc.ABC):
    """The platform's lagging list of hosts with reclaim notices."""

    @abc.abstractmethod
    async def fetch(self) -> Listing | reasons.Failure:
        """Return the hosts and the notices that are listed now."""

    def find_wait(self, interval: float) -> float:
        """Return the seconds until the next fetch, by their usual interval."""
        return interval * random.uniform(1 - JITTER, 1 + JITTER)


class ListBody:
    """Reads the list's body, at the cost of what changed since the last.

    Hosts that have not changed keep their records.
    """

    def __init__(self) -> None:
        self._body = b""
        self._listing = Listing(hosts=(), notices=())
        self._records: dict[str, HostRecord] = {}

    def read(self, body: bytes) -> Listing:
        """Return the listing; the same as before for the same body.

        Raises ValueError, TypeError or LookupError for a body that is none.
        """
        if body == self._body:
            return self._listing
        values = json.loads(body)
        records = tuple(map(self._read_record, values["hosts"]))
        self._listing = Listing(
            hosts=records,
            notices=tuple(Notice(**item) for item in values["notices"]),
        )
        self._records = {it.host: it for it in records}
        self._body = body
        return self._listing

    def _read_record(self, values: dict) -> HostRecord:
        known = self._records.get(values["host"])
        if known is not None:
            # Fields in the form of a validated record compare without cost.
            found = {**RECORD_DEFAULTS, **values}
            found["serves"] = tuple(found["serves"])
            if found == vars(known):
                return known
        return HostRecord(**values)


class HttpHostList(HostList):
    """Client of a host list that is met over HTTP and JSON."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        address: str,
        timeout: float,
    ) -> None:
        self._session = session
        self._address = address
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._body = ListBody()

    async def fetch(self) -> Listing | reasons.Failure:
        """Return the hosts and the notices that are listed now."""
        try:
            async with self._session.get(
                f"http://{self._address}/hosts", timeout=self._timeout
            ) as response:
                response.raise_for_status()
                return self._body.read(await response.read())
        except (
            aiohttp.ClientError,
            OSError,
            ValueError,
            TypeError,
            LookupError,
        ) as error:
            clients.drop_if_silent(self._session, self._address, error)
            return reasons.Failure(
                reason=reasons.Reason.STORE_UNAVAILABLE,
                step="host list",
                peer=self._address,
                detail=repr(error),
            )
