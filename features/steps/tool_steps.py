"""Steps on the operators' tool."""

import asyncio
import json
import os
import pathlib
import re
import subprocess
import sys
import uuid

import aiohttp
import behave

from features import environment
from testbed import callers
from testbed import losses
from testbed import machines

RULES = pathlib.Path("testbed/fleet.rules")
FILE = "FILE"
#: How long a daemon looks for what became of a change, in seconds.
PROPOSAL_TIMEOUT = 3.0
RULES_KEY = "rules/current"
CALLS_PER_ENTRY = 3


def run_tool(context, *arguments, entry=0, address=""):
    """Run the tool against an entry host and keep what it said."""
    address = address or context.fleet.entries[entry].operator_address
    done = subprocess.run(
        [sys.executable, "-m", "buckthornhold.tools.buckthornctl", *arguments],
        capture_output=True,
        text=True,
        env={
            **os.environ,
            "BUCKTHORNCTL_ADDRESS": address,
            "BUCKTHORNCTL_TOKEN": machines.TOKEN,
            "COLUMNS": "200",
        },
    )
    context.code = done.returncode
    context.output = done.stdout + done.stderr
    return done.stdout


@behave.given("an operator's fleet")
def use_operators_fleet(context):
    environment.use_shared_fleet(
        context, settings={"proposal_timeout": PROPOSAL_TIMEOUT}
    )
    context.before = context.fleet.apply_rules(RULES.read_text()).json()
    for entry in context.fleet.entries:
        machines.wait_until(
            lambda entry=entry: _find_revision(entry) >= _now(context)
        )


def _now(context):
    return context.before["revision"]


def _find_revision(entry):
    return entry.operate("GET", "/rules").json()["revision"]


@behave.given('a rules file with the change "{old}" to "{new}"')
def make_rules_file(context, old, new):
    folder = context.fleet.folder
    context.file = folder / "changed.rules"
    text = RULES.read_text()
    assert old in text
    context.file.write_text(text.replace(old, new))


@behave.given("a rules file with a move from v1 to v2")
def make_move_file(context):
    context.file = context.fleet.folder / "move.rules"
    context.file.write_text(
        RULES.read_text()
        + "serve model=race-desk-llm version=v2  # asked by: me\n"
        + "move model=race-desk-llm old=v1 new=v2 by=2099-01-01T00:00:00Z"
        + "  # asked by: me\n"
    )


@behave.then("the status names the move from v1 to v2 with its share and time")
def check_move_row(context):
    lines = context.output.splitlines()
    title = next(it for it in lines if it.startswith("MOVE OF"))
    row = lines[lines.index(title) + 1].split()
    assert row[:3] == ["race-desk-llm", "v1", "v2"], row
    assert row[3].endswith("%"), row
    assert row[4] == "2099-01-01T00:00:00Z", row


@behave.given("the last entry host is frozen")
def freeze_last_entry(context):
    entry = context.fleet.entries[-1]
    entry.freeze()
    context.add_cleanup(entry.thaw)


@behave.given('another operator has changed "{old}" to "{new}"')
def change_by_another(context, old, new):
    text = RULES.read_text().replace(old, new)
    context.fleet.apply_rules(text, entry=1)


@behave.when('the operator runs "{command}"')
def run_command(context, command):
    words = [
        str(context.file) if word == FILE else word for word in command.split()
    ]
    run_tool(context, *words)


@behave.when(
    "the operator applies the file over the revision it was made from"
)
def apply_over_base(context):
    base = str(_now(context))
    run_tool(context, "apply", str(context.file), "--base", base)


@behave.when("the operator applies the file and the {lost} is lost")
def apply_and_lose(context, lost):
    relay = losses.LossyRelay(
        address=context.fleet.entries[0].operator_address,
        passes_on=lost == "answer",
    )
    relay.start()
    run_tool(context, "apply", str(context.file), address=relay.address)
    relay.stop()


@behave.when("the operator asks after the change that the tool named")
def ask_named_change(context):
    found = re.search(r"buckthornctl change (\S+)'", context.output)
    assert found is not None, context.output
    context.change_id = found[1]
    run_tool(context, "change", context.change_id)


@behave.when("the operator asks after the same change")
def ask_again(context):
    run_tool(context, "change", context.change_id)


@behave.given(
    "the store goes down for good once it has taken the next revision"
)
def lose_store(context):
    context.fleet.platform.set_faults(down_after=RULES_KEY)


@behave.when("the store answers again")
def restore_store(context):
    context.fleet.platform.set_faults(store_down=False, down_after="")


@behave.when("the operator rolls back to the revision before")
def roll_back(context):
    run_tool(context, "rollback", str(_now(context)), "--wait")


@behave.then('the tool exits with {code:d} and prints "{text}"')
def check_tool(context, code, text):
    assert context.code == code, (context.code, context.output)
    assert text in context.output, context.output


@behave.then('the tool has printed "{text}"')
def check_printed(context, text):
    assert text in context.output, context.output


@behave.then("the revision in force is as before")
def check_revision(context):
    assert _find_revision(context.fleet.entries[0]) == _now(context)


@behave.then("the history has a newer revision with the older text")
def check_history(context):
    found = json.loads(run_tool(context, "history", "--json"))
    assert found[0]["revision"] == _now(context) + 2, found
    rules = context.fleet.entries[1].operate("GET", "/rules").json()
    assert rules["revision"] == found[0]["revision"]
    assert rules["text"] == RULES.read_text()


