"""Checks that names of the users' platform stand in its adapter alone.

Ends with an error and the places of those that stand elsewhere. Tests, the
platform's stand-in and deployment files may name them, too.
"""

import pathlib
import re
import sys

NAMES = (
    "Attempt-Id",
    "Server-Seal",
    "Not-Executed",
    "Expect-Instance",
    "Token-Counts",
    "Prompt-Prefix",
    "Deadline-Ms",
    "Length-Hint",
    "Request-Priority",
    "Duty-Holder",
    "Fence-Token",
    "Pin-Ms",
    "Kv-Backup",
    "Kv-From",
    "kv-txn",
    "kv-watch",
    "kv-range",
    "kv-key",
    "kv-lease",
    "kv-keep",
    "kv-move",
    "op/config",
    "op/rollout",
    "servers/",
    "stickySessions",
    "maxAttempts",
    "timeoutMs",
    "apiKeys",
    "ratePerS",
    "coldRemainingMs",
    "BUCKTHORNHOLD_CONFIG",
)
ADAPTER = pathlib.Path("buckthornhold/platform")
STAND_IN = pathlib.Path("buckthornhold/standins")


def list_misplaced() -> list[str]:
    """Return each place outside the adapter that has such a name."""
    pattern = re.compile("|".join(map(re.escape, NAMES)))
    found = []
    for path in sorted(pathlib.Path("buckthornhold").rglob("*.py")):
        if ADAPTER in path.parents or STAND_IN in path.parents:
            continue
        lines = path.read_text().splitlines()
        for number, line in enumerate(lines, start=1):
            match = pattern.search(line)
            if match is not None:
                found.append(f"{path}:{number}: {match.group()}")
    return found


def main() -> None:
    """Print the misplaced names and fail if there are any."""
    found = list_misplaced()
    for place in found:
        print(f"{place} is a name of the platform's wire")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
