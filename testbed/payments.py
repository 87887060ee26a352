"""Callers that make payments, repeat them and record what they are told."""

import asyncio
import contextlib
import hashlib
import itertools
import json
import random
import time

import aiohttp

from testbed import callers

#: Sendings of one request before its last ones, which wait for all faults.
MOST_SENDINGS = 6
LAST_SENDINGS = 40
#: Callers wait as told, but no longer than this, in seconds.
LONGEST_WAIT = 0.4
SHORTEST_WAIT = 0.05
PATIENCE = (0.1, 1.0, 3.0)
SHARE_DOUBLED = 0.1
SHARE_CONTENT = 0.3


class Payers:
    """Makes many payments through any of some entry hosts.

    Each caller loses patience after a time of its own, sends the id again
    through another host, in part before the first sending has ended, and may
    leave it at the word that it was not run. ``events`` is the history.
    """

    def __init__(self, *, addresses: list[str], seed: int) -> None:
        self._addresses = addresses
        self._rng = random.Random(f"payers {seed}")
        self._seed = seed
        self._numbers = itertools.count()
        self._open: list[str] = []
        self._sent: set[str] = set()
        self.events: list[dict] = []

    async def run(self, *, requests: int, seconds: float) -> None:
        """Make payments, spread evenly over ``seconds``."""
        async with self._open_session() as session:
            running = []
            for number in range(requests):
                request_id = f"pay-{self._seed}-{number}"
                running.append(
                    asyncio.create_task(self._pay(session, request_id))
                )
                await asyncio.sleep(seconds / requests)
            await asyncio.gather(*running)

    async def settle(self, *, at_once: int = 50) -> None:
        """Send what has no final word again, after all faults are over."""
        limit = asyncio.Semaphore(at_once)

        async def settle_one(session, request_id):
            async with limit:
                for _ in range(LAST_SENDINGS):
                    word = await self._send(session, request_id, 3.0)
                    if is_final(word):
                        return
                    await asyncio.sleep(LONGEST_WAIT)

        async with self._open_session() as session:
            await asyncio.gather(
                *[settle_one(session, it) for it in self._open]
            )

    @contextlib.asynccontextmanager
    async def _open_session(self):
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            yield session

    async def _pay(self, session, request_id: str) -> None:
        if self._rng.random() < SHARE_DOUBLED:
            words = await asyncio.gather(
                self._send(session, request_id, 3.0),
                self._send(session, request_id, 3.0),
            )
            if any(is_final(word) for word in words):
                return
        for _ in range(MOST_SENDINGS):
            patience = self._rng.choice(PATIENCE)
            word = await self._send(session, request_id, patience)
            if is_final(word):
                return
            if word.ran == "no" and self._rng.random() < SHARE_CONTENT:
                return
            wait = min(float(word.retry_after or 0), LONGEST_WAIT)
            await asyncio.sleep(max(wait, SHORTEST_WAIT))
        self._open.append(request_id)

    async def _send(
        self, session, request_id: str, patience: float
    ) -> callers.CallResult:
        name = next(self._numbers)
        repeated = request_id in self._sent
        self._sent.add(request_id)
        common = {"sending": name, "request_id": request_id}
        self.events.append(
            {
                "kind": "sent",
                "time": time.time(),
                "repeated": repeated,
                **common,
            }
        )
        word = await callers.call_service(
            session,
            self._rng.choice(self._addresses),
            "pay",
            request_id=request_id,
            body={"runner": request_id},
            headers={"X-Request-Attempt": "2" if repeated else "1"},
            timeout=patience,
        )
        self.events.append(
            {
                "kind": "told",
                "time": time.time(),
                "status": word.status,
                "ran": word.ran,
                "reason": word.reason,
                "answer": digest_answer(word),
                **common,
            }
        )
        return word


def is_final(word: callers.CallResult) -> bool:
    """Tell whether nothing more will come of sending the id again."""
    if not word.status:
        return False
    if not word.reason:
        return True
    return word.reason in ("outcome_unknown", "answer_not_kept")


def digest_answer(word: callers.CallResult) -> str:
    """Return what tells one answer apart from another, '' for none."""
    if not word.status or word.reason:
        return ""
    text = json.dumps([word.status, word.content_type, word.body])
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def list_executions(executions: list[dict]) -> list[dict]:
    """Return services' executions as events of a history."""
    return [
        {
            "kind": "executed",
            "time": execution["time"],
            "request_id": execution["request_id"],
            "attempt": execution["attempt"],
        }
        for execution in executions
    ]


def list_writes(writes: list[dict]) -> list[dict]:
    """Return the store's writes as events of a history."""
    return [
        {"kind": "written", "time": write["time"], "key": write["key"]}
        for write in writes
    ]
