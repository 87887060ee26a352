"""Proposals: the operators' calls that read and change the rules."""

import typing

from aiohttp import web
import pydantic

from buckthornhold import grammars
from buckthornhold import reasons
from buckthornhold import rules
from buckthornhold.coordination import revisions

HISTORY_COUNT = 20
MAX_HISTORY_COUNT = 200
#: As ``revisions.make_change_id`` makes it, or none.
CHANGE_ID = r"^([0-9]{1,9}-[0-9a-f]{16})?$"


class Proposal(pydantic.BaseModel, extra="forbid"):
    """An operator's new rules text over a base revision."""

    text: str
    base: int | None = None
    file: str = "rules"
    change_id: str = pydantic.Field(default="", pattern=CHANGE_ID)


class RulesHandler:
    """Answers the operators' calls below ``/rules`` and ``/changes``."""

    def __init__(self, *, host, listener) -> None:
        self._host = host
        self._listener = listener

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the handler's routes."""
        router.add_get("/rules", self._show_current)
        router.add_put("/rules", self._propose)
        router.add_get("/rules/where", self._show_where)
        router.add_get("/rules/history", self._list_history)
        router.add_get(r"/rules/revisions/{number:\d{1,9}}", self._show_one)
        router.add_get("/changes/{change_id}", self._find_change)

    async def _show_current(self, request: web.Request) -> web.Response:
        current = self._host.revisions.current
        return web.json_response(_describe(current, with_text=True))

    async def _propose(self, request: web.Request) -> web.Response:
        try:
            proposal = Proposal.model_validate_json(await request.read())
        except pydantic.ValidationError as error:
            failure = reasons.Failure(
                reason=reasons.Reason.BAD_REQUEST,
                step="read body",
                detail=str(error.errors()[0]["msg"]),
            )
            return self._listener.refuse(failure)
        parsed = grammars.parse_rules(proposal.text, name=proposal.file)
        if not isinstance(parsed, rules.RuleSet):
            return self._listener.refuse(grammars.make_failure(parsed))
        result = await self._host.changes.propose(
            proposal.text,
            who=request["operator"],
            base=proposal.base,
            change_id=proposal.change_id,
        )
        if isinstance(result, reasons.Failure):
            return self._listener.refuse(result)
        return web.json_response(
            {"revision": result.number, "change_id": result.change_id}
        )

    async def _show_where(self, request: web.Request) -> web.Response:
        """Tell which hosts have which revision in force."""
        reports = await self._host.reports.gather()
        hosts = [
            {
                "host": report.host,
                "zone": report.zone,
                "revision": report.revision,
                "reached": report.failure is None,
                "detail": report.failure.detail if report.failure else "",
            }
            for report in reports
        ]
        return web.json_response(
            {"asked": self._host.settings.host, "hosts": hosts}
        )

    async def _list_history(self, request: web.Request) -> web.Response:
        count = _read_count(request)
        with_text = request.query.get("text") == "1"
        found = await self._host.history.list_newest(count)
        if isinstance(found, reasons.Failure):
            return self._listener.refuse(found)
        return web.json_response(
            {"revisions": [_describe(it, with_text=with_text) for it in found]}
        )

    async def _show_one(self, request: web.Request) -> web.Response:
        number = int(request.match_info["number"])
        found = await self._host.history.fetch(number)
        if isinstance(found, reasons.Failure):
            return self._listener.refuse(found)
        if found is None:
            return self._refuse_unknown(f"no revision {number} in the store")
        return web.json_response(_describe(found, with_text=True))

    async def _find_change(self, request: web.Request) -> web.Response:
        change_id = request.match_info["change_id"]
        number = await self._host.changes.look_up(change_id)
        if isinstance(number, reasons.Failure):
            return self._listener.refuse(number)
        found = await self._host.history.fetch(number)
        if isinstance(found, revisions.Revision):
            return web.json_response(_describe(found, with_text=False))
        return web.json_response({"revision": number, "change_id": change_id})

    def _refuse_unknown(self, detail: str) -> web.Response:
        failure = reasons.Failure(
            reason=reasons.Reason.UNKNOWN_REVISION,
            step="history",
            detail=detail,
        )
        return self._listener.refuse(failure)


def _read_count(request: web.Request) -> int:
    text = request.query.get("count", "")
    if not text.isascii() or not text.isdigit():
        return HISTORY_COUNT
    return max(1, min(int(text), MAX_HISTORY_COUNT))


def _describe(
    revision: revisions.Revision, *, with_text: bool
) -> dict[str, typing.Any]:
    described = {
        "revision": revision.number,
        "change_id": revision.change_id,
        "who": revision.who,
        "time": revision.time,
    }
    if with_text:
        described["text"] = revision.text
    return described
