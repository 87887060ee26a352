"""All promises at once under one mixture of faults, by history.

Entry hosts, engines of two versions, services, the platform and the network
between zones run as separate processes. Streams, payments and operators'
changes go on, and a move from the old version to the new one, while seeded
kills, freezes, reclaims, crashes, cuts, outages and lost answers come over
them. Each history is held against its promise. Run as ``python -m
measurements.mixtures --seed N [N ...]``; prints a JSON line for each seed
and ends with status 1 if a promise was broken.
"""

import argparse
import asyncio
import json
import pathlib
import random
import shutil
import sys
import time

import aiohttp

from testbed import callers
from testbed import change_histories
from testbed import drives
from testbed import faults
from testbed import fleets
from testbed import histories
from testbed import machines
from testbed import mixtures
from testbed import moves
from testbed import operators
from testbed import payments
from testbed import stream_histories

PAY_RULE = (
    "\ncall service=entries-app operation=pay repeat=no deadline=2s"
    "  # asked by: a measurement\n"
)
SETTINGS = {
    **moves.SETTINGS,
    "claim_timeout": 1.0,
    "claim_peer_timeout": 0.5,
    "platform_timeout": 1.0,
    "host_list_interval": 0.5,
}
CALLERS = 12
OPERATORS = 3
PAYMENTS_PER_SECOND = 10
GIVE_UP_SECONDS = 60.0
#: The part of the time after which the move is to be done.
MOVE_PART = 0.7


class Mixture:
    """One fleet under one mixture, and what came of it."""

    def __init__(
        self, *, seed: int, seconds: float, logs: pathlib.Path | None
    ) -> None:
        self._seed = seed
        self._logs = logs
        self._seconds = seconds
        self._fleet = fleets.Fleet(
            **{
                **moves.FLEET,
                "entries_per_zone": 2,
                "services_per_zone": 1,
                "relays": True,
                "settings": SETTINGS,
                "engine_options": {"step_base": 0.01},
            }
        )
        #: Where ``moves`` leaves the line of the move.
        self.move_line = ""

    def measure(self) -> dict:
        """Run the mixture and return its figures."""
        try:
            self._fleet.start()
            drives.wait_linked(self._fleet)
            return self._run()
        finally:
            if self._logs is not None:
                self._save_logs(self._logs / str(self._seed))
            self._fleet.stop()

    def _run(self) -> dict:
        fleet = self._fleet
        rules = moves.make_rules(self, seconds=self._seconds * MOVE_PART)
        fleet.apply_rules(rules + PAY_RULE)
        recorder = stream_histories.Recorder(
            path=fleet.folder / "streams.jsonl", fleet=fleet
        )
        payers = payments.Payers(
            addresses=[entry.address for entry in fleet.entries],
            seed=self._seed,
        )
        changers = operators.Operators(
            fleet=fleet, count=OPERATORS, seed=self._seed
        )
        planned = faults.plan_faults(
            seed=self._seed,
            seconds=self._seconds,
            targets=len(fleet.entries),
            kinds=mixtures.KINDS,
        )
        runner = mixtures.MixedRunner(
            fleet=fleet, faults=planned, recorder=recorder
        )
        with runner:
            chats = asyncio.run(self._drive(payers, changers, recorder))
        asyncio.run(payers.settle())
        asyncio.run(changers.settle())
        for engine in fleet.engines:
            recorder.record_engine(engine)
        streams = stream_histories.read(fleet.folder / "streams.jsonl")
        return {
            "seed": self._seed,
            "faults": dict(runner.counts),
            "fault_errors": runner.errors,
            "streams": stream_histories.check(streams),
            "lost": describe_lost(chats),
            "payments": self._check_payments(payers),
            "changes": dict(changers.outcomes),
            "changes_wrong": change_histories.check_history(
                [json.dumps(event) for event in changers.events]
            ),
            "moves": self._read_moves(),
            "revisions": self._read_revisions(),
        }

    async def _drive(self, payers, changers, recorder) -> list[callers.Chat]:
        until = time.monotonic() + self._seconds
        requests = round(self._seconds * PAYMENTS_PER_SECOND)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            results = await asyncio.gather(
                payers.run(requests=requests, seconds=self._seconds),
                changers.run(seconds=self._seconds),
                *[
                    self._call(session, number, until, recorder)
                    for number in range(CALLERS)
                ],
            )
        return [chat for chats in results[2:] for chat in chats]

    async def _call(self, session, number, until, recorder):
        """Send one request after the other, coming back when told to."""
        draw = random.Random(f"{self._seed}/{number}")
        addresses = [entry.address for entry in self._fleet.entries]
        chats = []
        while time.monotonic() < until:
            start = draw.randrange(len(addresses))
            chat = await callers.follow_chat(
                session,
                addresses[start:] + addresses[:start],
                request_id=f"{draw.getrandbits(128):032x}",
                prompt=f"{draw.random()} rule",
                max_tokens=draw.randrange(20, 300),
                give_up_after=GIVE_UP_SECONDS,
            )
            recorder.record_chat(chat)
            chats.append(chat)
        return chats

    def _check_payments(self, payers) -> dict:
        verdict = histories.check_history(
            [
                *payers.events,
                *payments.list_executions(self._fleet.list_executions()),
            ]
        )
        return {
            "requests": verdict.requests,
            "executions": verdict.executions,
            "violations": verdict.violations,
            "final_words": verdict.final_words,
        }

    def _save_logs(self, folder: pathlib.Path) -> None:
        """Keep the machines' logs and the streams' history."""
        folder.mkdir(parents=True, exist_ok=True)
        for path in self._fleet.folder.glob("*.*l*"):
            shutil.copy(path, folder)

    def _read_moves(self) -> dict[str, int]:
        """Return how many hosts say how the move ended."""
        for entry in self._fleet.entries:
            machines.wait_until(
                lambda entry=entry: (
                    moves.read_move(entry)["state"]
                    not in ("running", "waiting")
                ),
                what=f"{entry.name} says how the move ended",
            )
        states: dict[str, int] = {}
        for entry in self._fleet.entries:
            move = moves.read_move(entry)
            state = f"{move['state']}: {move['reason']}"
            states[state] = states.get(state, 0) + 1
        return states

    def _read_revisions(self) -> list[int]:
        """Return the revisions that hosts have when all is well again."""

        def read() -> set[int]:
            return {
                entry.operate("GET", "/rules").json()["revision"]
                for entry in self._fleet.entries
            }

        machines.wait_until(
            lambda: len(read()) == 1, timeout=9.0, what="one revision"
        )
        return sorted(read())


