"""Texts that the engine's stand-in generates, and how to judge them.

A plain token depends on its prompt and offset alone. A sampled token also
depends on the engine's salt, and carries a digest over the token before it:
text that was sampled again, skipped or doubled breaks the chain.
"""

import hashlib

SAMPLE_BYTES = 2
DIGEST_BYTES = 3
SAMPLE_MARK = "-"


def make_token(prompt: str, offset: int) -> str:
    """Return the one right token at an offset of a prompt's answer."""
    return " " + _hash(f"{offset}:{prompt}", DIGEST_BYTES)


def sample_token(prompt: str, offset: int, previous: str, salt: str) -> str:
    """Return the token that an engine with this salt samples."""
    sample = _hash(f"{salt}:{offset}:{previous}:{prompt}", SAMPLE_BYTES)
    return f" {sample}{SAMPLE_MARK}{_link(prompt, offset, previous, sample)}"


def is_right(prompt: str, tokens: list[str]) -> bool:
    """Tell whether tokens are one unbroken answer to a prompt."""
    previous = ""
    for offset, token in enumerate(tokens):
        sample, mark, digest = token.strip().partition(SAMPLE_MARK)
        if not mark:
            if token != make_token(prompt, offset):
                return False
        elif digest != _link(prompt, offset, previous, sample):
            return False
        previous = token
    return True


def _link(prompt: str, offset: int, previous: str, sample: str) -> str:
    return _hash(f"{offset}:{previous}:{sample}:{prompt}", DIGEST_BYTES)


def _hash(text: str, size: int) -> str:
    return hashlib.blake2b(text.encode(), digest_size=size).hexdigest()
