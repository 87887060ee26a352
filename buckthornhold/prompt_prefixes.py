"""Prompt prefixes that engines are likely to have cached."""

import collections
import hashlib

from buckthornhold import request_contracts

CHARS_PER_TOKEN = 4
BLOCK_TOKENS = 256
BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN
#: Limit on the blocks that are kept for all engines together.
MAX_BLOCKS = 16384
#: Cache size assumed for an engine that has not reported it.
DEFAULT_CACHE_TOKENS = 16_000


class SentPrefixes:
    """Keeps the prompt prefixes that this host sent to each engine.

    The prompts of other hosts are unknown, so the estimated tokens to
    prefill are more often too high than too low.
    """

    def __init__(self) -> None:
        self._blocks_by_engine: collections.OrderedDict[
            tuple[str, int], collections.OrderedDict[bytes, None]
        ] = collections.OrderedDict()
        self._block_count = 0

    def estimate_missing_tokens(
        self, key: tuple[str, int], contract: request_contracts.RequestContract
    ) -> int:
        """Return how many tokens of a prompt an engine has to prefill."""
        blocks = self._blocks_by_engine.get(key, ())
        missing = contract.prompt_tokens
        for block in contract.blocks:
            if block not in blocks:
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
        """Record a prompt that is sent to an engine.

        ``cached_tokens`` is the engine's total of cached tokens, if known.
        """
        blocks = (
            self._blocks_by_engine.pop(key, None) or collections.OrderedDict()
        )
        self._blocks_by_engine[key] = blocks
        before = len(blocks)
        for block in contract.blocks:
            blocks[block] = None
            blocks.move_to_end(block)
        max_blocks = max(
            1, (cached_tokens or DEFAULT_CACHE_TOKENS) // BLOCK_TOKENS
        )
        while len(blocks) > max_blocks:
            blocks.popitem(last=False)
        self._block_count += len(blocks) - before
        self._evict()

    def _evict(self) -> None:
        """Evict the least recently used engines."""
        while (
            self._block_count > MAX_BLOCKS and len(self._blocks_by_engine) > 1
        ):
            _, blocks = self._blocks_by_engine.popitem(last=False)
            self._block_count -= len(blocks)


def count_tokens(prompt: str) -> int:
    """Return the approximate number of tokens of a prompt."""
    return len(prompt) // CHARS_PER_TOKEN + 1


def list_blocks(prompt: str) -> tuple[bytes, ...]:
    """Return for each block the digest of the prompt up to its end."""
    hashed = hashlib.blake2b(digest_size=8)
    blocks = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        hashed.update(prompt[start : start + BLOCK_CHARS].encode())
        blocks.append(hashed.digest())
    return tuple(blocks)
