"""Fenced clients: platform calls that only the duty's holder may make."""

import aiohttp

from buckthornhold import reasons
from buckthornhold import usages
from buckthornhold.platform import http_headers

#: No request waits for such a call, and it is retried.
TIMEOUT_SECONDS = 3.0
ORDER_CALL = "scale"


class PlatformFencedClient(usages.FencedClient):
    """Client of the platform's usage and scaling calls."""

    def __init__(
        self, *, session: aiohttp.ClientSession, address: str, holder: str
    ) -> None:
        self._session = session
        self._address = address
        self._holder = holder

    async def report_usage(
        self, window: int, counts: dict[str, int], *, fence: int
    ) -> None | reasons.Failure:
        """Report the requests of a window by workspace."""
        return await self._call(
            "usage", {"window": window, "counts": counts}, fence
        )

    async def order_upstreams(
        self,
        service: str,
        zone: str,
        count: int,
        *,
        reclaimable: bool,
        fence: int,
    ) -> None | reasons.Failure:
        """Order a number of upstreams of a service in a zone."""
        body = {"service": service, "zone": zone, "desired": count}
        if reclaimable:
            body["spot"] = True
        return await self._call(ORDER_CALL, body, fence)

    async def _call(
        self, name: str, body: dict, fence: int
    ) -> None | reasons.Failure:
        try:
            async with self._session.post(
                f"http://{self._address}/{name}",
                json=body,
                headers={
                    http_headers.DUTY_HOLDER: self._holder,
                    http_headers.FENCE_TOKEN: str(fence),
                },
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_SECONDS),
            ) as response:
                text = await response.text()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return self._fail(
                reasons.Reason.STORE_UNAVAILABLE,
                name,
                repr(error),
                ran=reasons.Ran.UNKNOWN,
            )
        if response.status == 200:
            return None
        detail = f"status {response.status}: {text[:200]}"
        if response.status != 409:
            return self._fail(reasons.Reason.STORE_UNAVAILABLE, name, detail)
        # The platform answers 409 to an old fencing token, and to an order
        # also if it has no capacity.
        reason = reasons.Reason.FENCE_OLD
        if name == ORDER_CALL:
            reason = reasons.Reason.ORDER_REFUSED
        return self._fail(reason, name, detail)

    def _fail(self, reason, step, detail, *, ran=reasons.Ran.NO):
        return reasons.Failure(
            reason=reason,
            step=step,
            peer=self._address,
            ran=ran,
            detail=detail,
        )
