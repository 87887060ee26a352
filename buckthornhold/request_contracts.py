"""Request contracts: the terms of a request, from rules and headers."""

import dataclasses
import hashlib

PREFIX_CHARACTERS = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt; equal names imply equal tokens before it."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestContract:
    """Terms on which one request was accepted.

    ``deadline`` is on the monotonic clock, in seconds. ``route`` names the
    model or ``service/operation``. ``id_from_client`` tells whether the
    client gave the request id, ``is_retry`` whether it says that it sent the
    id before, and ``id_created_at`` when the id was created, in seconds
    since the epoch, if that is known. ``resumed`` tells whether the request
    was taken over from another entry host that had accepted it.
    ``shared_key`` is equal for calls that may share one execution and empty
    for others; the answer that they share may be ``max_answer_age`` seconds
    old. ``prefix`` is the start of a model's prompt, ``blocks`` are the
    digests of its blocks and ``prompt_tokens`` is its length.
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
    """Return a digest by which equal request bodies are recognized."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def hash_to_fraction(request_id: str) -> float:
    """Hash a request id to [0, 1), the same on every host."""
    hashed = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    return int.from_bytes(hashed, "big") / 2**64
