"""Gates: proxies before workers, which can go dark.

A dark worker answers nothing: bytes on open connections wait, and new
connections hang, as with a machine that has no power.
"""

import asyncio
import contextlib
import socket

from testbed import ports

#: Connections that fill the queue of a listener that accepts nothing.
PLUGS = 4


class Gate:
    """Passes connections on to a worker until it goes dark."""

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._port = ports.find_free_port()
        self._server: asyncio.Server | None = None
        self._passing = asyncio.Event()
        self._passing.set()
        self._sockets: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address that the worker is listed with."""
        return f"127.0.0.1:{self._port}"

    async def open(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._pass, "127.0.0.1", self._port
        )

    def go_dark(self) -> None:
        """Hold all bytes, and let new connections hang."""
        self._passing.clear()
        self._server.close()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self._port))
        listener.listen(0)
        self._sockets.append(listener)
        for _ in range(PLUGS):
            plug = socket.socket()
            plug.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                plug.connect(("127.0.0.1", self._port))
            self._sockets.append(plug)

    async def return_anew(self) -> None:
        """Reset the old connections and accept new ones."""
        for held in self._sockets:
            held.close()
        self._sockets.clear()
        for writer in list(self._writers):
            writer.transport.abort()
        self._passing.set()
        await self.open()

    async def _pass(self, reader, writer) -> None:
        ip, _, port = self._target.partition(":")
        up_reader, up_writer = await asyncio.open_connection(ip, int(port))
        ends = {writer, up_writer}
        self._writers |= ends
        await asyncio.gather(
            self._copy(reader, up_writer), self._copy(up_reader, writer)
        )
        self._writers -= ends

    async def _copy(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                await self._passing.wait()
                writer.write(data)
                await writer.drain()
        writer.close()
