"""Soak links: loopback proxies whose connections can be harmed."""

import asyncio

from buckthornhold.standins import raw_answers
from testbed import dark_listeners

CHUNK_BYTES = 1 << 16
#: What a delayed link adds to each chunk, in seconds.
DELAY_SECONDS = 0.15


class Link:
    """Passes TCP connections on to one address.

    ``fault`` is empty or one of the kinds in ``soak_plans``. A silent link and
    one that is cut in one way swallow nothing: what was sent goes on once
    they are mended, as TCP sends it again. ``closed`` refuses connections.
    """

    def __init__(self, *, target: str) -> None:
        self.target = target
        self.address = ""
        self.closed = False
        self._fault = ""
        self._mended = asyncio.Event()
        self._mended.set()
        self._server: asyncio.Server | None = None
        self._dark: dark_listeners.DarkListener | None = None
        self._transports: set[asyncio.Transport] = set()
        #: Never mended for the connections that were open at a silencing.
        self._open_silence = asyncio.Event()
        self._copies: set[asyncio.Task] = set()

    @property
    def dark(self) -> bool:
        """Whether connections hang."""
        return self._dark is not None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._pass, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def refuse(self) -> None:
        """Listen no more, as where no process is; open connections stay."""
        self._server.close()

    async def accept(self) -> None:
        """Listen again on the same port."""
        port = int(self.address.rpartition(":")[2])
        self._server = await asyncio.start_server(
            self._pass, "127.0.0.1", port
        )

    async def go_dark(self) -> None:
        """Have new connections hang, and open ones pass nothing any more."""
        self._server.close()
        self.silence_open()
        self._dark = dark_listeners.DarkListener(address=self.address)

    async def return_from_dark(self) -> None:
        """Reset the open connections and take new ones, after ``go_dark``."""
        self._dark.close()
        self._dark = None
        self.reset()
        await self.accept()

    async def stop(self) -> None:
        """End all connections and stop listening."""
        self._server.close()
        self.reset()
        for copy in self._copies:
            copy.cancel()
        await asyncio.gather(*self._copies, return_exceptions=True)

    def harm(self, fault: str) -> None:
        """Begin a fault; an empty one mends the link."""
        self._fault = fault
        if fault == "reset":
            self.reset()
        if fault == "silence open":
            self.silence_open()
        if fault in ("silence", "cut to", "cut from"):
            self._mended.clear()
        else:
            self._mended.set()

    def reset(self) -> None:
        """Reset all connections."""
        for transport in list(self._transports):
            raw_answers.reset(transport)
        self._transports.clear()

    def silence_open(self) -> None:
        """Have open connections pass nothing any more, without a reset.

        New ones work.
        """
        self._open_silence.set()
        self._open_silence = asyncio.Event()

    async def _pass(self, reader, writer) -> None:
        if self.closed:
            raw_answers.reset(writer.transport)
            return
        await self._wait("cut to")
        silenced = self._open_silence
        ip, _, port = self.target.rpartition(":")
        try:
            up_reader, up_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            raw_answers.reset(writer.transport)
            return
        ends = {writer.transport, up_writer.transport}
        self._transports |= ends
        copies = [
            asyncio.ensure_future(
                self._copy(reader, up_writer, "cut to", silenced)
            ),
            asyncio.ensure_future(
                self._copy(up_reader, writer, "cut from", silenced)
            ),
        ]
        self._copies |= set(copies)
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            for copy in copies:
                copy.cancel()
            self._copies -= set(copies)
            for end in ends:
                end.abort()
            self._transports -= ends

    async def _copy(self, reader, writer, cut: str, silenced) -> None:
        while True:
            try:
                chunk = await reader.read(CHUNK_BYTES)
            except ConnectionError:
                raw_answers.reset(writer.transport)
                raise
            await self._wait(cut)
            if silenced.is_set():
                # What was sent on it is lost, and so is its end.
                await asyncio.Event().wait()
            if self._fault == "delay":
                await asyncio.sleep(DELAY_SECONDS)
            if not chunk:
                writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()

    async def _wait(self, cut: str) -> None:
        while self._fault in ("silence", cut):
            await self._mended.wait()
