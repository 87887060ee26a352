"""Poison requests against a fleet: upstreams lost and innocents refused.

Each run starts a fleet of processes, lets innocent streams run over all
entry hosts, sends poison through one of them and then again, under new ids,
through each. All that is printed is read from callers and processes.
"""

import argparse
import asyncio
import json
import random
import time

import aiohttp

from testbed import callers
from testbed import drives
from testbed import fleets

POISON = "the poison text"
STEP_SECONDS = 0.02


class Run:
    """One fleet, with so many different poison requests at once."""

    def __init__(self, *, seed: int, innocents: int, poisons: int) -> None:
        self._random = random.Random(seed)
        self._innocents = innocents
        self._poisons = [self._make_prompt(POISON) for _ in range(poisons)]
        self._fleet = fleets.Fleet(
            engines_per_zone=3,
            services_per_zone=0,
            engine_options={"step_base": STEP_SECONDS},
        )

    def run(self) -> dict:
        """Return what came of the run."""
        try:
            self._fleet.start()
            drives.wait_linked(self._fleet)
            for engine in self._fleet.engines:
                engine.set_faults(poison=POISON)
            return asyncio.run(self._measure())
        finally:
            self._fleet.stop()

    async def _measure(self) -> dict:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            chats = [
                callers.Chat(
                    request_id=f"innocent-{number}",
                    prompt=self._make_prompt("innocent"),
                    max_tokens=150,
                )
                for number in range(self._innocents)
            ]
            running = [
                asyncio.create_task(self._send(session, chat))
                for chat in chats
            ]
            while not all(chat.tokens for chat in chats):
                await asyncio.sleep(STEP_SECONDS)
            began = time.monotonic()
            first = await self._send_poisons(session, "first")
            seconds = time.monotonic() - began
            again = await self._send_poisons(session, "again")
            await asyncio.gather(*running)
        lost = sum(not engine.running for engine in self._fleet.engines)
        return {
            "poison_refused": _count_refused(first),
            "poison_seconds_to_refusal": round(seconds, 2),
            "repeats_refused": _count_refused(again),
            "upstreams_lost": lost,
            "innocents_whole": sum(chat.whole for chat in chats),
            "innocents_refused": _count_refused(chats),
            "innocents_longest_gap": round(max(map(_find_gap, chats)), 2),
        }

    async def _send_poisons(self, session, name) -> list[callers.Chat]:
        chats = [
            callers.Chat(
                request_id=f"poison-{name}-{number}",
                prompt=prompt,
                max_tokens=16,
            )
            for number, prompt in enumerate(self._poisons)
        ]
        await asyncio.gather(*[self._send(session, it) for it in chats])
        return chats

    async def _send(self, session, chat: callers.Chat) -> None:
        await callers.stream_chat(
            session,
            self._random.choice(self._fleet.entries).address,
            request_id=chat.request_id,
            prompt=chat.prompt,
            max_tokens=chat.max_tokens,
            chat=chat,
        )

    def _make_prompt(self, text: str) -> str:
        return f"{text} {self._random.getrandbits(64):016x}"


def _count_refused(chats: list[callers.Chat]) -> int:
    return sum(
        bool(chat.error) and chat.error["reason"] == "poison_request"
        for chat in chats
    )


def _find_gap(chat: callers.Chat) -> float:
    pairs = zip(chat.times, chat.times[1:], strict=False)
    return max((later - sooner for sooner, later in pairs), default=0.0)


def main() -> None:
    """Print one line of JSON for each run and one for all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--innocents", type=int, default=36)
    parser.add_argument("--poisons", type=int, default=1)
    arguments = parser.parse_args()
    results = []
    for number in range(arguments.runs):
        seed = arguments.seed + number
        result = Run(
            seed=seed,
            innocents=arguments.innocents,
            poisons=arguments.poisons,
        ).run()
        results.append(result)
        print(json.dumps({"seed": seed, **result}), flush=True)
    poisons = arguments.poisons * len(results)
    total = {
        key: sum(result[key] for result in results)
        for key in ("upstreams_lost", "innocents_refused", "innocents_whole")
    }
    print(
        json.dumps(
            {
                "poison_requests": poisons,
                "innocents": arguments.innocents * len(results),
                **total,
                "lost_per_poison": round(total["upstreams_lost"] / poisons, 2),
            }
        )
    )


if __name__ == "__main__":
    main()
