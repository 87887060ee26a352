"""The platform's key-value store: base class and HTTP client."""

import abc
import dataclasses
import urllib.parse

import aiohttp

from buckthornhold import clients
from buckthornhold import reasons
from buckthornhold.coordination import store_eras

#: Response header with the number of times that the store was restored.
ERA_HEADER = "Store-Era"
MUST_NOT_EXIST = 0
VALUE_LIMIT_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """A key's value with the store revision that last wrote it.

    ``version`` contains the store's era (``store_eras.make_version``).
    """

    key: str
    value: str
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """What a watch saw: entries written after a store revision.

    Of a key that was written more than once the last state counts.
    """

    revision: int
    entries: tuple[Entry, ...]
    deleted: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreLease:
    """A lease of the store; keys bound to it vanish when it lapses."""

    lease_id: str
    ttl: float
    era: int = 0


class Store(abc.ABC):
    """The store that holds all that must be agreed or must last.

    Every method returns a ``reasons.Failure`` instead of its result when it
    fails. For writes, ``failure.ran`` is ``NO`` only if the write surely did
    not take effect. Versions of an earlier era than the store's match no
    entry; a watch after such a version fails with ``STORE_HISTORY_GONE``.
    """

    @property
    def eras(self) -> store_eras.StoreEras:
        """The eras that this client has seen."""
        return store_eras.StoreEras()

    @abc.abstractmethod
    async def get(self, key: str) -> Entry | None | reasons.Failure:
        """Return the entry of a key, or None when there is none."""

    @abc.abstractmethod
    async def list_entries(self, prefix: str) -> Change | reasons.Failure:
        """Return all entries below a prefix with the store's revision."""

    @abc.abstractmethod
    async def put(
        self,
        key: str,
        value: str,
        *,
        expect: int | None,
        lease_id: str | None = None,
    ) -> Entry | reasons.Failure:
        """Write a value if the key's version is ``expect``.

        ``MUST_NOT_EXIST`` creates the key; None writes in any case.
        """

    @abc.abstractmethod
    async def delete(
        self, key: str, *, expect: int | None
    ) -> None | reasons.Failure:
        """Delete a key if its version is ``expect``."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, *, after: int, timeout: float
    ) -> Change | reasons.Failure:
        """Wait up to ``timeout`` seconds for a write below a prefix.

        The change is empty when nothing was written.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl: float) -> StoreLease | reasons.Failure:
        """Take a lease that lapses after ``ttl`` seconds."""

    @abc.abstractmethod
    async def keep_lease(self, lease_id: str) -> None | reasons.Failure:
        """Renew a lease for another ``ttl``."""


