"""Operators that race over HTTP, and the history of their changes."""

import asyncio
import collections
import itertools
import random
import time

import aiohttp

from buckthornhold import clients
from testbed import fleets
from testbed import machines

LINE = "limit workspace={} rate={}/s  # asked by: {}"
#: Workspaces that several operators change.
SHARED = 3
OWN_SHARE = 0.7
#: Wait between two changes of one operator, in seconds.
PAUSES = (0.2, 1.0)
CALL_SECONDS = 4.0
WATCH_INTERVAL = 0.2
LOOKUPS = 30
LOOKUP_INTERVAL = 0.5


class Operators:
    """Some operators that change rules through any entry host.

    ``events`` is the history: what was proposed and answered, what a look
    at the change's id said later, and which revision each incarnation of
    each host was seen with. Rules that several operators change stand for
    the race alone; only the outcome of an operator's own rules is recorded.
    """

    def __init__(self, *, fleet: fleets.Fleet, count: int, seed: int) -> None:
        self._fleet = fleet
        self._count = count
        self._seed = seed
        self._unknown: dict[str, str] = {}
        self._seen: dict[str, int] = {}
        self.events: list[dict] = []
        self.outcomes: collections.Counter[str] = collections.Counter()

    async def run(self, *, seconds: float) -> None:
        """Make changes for so many seconds."""
        until = time.monotonic() + seconds
        async with clients.make_session() as session:
            await asyncio.gather(
                *[
                    self._operate(session, number, until)
                    for number in range(self._count)
                ],
                *[
                    self._watch(session, entry, until)
                    for entry in self._fleet.entries
                ],
            )

    async def settle(self) -> None:
        """Ask what became of changes without a word, with no fault on."""
        async with clients.make_session() as session:
            for change, change_id in self._unknown.items():
                found = await self._look_up(session, change_id)
                self.events.append(
                    {"kind": "looked_up", "change": change, "found": found}
                )
            body = await self._call(session, self._fleet.entries[0], "/rules")
        self.events.append({"kind": "final", "text": body["text"]})

    async def _operate(self, session, number: int, until: float) -> None:
        draw = random.Random(f"operators {self._seed}/{number}")
        for turn in itertools.count():
            await asyncio.sleep(draw.uniform(*PAUSES))
            if time.monotonic() > until:
                return
            entry = draw.choice(self._fleet.entries)
            own = draw.random() < OWN_SHARE
            change = f"op-{number}-{turn}"
            workspace = change if own else f"shared-{draw.randrange(SHARED)}"
            line = LINE.format(workspace, 1000 + turn, f"op-{number}")
            await self._change(
                session, entry, change, workspace, line, own, draw
            )

    async def _change(
        self, session, entry, change, workspace, line, own, draw
    ) -> None:
        held = await self._call(session, entry, "/rules")
        if held is None or "text" not in held:
            return
        lines = [
            it
            for it in held["text"].splitlines()
            if f"workspace={workspace} " not in it
        ]
        change_id = f"{held['revision']}-{draw.getrandbits(64):016x}"
        if own:
            self.events.append(
                {"kind": "proposed", "change": change, "line": line}
            )
        body = await self._call(
            session,
            entry,
            "/rules",
            {
                "text": "\n".join([*lines, line]) + "\n",
                "base": held["revision"],
                "change_id": change_id,
            },
        )
        outcome = read_outcome(body)
        self.outcomes[outcome] += 1
        if not own:
            return
        self.events.append(
            {"kind": "answered", "change": change, "outcome": outcome}
        )
        if outcome == "unknown":
            self._unknown[change] = change_id

    async def _look_up(self, session, change_id: str) -> bool | None:
        """Return whether a change took effect, or None if nobody says."""
        entries = itertools.cycle(self._fleet.entries)
        for entry in itertools.islice(entries, LOOKUPS):
            body = await self._call(session, entry, f"/changes/{change_id}")
            if body is not None and "revision" in body:
                return True
            if body is not None and read_outcome(body) == "refused":
                return False
            await asyncio.sleep(LOOKUP_INTERVAL)
        return None

    async def _watch(self, session, entry, until: float) -> None:
        """Record the revisions that a host's incarnations are seen with."""
        while time.monotonic() < until:
            host = f"{entry.name}/{entry.incarnation}"
            body = await self._call(session, entry, "/rules")
            same = host == f"{entry.name}/{entry.incarnation}"
            if same and body is not None and "revision" in body:
                self._note_seen(host, body)
            await asyncio.sleep(WATCH_INTERVAL)

    def _note_seen(self, host: str, body: dict) -> None:
        number = body["revision"]
        if number == 0 or self._seen.get(host) == number:
            return
        self._seen[host] = number
        self.events.append(
            {
                "kind": "adopted",
                "host": host,
                "number": number,
                "change_id": body["change_id"],
            }
        )

    async def _call(
        self, session, entry: machines.EntryMachine, path: str, body=None
    ) -> dict | None:
        """Return the JSON of an answer, None when there was none."""
        try:
            async with session.request(
                "GET" if body is None else "PUT",
                f"http://{entry.operator_address}{path}",
                json=body,
                headers={"Authorization": f"Bearer {machines.TOKEN}"},
                timeout=aiohttp.ClientTimeout(total=CALL_SECONDS),
            ) as response:
                return await response.json()
        except (TimeoutError, aiohttp.ClientError, OSError):
            return None


def read_outcome(body: dict | None) -> str:
    """Return what the answer to a change says of it."""
    if body is None:
        return "unknown"
    if "error" not in body:
        return "accepted"
    return "refused" if body["error"]["ran"] == "no" else "unknown"
