"""KV caches of the engine's stand-in: prompt prefixes and imports."""

import collections
import dataclasses
import hashlib
import json
import time

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 64
IMPORT_KEEP_SECONDS = 10.0


def count_tokens(prompt: str) -> int:
    """Return how many tokens a prompt has."""
    return len(prompt) // BYTES_PER_TOKEN + 1


class PrefixCache:
    """Least recently used blocks of prompt prefixes.

    ``events`` are the blocks stored and removed, oldest first.
    """

    def __init__(self, *, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._blocks: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.events: list[dict] = []

    @property
    def tokens(self) -> int:
        """How many tokens are cached."""
        return len(self._blocks) * BLOCK_TOKENS

    def use(self, prompt: str) -> int:
        """Return how many of a prompt's tokens were cached; cache all."""
        cached = 0
        hit = True
        for block in _list_blocks(prompt):
            if block in self._blocks and hit:
                cached += BLOCK_TOKENS
                self._blocks.move_to_end(block)
                continue
            hit = False
            self._blocks[block] = BLOCK_TOKENS
            self.events.append({"stored": block})
        while self.tokens > self._capacity_tokens:
            block, _ = self._blocks.popitem(last=False)
            self.events.append({"removed": block})
        return cached


@dataclasses.dataclass(frozen=True, kw_only=True)
class Import:
    """The KV cache of a stream that another engine ran.

    ``produced`` counts the answer's tokens in it; ``taken`` is on the
    monotonic clock, in seconds.
    """

    produced: int
    prompt_digest: str
    taken: float


class Imports:
    """Imported KV caches that wait for their streams."""

    def __init__(self, *, room: int) -> None:
        self._room = room
        self._waiting: dict[str, Import] = {}

    @property
    def full(self) -> bool:
        """Whether there is no room for another import."""
        oldest = time.monotonic() - IMPORT_KEEP_SECONDS
        for request_id, found in list(self._waiting.items()):
            if found.taken < oldest:
                del self._waiting[request_id]
        return len(self._waiting) >= self._room

    def add(self, request_id: str, blob: str) -> None:
        """Keep a cache for the stream that will ask for it."""
        self._waiting[request_id] = Import(
            **json.loads(blob), taken=time.monotonic()
        )

    def take(self, request_id: str, prompt: str) -> Import | None:
        """Return and forget a stream's cache if it fits the prompt."""
        found = self._waiting.pop(request_id, None)
        if found is None or found.prompt_digest != digest_prompt(prompt):
            return None
        return found


def export(prompt: str, produced: int) -> str:
    """Return a stream's KV cache as an opaque text."""
    return json.dumps(
        {"produced": produced, "prompt_digest": digest_prompt(prompt)}
    )


def digest_prompt(prompt: str) -> str:
    """Return the digest that tells prompts apart."""
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()


def _list_blocks(prompt: str) -> list[str]:
    size = BLOCK_TOKENS * BYTES_PER_TOKEN
    hashed = hashlib.blake2b(digest_size=8)
    blocks = []
    for start in range(0, len(prompt) - size + 1, size):
        hashed.update(prompt[start : start + size].encode())
        blocks.append(hashed.hexdigest())
    return blocks
