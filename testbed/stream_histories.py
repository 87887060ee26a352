"""Histories of streams under reclaims, and what they must show.

A history is JSON lines. ``chat`` lines are what a caller saw at its end,
``notice`` and ``kill`` lines what befell a machine, ``sent`` lines the
attempts that reached an engine, ``engine`` lines an engine's own totals.
The checker reads the history alone.
"""

import json
import pathlib
import time

from buckthornhold.standins import texts
from testbed import callers
from testbed import fleets
from testbed import machines

#: A leaving upstream may get new work for this long, in seconds.
LEAVING_BOUND = 2.0


class Recorder:
    """Writes a history."""

    def __init__(self, *, path: pathlib.Path, fleet: fleets.Fleet) -> None:
        self._path = path
        self._fleet = fleet
        self._seen: set[str] = set()

    def record_event(self, event: str, machine: machines.Machine) -> None:
        """Record a notice or a kill; a killed engine tells its totals."""
        self._write({"kind": event, "host": _name(machine), "time": _now()})
        if event == "kill" and machine in self._fleet.engines:
            self.record_engine(machine)

    def record_engine(self, engine: machines.StandInMachine) -> None:
        """Record what reached an engine and what it computed, once."""
        name = _name(engine)
        if name in self._seen or not engine.running:
            return
        self._seen.add(name)
        for sent in [*engine.get("/executions"), *engine.get("/refusals")]:
            self._write({**sent, "kind": "sent", "host": name})
        totals = engine.get("/state")["totals"]
        self._write({"kind": "engine", "host": name, "totals": totals})

    def record_chat(self, chat: callers.Chat) -> None:
        """Record what a caller saw."""
        self._write(
            {
                "kind": "chat",
                "request_id": chat.request_id,
                "prompt": chat.prompt,
                "max_tokens": chat.max_tokens,
                "tokens": chat.tokens,
                "ended": chat.ended,
                "status": chat.status,
                "error": chat.error,
                "returns": chat.returns,
                "gaps": [round(gap, 4) for gap in chat.gaps],
            }
        )

    def _write(self, line: dict) -> None:
        with self._path.open("a") as file:
            file.write(json.dumps(line) + "\n")


def read(path: pathlib.Path) -> list[dict]:
    """Return the lines of a history."""
    return [json.loads(line) for line in path.read_text().splitlines()]


def check(history: list[dict]) -> dict:
    """Return what went wrong by a history, as counts, and its costs."""
    chats = [line for line in history if line["kind"] == "chat"]
    whole = [chat for chat in chats if _is_whole(chat)]
    accepted = [chat for chat in chats if chat["tokens"] or chat["ended"]]
    totals = [it["totals"] for it in history if it["kind"] == "engine"]
    moved = _sum(totals, "moved_context")
    recomputed = _sum(totals, "recomputed")
    return {
        "requests": len(chats),
        "whole": len(whole),
        "refused_before_acceptance": len(chats) - len(accepted),
        "accepted_lost": sum(not chat["ended"] for chat in accepted),
        "wrong_or_short": sum(
            chat["ended"] and not _is_whole(chat) for chat in chats
        ),
        "sent_after_bound": len(list_late(history)),
        "callers_returned": sum(chat["returns"] > 0 for chat in chats),
        "streams_moved": _sum(totals, "moved_in"),
        "moved_by_cache": _sum(totals, "imported"),
        "resumed_at_engine": _sum(totals, "resumed"),
        "tokens_moved": moved,
        "tokens_recomputed": recomputed,
        "recomputed_per_moved": round(recomputed / max(1, moved), 4),
    }


def list_late(history: list[dict]) -> list[dict]:
    """Return the attempts sent to an engine too long after its notice."""
    noticed = {
        line["host"]: line["time"]
        for line in history
        if line["kind"] == "notice"
    }
    late = []
    for line in history:
        if line["kind"] != "sent" or line["host"] not in noticed:
            continue
        if line["time"] > noticed[line["host"]] + LEAVING_BOUND:
            late.append(line)
    return late


def _is_whole(chat: dict) -> bool:
    return (
        chat["ended"]
        and len(chat["tokens"]) == chat["max_tokens"]
        and texts.is_right(f"user: {chat['prompt']}", chat["tokens"])
    )


def _sum(totals: list[dict], name: str) -> int:
    return sum(it.get(name, 0) for it in totals)


def _name(machine: machines.Machine) -> str:
    """Return the name of a machine's incarnation."""
    if machine.incarnation == 1:
        return machine.name
    return f"{machine.name}/{machine.incarnation}"


def _now() -> float:
    return time.time()
