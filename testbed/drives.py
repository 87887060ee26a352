"""Drives: seeded traffic over all entry hosts, and what came of it."""

import asyncio
import dataclasses
import itertools
import random
import time

import aiohttp

from testbed import callers
from testbed import fleets
from testbed import machines

#: Scenarios share fleets, which know the ids of the drives before.
_DRIVE_NUMBERS = itertools.count()


@dataclasses.dataclass(kw_only=True)
class Drive:
    """Traffic of several workspaces; ``rate`` is in requests a second."""

    fleet: fleets.Fleet
    rate: float
    seed: int
    workspaces: tuple[str, ...] = ("booth", "marshals")
    max_tokens: int = 6
    entries: tuple[int, ...] = ()
    chats: list[callers.Chat] = dataclasses.field(default_factory=list)
    number: int = dataclasses.field(
        default_factory=lambda: next(_DRIVE_NUMBERS)
    )

    async def run(self, is_over, *, limit: float) -> None:
        """Send requests until ``is_over`` says so or the limit passes."""
        chosen = random.Random(self.seed)
        give_up_at = time.monotonic() + limit
        running = set()
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        ) as session:
            ending = asyncio.create_task(asyncio.to_thread(is_over))
            number = 0
            while time.monotonic() < give_up_at:
                if ending.done():
                    if ending.result():
                        break
                    ending = asyncio.create_task(asyncio.to_thread(is_over))
                task = asyncio.create_task(self._send(session, chosen, number))
                running.add(task)
                task.add_done_callback(running.discard)
                number += 1
                await asyncio.sleep(chosen.expovariate(self.rate))
            if running:
                await asyncio.wait(running)
            await ending

    async def _send(self, session, chosen, number) -> None:
        draw = f"{chosen.getrandbits(48):012x}"
        name = f"{self.seed}-{self.number}-{number}-{draw}"
        entries = self.fleet.entries
        if self.entries:
            entries = [entries[place] for place in self.entries]
        chat = callers.Chat(
            request_id=name, prompt=name, max_tokens=self.max_tokens
        )
        self.chats.append(chat)
        await callers.stream_chat(
            session,
            chosen.choice(entries).address,
            request_id=name,
            prompt=name,
            max_tokens=self.max_tokens,
            workspace=chosen.choice(self.workspaces),
            chat=chat,
        )


def list_engine_runs(fleet: fleets.Fleet) -> list[dict]:
    """Return what all running engines executed, in order of time."""
    runs = []
    for engine in fleet.engines:
        if not engine.running:
            continue
        for run in engine.get("/executions"):
            runs.append({**run, "engine": engine.name})
    return sorted(runs, key=lambda run: run["time"])


def wait_linked(fleet: fleets.Fleet) -> None:
    """Wait until the entry hosts reach each other."""
    for entry in fleet.entries:
        machines.wait_until(
            lambda entry=entry: count_reached(entry) == len(fleet.entries),
            what=f"{entry.name} reaches the other entry hosts",
        )


def count_reached(entry) -> int:
    """Return how many entry hosts one reaches, itself with them."""
    status = entry.operate("GET", "/status?fleet=1").json()
    return sum(host["reached"] for host in status["hosts"])


def read_status(entry) -> dict:
    """Return an entry host's status as operators read it."""
    return entry.operate("GET", "/status").json()
