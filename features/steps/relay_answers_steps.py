"""Steps for answers of relay hosts that break off, or are slow."""

import re
import time

import behave

from features.steps import relay_wire_steps


@behave.when(
    "wire: one upstream of {path} breaks off and the other answers {fault}"
)
def script_second(context, path, fault):
    """Share one script, as either upstream may get the first attempt."""
    shared = ["cut", fault]
    for worker in relay_wire_steps.list_workers(context, path):
        worker.script = shared


@behave.then("wire: the client received nothing but events")
def check_only_events(context):
    events = re.sub(rb"id: \d+\ndata: x\n\n", b"", context.answer.body)
    assert not events, context.answer.body


@behave.then("wire: the answer came within {seconds:g} seconds")
def check_answer_time(context, seconds):
    passed = time.monotonic() - context.sent_at
    assert passed <= seconds, passed
