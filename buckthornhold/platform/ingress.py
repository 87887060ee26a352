"""Ingress: HTTP server for callers' requests on the platform's wire."""

import http
import time

from aiohttp import web

from buckthornhold import connections
from buckthornhold import logs
from buckthornhold import reasons
from buckthornhold import relay_messages
from buckthornhold import relay_requests
from buckthornhold import request_bodies
from buckthornhold import request_contracts
from buckthornhold import routes
from buckthornhold.platform import http_headers

READY_PATH = "/buckthornhold/readiness"
KEY_SCHEME = "token "
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerResponder(relay_messages.Responder):
    """Sends an upstream's response to a caller unchanged.

    ``close_connection`` tells whether the connection is closed after it.
    """

    def __init__(
        self, request: web.BaseRequest, *, close_connection: bool
    ) -> None:
        self._request = request
        self._close_connection = close_connection
        self.response: web.StreamResponse | None = None

    async def send_response(self, response, body: bytes) -> None:
        """Keep a complete response for the server to send."""
        self.response = web.Response(
            status=response.status, headers=response.headers, body=body
        )

    async def start(self, response) -> None:
        """Send the head of a streamed response."""
        self.response = web.StreamResponse(
            status=response.status, headers=response.headers
        )
        if self._close_connection:
            self.response.force_close()
        await self.response.prepare(self._request)

    async def send(self, data: bytes) -> None:
        """Send a part of a stream's body."""
        await self.response.write(data)

    async def finish(self) -> None:
        """End a stream as complete."""
        await self.response.write_eof()

    def break_off(self) -> None:
        """Reset the connection, so that the response is seen as incomplete."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()


class Ingress:
    """Parses callers' requests, relays them and responds."""

    def __init__(self, *, host) -> None:
        self._host = host

    def make_server(self) -> connections.CallerServer:
        """Return the HTTP server."""
        return connections.CallerServer(
            self._handle,
            config=self._host.settings,
            refuse=self._refuse_unparsed,
            find_keepalive=self._read_keepalive,
        )

    def _read_keepalive(self) -> float:
        current = self._host.configurations.current
        limits = current.limits if current else routes.CallerLimits()
        return limits.idle_timeout

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        received_at = time.monotonic()
        request.protocol.answering = True
        with self._host.admissions.track_request():
            try:
                response = await self._relay(request, received_at)
                return await request_bodies.send_long(
                    request, response, self._host.memory
                )
            finally:
                if request.protocol is not None:
                    request.protocol.answering = False

    async def _relay(self, request, received_at) -> web.StreamResponse:
        relay_request = await self._read(request, received_at)
        if isinstance(relay_request, reasons.Failure):
            response = self._refuse(request, relay_request, None)
            if self._host.stopping:
                response.force_close()
            return response
        responder = CallerResponder(
            request, close_connection=self._host.stopping
        )
        outcome = await self._host.relay_handler.run(relay_request, responder)
        if outcome is None:
            response = responder.response
        elif responder.response is not None:
            responder.break_off()
            raise ConnectionAbortedError(outcome.detail)
        else:
            response = self._refuse(request, outcome, relay_request)
        if self._host.stopping and not response.prepared:
            response.force_close()
        return response

    async def _read(
        self, request, received_at
    ) -> relay_messages.RelayRequest | reasons.Failure:
        """Parse a request, match its route and admit it."""
        target = request.raw_path
        match = self._host.relay_handler.find_route(
            request.headers.get("Host", "").partition(":")[0],
            target.partition("?")[0],
            _read_key(request),
        )
        if isinstance(match, reasons.Failure):
            return match
        request_id = request.headers.get(http_headers.REQUEST_ID, "")
        if not request_id:
            return _fail(
                reasons.Reason.BAD_REQUEST,
                f"no {http_headers.REQUEST_ID} header",
            )
        deadline = _read_number(request.headers.get(http_headers.DEADLINE_MS))
        counts = _read_token_counts(
            request.headers.get(http_headers.TOKEN_COUNTS)
        )
        parts = _read_prefix(request.headers.get(http_headers.PROMPT_PREFIX))
        for value in (deadline, counts, parts):
            if isinstance(value, reasons.Failure):
                return value
        hold = self._host.memory.open(
            workspace=match.workspace.name if match.workspace else ""
        )
        admitted: relay_messages.RelayRequest | reasons.Failure | None = None
        try:
            body = await self._read_body(request, hold, match, deadline)
            if isinstance(body, reasons.Failure):
                return body
            departed = connections.check_connected(request)
            if departed is not None:
                return departed
            admitted = self._admit(
                request, match, received_at, (deadline, counts, parts), body
            )
            return admitted
        finally:
            if not isinstance(admitted, relay_messages.RelayRequest):
                hold.release()

    def _admit(
        self, request, match, received_at, values, body
    ) -> relay_messages.RelayRequest | reasons.Failure:
        """Admit a request that was read and whose headers are valid."""
        deadline, counts, parts = values
        target = request.raw_path
        return self._host.relay_handler.admit_request(
            match,
            relay_requests.RequestParameters(
                request_id=request.headers[http_headers.REQUEST_ID],
                received_at=received_at,
                timeout_seconds=deadline / 1000
                if deadline is not None
                else None,
                prompt_tokens=counts[0] if counts else None,
                output_tokens=counts[1] if counts else 0,
                prompt_parts=parts or (),
                resume_after=request.headers.get(
                    http_headers.LAST_EVENT_ID, ""
                ),
                content_parts=(
                    request.method.encode(),
                    target.encode(),
                    body.data,
                ),
            ),
            http_headers.ForwardedRequest(
                method=request.method,
                target=target,
                headers=http_headers.filter_request_headers(request.headers),
                has_body=request.body_exists,
            ),
            body,
        )

    async def _read_body(
        self, request, hold, match, deadline
    ) -> request_bodies.RequestBody | reasons.Failure:
        limit = self._host.configurations.current.limits.body_bytes
        if "Expect" in request.headers and (
            (request.content_length or 0) <= limit
        ):
            request.transport.write(CONTINUE_RESPONSE)
        seconds_left = match.route.timeout
        if deadline is not None:
            seconds_left = min(seconds_left, deadline / 1000)
        data = await request_bodies.read_body(
            request,
            hold=hold,
            limit=limit,
            timeout=self._host.settings.body_timeout,
            seconds_left=seconds_left,
        )
        if isinstance(data, reasons.Failure):
            return data
        return request_bodies.RequestBody(data=data, hold=hold)

    def _refuse(
        self,
        request,
        failure: reasons.Failure,
        relay_request: relay_messages.RelayRequest | None,
    ) -> web.Response:
        """Return this system's own response for a failed request."""
        request_id = request.headers.get(http_headers.REQUEST_ID, "")
        if relay_request is None:
            self._host.counters.count_refusal(failure.reason)
            logs.log_failure(self._host.logger, failure, request_id=request_id)
        status = relay_requests.choose_status(failure)
        fields = {http_headers.REQUEST_ID: request_id} if request_id else {}
        if (
            failure.retry_after
            and status in relay_messages.NOT_EXECUTED_STATUSES
        ):
            fields["Retry-After"] = f"{failure.retry_after:.2f}"
        return web.json_response(
            {"error": failure.reason.value, "detail": failure.detail},
            status=status,
            headers=fields,
        )

    def _refuse_unparsed(
        self, request_id: str, failure: reasons.Failure
    ) -> web.Response:
        """Return the response to input that is not a valid HTTP request."""
        self._host.counters.count_refusal(failure.reason)
        logs.log_failure(self._host.logger, failure, request_id=request_id)
        return web.json_response(
            {"error": failure.reason.value, "detail": failure.detail},
            status=reasons.find_status(failure.reason),
        )


