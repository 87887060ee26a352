"""Upstream clients: requests to upstreams on the platform's wire."""

import asyncio
import dataclasses
import http

import aiohttp
import loguru
import multidict
import yarl

from buckthornhold import backoffs
from buckthornhold import bodies
from buckthornhold import clients
from buckthornhold import event_splitters
from buckthornhold import memory_budgets
from buckthornhold import reasons
from buckthornhold import relay_messages
from buckthornhold import relay_upstreams
from buckthornhold import request_bodies
from buckthornhold import response_checks
from buckthornhold.platform import http_headers

#: An upstream that runs accepts a connection within milliseconds, so after a
#: second it is not running.
CONNECT_TIMEOUT_SECONDS = 1.0
#: How long an idle connection is kept. Upstreams close idle connections, too,
#: and a request that is sent at that moment may be lost.
KEEPALIVE_SECONDS = 4.0
#: Headers that aiohttp would add by default.
SKIPPED_DEFAULT_HEADERS = (
    "Accept",
    "Accept-Encoding",
    "User-Agent",
    "Content-Type",
)
#: Largest event of a stream.
MAX_EVENT_BYTES = 1 << 20
EVENT_ID_FIELD = b"id:"
EVENT_STREAM_TYPE = "text/event-stream"


def make_session() -> aiohttp.ClientSession:
    """Return a session that sends each request once and reads raw bodies."""
    return aiohttp.ClientSession(
        connector=clients.Connector(
            limit=0, keepalive_timeout=KEEPALIVE_SECONDS
        ),
        request_class=clients.Request,
        middlewares=(clients.forbid_repeats,),
        trace_configs=[clients.make_sent_trace()],
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=SKIPPED_DEFAULT_HEADERS,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
        ),
    )


class PlatformUpstreamResponse(relay_messages.UpstreamResponse):
    """An upstream's response; ``headers`` are those for the caller."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        *,
        peer: str,
        hold: memory_budgets.Hold,
        upload: aiohttp.UploadTracker,
    ) -> None:
        self._response = response
        self._peer = peer
        self._hold = hold
        self._event_body = bodies.Body(hold=hold, limit=MAX_EVENT_BYTES)
        self._end = response_checks.ResponseEnd(response, upload=upload)
        self._splitter = event_splitters.EventSplitter()
        self._complete = False
        self.headers = http_headers.filter_response_headers(response.headers)

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status

    @property
    def streamed(self) -> bool:
        """Whether the body is a stream of events."""
        return (
            self._response.status == 200
            and self._response.content_type == EVENT_STREAM_TYPE
        )

    async def read_body(self) -> bytes | reasons.Failure:
        """Return the whole body."""
        try:
            body = await bodies.read_body(
                self._response.content, hold=self._hold
            )
            self._end.check()
        except (aiohttp.ClientError, OSError) as error:
            return self._fail(repr(error))
        self._complete = True
        return body

    async def read_event(
        self,
    ) -> relay_messages.Event | None | reasons.Failure:
        """Return the next event, or None at the proper end of the stream."""
        while True:
            try:
                data = self._splitter.find_next()
                if data is not None:
                    return relay_messages.Event(
                        event_id=_parse_event_id(data), data=data
                    )
                chunk = await self._response.content.readany()
                held_bytes = self._splitter.held_bytes + len(chunk)
                self._event_body.resize(held_bytes)
                if chunk:
                    self._splitter.add(chunk)
                    continue
                self._end.check()
            except (aiohttp.ClientError, OSError) as error:
                return self._fail(repr(error))
            self._complete = True
            if self._splitter.held_bytes:
                return self._fail("the stream ended within an event")
            return None

    def close(self) -> None:
        """Release the connection, or close it if the body isn't read."""
        self._hold.release()
        if self._complete:
            self._response.release()
        else:
            self._response.close()

    def _fail(self, detail: str) -> reasons.Failure:
        return reasons.Failure(
            reason=reasons.Reason.UPSTREAM_BROKEN,
            step="read answer",
            peer=self._peer,
            ran=reasons.Ran.UNKNOWN,
            detail=detail[:200],
        )


