"""Absences: what entry hosts' logs say of others that were not there."""

import datetime
import json
import time


def list_changes(logs: dict[str, str]) -> list[tuple[str, dict]]:
    """Return each host's log lines on members, by the host's name."""
    return [
        (host, record)
        for host, log in logs.items()
        for record in map(json.loads, log.splitlines())
        if record["step"] == "members"
    ]


def list_absences(logs: dict[str, str]) -> list[float]:
    """Return how long hosts were seen gone, in seconds.

    One that is still seen gone counts up to now.
    """
    gone: dict[tuple[str, str], float] = {}
    absences = []
    for host, record in list_changes(logs):
        key = (host, record["peer"])
        moment = datetime.datetime.fromisoformat(record["time"]).timestamp()
        if " is gone" in record["message"]:
            gone.setdefault(key, moment)
        elif key in gone:
            absences.append(moment - gone.pop(key))
    return absences + [time.time() - since for since in gone.values()]


def count_doubts(logs: dict[str, str]) -> int:
    """Return how often a host began to doubt another."""
    return sum(
        "doubt none" not in record["message"]
        and " is gone" not in record["message"]
        for _, record in list_changes(logs)
    )
