"""Soak callers: they keep connections and note what they are told."""

import asyncio
import contextlib
import itertools
import random
import time

import aiohttp
import yarl

from buckthornhold import clients
from buckthornhold.standins import users_platforms
from testbed import soak_histories

#: Kinds of requests with their methods, and how often each is drawn.
KINDS = (
    ("pay", "POST", 4),
    ("look", "GET", 3),
    ("chat", "POST", 2),
    ("ask", "POST", 2),
)
DEADLINE_SECONDS = 1.5
#: Part of the callers that leave, and after how long, in seconds.
LEAVING_SHARE = 0.15
PATIENCE = (0.005, 0.2)
#: Time between a caller's requests, in seconds.
PAUSE = (0.01, 0.12)
#: A caller that gets no word for so long hangs up, in seconds: well past
#: the time that its request has, so that late answers are seen as such.
HANG_SECONDS = 8.0


class Caller:
    """Sends one request after the other on one kept connection."""

    ids = itertools.count(1)

    def __init__(
        self,
        *,
        history: soak_histories.History,
        host: str,
        address: str,
        keys: list[str],
        rng: random.Random,
    ) -> None:
        self._history = history
        self._host = host
        self._address = address
        self._keys = keys
        self._rng = rng

    async def run(self) -> None:
        """Send until cancelled."""
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1),
            middlewares=(clients.forbid_repeats,),
        )
        async with session:
            while True:
                await self._send(session)
                await asyncio.sleep(self._rng.uniform(*PAUSE))

    async def _send(self, session: aiohttp.ClientSession) -> None:
        weights = [weight for *_, weight in KINDS]
        kind, method, _ = self._rng.choices(KINDS, weights)[0]
        request_id = f"s-{next(self.ids)}"
        request = soak_histories.Request(
            request_id=request_id,
            kind=kind,
            host=self._host,
            method=method,
            path=f"/{kind}/{request_id}?a=%2F",
            body="" if method == "GET" else f"body of {request_id}",
            key=self._rng.choices(self._keys, (9, 1))[0],
            sent_at=time.monotonic(),
            gave_up=True,
        )
        self._history.requests[request_id] = request
        leaves = self._rng.random() < LEAVING_SHARE
        patience = self._rng.uniform(*PATIENCE) if leaves else HANG_SECONDS
        try:
            async with asyncio.timeout(patience):
                await self._exchange(session, request)
            request.gave_up = False
        except TimeoutError:
            request.hung = not leaves
        except (aiohttp.ClientError, OSError):
            # The connection broke: that is what the request's fields say.
            request.gave_up = False
        request.told_at = time.monotonic()

    async def _exchange(self, session, request) -> None:
        async with session.request(
            request.method,
            yarl.URL(f"http://{self._address}{request.path}", encoded=True),
            data=request.body or None,
            headers={
                "Host": "shop.example",
                "Attempt-Id": request.request_id,
                "Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
                "Authorization": f"Token {request.key}",
            },
        ) as response:
            request.status = response.status
            request.seal = response.headers.get(users_platforms.SEAL, "")
            if request.streamed and request.seal:
                async for line in response.content:
                    if line.startswith(b"id:"):
                        request.event_ids.append(int(line[3:]))
            else:
                request.answer = (await response.read()).decode()
            request.whole = True


class Crowd:
    """Some callers at each host, until the end of the block."""

    def __init__(self, *, fleet, seed: int, each: int) -> None:
        self._fleet = fleet
        self._seed = seed
        self._each = each
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Crowd":
        hosts = zip(
            self._fleet.processes, self._fleet.caller_links, strict=True
        )
        for process, link in hosts:
            for number in range(self._each):
                caller = Caller(
                    history=self._fleet.history,
                    host=process.name,
                    address=link.address,
                    keys=list(self._fleet.keys),
                    rng=random.Random(f"{self._seed} {process.name} {number}"),
                )
                self._tasks.append(asyncio.create_task(caller.run()))
        return self

    async def __aexit__(self, *exc_info) -> None:
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
