"""Prefixes: which prompts' starts an engine is likely to have cached."""

import collections
import hashlib

from buckthornhold import request_contracts

CHARS_PER_TOKEN = 4
BLOCK_TOKENS = 256
BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN
#: Blocks that are remembered of all engines together.
MAX_BLOCKS = 16384
#: Tokens cached by an engine that has not said how many it holds.
DEFAULT_CACHE_TOKENS = 16_000


class SentPrefixes:
    """Remembers the starts of the prompts that this host sent to engines.

    What other hosts sent is not known, so the tokens to prefill are rather
    estimated too high than too low.
    """

    def __init__(self) -> None:
        self._engines: collections.OrderedDict[
            tuple[str, int], collections.OrderedDict[bytes, None]
        ] = collections.OrderedDict()
        self._block_count = 0

    def estimate_missing_tokens(
        self, key: tuple[str, int], contract: request_contracts.RequestContract
    ) -> int:
        """Return how many of a prompt's tokens an engine has to prefill."""
        known = self._engines.get(key, ())
        missing = contract.prompt_tokens
        for block in contract.blocks:
            if block not in known:
                break
            missing -= BLOCK_TOKENS
        return missing

    def record(
        self,
        key: tuple[str, int],
        contract: request_contracts.RequestContract,
        *,
        cached_tokens: int = 0,
    ) -> None:
        """Note a prompt that is sent to an engine.

        ``cached_tokens`` is what the engine holds in all, if it is known.
        """
        known = self._engines.pop(key, None) or collections.OrderedDict()
        self._engines[key] = known
        before = len(known)
        for block in contract.blocks:
            known[block] = None
            known.move_to_end(block)
        most = max(1, (cached_tokens or DEFAULT_CACHE_TOKENS) // BLOCK_TOKENS)
        while len(known) > most:
            known.popitem(last=False)
        self._block_count += len(known) - before
        self._evict()

    def _evict(self) -> None:
        """Forget the engines used longest ago."""
        while self._block_count > MAX_BLOCKS and len(self._engines) > 1:
            _, known = self._engines.popitem(last=False)
            self._block_count -= len(known)


def count_tokens(prompt: str) -> int:
    """Return how many tokens a prompt has, roughly."""
    return len(prompt) // CHARS_PER_TOKEN + 1


def list_blocks(prompt: str) -> tuple[bytes, ...]:
    """Return digests, each of the prompt up to the end of one block."""
    hashed = hashlib.blake2b(digest_size=8)
    blocks = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        hashed.update(prompt[start : start + BLOCK_CHARS].encode())
        blocks.append(hashed.digest())
    return tuple(blocks)
