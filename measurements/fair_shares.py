"""Fair shares and priorities under overload, compared with none.

Run as ``python -m measurements.fair_shares --load NAME``. It sends the loads
to real entry hosts and stand-in engines, with a new fleet for each seed and
admission policy. Prints JSON: each workspace's figures by seed, and mean and
standard deviation. The policy ``measured`` enforces no shares.
"""

import argparse
import asyncio
import json
import pathlib
import statistics
import sys
import time

from experiments import runs
from testbed import fleets
from testbed import workspace_loads

FIRST_TOKEN_TARGET_SECONDS = 0.91
RULES_SETTLE_SECONDS = 2.0
ADMISSIONS = ("measured", "fair")
#: Approximate capacity of the three engines, in new tokens a second.
PEAK_TOKENS_PER_SECOND = 13_000
KEYS = (
    "sent",
    "good_per_second",
    "first_token_p50",
    "first_token_p95",
    "refusal_p99",
)
SHARE_LINES = """\
limit workspace=large share=30%  # asked by: J. Ali: rulings
limit workspace=small share=30%  # asked by: J. Ali: questions
"""
PRIORITY_LINES = """\
limit workspace=marshals priority=3  # asked by: J. Ali: quick questions
limit workspace=rulings priority=1  # asked by: J. Ali: long rulings
"""
QUESTION_TOKENS = 150
RULING_TOKENS = 3000
RULING_ANSWER_TOKENS = 40


def make_load(workspace: str, share: float, tokens: int, answer_tokens=10):
    """Return a load that needs a share of the engines' capacity."""
    return workspace_loads.WorkspaceLoad(
        workspace=workspace,
        rate=share * PEAK_TOKENS_PER_SECOND / tokens,
        tokens=tokens,
        answer_tokens=answer_tokens,
    )


def make_question_load(questions: float, rulings: float):
    """Return loads of questions and rulings, by their capacity shares."""
    return [
        make_load("marshals", questions, QUESTION_TOKENS),
        make_load("rulings", rulings, RULING_TOKENS, RULING_ANSWER_TOKENS),
    ]


#: Lines of the rules and the loads to send.
LOADS = {
    "shares": (
        SHARE_LINES,
        [make_load("large", 1.5, 1000), make_load("small", 0.25, 1000)],
    ),
    "alone": (SHARE_LINES, [make_load("large", 1.5, 1000)]),
    "many-rulings": (PRIORITY_LINES, make_question_load(0.3, 1.7)),
    "many-questions": (PRIORITY_LINES, make_question_load(1.7, 0.3)),
}


def run(
    load: str,
    admission: str,
    *,
    seed: int,
    seconds: float,
    warm: float,
    entries: int,
) -> dict:
    """Run a load with one seed on a new fleet.

    The first ``warm`` seconds of the load are a warm-up and not counted.
    """
    lines, loads = LOADS[load]
    fleet = fleets.Fleet(
        entries_per_zone=entries,
        engine_options=runs.ENGINE_OPTIONS,
        settings={"admission": admission},
    )
    try:
        fleet.start()
        text = pathlib.Path("testbed/fleet.rules").read_text()
        kept = [
            line
            for line in text.splitlines()
            if not line.startswith("limit workspace")
        ]
        fleet.apply_rules("\n".join(kept) + "\n" + lines)
        time.sleep(RULES_SETTLE_SECONDS)
        outcomes = asyncio.run(
            workspace_loads.send_loads(
                loads,
                addresses=[entry.address for entry in fleet.entries],
                seconds=warm + seconds,
                seed=seed,
            )
        )
    finally:
        fleet.stop()
    counted = [outcome for outcome in outcomes if outcome.sent_at >= warm]
    return workspace_loads.summarize(
        counted, target=FIRST_TOKEN_TARGET_SECONDS, seconds=seconds
    )


def compute_spread(found: list[dict]) -> dict:
    """Return mean and standard deviation of each workspace's figures."""
    return {
        name: {
            key: [
                round(
                    statistics.fmean(figures[name][key] for figures in found),
                    3,
                ),
                round(
                    statistics.stdev(figures[name][key] for figures in found),
                    3,
                ),
            ]
            for key in KEYS
        }
        for name in found[0]
    }


def main() -> None:
    """Measure all admission policies and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--load", choices=list(LOADS), default="shares")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--warm", type=float, default=2.0)
    parser.add_argument("--entries", type=int, default=1)
    parser.add_argument("--admissions", nargs="+", default=ADMISSIONS)
    options = parser.parse_args()
    results = {policy: [] for policy in options.admissions}
    for seed in range(1, options.seeds + 1):
        for admission in options.admissions:
            figures = run(
                options.load,
                admission,
                seed=seed,
                seconds=options.seconds,
                warm=options.warm,
                entries=options.entries,
            )
            print(admission, seed, figures, file=sys.stderr)
            results[admission].append(figures)
    print(
        json.dumps(
            {
                "load": options.load,
                "mean_and_spread": {
                    name: compute_spread(seed_figures)
                    for name, seed_figures in results.items()
                },
                "runs": results,
            },
            indent=1,
        )
    )


if __name__ == "__main__":
    main()
