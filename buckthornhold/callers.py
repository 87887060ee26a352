"""The callers' HTTP listener."""

import asyncio

from aiohttp import web

from buckthornhold import calls
from buckthornhold import chats
from buckthornhold import connections
from buckthornhold import headers
from buckthornhold import logs
from buckthornhold import memory_budgets
from buckthornhold import reasons
from buckthornhold import request_bodies
from buckthornhold import signals
from buckthornhold import values

#: Reasons for refusals that the HTTP library itself finds, by status code.
HTTP_REASONS = {
    404: reasons.Reason.UNKNOWN_PATH,
    405: reasons.Reason.METHOD_NOT_ALLOWED,
    413: reasons.Reason.BODY_TOO_LARGE,
}
#: Key of a request's hold on the process's memory.
HOLD = "hold"
#: Parts of paths that go on to an upstream and must be plain names.
NAMES_IN_PATHS = ("service", "operation")


class CallerListener:
    """Answers callers on one address."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._chats = chats.ChatHandler(host=host, listener=self)
        self._calls = calls.CallHandler(host=host, listener=self)
        self._router = self._make_router()

    def make_server(self) -> connections.CallerServer:
        """Return the HTTP server."""
        return connections.CallerServer(
            self._answer, config=self._host.settings, refuse=self.refuse
        )

    def _make_router(self) -> web.UrlDispatcher:
        router = web.UrlDispatcher()
        router.add_get("/healthz", self._show_health)
        router.add_get("/readyz", self._show_readiness)
        router.add_post("/v1/chat/completions", self._chats.handle)
        router.add_get("/v1/chat/completions", self._chats.handle_return)
        router.add_get(
            "/v1/chat/completions/{request_id}", self._chats.handle_return
        )
        router.add_route(
            "*", "/services/{service}/{operation}", self._calls.handle
        )
        return router

    async def _answer(
        self, request: connections.CallerRequest
    ) -> web.StreamResponse:
        """Answer one request, whatever happens to it."""
        connection = request.protocol
        connection.answering = True
        hold = self._host.memory.open(
            workspace=request.headers.get(headers.WORKSPACE, "")
        )
        request[HOLD] = hold
        try:
            response = await self._route(request)
            hold.release()
            response = await request_bodies.send_long(
                request, response, self._host.memory
            )
        except asyncio.CancelledError:
            self._end_early(request, "connection closed")
            raise
        except ConnectionError as error:
            self._end_early(request, repr(error))
            raise
        except Exception as error:
            if request.writer.output_size > 0:
                raise
            response = self._refuse_after_error(request, error)
        finally:
            hold.release()
            connection.answering = False
        if self._host.admissions.draining and not response.prepared:
            response.force_close()
        return response

    async def _route(
        self, request: connections.CallerRequest
    ) -> web.StreamResponse:
        match = await self._router.resolve(request)
        if match.http_exception is not None:
            return self._refuse_path(request, match.http_exception)
        for key in NAMES_IN_PATHS:
            if key in match and not values.NAME.fullmatch(match[key]):
                return self._refuse_part(request, match[key])
        request.match_info = match
        if "Expect" in request.headers:
            refusal = self._check_early(request)
            if refusal is not None:
                return refusal
            await match.expect_handler(request)
        return await match.handler(request)

    def _check_early(self, request) -> web.Response | None:
        """Refuse before the body is sent, for callers that wait to send."""
        failure = self._check_request(request)
        if failure is None:
            return None
        response = self.refuse(headers.find_request_id(request), failure)
        response.force_close()
        return response

    def _refuse_path(self, request, error: web.HTTPException) -> web.Response:
        failure = reasons.Failure(
            reason=HTTP_REASONS.get(error.status, reasons.Reason.BAD_REQUEST),
            step="path",
            detail=f"{request.method} {request.path}"[:200],
        )
        return self.refuse(headers.find_request_id(request), failure)

    def _refuse_part(self, request, part: str) -> web.Response:
        failure = reasons.Failure(
            reason=reasons.Reason.BAD_REQUEST,
            step="path",
            detail=f"{part[:100]!r} is not a name",
        )
        return self.refuse(headers.find_request_id(request), failure)

    def _refuse_after_error(self, request, error: Exception) -> web.Response:
        request_id = headers.find_request_id(request)
        logger = self._host.logger.bind(request_id=request_id, step="answer")
        logger.opt(exception=error).error("unforeseen error")
        failure = reasons.Failure(
            reason=reasons.Reason.INTERNAL_ERROR,
            step="answer",
            ran=reasons.Ran.UNKNOWN,
            detail=type(error).__name__,
        )
        response = self.refuse(request_id, failure)
        response.force_close()
        return response

    def _end_early(self, request, detail: str) -> None:
        reason = reasons.Reason.CALLER_GONE
        if request.protocol is not None and request.protocol.stalled:
            reason = reasons.Reason.CALLER_TOO_SLOW
        failure = reasons.Failure(
            reason=reason,
            step="answer",
            peer=request.remote or "",
            ran=reasons.Ran.UNKNOWN,
            detail=detail,
        )
        self.finish(headers.find_request_id(request), failure)

    async def _show_health(self, request: web.BaseRequest) -> web.Response:
        return web.json_response({"host": self._host.settings.host})

    async def _show_readiness(self, request: web.BaseRequest) -> web.Response:
        ready = self._host.ready and not self._host.admissions.draining
        return web.json_response(
            {"ready": ready}, status=200 if ready else 503
        )

    async def accept(
        self, request, *, copies: int = 1
    ) -> bytes | reasons.Failure:
        """Check admission and read the whole body.

        It is kept in so many copies until the request was answered.

        Admission is checked again behind the body, since the host may have
        begun to drain meanwhile. From then on nothing may be awaited before
        the request is held.
        """
        await self._host.pauses.wait_until_fresh()
        failure = connections.check_connected(request)
        if failure is None:
            failure = self._check_request(request)
        if failure is not None:
            return failure
        arrived = request.content.is_eof()
        with self._host.admissions.track_body():
            body = await self._read_body(request, copies)
        if isinstance(body, reasons.Failure) or arrived:
            return body
        return self._check_request(request) or body

    def _check_request(self, request) -> reasons.Failure | None:
        size = request.content_length or 0
        if size > self._host.settings.body_limit:
            return self._describe_large_body()
        return self._host.admissions.check(ready=self._host.ready)

    def _describe_large_body(self) -> reasons.Failure:
        return reasons.Failure(
            reason=reasons.Reason.BODY_TOO_LARGE,
            step="read body",
            detail=f"the limit is {self._host.settings.body_limit} bytes",
        )

    async def _read_body(
        self, request, copies: int
    ) -> bytes | reasons.Failure:
        """Read a body; it counts as held until its request was answered."""
        config = self._host.settings
        hold = request[HOLD]
        body = await request_bodies.read_body(
            request,
            hold=hold,
            limit=config.body_limit,
            timeout=config.body_timeout,
            seconds_left=config.request_deadline,
        )
        if isinstance(body, reasons.Failure):
            return body
        if len(body) > memory_budgets.SHORT_BYTES:
            failure = await hold.reserve(
                copies * len(body), seconds_left=config.request_deadline
            )
            if failure is not None:
                return failure
        return bytes(body)

    def refuse(
        self, request_id: str, failure: reasons.Failure
    ) -> web.Response:
        """Give a request its final refusal."""
        self.finish(request_id, failure)
        body = self.describe(request_id, failure)
        fields = {
            headers.REQUEST_ID: request_id,
            headers.RAN: failure.ran.value,
        }
        if failure.retry_after is not None:
            fields["Retry-After"] = f"{max(1, round(failure.retry_after))}"
        if failure.reason is reasons.Reason.STREAM_MOVED:
            fields["Location"] = f"/v1/chat/completions/{request_id}"
        return web.json_response(
            body, status=reasons.find_status(failure.reason), headers=fields
        )

    def describe(self, request_id: str, failure: reasons.Failure) -> dict:
        """Return a failure as callers read it."""
        return {
            "error": {
                "reason": failure.reason.value,
                "ran": failure.ran.value,
                "request_id": request_id,
                "retry_after": failure.retry_after,
                "step": failure.step,
                "detail": failure.detail,
            }
        }

    def finish(self, request_id: str, failure: reasons.Failure | None) -> None:
        """Signal, count and log the end of a request."""
        signals.request_finished.send(
            self._host, request_id=request_id, failure=failure
        )
        if failure is None:
            return
        self._host.counters.count_refusal(failure.reason)
        logs.log_failure(self._host.logger, failure, request_id=request_id)
