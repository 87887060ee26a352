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
    returned like events.
    """

    def __init__(self) -> None:
        #: The bytes after the last blank line, in the pieces that came.
        self._pieces: list[bytes] = []
        self._last_byte = b""
        self._held_bytes = 0
        self._filler_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Number of bytes of a block that has not ended."""
        return self._held_bytes

    def take(self, data: bytes) -> list[bytes]:
        """Take in bytes; return the blocks that end in them.

        Raises ``FillerError`` if too many bytes came without an event.
        """
        self._pieces.append(data)
        if SEPARATOR not in self._last_byte + data:
            # Joined only once the block ends, however small the pieces are.
            self._held_bytes += len(data)
            self._last_byte = data[-1:] or self._last_byte
            return []
        *found, rest = b"".join(self._pieces).split(SEPARATOR)
        self._hold(rest.lstrip(LINE_FEED))
        blocks = []
        for block in found:
            self._count_filler(block)
            block = block.lstrip(LINE_FEED)
            if block:
                blocks.append(block + SEPARATOR)
        return blocks

    def _hold(self, rest: bytes) -> None:
        self._pieces = [rest] if rest else []
        self._held_bytes = len(rest)
        self._last_byte = rest[-1:]

    def _count_filler(self, block: bytes) -> None:
        if block.startswith(DATA_FIELD) or LINE_FEED + DATA_FIELD in block:
            self._filler_bytes = 0
            return
        self._filler_bytes += len(block) + len(SEPARATOR)
        if self._filler_bytes > FILLER_LIMIT_BYTES:
            raise FillerError(
                f"more than {FILLER_LIMIT_BYTES} bytes without an event's data"
            )
