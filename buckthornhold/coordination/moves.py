"""Canary moves of traffic from an old model version to a new one.

A move raises the new version's share of the traffic step by step. Its state
is committed to the store. This module only decides the next transition, from
counts and the clock, without I/O.
"""

import dataclasses
import enum
import hashlib
import json
import math

from buckthornhold.coordination import evidence

#: Probability that a move withdraws a version that is no worse than the old
#: one. One half is spent on the fleet's merged evidence, the other on the
#: evidence of single hosts.
FALSE_ALARM_RATE = 0.01
#: Number of series and of hosts in the Bonferroni correction of that rate.
BONFERRONI_SERIES = 8
BONFERRONI_HOSTS = 400
#: Probability that one step accepts a version as bad as the limits in
#: ``evidence`` (such as ``MAX_FAILURE_RATE_EXCESS``), over all traffic and
#: within one workspace.
MISS_RATE = 0.01
WORKSPACE_MISS_RATE = 0.1
#: Share of the first step, as a factor of the plan's share.
FIRST_STEP_FACTOR = 0.25
#: Growth of the share from each step to the next, up to ``MAX_SHARE``.
STEP_FACTOR = 2.5
MAX_SHARE = 0.5
#: Share of the new version while the versions of a completed move are
#: compared again.
RECHECK_SHARE = 0.5
MIN_FIRST_STEP_ATTEMPTS = 20
#: A workspace with at least this share of the traffic is tested separately.
LARGE_WORKSPACE_SHARE = 0.05


class State(enum.StrEnum):
    """State of a move; ``DONE`` and ``TAKEN_BACK`` (rollback) are final."""

    RUNNING = "running"
    DONE = "done"
    TAKEN_BACK = "taken_back"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Parameters of a move, from an operator's rule.

    ``deadline`` is in seconds since the epoch. ``share`` limits the new
    version's share of the traffic until the version has passed its tests.
    """

    move: str
    model: str
    old: str
    new: str
    share: float
    deadline: float
    #: What requests are grouped by for comparison; shown in reasons.
    grouped_by: str = "workspace"

    @property
    def shares(self) -> tuple[float, ...]:
        """The new version's share of the traffic in each step."""
        shares = [self.share * FIRST_STEP_FACTOR, self.share]
        while shares[-1] < MAX_SHARE:
            shares.append(min(MAX_SHARE, shares[-1] * STEP_FACTOR))
        return tuple(shares)

    @property
    def gate_step(self) -> int:
        """Last step before the gate: only a passed version goes beyond."""
        return 1

    @property
    def recheck_step(self) -> int:
        """Step number of the evidence gathered after the move is done."""
        return len(self.shares)

    def find_share(self, step: int) -> float | None:
        """Return the new version's share in a step, None if out of range."""
        shares = (*self.shares, RECHECK_SHARE)
        return shares[step] if step < len(shares) else None


def make_move_id(model: str, new: str, rule: str) -> str:
    """Return the id of the move that a rule line requests."""
    digest = hashlib.blake2b(rule.encode(), digest_size=4).hexdigest()
    return f"{model}.{new}.{digest}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgreedState:
    """State of a move as committed to the store.

    ``fence`` is the fencing token of the lease holder that wrote it.
    ``changed`` is in seconds since the epoch on that holder's clock.
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
        """Sort key: a later state of the same move ranks higher."""
        return (list(State).index(self.state), self.step, self.fence)

    def dump(self) -> str:
        """Return the state as JSON."""
        return json.dumps(dataclasses.asdict(self))


def load_agreed_state(text: str) -> AgreedState:
    """Parse a move's state from JSON."""
    values = json.loads(text)
    values["state"] = State(values["state"])
    return AgreedState(**values)


class Action(enum.StrEnum):
    """Next transition of a running move."""

    WAIT = "wait"
    ADVANCE = "advance"
    WITHDRAW = "withdraw"
    FINISH = "finish"
    TAKE_BACK = "take_back"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """A chosen action and the reason for it."""

    action: Action
    reason: str


