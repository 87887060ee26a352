"""Bodies: what upstreams answer, read within bounds of memory.

A faulty upstream may send without end, until its connection is closed.
"""

import aiohttp

from buckthornhold import memory_budgets

#: Longest body of an answer, in bytes: as long as a request's may be.
BODY_LIMIT_BYTES = 4 << 20
#: Of each answer so many bytes are not counted, so that usual ones are read
#: while long ones use the budget up.
UNCOUNTED_BYTES = 1 << 16


class BodyTooLongError(aiohttp.ClientError):
    """An answer is longer than may be held."""


class Body:
    """The bytes of one answer that are held while it is read."""

    def __init__(
        self, *, hold: memory_budgets.Hold, limit: int = BODY_LIMIT_BYTES
    ) -> None:
        self._hold = hold
        self._limit = limit

    def resize(self, size: int) -> None:
        """Note how much is held; raises ``BodyTooLongError`` if too much."""
        if size > self._limit:
            raise BodyTooLongError(f"longer than {self._limit} bytes")
        if not self._hold.try_resize(max(0, size - UNCOUNTED_BYTES)):
            raise BodyTooLongError(
                "no memory is left for what requests and answers hold"
            )


async def read_body(
    content: aiohttp.StreamReader, *, hold: memory_budgets.Hold
) -> bytes:
    """Return a whole body, which ``hold`` has from then on.

    Raises ``BodyTooLongError`` if it is too long.
    """
    held = Body(hold=hold)
    chunks = []
    size = 0
    while chunk := await content.readany():
        size += len(chunk)
        held.resize(size)
        chunks.append(chunk)
    return b"".join(chunks)