def make_ready_server(host) -> web.Server:
    """Return the HTTP server for the load balancer's readiness checks."""

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path != READY_PATH:
            return web.Response(status=http.HTTPStatus.NOT_FOUND)
        ready = host.ready and not host.stopping
        return web.Response(status=200 if ready else 503)

    return web.Server(handle, access_log=None)


def _read_key(request) -> str | None:
    """Return the caller's API key, or None without one."""
    value = request.headers.get("Authorization", "")
    if not value.lower().startswith(KEY_SCHEME):
        return None
    return value[len(KEY_SCHEME) :].strip()


def _read_number(text: str | None) -> float | None | reasons.Failure:
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number < 1e9:
        return _fail(
            reasons.Reason.BAD_REQUEST, f"{text[:40]!r} is not a time"
        )
    return number


def _read_token_counts(text: str | None):
    """Return the number of prompt tokens and the maximum of output tokens."""
    if text is None:
        return None
    try:
        prompt, output = (int(count) for count in text.split(","))
    except ValueError:
        return _fail(
            reasons.Reason.BAD_REQUEST, f"{text[:40]!r} are not token counts"
        )
    return prompt, output


def _read_prefix(text: str | None):
    """Return the prompt's parts in order, each with its id and tokens."""
    if not text:
        return None
    parts = []
    for entry in text.split(","):
        name, _, tokens = entry.strip().partition(":")
        if not name or not tokens.isdecimal():
            return _fail(
                reasons.Reason.BAD_REQUEST,
                f"{entry[:40]!r} is not a part of a prompt",
            )
        parts.append(
            request_contracts.PromptPart(name=name, tokens=int(tokens))
        )
    return tuple(parts)


def _fail(reason: reasons.Reason, detail: str) -> reasons.Failure:
    return reasons.Failure(reason=reason, step="read request", detail=detail)