def describe_lost(chats: list[callers.Chat]) -> list[dict]:
    """Return what callers saw of accepted streams that did not end."""
    return [
        {
            "request_id": chat.request_id,
            "tokens": len(chat.tokens),
            "max_tokens": chat.max_tokens,
            "status": chat.status,
            "error": chat.error,
            "broken": chat.broken,
            "returns": chat.returns,
        }
        for chat in chats
        if chat.tokens and not chat.ended
    ]


def list_broken(figures: dict) -> list[str]:
    """Return the promises that a mixture's figures show as broken."""
    streams = figures["streams"]
    broken = [
        name
        for name in ("accepted_lost", "wrong_or_short", "sent_after_bound")
        if streams[name]
    ]
    if figures["payments"]["violations"]:
        broken.append("at most once, honest words")
    if figures["changes_wrong"]:
        broken.append("an accepted change stays")
    if len(figures["moves"]) != 1:
        broken.append("a move's end is agreed")
    return broken


def main() -> None:
    """Print one mixture's figures for each seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, nargs="+", default=[1])
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument(
        "--logs", type=pathlib.Path, help="folder for the machines' logs"
    )
    arguments = parser.parse_args()
    failed = False
    for seed in arguments.seed:
        mixture = Mixture(
            seed=seed, seconds=arguments.seconds, logs=arguments.logs
        )
        figures = mixture.measure()
        broken = list_broken(figures)
        failed = failed or bool(broken)
        print(json.dumps({**figures, "broken": broken}), flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
