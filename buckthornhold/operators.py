"""The operators' HTTP listener, on a port of its own."""

import dataclasses
import hmac

from aiohttp import web

from buckthornhold import bootstraps
from buckthornhold import listings
from buckthornhold import logs
from buckthornhold import proposals
from buckthornhold import reasons
from buckthornhold import reports
from buckthornhold.coordination import changes

HTTP_REASONS = {
    404: reasons.Reason.UNKNOWN_PATH,
    405: reasons.Reason.METHOD_NOT_ALLOWED,
    413: reasons.Reason.BODY_TOO_LARGE,
}


class OperatorListener:
    """Answers operators on one address; every call needs a token."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._rules = proposals.RulesHandler(host=host, listener=self)

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            client_max_size=self._host.settings.body_limit,
            middlewares=[self._answer, self._authorize],
        )
        self._rules.add_routes(app.router)
        app.router.add_get("/status", self._show_status)
        app.router.add_get("/process", self._show_process)
        app.router.add_get("/requests/{request_id:.+}", self._explain)
        app.router.add_get("/counters", self._show_counters)
        app.router.add_get("/members", self._show_members)
        app.router.add_get("/capacity", self._show_capacity)
        app.router.add_get("/traffic", self._show_traffic)
        app.router.add_post("/drain", self._drain)
        return app

    @web.middleware
    async def _answer(self, request: web.Request, handler):
        """Turn what goes wrong into a refusal with a reason."""
        try:
            return await handler(request)
        except web.HTTPException as error:
            failure = reasons.Failure(
                reason=HTTP_REASONS.get(
                    error.status, reasons.Reason.BAD_REQUEST
                ),
                step="path",
                detail=f"{request.method} {request.path}"[:200],
            )
        except Exception as error:
            logger = self._host.logger.bind(step="operators")
            logger.opt(exception=error).error("unforeseen error")
            failure = reasons.Failure(
                reason=reasons.Reason.INTERNAL_ERROR,
                step="operators",
                ran=reasons.Ran.UNKNOWN,
                detail=type(error).__name__,
            )
        return self.refuse(failure)

    @web.middleware
    async def _authorize(self, request: web.Request, handler):
        token = request.headers.get("Authorization", "")
        token = token.removeprefix("Bearer ")
        given = token.encode(errors="surrogateescape")
        tokens = self._host.settings.operator_tokens
        for name, known in tokens.items():
            if hmac.compare_digest(given, known.encode()):
                request["operator"] = name
                return await handler(request)
        failure = reasons.Failure(
            reason=reasons.Reason.NOT_AUTHORIZED,
            step="operator token",
            peer=request.remote or "",
            detail="the token is not known",
        )
        return self.refuse(failure)

    def refuse(self, failure: reasons.Failure) -> web.Response:
        """Give an operator's call its refusal."""
        self._host.counters.count_refusal(failure.reason)
        logs.log_failure(self._host.logger, failure)
        error = {
            "reason": failure.reason.value,
            "step": failure.step,
            "peer": failure.peer,
            "detail": failure.detail,
            "ran": failure.ran.value,
        }
        if isinstance(failure, changes.ChangeFailure):
            error["change_id"] = failure.change_id
            error["conflicts"] = [
                dataclasses.asdict(it) for it in failure.conflicts
            ]
        return web.json_response(
            {"error": error},
            status=reasons.find_status(failure.reason),
        )

    async def _show_status(self, request: web.Request) -> web.Response:
        """Show this host, or with ``?fleet=1`` all that can be reached."""
        upstreams = reports.describe_upstreams(self._host)
        versions = reports.describe_versions(self._host)
        if request.query.get("fleet") != "1":
            own = reports.describe_host(self._host)
            return web.json_response(
                {**own, "upstreams": upstreams, **versions}
            )
        found = await self._host.reports.gather(brief=False)
        reports.merge_upstreams(upstreams, found)
        return web.json_response(
            {
                "asked": self._host.settings.host,
                "complete": all(report.failure is None for report in found),
                "hosts": [_describe_report(report) for report in found],
                "upstreams": upstreams,
                **versions,
            }
        )

    async def _show_process(self, request: web.Request) -> web.Response:
        return web.json_response(reports.describe_process(self._host))

    async def _explain(self, request: web.Request) -> web.Response:
        """Show what this host, or else the fleet, knows of a request."""
        request_id = request.match_info["request_id"]
        own = self._host.recents.describe(request_id)
        if own is not None and request.query.get("fleet") != "1":
            return web.json_response(own)
        found = await self._host.reports.gather(request_id=request_id)
        known = [report.request for report in found if report.request]
        unreached = [it.host for it in found if it.failure is not None]
        if not known:
            failure = reasons.Failure(
                reason=reasons.Reason.UNKNOWN_REQUEST,
                step="explain",
                detail=_describe_unknown(request_id, unreached),
            )
            return self.refuse(failure)
        if request.query.get("fleet") != "1":
            return web.json_response(known[0])
        return web.json_response({"seen": known, "unreached": unreached})

    async def _show_counters(self, request: web.Request) -> web.Response:
        return web.json_response(self._host.counters.totals)

    async def _show_members(self, request: web.Request) -> web.Response:
        table = self._host.members
        known = [*table.list_all(), *table.list_gone()]
        return web.json_response(
            {
                "own": _show_member(table.own),
                "superseded": table.superseded,
                "watches": [
                    topic
                    for topic in (bootstraps.RULES_TOPIC, listings.TOPIC)
                    if self._host.broadcasts.is_watcher(topic)
                ],
                "open_links": sum(
                    link.is_open for link in self._host.links.list_all()
                ),
                "members": [_show_member(member) for member in known],
            }
        )

    async def _show_traffic(self, request: web.Request) -> web.Response:
        return web.json_response(self._host.traffic.totals)

    async def _show_capacity(self, request: web.Request) -> web.Response:
        return web.json_response(await self._host.provisioner.describe())

    async def _drain(self, request: web.Request) -> web.Response:
        self._host.start_draining()
        return web.json_response({})


def _describe_report(report: reports.HostReport) -> dict:
    if report.failure is None:
        return {"reached": True, **report.status}
    return {
        "reached": False,
        "host": report.host,
        "zone": report.zone,
        "detail": report.failure.detail,
    }


def _describe_unknown(request_id: str, unreached: list[str]) -> str:
    detail = f"no host that was asked remembers request {request_id}"
    if unreached:
        detail += f"; not reached: {', '.join(unreached)}"
    return detail


def _show_member(member) -> dict:
    return {
        "host": member.host,
        "zone": member.zone,
        "address": member.address,
        "incarnation": member.incarnation,
        "sequence": member.sequence,
        "state": member.state.name.lower(),
        "doubt": member.doubt.name.lower(),
    }
