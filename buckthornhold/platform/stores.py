"""Stores: client of the platform's key-value store."""

import base64
import json

import aiohttp
import loguru
import yarl

from buckthornhold import clients
from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold.coordination import store_eras
from buckthornhold.platform import http_headers

#: More pages than any prefix has; guards against a store that never ends.
MAX_PAGES = 100
#: Time that a watch may take beyond its wait: an answer takes milliseconds,
#: and a few hundred of them while the store is slow.
WATCH_MARGIN_SECONDS = 0.5
STATUS_REASONS = {
    404: reasons.Reason.STORE_CONFLICT,
    410: reasons.Reason.STORE_HISTORY_GONE,
    412: reasons.Reason.STORE_CONFLICT,
    413: reasons.Reason.STORE_VALUE_TOO_LARGE,
}


class PlatformStore(stores.Store):
    """Client of the platform's store; ``timeout`` is in seconds."""

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

    async def get(self, key: str) -> stores.Entry | None | reasons.Failure:
        """Return the entry of a key, or None when there is none."""
        body = await self._call("GET", "kv-key", params={"key": key})
        if isinstance(body, reasons.Failure):
            missing = body.reason is reasons.Reason.STORE_CONFLICT
            return None if missing else body
        return self._read_item(body)

    async def list_entries(
        self, prefix: str
    ) -> stores.Change | reasons.Failure:
        """Return all entries below a prefix, with the first page's revision.

        The pages are not one snapshot: a watch from the returned revision
        repeats the changes made between them.
        """
        entries: dict[str, stores.Entry] = {}
        params = {"pathPrefix": prefix}
        revision = None
        for _ in range(MAX_PAGES):
            body = await self._call("GET", "kv-range", params=params)
            if isinstance(body, reasons.Failure):
                return body
            if revision is None:
                revision = self._make_version(body["asOf"])
            elif store_eras.find_era(revision) != self._eras.current:
                return self._fail(
                    reasons.Reason.STORE_HISTORY_GONE,
                    "kv-range",
                    "the store was restored between two pages",
                )
            for item in body["items"]:
                entry = self._read_item(item)
                entries[entry.key] = entry
            if not body["truncated"] or not body["items"]:
                break
            params["after"] = body["items"][-1]["key"]
        return stores.Change(
            revision=revision, entries=tuple(entries.values())
        )

    async def put(
        self,
        key: str,
        value: str,
        *,
        expect: int | None,
        lease_id: str | None = None,
    ) -> stores.Entry | reasons.Failure:
        """Write a value if the key's version is ``expect``."""
        write = {"key": key, "value": _encode(value)}
        if lease_id is not None:
            write["lease"] = int(lease_id)
        body = await self._write(key, expect, writes=[write], remove=[])
        if isinstance(body, reasons.Failure):
            return body
        version = self._make_version(body["revision"])
        return stores.Entry(key=key, value=value, version=version)

    async def delete(
        self, key: str, *, expect: int | None
    ) -> None | reasons.Failure:
        """Delete a key if its version is ``expect``."""
        body = await self._write(key, expect, writes=[], remove=[key])
        return body if isinstance(body, reasons.Failure) else None

    async def watch(
        self, prefix: str, *, after: int, timeout: float
    ) -> stores.Change | reasons.Failure:
        """Wait up to ``timeout`` seconds for a write below a prefix."""
        if store_eras.find_era(after) != self._eras.current:
            return self._fail_watch()
        body = await self._call(
            "GET",
            "kv-watch",
            params={
                "pathPrefix": prefix,
                "after": str(store_eras.find_revision(after)),
                "waitMs": str(int(timeout * 1000)),
            },
            timeout=timeout + min(WATCH_MARGIN_SECONDS, self._timeout),
        )
        if isinstance(body, reasons.Failure):
            return body
        if store_eras.find_era(after) != self._eras.current:
            return self._fail_watch()
        latest: dict[str, stores.Entry | None] = {}
        for event in body["events"]:
            removed = event.get("tombstone")
            latest[event["key"]] = None if removed else self._read_item(event)
        return stores.Change(
            revision=self._make_version(body["asOf"]),
            entries=tuple(
                entry for entry in latest.values() if entry is not None
            ),
            deleted=tuple(
                key for key, entry in latest.items() if entry is None
            ),
        )

    async def grant_lease(
        self, ttl: float
    ) -> stores.StoreLease | reasons.Failure:
        """Acquire a lease that expires after ``ttl`` seconds."""
        body = await self._call(
            "POST", "kv-lease", json={"ttlMs": int(ttl * 1000)}
        )
        if isinstance(body, reasons.Failure):
            return body
        return stores.StoreLease(
            lease_id=str(body["lease"]),
            ttl=body["ttlMs"] / 1000,
            era=self._eras.current,
        )

    async def keep_lease(self, lease_id: str) -> None | reasons.Failure:
        """Renew a lease for another ``ttl``."""
        body = await self._call("POST", f"kv-keep/{lease_id}")
        return body if isinstance(body, reasons.Failure) else None

    async def _write(self, key, expect, *, writes, remove):
        failure = stores.check_expected(
            self._eras, expect, "kv-txn", self._address
        )
        if failure is not None:
            return failure
        rows = []
        if expect is not None:
            revision = store_eras.find_revision(expect)
            rows.append({"key": key, "revision": revision})
        body = await self._call(
            "POST",
            "kv-txn",
            json={"precondition": rows, "writes": writes, "remove": remove},
        )
        failure = stores.check_written(
            self._eras, expect, body, "kv-txn", self._address
        )
        return body if failure is None else failure

    def _make_version(self, revision: int) -> int:
        return store_eras.make_version(self._eras.current, revision)

    def _fail_watch(self) -> reasons.Failure:
        return self._fail(
            reasons.Reason.STORE_HISTORY_GONE,
            "kv-watch",
            "the store was restored from a copy",
        )

    def _read_item(self, item: dict) -> stores.Entry:
        """Return an item's entry; undecodable bytes are replaced.

        The reader of such an entry finds it invalid and reports it.
        """
        try:
            value = base64.b64decode(item["value"])
        except (ValueError, TypeError) as error:
            loguru.logger.bind(step="store", peer=item["key"]).warning(
                f"value is not valid base64, treated as empty: {error}"
            )
            value = b""
        return stores.Entry(
            key=item["key"],
            value=value.decode(errors="replace"),
            version=self._make_version(item["revision"]),
        )

    async def _call(self, method: str, name: str, *, timeout=None, **kwargs):
        """Make one call; return its decoded body or a failure."""
        url = yarl.URL(f"http://{self._address}/buckthornhold/{name}")
        limit = aiohttp.ClientTimeout(total=timeout or self._timeout)
        try:
            async with self._session.request(
                method, url, timeout=limit, **kwargs
            ) as response:
                content = await response.read()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return self._fail(
                reasons.Reason.STORE_UNAVAILABLE, name, repr(error)
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            clients.drop_if_silent(self._session, self._address, error)
            return self._fail(
                reasons.Reason.STORE_UNAVAILABLE,
                name,
                repr(error),
                ran=reasons.Ran.UNKNOWN,
            )
        era = store_eras.parse_era(
            response.headers.get(http_headers.STORE_ERA)
        )
        # Errors may come from something in front of the store, without era.
        if (era is not None or response.status == 200) and (
            not self._eras.observe(era)
        ):
            return self._fail(
                reasons.Reason.STORE_UNAVAILABLE,
                name,
                f"response of era {era or 0}, which has ended",
                ran=reasons.Ran.UNKNOWN,
            )
        if response.status != 200:
            reason = STATUS_REASONS.get(
                response.status, reasons.Reason.STORE_UNAVAILABLE
            )
            return self._fail(reason, name, f"status {response.status}")
        try:
            return json.loads(content)
        except ValueError as error:
            return self._fail(
                reasons.Reason.STORE_UNAVAILABLE,
                name,
                repr(error),
                ran=reasons.Ran.UNKNOWN,
            )

    def _fail(self, reason, step, detail, *, ran=reasons.Ran.NO):
        return reasons.Failure(
            reason=reason,
            step=step,
            peer=self._address,
            ran=ran,
            detail=detail,
        )


def _encode(value: str) -> str:
    return base64.b64encode(value.encode()).decode()
