"""Checks a history of calls against what must always hold.

A history is a list of events, one JSON object a line:

- ``{"kind": "sent", "time", "sending", "request_id", "repeated"}``: a caller
  sends an id, for the first time or again;
- ``{"kind": "told", "time", "sending", "request_id", "status", "ran",
  "reason", "answer"}``: what it was told; status 0 is no word at all;
- ``{"kind": "executed", "time", "request_id", "attempt"}``: a service ran
  it;
- ``{"kind": "written", "time", "key", "bytes"}``: the platform's store took
  a write.

Times are seconds since the epoch on one clock.
"""

import collections
import dataclasses
import json
import pathlib


@dataclasses.dataclass(kw_only=True)
class Sending:
    """One sending of a request id; ``told`` is 0 while there was no word."""

    request_id: str
    sent: float
    repeated: bool
    told: float = 0.0
    status: int = 0
    ran: str = ""
    reason: str = ""
    answer: str = ""


@dataclasses.dataclass(kw_only=True)
class Verdict:
    """Violations found, and counts of what callers were told."""

    violations: list[str]
    requests: int
    sendings: int
    executions: int
    final_words: dict[str, int]

    @property
    def unknown_share(self) -> float:
        """Share of requests whose last word is unknown, or none at all."""
        unknown = self.final_words.get("unknown", 0)
        unknown += self.final_words.get("nothing", 0)
        return unknown / self.requests if self.requests else 0.0


def save_history(events: list[dict], path: str) -> None:
    """Write a history as JSON lines."""
    lines = [json.dumps(event) for event in events]
    pathlib.Path(path).write_text("\n".join(lines) + "\n")


def load_history(path: str) -> list[dict]:
    """Read a history of JSON lines."""
    text = pathlib.Path(path).read_text()
    return [json.loads(line) for line in text.splitlines()]


def check_history(events: list[dict]) -> Verdict:
    """Hold a history against at most once and honest words."""
    sendings = _collect_sendings(events)
    executions = collections.defaultdict(list)
    for event in events:
        if event["kind"] == "executed":
            executions[event["request_id"]].append(event["time"])
    by_id = collections.defaultdict(list)
    for sending in sendings.values():
        by_id[sending.request_id].append(sending)
    violations = []
    final_words = collections.Counter()
    for request_id, same in sorted(by_id.items()):
        same.sort(key=lambda sending: sending.sent)
        ran = sorted(executions[request_id])
        violations += _check_request(request_id, same, ran)
        final_words[_find_final_word(same)] += 1
    for request_id in executions.keys() - by_id.keys():
        violations.append(f"{request_id}: executed and never sent")
    return Verdict(
        violations=violations,
        requests=len(by_id),
        sendings=len(sendings),
        executions=sum(len(times) for times in executions.values()),
        final_words=dict(final_words),
    )


def _collect_sendings(events) -> dict[str, Sending]:
    sendings = {}
    for event in events:
        if event["kind"] == "sent":
            sendings[event["sending"]] = Sending(
                request_id=event["request_id"],
                sent=event["time"],
                repeated=event["repeated"],
            )
        if event["kind"] == "told":
            sending = sendings[event["sending"]]
            sending.told = event["time"]
            sending.status = event["status"]
            sending.ran = event["ran"]
            sending.reason = event["reason"]
            sending.answer = event["answer"]
    return sendings


def _check_request(request_id, sendings, executions) -> list[str]:
    violations = []
    if len(executions) > 1:
        violations.append(f"{request_id}: executed {len(executions)} times")
    answers = {it.answer for it in sendings if it.status and not it.reason}
    if len(answers) > 1:
        violations.append(f"{request_id}: {len(answers)} different answers")
    for sending in sendings:
        if sending.ran == "yes" and not executions:
            violations.append(f"{request_id}: told yes, never executed")
        if sending.ran == "no" and sending.reason != "id_reused":
            violations += _check_not_run(sending, sendings, executions)
    return violations


def _check_not_run(sending, sendings, executions) -> list[str]:
    """Check the word 'no'.

    A later sending may run the request; the one that was told 'no', and on
    a repeat the earlier ones too, may not have.
    """
    request_id = sending.request_id
    violations = []
    for executed in executions:
        others = [
            other
            for other in sendings
            if other.ran != "no" and other.sent <= executed
        ]
        if not others:
            violations.append(
                f"{request_id}: told no, but executed ({sending.reason})"
            )
        if sending.repeated and executed < sending.sent:
            violations.append(
                f"{request_id}: told no after it was executed "
                f"({sending.reason})"
            )
    return violations


def _find_final_word(sendings) -> str:
    """Return the last word of a request; an answer stands for good."""
    if any(it.status and not it.reason for it in sendings):
        return "answer"
    last = max(sendings, key=lambda sending: sending.told)
    return last.ran or "nothing"
