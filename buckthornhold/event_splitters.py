"""Event splitters: the server-sent events in what an upstream sends."""

import aiohttp

SEPARATOR = b"\n\n"
LINE_FEED = b"\n"
DATA_FIELD = b"data"
#: Bytes in a row that belong to no event with data. Comments that keep a
#: connection alive have a few bytes each.
FILLER_LIMIT_BYTES = 1 << 16


class FillerError(aiohttp.ClientError):
    """An upstream sends only blank lines and blocks without data."""


class EventSplitter:
    """Splits the bytes of a stream into blocks, each ended by a blank line.

    Further blank lines are dropped: they are no events, and a faulty upstream
    may send them without end. Blocks without data, such as comments, are
    returned like events. Each byte is searched and copied a fixed number of
    times, and blocks are cut out only when they are asked for: objects for
    very small ones would take many times their bytes.
    """

    def __init__(self) -> None:
        #: Bytes with at least one whole block, read up to ``_position``.
        self._buffer = b""
        self._position = 0
        #: The bytes after the last whole block, in the pieces that came.
        self._pieces: list[bytes] = []
        self._last_byte = b""
        self._held_bytes = 0
        self._filler_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Number of bytes of a block that has not ended."""
        return self._held_bytes

    def add(self, data: bytes) -> None:
        """Add bytes; to be called when there is no further block.

        Raises ``FillerError`` if too many bytes came without an event.
        """
        if not self._held_bytes:
            size = len(data)
            data = data.lstrip(LINE_FEED)
            self._count_filler(size - len(data))
        self._pieces.append(data)
        if SEPARATOR in self._last_byte + data:
            self._buffer = b"".join(self._pieces)
            self._position = 0
            self._hold(b"")
            return
        self._held_bytes += len(data)
        self._last_byte = data[-1:] or self._last_byte

    def find_next(self) -> bytes | None:
        """Return the next block, None if more bytes are needed.

        Raises ``FillerError`` if too many bytes came without an event.
        """
        while self._buffer:
            end = self._buffer.find(SEPARATOR, self._position)
            if end < 0:
                self._hold(self._buffer[self._position :].lstrip(LINE_FEED))
                self._buffer = b""
                return None
            block = self._buffer[self._position : end]
            self._position = end + len(SEPARATOR)
            self._count_block(block)
            block = block.lstrip(LINE_FEED)
            if block:
                return block + SEPARATOR
        return None

    def _hold(self, rest: bytes) -> None:
        self._pieces = [rest] if rest else []
        self._held_bytes = len(rest)
        self._last_byte = rest[-1:]

    def _count_block(self, block: bytes) -> None:
        if block.startswith(DATA_FIELD) or LINE_FEED + DATA_FIELD in block:
            self._filler_bytes = 0
        else:
            self._count_filler(len(block) + len(SEPARATOR))

    def _count_filler(self, size: int) -> None:
        self._filler_bytes += size
        if self._filler_bytes > FILLER_LIMIT_BYTES:
            raise FillerError(
                f"more than {FILLER_LIMIT_BYTES} bytes without an event's data"
            )
