"""Event ids: what a caller has of its answer, as it says when it returns.

The standard event id of a stream names the request, counts the tokens that
the caller has, and holds a digest of their text. By the digest a host that
has the text generated again knows whether it is the caller's.
"""

from collections.abc import Iterable
import dataclasses
import re
import zlib

FORMAT = "REQUEST_ID:OFFSET or REQUEST_ID:OFFSET-DIGEST"
PATTERN = re.compile(
    r"(?P<request_id>.+):(?P<offset>[0-9]{1,9})(-(?P<digest>[0-9a-f]{8}))?"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EventId:
    """What a caller has of an answer; ``digest`` is None if not given."""

    request_id: str
    offset: int
    digest: int | None = None


def parse(text: str) -> EventId | None:
    """Return what an event id says, or None if it makes no sense."""
    found = PATTERN.fullmatch(text)
    if found is None:
        return None
    digest = found["digest"]
    return EventId(
        request_id=found["request_id"],
        offset=int(found["offset"]),
        digest=None if digest is None else int(digest, 16),
    )


def extend_digest(digest: int, text: str) -> int:
    """Return the digest of a text that goes on with another token."""
    return zlib.crc32(text.encode("utf-8", "surrogatepass"), digest)


def digest_texts(texts: Iterable[str]) -> int:
    """Return the digest of tokens from the first one on."""
    return extend_digest(0, "".join(texts))
