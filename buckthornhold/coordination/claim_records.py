"""Claim records: stored claims of request ids and their outcomes."""

import base64
import dataclasses
import enum
import hashlib


class OutcomeKind(enum.StrEnum):
    """How a claimed request ended."""

    #: The upstream responded.
    ANSWERED = "answered"
    #: The request was certainly not executed and never will be.
    NOT_RUN = "not_run"
    #: The request was sent, and it is unknown whether it was executed.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """How a claimed request ended, with the response if it was stored.

    ``size`` is the response's length in bytes and ``digest`` its hash.
    ``kept`` tells whether the store has the body; ``body`` is None if it was
    not stored or not loaded.
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
    """A request id that one attempt of one entry host has claimed.

    ``change_id`` is unique to the attempt, so that after a lost reply the
    owner recognizes its own claim. ``digest`` is the request body's.
    ``time`` is when the id was made, or when it was claimed if that isn't
    known (``timed`` is False then). ``until`` is the time by which the owner
    has ended the attempt. Both are in seconds since the epoch. ``outcome`` is
    None while the request runs.
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
        """Return a copy of the claim with an outcome."""
        return dataclasses.replace(self, outcome=outcome)


class ClaimState(enum.StrEnum):
    """Result of an attempt to acquire a claim."""

    #: The calling attempt holds the claim.
    ACQUIRED = "taken"
    #: Another attempt holds it; its outcome is None while it runs.
    HELD = "held"
    #: The id was used with another body.
    REUSED = "reused"
    #: The id is older than the retained claims.
    EXPIRED = "expired"
    #: The calling attempt was already recorded as not run.
    ABANDONED = "given_up"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """Result of an attempt to acquire a claim, and the id's current claim."""

    state: ClaimState
    claim: Claim


def make_answered_outcome(
    *, status: int, content_type: str, body: bytes, limit: int
) -> Outcome:
    """Return a response's outcome; bodies above ``limit`` aren't stored."""
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


def make_not_run(claim: Claim) -> Claim:
    """Return a claim as one that was never sent."""
    return claim.complete(Outcome(kind=OutcomeKind.NOT_RUN))


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
    """Parse a claim from JSON values."""
    outcome = values.get("outcome")
    if outcome is None:
        return Claim(**values)
    body = outcome["body"]
    if body is not None:
        body = base64.b64decode(body)
    kind = OutcomeKind(outcome["kind"])
    loaded = Outcome(**{**outcome, "kind": kind, "body": body})
    return Claim(**{**values, "outcome": loaded})


def strip_body(claim: Claim) -> Claim:
    """Return the claim without its response's body."""
    if claim.outcome is None or claim.outcome.body is None:
        return claim
    return claim.complete(dataclasses.replace(claim.outcome, body=None))


def is_other_attempt(known: Claim, stored: Claim) -> bool:
    """Tell whether a store has another attempt that seems to run."""
    return stored.change_id != known.change_id and stored.outcome is None


def supersedes(new: Claim, old: Claim) -> bool:
    """Return whether a later claim in the log replaces an earlier one."""
    if new.change_id == old.change_id:
        return old.outcome is None and new.outcome is not None
    if old.outcome is None:
        return False
    return old.outcome.kind is OutcomeKind.NOT_RUN
