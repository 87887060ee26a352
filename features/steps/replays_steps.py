"""Steps on replays of traces against their stated outcomes."""

import json
import pathlib
import subprocess
import sys
import tempfile

import behave

from experiments import shortfalls
from experiments import traces

SEED = 1
UNREACHABLE_SECONDS = 0.000001
#: A run in which every figure is what its outcome asks for at the least.
GOOD_RUN = {"requests": 100, "answered": 100}


@behave.given("replays: a run that reaches every outcome of its trace")
def reach_all(context):
    trace = traces.read_trace(traces.find_trace("racing"))
    context.outcomes = trace.header.outcomes
    context.summary = {**context.outcomes.model_dump(), **GOOD_RUN}


@behave.when("replays: its {figure} is {value:g}")
def set_figure(context, figure, value):
    assert figure in context.summary, figure
    context.summary[figure] = value


@behave.then("replays: it falls short of nothing")
def check_nothing(context):
    found = shortfalls.find_shortfalls(context.outcomes, context.summary)
    assert not found, found


@behave.then("replays: it falls short of {outcome} alone")
def check_one(context, outcome):
    found = shortfalls.find_shortfalls(context.outcomes, context.summary)
    assert [line.split()[0] for line in found] == [outcome], found


@behave.when(
    "replays: a trace is replayed that asks for calls faster than any"
)
def replay_in_vain(context):
    replay(context, call_p95=UNREACHABLE_SECONDS)


@behave.then("replays: the command exits with 1 and names {outcome}")
def check_fell_short(context, outcome):
    assert context.status == 1, context.status
    names = [line.split()[0] for line in context.printed["shortfalls"]]
    assert names == [outcome], names


def replay(context, *, call_p95: float) -> None:
    """Replay a second of calls and a question on a fleet of one zone."""
    header = traces.Header(
        trace="short",
        model="race-desk-llm",
        service="entries-app",
        rules="examples/racing.rules",
        zones=("port-of-spain",),
        seconds=1.0,
        outcomes=traces.Outcomes(
            first_token_p95=10.0, gap_p95=10.0, call_p95=call_p95
        ),
    )
    calls = [
        traces.Item(
            at=at / 10,
            kind="call",
            workspace="registration",
            operation="pay",
            key=f"{at}",
        )
        for at in range(8)
    ]
    question = traces.Item(
        at=0.8, kind="chat", workspace="booth", question="splits?"
    )
    trace = traces.Trace(header=header, items=(*calls, question))
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "short.jsonl"
        traces.write_trace(trace, path)
        command = ["replay", str(path), "--entries", "1", "--engines", "1"]
        done = subprocess.run(
            [sys.executable, "-m", "experiments", *command]
            + ["--seed", f"{SEED}"],
            capture_output=True,
            text=True,
        )
    assert done.stdout, done.stderr
    context.status = done.returncode
    context.printed = json.loads(done.stdout)
