"""Prompt parts: the parts of prompts that several requests may share."""

import hashlib
import re

DIGEST_BYTES = 10
#: Beginning of a message in a chat's prompt.
MESSAGE_START = re.compile(r"\n(?=(?:system|developer|user|assistant|tool): )")


def make_digest(scope: str, part: str) -> str:
    """Return a digest that equal parts share within a service or model."""
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    hashed.update(f"{scope}\0{part}".encode())
    return hashed.hexdigest()


def list_shared(scope: str, parts: list[str]) -> tuple[str, ...]:
    """Return the digests of all parts but the last.

    The last one belongs to the request alone.
    """
    digests = (make_digest(scope, part) for part in parts[:-1])
    return tuple(dict.fromkeys(digests))


def split_messages(prompt: str) -> list[str]:
    """Return the messages of a chat's prompt."""
    return MESSAGE_START.split(prompt)
