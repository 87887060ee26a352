"""Checker of histories of racing changes; reads the history alone."""

import json


def check_history(lines: list[str]) -> list[str]:
    """Return what is wrong with a history of JSON lines.

    Events: ``proposed`` (change, line), ``answered`` (change, outcome
    ``accepted``, ``refused`` or ``unknown``), ``looked_up`` (change, found),
    ``adopted`` (host, number, change_id), ``final`` (text).
    """
    events = [json.loads(line) for line in lines]
    final = [it for it in events if it["kind"] == "final"][-1]["text"]
    kept = set(final.splitlines())
    return [
        *_check_answers(events, kept),
        *_check_adoptions(events),
    ]


def _check_answers(events: list[dict], kept: set[str]) -> list[str]:
    lines = {
        it["change"]: it["line"] for it in events if it["kind"] == "proposed"
    }
    said: dict[str, str] = {}
    for event in events:
        if event["kind"] == "answered":
            said[event["change"]] = event["outcome"]
        if event["kind"] == "looked_up" and event["found"] is not None:
            said[event["change"]] = "accepted" if event["found"] else "refused"
    wrong = []
    for change, line in lines.items():
        outcome = said.get(change, "missing")
        if outcome == "missing":
            wrong.append(f"{change} was never answered")
        if outcome == "accepted" and line not in kept:
            wrong.append(f"{change} was accepted and is lost")
        if outcome == "refused" and line in kept:
            wrong.append(f"{change} was refused and is there")
    return wrong


def _check_adoptions(events: list[dict]) -> list[str]:
    wrong = []
    numbers: dict[str, int] = {}
    made_by: dict[int, str] = {}
    for event in events:
        if event["kind"] != "adopted":
            continue
        host, number = event["host"], event["number"]
        if number <= numbers.get(host, 0):
            wrong.append(f"{host} went from {numbers[host]} to {number}")
        numbers[host] = number
        change = made_by.setdefault(number, event["change_id"])
        if change != event["change_id"]:
            wrong.append(f"revision {number} is two: {change} and another")
    return wrong