@behave.then('the rules in force have "{text}"')
def check_rules_text(context, text):
    rules = context.fleet.entries[0].operate("GET", "/rules").json()
    assert text in rules["text"], rules


@behave.then("the status in JSON names every host and every upstream")
def check_status_json(context):
    status = json.loads(context.output)
    hosts = {host["host"] for host in status["hosts"]}
    assert hosts == {entry.name for entry in context.fleet.entries}
    assert status["complete"]
    upstreams = {it["host"] for it in status["upstreams"]}
    machines_ = [*context.fleet.engines, *context.fleet.services]
    assert upstreams == {machine.name for machine in machines_}


@behave.when("the operator drains the first engine")
def drain_engine(context):
    name = context.fleet.engines[0].name
    run_tool(context, "drain", name, "--asked-by", "me", "--wait")
    assert context.code == 0, context.output


@behave.when("the operator undrains the first engine")
def undrain_engine(context):
    run_tool(context, "undrain", context.fleet.engines[0].name, "--wait")
    assert context.code == 0, context.output


def _stream_some(context, count=30):
    """Return how many of some new streams the first engine got."""
    engine = context.fleet.engines[0]
    before = len(engine.get("/executions"))

    async def run():
        async with aiohttp.ClientSession() as session:
            return await asyncio.gather(
                *[
                    callers.stream_chat(
                        session,
                        context.fleet.entries[number % 3].address,
                        request_id=uuid.uuid4().hex,
                        prompt=f"question {number}",
                        max_tokens=2,
                    )
                    for number in range(count)
                ]
            )

    assert all(chat.whole for chat in asyncio.run(run()))
    return len(engine.get("/executions")) - before


@behave.then("no new stream reaches the first engine")
def check_no_streams(context):
    assert _stream_some(context) == 0


@behave.then("new streams reach the first engine again")
def check_some_streams(context):
    assert _stream_some(context) > 0


@behave.when("the operator drains the last entry host")
def drain_entry(context):
    name = context.fleet.entries[-1].name
    run_tool(context, "drain", name, "--asked-by", "me", "--wait")
    assert context.code == 0, context.output


@behave.then("the last entry host is unready")
def check_entry_unready(context):
    assert not context.fleet.entries[-1].is_ready()
    assert context.fleet.entries[0].is_ready()


@behave.then('the status shows the last entry host as "{state}"')
def check_entry_state(context, state):
    _check_state(context, context.fleet.entries[-1].name, state)


@behave.then('the status shows the first engine as "{state}"')
def check_engine_state(context, state):
    _check_state(context, context.fleet.engines[0].name, state)


def _check_state(context, name, state):
    output = run_tool(context, "status")
    row = next(it for it in output.splitlines() if it.startswith(name))
    assert f" {state} " in row, row


@behave.given(
    "a caller was answered and another refused through the last entry host"
)
def answer_and_refuse(context):
    async def run():
        async with aiohttp.ClientSession() as session:
            for model in ("race-desk-llm", "no-such-model"):
                await callers.stream_chat(
                    session,
                    context.fleet.entries[-1].address,
                    request_id=f"explained-{model}",
                    prompt="hello",
                    max_tokens=3,
                    model=model,
                )

    asyncio.run(run())


@behave.when(
    "the operator asks for the answered request through the first host"
)
def explain_answered(context):
    run_tool(context, "explain", "request", "explained-race-desk-llm")


@behave.when(
    "the operator asks for the refused request through the first host"
)
def explain_refused(context):
    run_tool(context, "explain", "request", "explained-no-such-model")


@behave.then("the rule is said to be in force on all three hosts")
def check_in_force(context):
    line = next(
        it for it in context.output.splitlines() if "in force on:" in it
    )
    for entry in context.fleet.entries:
        assert entry.name in line, line


@behave.when("the operator asks after the change that put it in")
def ask_after_change(context):
    line = next(it for it in context.output.splitlines() if "change " in it)
    run_tool(context, "change", line.rpartition("change ")[2])


def _call_some(context):
    """Return the zones in which some new calls ran, and their results."""
    fleet = context.fleet
    before = {it.name: len(it.get("/executions")) for it in fleet.services}

    async def run():
        async with aiohttp.ClientSession() as session:
            return [
                await callers.call_service(
                    session,
                    entry.address,
                    "heat-lookup",
                    request_id=uuid.uuid4().hex,
                    body={"heat": number},
                )
                for number in range(CALLS_PER_ENTRY)
                for entry in fleet.entries
            ]

    results = asyncio.run(run())
    zones = {
        it.zone
        for it in fleet.services
        if len(it.get("/executions")) > before[it.name]
    }
    return zones, results


@behave.then("calls of a plain service reach {zone} alone")
def check_zones(context, zone):
    zones, results = _call_some(context)
    assert {it.status for it in results} == {200}, results
    assert zones == set(zone.split(" and ")), zones


@behave.when("the operator evacuates the other zones")
def evacuate_others(context):
    for zone in ("zone-b", "zone-c"):
        run_tool(context, "evacuate", zone, "--wait")
        assert context.code == 0, context.output


@behave.then(
    "a call of a plain service is refused at once and explained by the rule"
)
def check_refused_call(context):
    zones, results = _call_some(context)
    assert not zones, zones
    for result in results:
        assert result.status == 503 and result.reason == "zone_evacuated"
        assert float(result.retry_after) > 0 and result.seconds < 0.5, result
    run_tool(context, "explain", "request", results[0].request_id)
    assert "by the rule evacuate zone=zone-a" in context.output
