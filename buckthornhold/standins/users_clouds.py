"""Stand-in of the users' platform: the calls of the duties' holder."""

import dataclasses
import time

from aiohttp import web

from buckthornhold.standins import raw_answers


@dataclasses.dataclass(frozen=True, kw_only=True)
class CloudCall:
    """One call that the cloud got; ``at`` is on the monotonic clock."""

    at: float
    path: str
    holder: str
    fence: int
    body: dict
    status: int


class WireCloud:
    """Takes usage reports and orders, and checks their fences.

    There is nothing to be had in ``dry_zones``. ``lost_answers`` is how many
    of the next orders are taken and not answered. ``fences`` holds the
    highest token of each subject.
    """

    def __init__(self) -> None:
        self.usage: dict[int, dict[str, int]] = {}
        self.conflicts: list[int] = []
        self.orders: list[dict] = []
        self.calls: list[CloudCall] = []
        self.dry_zones: set[str] = set()
        self.lost_answers = 0
        self.fences: dict[str, int] = {}

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        body = await request.json()
        fence = int(request.headers["Fence-Token"])
        status = self._carry_out(request.path, body, fence)
        self.calls.append(
            CloudCall(
                at=time.monotonic(),
                path=request.path,
                holder=request.headers["Duty-Holder"],
                fence=fence,
                body=body,
                status=status,
            )
        )
        if self.lost_answers and request.path == "/scale":
            self.lost_answers -= 1
            raw_answers.reset(request.transport)
        return web.json_response({}, status=status)

    def _carry_out(self, path: str, body: dict, fence: int) -> int:
        """Carry out a call; return the status of its answer."""
        subject = path
        if "zone" in body:
            subject = f"{subject} {body['service']} {body['zone']}"
        if fence < self.fences.get(subject, 0):
            return 409
        self.fences[subject] = fence
        if path == "/usage":
            known = self.usage.setdefault(body["window"], body["counts"])
            if known != body["counts"]:
                self.conflicts.append(body["window"])
            return 200
        if body["zone"] in self.dry_zones:
            return 409
        self.orders.append(body)
        return 200
