"""Stand-in of a plain service that records every execution."""

import asyncio
import collections
import hashlib
import json
import time

from aiohttp import web
import pydantic

from buckthornhold.standins import servers


class ServiceFaults(pydantic.BaseModel, extra="forbid"):
    """Faults of a plain service.

    ``drop_before`` closes that many connections after reading the request
    without running it; ``drop_after`` runs the call and loses its answer;
    ``say_not_run`` refuses honestly, with ``retry_after`` seconds if set;
    ``padding`` is added to each answer, in bytes.
    """

    down: bool = False
    slow: float = 0.0
    drop_before: int = 0
    drop_after: int = 0
    say_not_run: int = 0
    crossed_answer: bool = False
    fail: int = 0
    padding: int = 0
    retry_after: int = 0


class PlainService(servers.StandIn):
    """A plain service on one address."""

    faults_model = ServiceFaults

    def __init__(self, *, address: str, options: dict | None = None) -> None:
        super().__init__(address=address)
        self._name = (options or {}).get("name", "service")
        self._executions: list[dict] = []
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def executions(self) -> list[dict]:
        """Every execution so far."""
        return self._executions

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the service's routes."""
        router.add_route("*", "/call/{operation}", self._call)
        router.add_get("/executions", self._show_executions)

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.read()
        request_id = request.headers.get("X-Request-Id", "")
        if self.faults.down or self.faults.say_not_run > 0:
            self.faults.say_not_run = max(0, self.faults.say_not_run - 1)
            fields = {"X-Not-Run": "1"}
            if self.faults.retry_after:
                fields["Retry-After"] = str(self.faults.retry_after)
            return self._answer(request_id, 503, {}, fields)
        if self.faults.drop_before > 0:
            self.faults.drop_before -= 1
            servers.drop_connection(request)
            return web.Response()
        self._record(request, body, request_id)
        if self.faults.slow:
            await asyncio.shield(asyncio.sleep(self.faults.slow))
        if self.faults.drop_after > 0:
            self.faults.drop_after -= 1
            servers.drop_connection(request)
            return web.Response()
        if self.faults.fail > 0:
            self.faults.fail -= 1
            return self._answer(request_id, 500, {"detail": "failed"})
        if self.faults.crossed_answer:
            request_id += "-other"
        digest = hashlib.blake2b(body, digest_size=8).hexdigest()
        return self._answer(
            request_id,
            200,
            {
                "service": self._name,
                "operation": request.match_info["operation"],
                "digest": digest,
                "run": self._counts[request_id],
                "padding": "." * self.faults.padding,
            },
        )

    def _record(
        self, request: web.Request, body: bytes, request_id: str
    ) -> None:
        self._counts[request_id] += 1
        self._executions.append(
            {
                "time": time.time(),
                "request_id": request_id,
                "attempt": request.headers.get("X-Attempt", ""),
                "method": request.method,
                "operation": request.match_info["operation"],
                "query": request.rel_url.raw_query_string,
                "bytes": len(body),
            }
        )

    def _answer(
        self,
        request_id: str,
        status: int,
        body: dict,
        headers: dict | None = None,
    ) -> web.Response:
        return web.json_response(
            body,
            status=status,
            headers={"X-Request-Id": request_id, **(headers or {})},
        )

    async def _show_executions(self, request: web.Request) -> web.Response:
        return web.json_response(self._executions)


def main() -> None:
    """Run a plain service's stand-in."""
    arguments = servers.parse_arguments("Stand-in of a plain service")
    service = PlainService(
        address=arguments.address, options=json.loads(arguments.options)
    )
    servers.run_program(service, faults=arguments.faults)


if __name__ == "__main__":
    main()
