"""Contracts: what a request is promised, from rules and headers."""

import dataclasses
import hashlib

PREFIX_CHARACTERS = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt; equal names stand for equal tokens before it."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestContract:
    """What one request was promised when it was accepted.

    ``deadline`` is on the monotonic clock, in seconds. ``route`` names the
    model or ``service/operation``. ``caller_id`` tells whether the caller
    gave the request id, ``repeated`` whether it says that it sent the id
    before, and ``made_at`` when the id was made, in seconds since the epoch,
    if that is known. ``resumed`` tells whether another entry host had
    accepted the request, from which it was taken over. ``shared_key`` is the
    same for calls that may share one execution, empty for others; ``fresh``
    is how old an answer may be that they are given, in seconds.
    ``prefix`` is the start of a model's prompt, ``blocks`` are the digests
    of its blocks and ``prompt_tokens`` its length.
    """

    request_id: str
    workspace: str
    route: str
    deadline: float
    priority: int = 0
    idempotent: bool = True
    digest: str = ""
    prefix: str = ""
    blocks: tuple[bytes, ...] = ()
    prompt_tokens: int = 0
    id_from_client: bool = True
    is_retry: bool = False
    resumed: bool = False
    id_created_at: float | None = None
    shared_key: str = ""
    max_answer_age: float = 0.0


def digest_body(body: bytes) -> str:
    """Return the digest that tells equal request bodies apart from others."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def hash_to_fraction(request_id: str) -> float:
    """Map a request id to [0, 1), the same on every host."""
    hashed = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    return int.from_bytes(hashed, "big") / 2**64
