"""Moves of traffic from an old version to a new one, step by step.

A move's state is agreed in the store; what follows from the evidence is
decided here, from counts and the clock alone.
"""

import dataclasses
import enum
import hashlib
import json
import math

from buckthornhold.coordination import evidence

#: Chance that a version no worse than the old one is withdrawn in a move;
#: half goes to the merged evidence, half to single hosts' own.
FALSE_ALARM_RATE = 0.01
#: Series and hosts over which the chance is shared out.
BONFERRONI_SERIES = 8
BONFERRONI_HOSTS = 400
#: Chance that one step judges a version good that is as bad as
#: ``evidence.MAX_FAILURE_RATE_EXCESS`` and its like say; in the whole of the
#: traffic, and in one workspace's.
MISS_RATE = 0.01
WORKSPACE_MISS_RATE = 0.1
FIRST_STEP_FACTOR = 0.25
STEP_FACTOR = 2.5
MAX_SHARE = 0.5
#: Share of the new version while a done move's versions are compared again.
RECHECK_SHARE = 0.5
MIN_FIRST_STEP_ATTEMPTS = 20
#: A workspace with at least this share of the traffic is judged by itself.
LARGE_WORKSPACE_SHARE = 0.05


class State(enum.StrEnum):
    """Where a move stands."""

    RUNNING = "running"
    DONE = "done"
    TAKEN_BACK = "taken_back"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What an operator's rule asks of a move.

    ``by`` is in seconds since the epoch; ``share`` is the greatest share
    before the version is judged good.
    """

    move: str
    model: str
    old: str
    new: str
    share: float
    deadline: float
    #: What the requests are compared by; stands in reasons that people read.
    grouped_by: str = "workspace"

    @property
    def shares(self) -> tuple[float, ...]:
        """Share of the new version in each step."""
        shares = [self.share * FIRST_STEP_FACTOR, self.share]
        while shares[-1] < MAX_SHARE:
            shares.append(min(MAX_SHARE, shares[-1] * STEP_FACTOR))
        return tuple(shares)

    @property
    def gate_step(self) -> int:
        """Step beyond which only a version judged good goes."""
        return 1

    @property
    def recheck_step(self) -> int:
        """Number under which a done move's new evidence is counted."""
        return len(self.shares)

    def find_share(self, step: int) -> float | None:
        """Return the new version's share in a step, if there is such."""
        shares = (*self.shares, RECHECK_SHARE)
        return shares[step] if step < len(shares) else None


def make_move_id(model: str, new: str, rule: str) -> str:
    """Return the name of the move that a rule line asks for."""
    digest = hashlib.blake2b(rule.encode(), digest_size=4).hexdigest()
    return f"{model}.{new}.{digest}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgreedState:
    """A move's state as the store has agreed to it.

    ``changed`` is in seconds since the epoch on the holder's clock.
    """

    move: str
    step: int
    state: State
    reason: str
    fence: int
    holder: str
    changed: float

    @property
    def rank(self) -> tuple[int, int, int]:
        """Order in which states follow each other."""
        return (list(State).index(self.state), self.step, self.fence)

    def dump(self) -> str:
        """Return the state as JSON."""
        return json.dumps(dataclasses.asdict(self))


def load_agreed_state(text: str) -> AgreedState:
    """Read a move's state from JSON."""
    values = json.loads(text)
    values["state"] = State(values["state"])
    return AgreedState(**values)


class Action(enum.StrEnum):
    """What the evidence asks for."""

    WAIT = "wait"
    ADVANCE = "advance"
    WITHDRAW = "withdraw"
    FINISH = "finish"
    TAKE_BACK = "take_back"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """A verdict and why."""

    action: Action
    reason: str


def find_regression(
    plan: Plan, tallies: evidence.Tallies, *, single_host: bool
) -> str:
    """Return why the new version must be withdrawn, or nothing."""
    tests = BONFERRONI_SERIES * (BONFERRONI_HOSTS if single_host else 1)
    grouped = _group_pairs(plan, tallies)
    if len(grouped) > BONFERRONI_SERIES:
        tests = tests * len(grouped) / BONFERRONI_SERIES
    limit = math.log(tests / (FALSE_ALARM_RATE / 2))
    for workspace, pairs in grouped.items():
        suspicion = evidence.test_regression(pairs)
        if suspicion.log_e_value < limit:
            continue
        failures = sum(pair.new.failures for pair in pairs)
        attempts = sum(pair.new.attempts for pair in pairs)
        return (
            f"{suspicion.metric} of {plan.model}@{plan.new} in "
            f"{plan.grouped_by} {workspace!r} worse than {plan.old}: "
            f"{failures} of {attempts} attempts failed, log e-value "
            f"{suspicion.log_e_value:.1f}"
        )
    return ""


