"""Processor time of shares by the number of limit lines.

Prints JSON: microseconds for each request, with all lines asking.
"""

import json
import time

from buckthornhold import fair_shares
from buckthornhold import rules

LINE_COUNTS = (6, 60, 600)
ROUNDS = 2000
MICROSECONDS = 1_000_000


def measure(line_count: int) -> float:
    """Return the microseconds that a request takes among so many lines."""
    known = fair_shares.FairShares()
    lines = [
        rules.LimitRule(
            asked_by="",
            workspace=f"workspace-{number}",
            share=1 / line_count,
            priority=number % 5,
        )
        for number in range(line_count)
    ]
    for line in lines:
        known.check(line, work_seconds=0.01).record_admission()
    started = time.process_time()
    for number in range(ROUNDS):
        known.check(
            lines[number % line_count], work_seconds=0.01
        ).record_admission()
    taken = time.process_time() - started
    return round(taken / ROUNDS * MICROSECONDS, 1)


def main() -> None:
    """Measure at several sizes and print the figures."""
    rows = [{"lines": it, "microseconds": measure(it)} for it in LINE_COUNTS]
    print(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
