"""Plain services: base class and HTTP client."""

import abc
from collections.abc import Callable
import dataclasses

import aiohttp
import yarl

from buckthornhold import backoffs
from buckthornhold import bodies
from buckthornhold import clients
from buckthornhold import memory_budgets
from buckthornhold import reasons
from buckthornhold import response_checks

NOT_RUN_HEADER = "X-Not-Run"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One call of a plain service's operation.

    ``query`` is as it stands in the caller's URL, percent-encoded.
    """

    request_id: str
    attempt: str
    operation: str
    method: str
    body: bytes
    content_type: str
    query: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """A plain service's whole answer.

    ``retry_after`` is its Retry-After header as it came.
    """

    status: int
    body: bytes
    content_type: str
    retry_after: str = ""


class PlainService(abc.ABC):
    """A plain service whose calls may or may not be repeated."""

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """The service's address, as ``IP:port``."""

    @abc.abstractmethod
    async def call(
        self,
        call: Call,
        *,
        timeout: float,
        mark_sent: Callable[[], None] | None = None,
    ) -> Answer | reasons.Failure:
        """Send a call once and return the whole answer.

        ``timeout`` is in seconds. ``mark_sent`` is called before the first
        byte is sent; what it raises keeps the call from being sent and is
        raised here. ``failure.ran`` is ``NO`` only if no byte reached the
        service or the service itself says that the call was not run.
        """


class HttpPlainService(PlainService):
    """Client of a plain service that is met over HTTP.

    The session must not repeat requests on its own; see ``clients``.
    ``announce`` is called with what the service says of itself.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        address: str,
        connect_timeout: float,
        memory: memory_budgets.MemoryBudget,
        announce: Callable[[backoffs.Announcement], None] = backoffs.ignore,
    ) -> None:
        self._announce = announce
        self._session = session
        self._address = address
        self._connect_timeout = connect_timeout
        self._memory = memory

    @property
    def address(self) -> str:
        """The service's address, as ``IP:port``."""
        return self._address

    async def call(
        self,
        call: Call,
        *,
        timeout: float,
        mark_sent: Callable[[], None] | None = None,
    ) -> Answer | reasons.Failure:
        """Send a call once and return the whole answer."""
        upload = aiohttp.UploadTracker()
        try:
            async with self._session.request(
                call.method,
                self._make_url(call),
                data=call.body,
                headers={
                    "X-Request-Id": call.request_id,
                    "X-Attempt": call.attempt,
                    "Content-Type": call.content_type,
                },
                allow_redirects=False,
                trace_request_ctx=mark_sent,
                upload_tracker=upload,
                timeout=aiohttp.ClientTimeout(
                    total=timeout, sock_connect=self._connect_timeout
                ),
            ) as response:
                end = response_checks.ResponseEnd(response, upload=upload)
                with self._memory.hold_response() as hold:
                    body = await bodies.read_body(response.content, hold=hold)
                end.check()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return self._fail(
                reasons.Reason.UPSTREAM_UNREACHABLE,
                repr(error),
                reasons.Ran.NO,
            )
        except TimeoutError as error:
            clients.drop_if_silent(self._session, self._address, error)
            return self._fail(
                reasons.Reason.UPSTREAM_TIMEOUT,
                repr(error),
                reasons.Ran.UNKNOWN,
            )
        except (aiohttp.ClientError, OSError) as error:
            return self._fail(
                reasons.Reason.UPSTREAM_BROKEN,
                repr(error),
                reasons.Ran.UNKNOWN,
            )
        if response.headers.get("X-Request-Id") != call.request_id:
            return self._fail(
                reasons.Reason.UPSTREAM_BROKEN,
                "answer belongs to another request",
                reasons.Ran.UNKNOWN,
            )
        self._announce(backoffs.read_announcement(response.headers))
        retry_after = response.headers.get("Retry-After", "")
        if response.headers.get(NOT_RUN_HEADER):
            failure = self._fail(
                reasons.Reason.UPSTREAM_REFUSED,
                "the service says it did not run the call",
                reasons.Ran.NO,
            )
            return failure.replace(
                retry_after=backoffs.parse_retry_after(retry_after)
            )
        return Answer(
            status=response.status,
            body=body,
            content_type=response.headers.get(
                "Content-Type", "application/octet-stream"
            ),
            retry_after=retry_after,
        )

    def _make_url(self, call: Call) -> yarl.URL:
        url = yarl.URL(f"http://{self._address}/call/{call.operation}")
        if not call.query:
            return url
        return yarl.URL(f"{url}?{call.query}", encoded=True)

    def _fail(
        self, reason: reasons.Reason, detail: str, ran: reasons.Ran
    ) -> reasons.Failure:
        return reasons.Failure(
            reason=reason,
            step="service",
            peer=self._address,
            ran=ran,
            detail=detail,
        )