def decide(
    plan: Plan,
    tallies: evidence.Tallies,
    *,
    step: int,
    dwell_elapsed: bool,
    remaining_seconds: float,
    finish_lead_seconds: float,
) -> Decision:
    """Decide on a running move from the fleet's merged evidence.

    ``dwelt`` tells whether the step has lasted long enough; ``left`` are
    the seconds until the move's time, of which the last ``lead`` are for
    ending it.
    """
    alarm = find_regression(plan, tallies, single_host=False)
    if alarm:
        return Decision(action=Action.WITHDRAW, reason=alarm)
    waits_for = _find_missing_evidence(plan, tallies, step)
    if remaining_seconds <= 0:
        return Decision(
            action=Action.TAKE_BACK,
            reason="its time passed before the store agreed to its end",
        )
    if remaining_seconds <= finish_lead_seconds:
        return _decide_at_deadline(plan, step, waits_for)
    if waits_for or not dwell_elapsed:
        return Decision(action=Action.WAIT, reason=waits_for or "dwells")
    if step + 1 < len(plan.shares):
        return Decision(
            action=Action.ADVANCE,
            reason=f"judged good at a share of {plan.shares[step]:.1%}",
        )
    return Decision(action=Action.FINISH, reason="judged good in each step")


def _decide_at_deadline(plan: Plan, step: int, waits_for: str) -> Decision:
    share = f"{plan.shares[step]:.1%}"
    if step > plan.gate_step or (step == plan.gate_step and not waits_for):
        return Decision(
            action=Action.FINISH,
            reason=f"judged good, at a share of {share} when its time came",
        )
    return Decision(
        action=Action.TAKE_BACK,
        reason=f"not judged by its time, at a share of {share}: "
        + (waits_for or "the judged step was not reached"),
    )


def _find_missing_evidence(
    plan: Plan, tallies: evidence.Tallies, step: int
) -> str:
    """Return what the evidence of a step still lacks, or nothing."""
    old, new = _sum_step(tallies, step)
    if step < plan.gate_step:
        if new.attempts >= MIN_FIRST_STEP_ATTEMPTS:
            return ""
        return f"{new.attempts} of {MIN_FIRST_STEP_ATTEMPTS} attempts"
    goodness = evidence.test_non_inferiority(old, new)
    if goodness.log_e_value < -math.log(MISS_RATE):
        return (
            f"too little evidence on {goodness.metric} after "
            f"{new.attempts} attempts"
        )
    if step > plan.gate_step:
        return ""
    for name, (group_old, group_new) in _sum_groups(tallies).items():
        goodness = evidence.test_non_inferiority(group_old, group_new)
        if goodness.log_e_value < -math.log(WORKSPACE_MISS_RATE):
            return (
                f"too little evidence on {goodness.metric} in workspace "
                f"{name!r} after {group_new.attempts} attempts"
            )
    return ""


def _sum_step(
    tallies: evidence.Tallies, step: int
) -> tuple[evidence.Tally, evidence.Tally]:
    old, new = evidence.Tally(), evidence.Tally()
    for series, tally in tallies.items():
        if series.step == step:
            (new if series.new else old).add(tally)
    return old, new


def _sum_groups(
    tallies: evidence.Tallies,
) -> dict[str, tuple[evidence.Tally, evidence.Tally]]:
    """Sum up large workspaces by themselves and the rest together."""
    attempts = {}
    for series, tally in tallies.items():
        attempts.setdefault(series.workspace, 0)
        attempts[series.workspace] += tally.attempts
    least = LARGE_WORKSPACE_SHARE * sum(attempts.values())
    groups = {}
    for series, tally in tallies.items():
        name = "others"
        if attempts[series.workspace] >= least:
            name = series.workspace
        group = groups.setdefault(name, (evidence.Tally(), evidence.Tally()))
        group[series.new].add(tally)
    return groups


def _group_pairs(
    plan: Plan, tallies: evidence.Tallies
) -> dict[str, list[evidence.TallyPair]]:
    """Pair old and new by workspace and step."""
    pairs: dict[tuple[str, int], evidence.TallyPair] = {}
    for series, tally in tallies.items():
        share = plan.find_share(series.step)
        if share is None:
            continue
        pair = pairs.setdefault(
            (series.workspace, series.step),
            evidence.TallyPair(
                share=share,
                old=evidence.Tally(),
                new=evidence.Tally(),
            ),
        )
        (pair.new if series.new else pair.old).add(tally)
    grouped: dict[str, list[evidence.TallyPair]] = {}
    for (workspace, _), pair in pairs.items():
        grouped.setdefault(workspace, []).append(pair)
    return grouped
