"""Moves in fleets: rules that begin them, traffic, and what came of it."""

import asyncio
import datetime
import json
import time
import uuid

from testbed import drives
from testbed import machines

SEED = 4
RATE = 120.0
SETTINGS = {
    # A slow version leaves no room in time, and callers would be refused.
    "admission": "unbounded",
    "facts_store_interval": 1.0,
    "move_collect_interval": 0.3,
    "move_lead": 1.5,
    "move_retention": 2.0,
    "move_step_time": 0.5,
    "moves_interval": 0.1,
    "role_term": 2.0,
    "first_token_timeout": 3.0,
    "request_deadline": 8.0,
}
FLEET = {
    "engines_per_zone": 2,
    "services_per_zone": 0,
    "versions": ("v1", "v2"),
    "engine_versions": (("v1",), ("v2",)),
    "settings": SETTINGS,
}
MODEL = "race-desk-llm"


def make_rules(context, *, seconds=60.0, share="40%", note="", other=""):
    """Return the rules with a move that ends in so many seconds."""
    by = datetime.datetime.now(datetime.UTC) + datetime.timedelta(
        seconds=seconds
    )
    note = note or uuid.uuid4().hex
    context.move_line = (
        f"move model={MODEL} old=v1 new=v2 by={by.isoformat()} "
        f"share={share}  # asked by: ops: {note}"
    )
    return render_rules(context.move_line, other)


def render_rules(move_line, other=""):
    """Return the rules with a move's line."""
    return "\n".join(
        [
            f"serve model={MODEL} version=v1  # asked by: ops",
            f"serve model={MODEL} version=v2  # asked by: ops",
            f"limit workspace=* priority=0  # asked by: ops {other}",
            move_line,
        ]
    )


def list_new_engines(context):
    """Return the engines of v2."""
    return [
        engine
        for engine in context.fleet.engines
        if context.fleet.list_versions(engine) == ["v2"]
    ]


def read_move(entry):
    """Return the move as an entry host shows it."""
    return drives.read_status(entry)["moves"][0]


def end_in_store(context):
    """Have the store say that the move is done, without its steps."""
    key = f"moves/{read_move(context.fleet.entries[0])['move']}"
    fact = json.loads(read_store(context, key))
    agreed = {**json.loads(fact["value"]), "state": "done", "reason": "given"}
    fact["rank"][0] = 1
    fact["value"] = json.dumps(agreed)
    address = context.fleet.platform.address
    body = {"value": json.dumps(fact), "expect": None}
    reply = machines.call("PUT", address, f"/kv/{key}", body)
    assert reply.status == 200, reply
    for entry in context.fleet.entries:
        machines.wait_until(
            lambda entry=entry: read_move(entry)["state"] == "done",
            what=f"{entry.name} knows that the move is done",
        )


def is_withdrawn(entry):
    """Tell whether an entry host has v2 withdrawn."""
    return any(
        it["version"] == "v2" and it["in_force"]
        for it in drives.read_status(entry)["withdrawals"]
    )


def read_store(context, key):
    """Return the value of a key in the store, or None."""
    reply = machines.call("GET", context.fleet.platform.address, f"/kv/{key}")
    return reply.json()["value"] if reply.status == 200 else None


def count_stored_withdrawals(context):
    """Return 1 if the store holds a withdrawal under the present rules."""
    text = read_store(context, f"withdrawn/{MODEL}/v2")
    if not text:
        return 0
    stored = json.loads(json.loads(text)["value"])
    return int(stored["revision"] >= context.revision)


def find_withdrawal_time(context, entry) -> float:
    """Return when an entry host learned that v2 is withdrawn.

    By its own clock and log, in seconds since the epoch.
    """
    for line in entry.log.splitlines():
        if f"{MODEL}@v2 withdrawn by" not in line:
            continue
        logged = datetime.datetime.fromisoformat(json.loads(line)["time"])
        if logged.timestamp() >= context.bad_since:
            return logged.timestamp()
    raise AssertionError(f"{entry.name} did not log the withdrawal")


def list_late_sendings(context) -> list[tuple]:
    """Return what hosts sent to v2 after they had it withdrawn.

    Both times are the sending host's own, so it does not matter how long
    the request was on its way.
    """
    ours = {chat.request_id for chat in context.drive.chats}
    known = {
        entry.name: find_withdrawal_time(context, entry)
        for entry in context.fleet.entries
    }
    began = {
        run["request_id"]
        for run in drives.list_engine_runs(context.fleet)
        if run["version"] == "v2" and run["time"] > min(known.values())
    }
    late = []
    for request_id in ours & began:
        reply = context.fleet.entries[0].operate(
            "GET", f"/requests/{request_id}?fleet=1"
        )
        for request in reply.json()["seen"]:
            for attempt in request["attempts"]:
                if attempt["version"] != "v2":
                    continue
                if attempt["time"] > known[request["host"]]:
                    late.append((request, attempt))
    return late


def drive(context, is_over, *, limit=25.0, rate=RATE, seed=SEED, **options):
    """Send seeded traffic until something is over.

    ``options`` are further ones of ``drives.Drive``.
    """
    print(f"seed {seed}")
    context.drive = drives.Drive(
        fleet=context.fleet, rate=rate, seed=seed, **options
    )
    began = time.time()
    asyncio.run(context.drive.run(is_over, limit=limit))
    print(f"{len(context.drive.chats)} requests in {time.time() - began} s")


def drive_until_withdrawn(context, seed=SEED):
    """Send seeded traffic until every entry host has v2 withdrawn."""
    seen = []

    def is_over():
        if all(map(is_withdrawn, context.fleet.entries)):
            seen.append(time.time())
        return bool(seen) and time.time() > seen[0] + 0.5

    drive(context, is_over, seed=seed)
    assert seen, [read_move(entry) for entry in context.fleet.entries]
    context.withdrawn_at = seen[0]


def begin_move(context, **options):
    """Put a move from v1 to v2 in force on all entry hosts."""
    reply = context.fleet.apply_rules(make_rules(context, **options))
    context.revision = reply.json()["revision"]
    for entry in context.fleet.entries:
        machines.wait_until(
            lambda entry=entry: read_move(entry)["state"] == "running",
            what=f"{entry.name} knows the move's first step",
        )
