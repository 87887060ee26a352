"""What is kept of a request that runs at most once."""

import base64
import dataclasses
import enum
import hashlib


class OutcomeKind(enum.StrEnum):
    """How a claimed request ended."""

    #: The upstream answered.
    ANSWERED = "answered"
    #: The owner surely sent nothing that ran, and never will.
    NOT_RUN = "not_run"
    #: The owner sent it and can't tell whether it ran.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """How a claimed request ended, with the answer if it was kept.

    ``size`` is the answer's length in bytes and ``digest`` tells it apart;
    ``body`` is None when the answer isn't at hand, and ``kept`` tells
    whether the store has it.
    """

    kind: OutcomeKind
    status: int = 0
    content_type: str = ""
    body: bytes | None = None
    kept: bool = False
    size: int = 0
    digest: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """A request id taken for running by one attempt of one entry host.

    ``change_id`` is the attempt's own and tells a lost answer's claim apart
    from another's. ``digest`` is the request body's. ``time`` is when the id
    was made, or when it was claimed if that isn't known; ``until`` is when
    the owner has given up at the latest; both are seconds since the epoch.
    ``outcome`` is None while the request runs.
    """

    request_id: str
    change_id: str
    digest: str
    host: str
    incarnation: int
    time: float
    until: float
    timed: bool = False
    outcome: Outcome | None = None

    def complete(self, outcome: Outcome) -> "Claim":
        """Return the claim with its outcome."""
        return dataclasses.replace(self, outcome=outcome)


class ClaimState(enum.StrEnum):
    """What came of trying to take a claim."""

    #: The claim is the asking attempt's own.
    ACQUIRED = "taken"
    #: Another attempt has it; its outcome is None while it runs.
    HELD = "held"
    #: The id was used with another body.
    REUSED = "reused"
    #: The id is older than what is kept.
    EXPIRED = "expired"
    #: The asking attempt itself has already given up.
    ABANDONED = "given_up"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """What came of trying to take a claim, with the claim that stands."""

    state: ClaimState
    claim: Claim


def make_answered_outcome(
    *, status: int, content_type: str, body: bytes, limit: int
) -> Outcome:
    """Return an answer's outcome; bodies above ``limit`` aren't kept."""
    kept = len(body) <= limit
    return Outcome(
        kind=OutcomeKind.ANSWERED,
        status=status,
        content_type=content_type,
        body=body if kept else None,
        kept=kept,
        size=len(body),
        digest=hashlib.blake2b(body, digest_size=16).hexdigest(),
    )


def dump_claim(claim: Claim) -> dict:
    """Return a claim as JSON values."""
    values = dataclasses.asdict(claim)
    outcome = values["outcome"]
    if outcome is None:
        del values["outcome"]
        return values
    if outcome["body"] is not None:
        outcome["body"] = base64.b64encode(outcome["body"]).decode()
    return values


def load_claim(values: dict) -> Claim:
    """Read a claim from JSON values."""
    outcome = values.get("outcome")
    if outcome is None:
        return Claim(**values)
    body = outcome["body"]
    if body is not None:
        body = base64.b64decode(body)
    kind = OutcomeKind(outcome["kind"])
    ended = Outcome(**{**outcome, "kind": kind, "body": body})
    return Claim(**{**values, "outcome": ended})


def strip_body(claim: Claim) -> Claim:
    """Return the claim without its answer's body."""
    if claim.outcome is None or claim.outcome.body is None:
        return claim
    return claim.complete(dataclasses.replace(claim.outcome, body=None))
