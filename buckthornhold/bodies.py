"""Bodies: what upstreams answer, read within bounds of memory.

A faulty upstream may send without end, until its connection is closed.
"""

import aiohttp

#: Longest body of an answer, in bytes: as long as a request's may be.
BODY_LIMIT_BYTES = 4 << 20
#: Most bytes of all answers that are being read at once; the smallest hosts
#: have 200 MB for everything.
BUDGET_BYTES = 32 << 20
#: Of each answer so many bytes are not counted, so that usual ones are read
#: while long ones use the budget up.
UNCOUNTED_BYTES = 1 << 16


class BodyTooLongError(aiohttp.ClientError):
    """An answer is longer than may be held."""


class BodyResetError(aiohttp.ClientError):
    """The connection was reset in a body that ends with its connection."""


class BodyEnd:
    """Tells whether a body that ended is whole.

    A body without a length ends with its connection; aiohttp takes a reset for
    such an end, too. To be made before the body is read: the response drops
    its connection at the end of it.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._protocol = response.connection and response.connection.protocol
        self._has_length = (
            "Content-Length" in response.headers
            or "Transfer-Encoding" in response.headers
        )

    def check(self) -> None:
        """Raise ``BodyResetError`` if the body was broken off."""
        if self._has_length or self._protocol is None:
            return
        if isinstance(self._protocol.exception(), aiohttp.ClientOSError):
            raise BodyResetError("connection reset in a body without a length")


class Budget:
    """The memory of all answers that are being read, in bytes."""

    def __init__(self, *, most: int = BUDGET_BYTES) -> None:
        self._most = most
        self._held = 0

    def take(self, size: int) -> None:
        """Hold so much more; raises ``BodyTooLongError`` if it is too much."""
        if self._held + size > self._most:
            raise BodyTooLongError(
                f"all answers together would take more than {self._most} bytes"
            )
        self._held += size

    def give_back(self, size: int) -> None:
        """Hold so much less."""
        self._held -= size


class Body:
    """The bytes of one answer that are held while it is read."""

    def __init__(
        self, *, budget: Budget, limit: int = BODY_LIMIT_BYTES
    ) -> None:
        self._budget = budget
        self._limit = limit
        self._size = 0

    def resize(self, size: int) -> None:
        """Note how much is held; raises ``BodyTooLongError`` if too much."""
        if size > self._limit:
            raise BodyTooLongError(f"longer than {self._limit} bytes")
        before, now = (
            max(0, it - UNCOUNTED_BYTES) for it in (self._size, size)
        )
        if now > before:
            self._budget.take(now - before)
        else:
            self._budget.give_back(before - now)
        self._size = size

    def release(self) -> None:
        """Hold nothing any more."""
        self.resize(0)


async def read_body(content: aiohttp.StreamReader, *, budget: Budget) -> bytes:
    """Return a whole body; raises ``BodyTooLongError`` if it is too long."""
    held = Body(budget=budget)
    chunks = []
    size = 0
    try:
        while chunk := await content.readany():
            size += len(chunk)
            held.resize(size)
            chunks.append(chunk)
    finally:
        held.release()
    return b"".join(chunks)