def find_regression(
    plan: Plan, tallies: evidence.Tallies, *, single_host: bool
) -> str:
    """Return why the new version must be withdrawn, or an empty string."""
    tests = BONFERRONI_SERIES * (BONFERRONI_HOSTS if single_host else 1)
    grouped = _group_pairs(plan, tallies)
    if len(grouped) > BONFERRONI_SERIES:
        tests = tests * len(grouped) / BONFERRONI_SERIES
    limit = math.log(tests / (FALSE_ALARM_RATE / 2))
    for workspace, pairs in grouped.items():
        result = evidence.test_regression(pairs)
        if result.log_e_value < limit:
            continue
        failures = sum(pair.new.failures for pair in pairs)
        attempts = sum(pair.new.attempts for pair in pairs)
        return (
            f"{result.metric} of {plan.model}@{plan.new} in "
            f"{plan.grouped_by} {workspace!r} worse than {plan.old}: "
            f"{failures} of {attempts} attempts failed, log e-value "
            f"{result.log_e_value:.1f}"
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
    """Choose the next action of a move from the fleet's merged evidence.

    ``dwell_elapsed`` tells whether the step has lasted its minimum time.
    ``remaining_seconds`` is the time to the deadline; the last
    ``finish_lead_seconds`` of it are reserved for ending the move.
    """
    regression = find_regression(plan, tallies, single_host=False)
    if regression:
        return Decision(action=Action.WITHDRAW, reason=regression)
    missing = _find_missing_evidence(plan, tallies, step)
    if remaining_seconds <= 0:
        return Decision(
            action=Action.TAKE_BACK,
            reason="its time passed before the store agreed to its end",
        )
    if remaining_seconds <= finish_lead_seconds:
        return _decide_at_deadline(plan, step, missing)
    if missing or not dwell_elapsed:
        return Decision(action=Action.WAIT, reason=missing or "dwells")
    if step + 1 < len(plan.shares):
        return Decision(
            action=Action.ADVANCE,
            reason=f"judged good at a share of {plan.shares[step]:.1%}",
        )
    return Decision(action=Action.FINISH, reason="judged good in each step")


def _decide_at_deadline(plan: Plan, step: int, missing: str) -> Decision:
    share = f"{plan.shares[step]:.1%}"
    if step > plan.gate_step or (step == plan.gate_step and not missing):
        return Decision(
            action=Action.FINISH,
            reason=f"judged good, at a share of {share} when its time came",
        )
    return Decision(
        action=Action.TAKE_BACK,
        reason=f"not judged by its time, at a share of {share}: "
        + (missing or "the judged step was not reached"),
    )


def _find_missing_evidence(
    plan: Plan, tallies: evidence.Tallies, step: int
) -> str:
    """Return what evidence a step still lacks, or an empty string."""
    old, new = _sum_step(tallies, step)
    if step < plan.gate_step:
        if new.attempts >= MIN_FIRST_STEP_ATTEMPTS:
            return ""
        return f"{new.attempts} of {MIN_FIRST_STEP_ATTEMPTS} attempts"
    result = evidence.test_non_inferiority(old, new)
    if result.log_e_value < -math.log(MISS_RATE):
        return (
            f"too little evidence on {result.metric} after "
            f"{new.attempts} attempts"
        )
    if step > plan.gate_step:
        return ""
    for name, (group_old, group_new) in _sum_groups(tallies).items():
        result = evidence.test_non_inferiority(group_old, group_new)
        if result.log_e_value < -math.log(WORKSPACE_MISS_RATE):
            return (
                f"too little evidence on {result.metric} in workspace "
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
    """Sum tallies per large workspace, and over all small ones together."""
    attempts = {}
    for series, tally in tallies.items():
        attempts.setdefault(series.workspace, 0)
        attempts[series.workspace] += tally.attempts
    min_attempts = LARGE_WORKSPACE_SHARE * sum(attempts.values())
    groups = {}
    for series, tally in tallies.items():
        name = "others"
        if attempts[series.workspace] >= min_attempts:
            name = series.workspace
        group = groups.setdefault(name, (evidence.Tally(), evidence.Tally()))
        group[series.new].add(tally)
    return groups


def _group_pairs(
    plan: Plan, tallies: evidence.Tallies
) -> dict[str, list[evidence.TallyPair]]:
    """Pair old and new tallies by step, grouped by workspace."""
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
