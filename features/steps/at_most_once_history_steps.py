"""Steps on histories of calls and on their checker."""

import behave

from measurements import at_most_once
from testbed import histories


@behave.when(
    "{count:d} payments are made in {seconds:g} seconds under the faults "
    "of seed {seed:d}"
)
def run_mixture(context, count, seconds, seed):
    context.figures = at_most_once.measure(
        seed=seed, requests=count, seconds=seconds
    )
    print(context.figures)


@behave.then("the history of the payments violates no guarantee")
def check_guarantees(context):
    assert context.figures["requests"], context.figures
    assert context.figures["executions"], context.figures
    assert not context.figures["fault_errors"], context.figures
    assert not context.figures["violations"], context.figures


@behave.then("at least {percent:d}% of the payments have a known outcome")
def check_unknown_share(context, percent):
    unknown = context.figures["unknown_share"]
    assert unknown <= 1 - percent / 100, context.figures


def make_sent(sending, time, *, repeated=False):
    return {
        "kind": "sent",
        "time": time,
        "sending": sending,
        "request_id": "pay-1",
        "repeated": repeated,
    }


def make_told(sending, time, ran, *, reason="", answer=""):
    return {
        "kind": "told",
        "time": time,
        "sending": sending,
        "request_id": "pay-1",
        "status": 503 if reason else 200,
        "ran": ran,
        "reason": reason,
        "answer": answer,
    }


def make_executed(time, request_id="pay-1"):
    return {
        "kind": "executed",
        "time": time,
        "request_id": request_id,
        "attempt": "a/0",
    }


ANSWERED = [
    make_sent(1, 1.0),
    make_executed(1.1),
    make_told(1, 1.2, "yes", answer="x"),
]
HISTORIES = {
    "an id executed twice": [*ANSWERED, make_executed(1.5)],
    "an id reported as not run and executed later": [
        make_sent(1, 1.0),
        make_told(1, 1.2, "no", reason="store_unavailable"),
        make_executed(5.0),
    ],
    "a retry reported as not run after an execution": [
        *ANSWERED,
        make_sent(2, 2.0, repeated=True),
        make_told(2, 2.1, "no", reason="store_unavailable"),
    ],
    "two answers for one id": [
        *ANSWERED,
        make_sent(2, 2.0, repeated=True),
        make_told(2, 2.1, "yes", answer="y"),
    ],
    "an id reported as run and never executed": [
        make_sent(1, 1.0),
        make_told(1, 1.2, "yes", answer="x"),
    ],
    "an execution without a request": [*ANSWERED, make_executed(2.0, "pay-2")],
    "an id reported as still running and executed": [
        make_sent(1, 1.0),
        make_told(1, 1.2, "unknown", reason="still_running"),
        make_executed(1.3),
    ],
    "an attempt reported as not run and its retry run": [
        make_sent(1, 1.0),
        make_told(1, 1.2, "no", reason="store_unavailable"),
        make_sent(2, 2.0, repeated=True),
        make_executed(2.1),
        make_told(2, 2.2, "yes", answer="x"),
    ],
}


@behave.given("a payments' history with {fault}")
def make_history(context, fault):
    context.events = HISTORIES[fault]


@behave.then('the checker names "{violation}"')
def check_violation(context, violation):
    found = histories.check_history(context.events).violations
    if violation == "nothing":
        assert not found, found
        return
    assert len(found) == 1 and violation in found[0], found
