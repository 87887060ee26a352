"""CPU time of fair shares by the number of limit lines.

Prints JSON: microseconds for each request, while all lines contend.
"""

import json
import time

from buckthornhold import fair_shares
from buckthornhold import rules

LINE_COUNTS = (6, 60, 600)
ROUNDS = 2000
MICROSECONDS = 1_000_000


def measure(line_count: int) -> float:
    """Return the CPU time of a request in microseconds, by limit lines."""
    shares = fair_shares.FairShares()
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
        shares.check(line, work_seconds=0.01).record_admission()
    started = time.process_time()
    for number in range(ROUNDS):
        shares.check(
            lines[number % line_count], work_seconds=0.01
        ).record_admission()
    seconds = time.process_time() - started
    return round(seconds / ROUNDS * MICROSECONDS, 1)


def main() -> None:
    """Measure with several numbers of limit lines and print the results."""
    rows = [
        {"lines": count, "microseconds": measure(count)}
        for count in LINE_COUNTS
    ]
    print(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
