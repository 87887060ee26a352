"""The platform's cloud API and weight store: base classes and clients."""

import abc
import dataclasses

import aiohttp

from buckthornhold import reasons

#: Answers by which a cloud says that it starts no host.
REFUSED_STATUSES = (409, 429)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Offer:
    """A host class that can be ordered; ``price`` is per hour.

    The price plays no part in an order, which is at the price of the time.
    """

    zone: str
    host_class: str
    reclaimable: bool
    price: float = 0.0


class Cloud(abc.ABC):
    """Orders and releases hosts."""

    @abc.abstractmethod
    async def list_offers(self) -> tuple[Offer, ...] | reasons.Failure:
        """Return what can be ordered, with current prices."""

    @abc.abstractmethod
    async def order_host(
        self, offer: Offer, *, order_id: str, fence: int
    ) -> str | reasons.Failure:
        """Order one host and return its name; idempotent by order id.

        A failure's ``ran`` is ``NO`` only if no host was or will be started
        for the order.
        """

    @abc.abstractmethod
    async def release_host(
        self, host: str, *, fence: int
    ) -> None | reasons.Failure:
        """Give a host back; one that is gone already is no failure."""


class WeightStore(abc.ABC):
    """Where engines take model weights from, at a limited rate."""

    @abc.abstractmethod
    async def estimate_load(
        self, model: str, version: str
    ) -> float | reasons.Failure:
        """Return the seconds until a load that starts now would be done."""


class _HttpClient:
    """Shared calling code of the HTTP clients."""

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

    async def _call(self, method: str, path: str, **kwargs):
        try:
            async with self._session.request(
                method,
                f"http://{self._address}{path}",
                timeout=self._timeout,
                **kwargs,
            ) as response:
                body = await response.json()
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            ValueError,
        ) as error:
            return self._fail(path, repr(error))
        if response.status in REFUSED_STATUSES:
            return self._fail(
                path,
                str(body),
                reason=reasons.Reason.UPSTREAM_REFUSED,
                ran=reasons.Ran.NO,
            )
        if response.status >= 400:
            return self._fail(path, str(body))
        return body

    def _fail(
        self,
        path: str,
        detail: str,
        *,
        reason: reasons.Reason = reasons.Reason.UPSTREAM_UNREACHABLE,
        ran: reasons.Ran = reasons.Ran.UNKNOWN,
    ) -> reasons.Failure:
        return reasons.Failure(
            reason=reason,
            step=f"cloud {path}",
            peer=self._address,
            ran=ran,
            detail=detail,
        )


class HttpCloud(_HttpClient, Cloud):
    """Client of a cloud API that is met over HTTP and JSON."""

    async def list_offers(self) -> tuple[Offer, ...] | reasons.Failure:
        """Return what can be ordered, with current prices."""
        body = await self._call("GET", "/cloud/offers")
        if isinstance(body, reasons.Failure):
            return body
        return tuple(Offer(**offer) for offer in body["offers"])

    async def order_host(
        self, offer: Offer, *, order_id: str, fence: int
    ) -> str | reasons.Failure:
        """Order one host and return its name; idempotent by order id."""
        body = await self._call(
            "PUT",
            f"/cloud/orders/{order_id}",
            json={**dataclasses.asdict(offer), "fence": fence},
        )
        return body if isinstance(body, reasons.Failure) else body["host"]

    async def release_host(
        self, host: str, *, fence: int
    ) -> None | reasons.Failure:
        """Give a host back."""
        body = await self._call(
            "DELETE", f"/cloud/hosts/{host}", params={"fence": str(fence)}
        )
        return body if isinstance(body, reasons.Failure) else None


class HttpWeightStore(_HttpClient, WeightStore):
    """Client of a weight store that is met over HTTP and JSON."""

    async def estimate_load(
        self, model: str, version: str
    ) -> float | reasons.Failure:
        """Return the seconds until a load that starts now would be done."""
        body = await self._call("GET", f"/weights/{model}/{version}")
        return body if isinstance(body, reasons.Failure) else body["seconds"]