class HttpStore(Store):
    """Client of a store that is met over HTTP and JSON."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        address: str,
        timeout: float,
        eras: store_eras.StoreEras | None = None,
    ) -> None:
        self._session = session
        self._address = address
        self._timeout = timeout
        self._eras = eras or store_eras.StoreEras()

    @property
    def eras(self) -> store_eras.StoreEras:
        """The eras that this client has seen."""
        return self._eras

    @property
    def address(self) -> str:
        """The store's address, as ``IP:port``."""
        return self._address

    async def get(self, key: str) -> Entry | None | reasons.Failure:
        """Return the entry of a key, or None when there is none."""
        body = await self._call("GET", f"/kv/{_quote(key)}")
        if isinstance(body, reasons.Failure):
            return body
        if not body["version"]:
            return None
        return self._read_entry(body)

    async def list_entries(self, prefix: str) -> Change | reasons.Failure:
        """Return all entries below a prefix with the store's revision."""
        body = await self._call("GET", "/kv", params={"prefix": prefix})
        if isinstance(body, reasons.Failure):
            return body
        return self._read_change(body)

    async def put(
        self,
        key: str,
        value: str,
        *,
        expect: int | None,
        lease_id: str | None = None,
    ) -> Entry | reasons.Failure:
        """Write a value if the key's version is ``expect``."""
        if len(value.encode()) > VALUE_LIMIT_BYTES:
            return self._fail(reasons.Reason.STORE_VALUE_TOO_LARGE, "put")
        failure = self._check_expected(expect, "put")
        if failure is not None:
            return failure
        revision = expect and store_eras.find_revision(expect)
        body = await self._call(
            "PUT",
            f"/kv/{_quote(key)}",
            json={"value": value, "expect": revision, "lease_id": lease_id},
        )
        failure = self._check_written(expect, body, "put")
        if failure is not None:
            return failure
        version = store_eras.make_version(self._eras.current, body["version"])
        return Entry(key=key, value=value, version=version)

    async def delete(
        self, key: str, *, expect: int | None
    ) -> None | reasons.Failure:
        """Delete a key if its version is ``expect``."""
        failure = self._check_expected(expect, "delete")
        if failure is not None:
            return failure
        params = {}
        if expect is not None:
            params["expect"] = str(store_eras.find_revision(expect))
        body = await self._call("DELETE", f"/kv/{_quote(key)}", params=params)
        return self._check_written(expect, body, "delete")

    async def watch(
        self, prefix: str, *, after: int, timeout: float
    ) -> Change | reasons.Failure:
        """Wait up to ``timeout`` seconds for a write below a prefix."""
        if store_eras.find_era(after) != self._eras.current:
            return self._fail(reasons.Reason.STORE_HISTORY_GONE, "watch")
        body = await self._call(
            "GET",
            "/watch",
            params={
                "prefix": prefix,
                "after": str(store_eras.find_revision(after)),
                "timeout": str(timeout),
            },
            timeout=timeout + self._timeout,
        )
        if isinstance(body, reasons.Failure):
            return body
        if store_eras.find_era(after) != self._eras.current:
            return self._fail(reasons.Reason.STORE_HISTORY_GONE, "watch")
        return self._read_change(body)

    async def grant_lease(self, ttl: float) -> StoreLease | reasons.Failure:
        """Take a lease that lapses after ``ttl`` seconds."""
        body = await self._call("POST", "/leases", json={"ttl": ttl})
        if isinstance(body, reasons.Failure):
            return body
        return StoreLease(
            lease_id=body["lease_id"], ttl=ttl, era=self._eras.current
        )

    async def keep_lease(self, lease_id: str) -> None | reasons.Failure:
        """Renew a lease for another ``ttl``."""
        body = await self._call("POST", f"/leases/{_quote(lease_id)}/keep")
        return body if isinstance(body, reasons.Failure) else None

    async def _call(self, method: str, path: str, *, timeout=None, **kwargs):
        step = f"store {method.lower()}"
        limit = aiohttp.ClientTimeout(total=timeout or self._timeout)
        try:
            async with self._session.request(
                method,
                f"http://{self._address}{path}",
                timeout=limit,
                **kwargs,
            ) as response:
                body = await response.json()
                era = store_eras.parse_era(response.headers.get(ERA_HEADER))
        except aiohttp.ClientConnectorError as error:
            return self._fail(
                reasons.Reason.STORE_UNAVAILABLE, step, str(error)
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            clients.drop_if_silent(self._session, self._address, error)
            return self._fail(
                reasons.Reason.STORE_UNAVAILABLE,
                step,
                repr(error),
                ran=reasons.Ran.UNKNOWN,
            )
        # Errors may come from something in front of the store, without era.
        if (era is not None or response.status < 400) and (
            not self._eras.observe(era)
        ):
            return self._fail(
                reasons.Reason.STORE_UNAVAILABLE,
                step,
                f"response of era {era or 0}, which has ended",
                ran=reasons.Ran.UNKNOWN,
            )
        if response.status == 410:
            return self._fail(reasons.Reason.STORE_HISTORY_GONE, step)
        if response.status == 409:
            return self._fail(
                reasons.Reason.STORE_CONFLICT, step, body.get("detail", "")
            )
        if response.status == 413:
            return self._fail(reasons.Reason.STORE_VALUE_TOO_LARGE, step)
        if response.status >= 400:
            return self._fail(
                reasons.Reason.STORE_UNAVAILABLE, step, str(body)
            )
        return body

    def _check_expected(self, expect, step) -> reasons.Failure | None:
        return check_expected(self._eras, expect, step, self._address)

    def _check_written(self, expect, body, step) -> reasons.Failure | None:
        return check_written(self._eras, expect, body, step, self._address)

    def _read_entry(self, body: dict) -> Entry:
        version = store_eras.make_version(self._eras.current, body["version"])
        return Entry(key=body["key"], value=body["value"], version=version)

    def _read_change(self, body: dict) -> Change:
        return Change(
            revision=store_eras.make_version(
                self._eras.current, body["revision"]
            ),
            entries=tuple(map(self._read_entry, body["entries"])),
            deleted=tuple(body.get("deleted", ())),
        )

    def _fail(
        self,
        reason: reasons.Reason,
        step: str,
        detail: str = "",
        ran: reasons.Ran = reasons.Ran.NO,
    ) -> reasons.Failure:
        return reasons.Failure(
            reason=reason,
            step=step,
            peer=self._address,
            ran=ran,
            detail=detail,
        )


def _quote(key: str) -> str:
    return urllib.parse.quote(key, safe="/")


def check_expected(
    eras: store_eras.StoreEras, expect: int | None, step: str, peer: str
) -> reasons.Failure | None:
    """Return the failure of a write whose expected version has ended.

    The store would compare the revision alone, which another state may have
    in the new era.
    """
    if not expect or store_eras.find_era(expect) == eras.current:
        return None
    return reasons.Failure(
        reason=reasons.Reason.STORE_CONFLICT,
        step=step,
        peer=peer,
        ran=reasons.Ran.NO,
        detail=f"version is of era {store_eras.find_era(expect)}, "
        f"the store is in era {eras.current}",
    )


def check_written(
    eras: store_eras.StoreEras, expect: int | None, body, step: str, peer: str
) -> reasons.Failure | None:
    """Return the failure of a write that was sent, if it has failed.

    A write that met a new era was compared with another state than the
    expected one, so that its caller has to read again.
    """
    if isinstance(body, reasons.Failure):
        return body
    if not expect or store_eras.find_era(expect) == eras.current:
        return None
    return reasons.Failure(
        reason=reasons.Reason.STORE_CONFLICT,
        step=step,
        peer=peer,
        ran=reasons.Ran.UNKNOWN,
        detail="the store was restored from a copy while it was written",
    )