class PlatformUpstreamClient(relay_messages.UpstreamClient):
    """Sends requests to upstreams."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        memory: memory_budgets.MemoryBudget,
    ) -> None:
        self._session = session
        self._memory = memory

    async def open(
        self,
        request: relay_messages.RelayRequest,
        upstream: relay_upstreams.RelayUpstream,
        *,
        seconds_left: float,
        resume_after: str,
    ) -> PlatformUpstreamResponse | reasons.Failure:
        """Send a request; return the response once its head has arrived."""
        message: http_headers.ForwardedRequest = request.message
        fields = self._make_headers(
            request, upstream, seconds_left, resume_after
        )
        url = yarl.URL(
            f"http://{upstream.record.address}{message.target}", encoded=True
        )
        upload = aiohttp.UploadTracker()
        try:
            response = await self._session.request(
                message.method,
                url,
                headers=fields,
                data=_make_body(message, request.body.data, fields),
                allow_redirects=False,
                trace_request_ctx=request.dispatch.mark_sent,
                upload_tracker=upload,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return _fail(
                reasons.Reason.UPSTREAM_UNREACHABLE,
                upstream,
                reasons.Ran.NO,
                repr(error),
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return _fail(
                reasons.Reason.UPSTREAM_BROKEN,
                upstream,
                reasons.Ran.UNKNOWN,
                repr(error),
            )
        return self._check_head(response, request, upstream, upload)

    def drop_idle(self, upstream) -> None:
        """Close the idle connections to an upstream."""
        self._session.connector.drop_idle(upstream.record.address)

    async def is_listening(self, upstream) -> bool:
        """Return whether a process accepts connections at the address.

        It counts as listening if that can't be decided.
        """
        ip, _, port = upstream.record.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(ip, int(port))
        except ConnectionError:
            return False
        except (TimeoutError, OSError) as error:
            loguru.logger.bind(step="examine", peer=upstream.name).debug(
                f"can't tell whether it is running: {error!r}"
            )
            return True
        writer.transport.abort()
        return True

    def _make_headers(self, request, upstream, seconds_left, resume_after):
        """Return the caller's headers and those that this system sets."""
        fields = multidict.CIMultiDict(request.message.headers)
        milliseconds = max(1, int(seconds_left * 1000))
        fields[http_headers.DEADLINE_MS] = str(milliseconds)
        fields[http_headers.EXPECTED_INSTANCE] = upstream.name
        if request.workspace is not None:
            fields[http_headers.WORKSPACE] = request.workspace.name
        if request.route.streamed:
            urgency = min(9, max(0, request.contract.priority))
            fields[http_headers.REQUEST_PRIORITY] = str(urgency)
        if resume_after:
            fields[http_headers.LAST_EVENT_ID] = resume_after
        return fields

    def _check_head(self, response, request, upstream, upload):
        """Return the response, or a failure if it isn't this request's."""
        upstream.record_announcement(_read_announcement(response, upstream))
        request_id = request.contract.request_id
        if response.headers.get(http_headers.REQUEST_ID) != request_id:
            # A refusal of another request says nothing about this one.
            response.close()
            return _fail(
                reasons.Reason.ANSWER_CROSSED,
                upstream,
                reasons.Ran.UNKNOWN,
                f"status {response.status} for another request's id",
            )
        if (
            http_headers.NOT_EXECUTED in response.headers
            or response.status == 421
        ):
            response.release()
            return _fail(
                reasons.Reason.UPSTREAM_REFUSED,
                upstream,
                reasons.Ran.NO,
                f"status {response.status}, not run",
            )
        return PlatformUpstreamResponse(
            response,
            peer=upstream.name,
            hold=self._memory.open_response(),
            upload=upload,
        )


def _make_body(message: http_headers.ForwardedRequest, body, fields):
    """Return the body to send; a long one is sent in parts."""
    if not message.has_body:
        return None
    if len(body) <= memory_budgets.SHORT_BYTES:
        return body
    fields["Content-Length"] = str(len(body))
    return request_bodies.list_parts(body)


def _fail(reason, upstream, ran, detail) -> reasons.Failure:
    return reasons.Failure(
        reason=reason,
        step="send",
        peer=upstream.name,
        ran=ran,
        detail=detail[:200],
    )


def _read_announcement(response, upstream) -> backoffs.Announcement:
    """Return what the head of an answer says of its upstream.

    Another process that answers at the same address speaks of itself.
    """
    if response.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return backoffs.Announcement()
    fields = response.headers
    announcement = backoffs.read_announcement(fields, http_headers.LEAVING)
    if response.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        retry_after = backoffs.parse_retry_after(
            fields.get(http_headers.RETRY_AFTER), peer=upstream.name
        )
        return dataclasses.replace(announcement, retry_after=retry_after)
    return announcement


def _parse_event_id(data: bytes) -> str:
    """Return the id of an event, empty if it has none.

    The lines aren't split: an event may have very many.
    """
    if data.startswith(EVENT_ID_FIELD):
        start = 0
    else:
        start = data.find(b"\n" + EVENT_ID_FIELD) + 1
        if not start:
            return ""
    start += len(EVENT_ID_FIELD)
    end = data.find(b"\n", start)
    return data[start:end].strip().decode(errors="replace")
