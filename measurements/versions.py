"""Runs of the decision on a move: false alarms, misses and shares.

Each run feeds a seeded stream of requests of three workspaces to the
decision, which sees the counts once a second, as the holder does.
"""

import argparse
import json
import random
import statistics

from buckthornhold.coordination import evidence
from buckthornhold.coordination import moves

WORKSPACES = {"marshals": 0.6, "booth": 0.3, "secretaries": 0.1}
FAULTS = (
    "none",
    "none, old fails as often",
    "none, outage of both",
    "fails at once",
    "fails one in ten",
    "fails late",
    "fails under load",
    "fails on one route",
    "slow at once",
    "slow late",
    "slow under load",
    "slow on one route",
)
#: Requests on the new version before a late fault shows.
LATE_AFTER = 400
#: Share of the new version from which a fault under load shows.
LOAD_SHARE = 0.2
STEP_SECONDS = 10
LEAD_SECONDS = 30


class Run:
    """One move under one fault."""

    def __init__(
        self, *, seed: int, fault: str, rate: float, duration: int
    ) -> None:
        self._random = random.Random(f"{seed}:{fault}")
        self._fault = fault
        self._rate = rate
        self._duration = duration
        self._plan = moves.Plan(
            move="m",
            model="m",
            old="v1",
            new="v2",
            share=0.1,
            deadline=duration,
        )
        self._tallies: evidence.Tallies = {}
        self._old_health = evidence.BaselineHealth()
        self._step = 0
        self._step_began = 0
        self._on_new = 0
        self._shown_at: int | None = None
        self._bad_requests = 0
        self._requests = 0

    def run(self) -> dict:
        """Run the move to its end and return what came of it."""
        for second in range(self._duration + 1):
            self._serve(second)
            judgement = moves.decide(
                self._plan,
                self._tallies,
                step=self._step,
                dwell_elapsed=second - self._step_began >= STEP_SECONDS,
                remaining_seconds=self._duration - second,
                finish_lead_seconds=LEAD_SECONDS,
            )
            if judgement.action is moves.Action.ADVANCE:
                self._step += 1
                self._step_began = second
            elif judgement.action is not moves.Action.WAIT:
                break
        return {
            "verdict": judgement.action.value,
            "reason": judgement.reason,
            "second": second,
            "shown": self._shown_at is not None,
            "seconds_bad": second - self._shown_at
            if self._shown_at is not None
            else None,
            "bad_share": self._bad_requests / max(1, self._requests),
            "bad_requests": self._bad_requests,
        }

    def _serve(self, second: int) -> None:
        count = int(self._rate)
        count += self._random.random() < self._rate - count
        share = self._plan.shares[self._step]
        outage = "outage" in self._fault and 60 <= second < 120
        for _ in range(count):
            self._requests += 1
            workspace = self._random.choices(
                list(WORKSPACES), list(WORKSPACES.values())
            )[0]
            new = self._random.random() < share
            self._on_new += new
            bad = new and self._is_bad(workspace, share)
            if bad:
                self._bad_requests += 1
                if self._shown_at is None:
                    self._shown_at = second
            self._count(workspace, new, bad, outage)

    def _is_bad(self, workspace: str, share: float) -> bool:
        fault = self._fault
        if fault.startswith("none"):
            return False
        if "late" in fault and self._on_new < LATE_AFTER:
            return False
        if "load" in fault and share < LOAD_SHARE:
            return False
        if "route" in fault and workspace != "booth":
            return False
        if "one in ten" in fault:
            return self._random.random() < 0.1
        return True

    def _count(self, workspace, new, bad, outage) -> None:
        series = evidence.Series(
            move="m", step=self._step, workspace=workspace, new=new
        )
        tally = self._tallies.setdefault(series, evidence.Tally())
        usual = 0.03 if "as often" in self._fault else 0.002
        failed = self._random.random() < (0.5 if outage else usual)
        failed = failed or (bad and self._fault.startswith("fails"))
        comparable = self._old_health.comparable
        if not new:
            self._old_health.record_outcome(failed=failed)
        if not comparable:
            return
        tally.record_outcome(failed=failed)
        if failed:
            return
        slow = 2.5 if bad and self._fault.startswith("slow") else 1.0
        tally.record_first_token(slow * self._random.lognormvariate(-1.2, 0.5))
        tally.record_gap(slow * self._random.lognormvariate(-3.2, 0.3))


def summarise(results: list[dict], fault: str) -> dict:
    """Return the figures of all runs of one fault."""
    verdicts = {}
    for result in results:
        verdicts[result["verdict"]] = verdicts.get(result["verdict"], 0) + 1
    summary = {
        "fault": fault,
        "runs": len(results),
        "verdicts": verdicts,
        "seconds_to_end_median": statistics.median(
            it["second"] for it in results
        ),
    }
    shown = [it for it in results if it["shown"]]
    if not fault.startswith("none"):
        summary["missed"] = sum(it["verdict"] == "finish" for it in results)
        summary["fault_never_shown"] = len(results) - len(shown)
    if shown:
        seconds = sorted(it["seconds_bad"] for it in shown)
        summary["seconds_shown_to_end"] = {
            "median": statistics.median(seconds),
            "p95": seconds[int(0.95 * (len(seconds) - 1))],
        }
        shares = [it["bad_share"] for it in shown]
        summary["bad_share_mean"] = round(statistics.mean(shares), 4)
        summary["bad_share_max"] = round(max(shares), 4)
        summary["bad_requests_median"] = statistics.median(
            it["bad_requests"] for it in shown
        )
    return summary


def measure(
    *, seed: int, runs: int, rate: float, duration: int, faults
) -> list[dict]:
    """Return one summary for each fault."""
    summaries = []
    for fault in faults:
        results = [
            Run(
                seed=seed + number, fault=fault, rate=rate, duration=duration
            ).run()
            for number in range(runs)
        ]
        summaries.append(summarise(results, fault))
    return summaries


def main() -> None:
    """Print the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=200)
    parser.add_argument("--rate", type=float, default=20.0)
    parser.add_argument("--duration", type=int, default=900)
    parser.add_argument("--fault", action="append", choices=FAULTS)
    arguments = parser.parse_args()
    print(json.dumps({"seed": arguments.seed, "rate": arguments.rate}))
    for fault in arguments.fault or FAULTS:
        for summary in measure(
            seed=arguments.seed,
            runs=arguments.runs,
            rate=arguments.rate,
            duration=arguments.duration,
            faults=[fault],
        ):
            print(json.dumps(summary), flush=True)


if __name__ == "__main__":
    main()
