"""Dark listeners: addresses to which connections hang, as to a dead host.

The queue of a listener that accepts nothing is filled, so that the kernel
drops further attempts to connect.
"""

import contextlib
import socket

from testbed import ports

#: More connections than the queue of a listener with no backlog takes.
FILLING_CONNECTIONS = 4


class DarkListener:
    """An address on which connections hang until it is closed.

    It is a free one, or the one given, on which nothing may listen.
    """

    def __init__(self, *, address: str = "") -> None:
        self.address = address or f"{ports.ADDRESS}:{ports.find_free_port()}"
        port = int(self.address.rpartition(":")[2])
        self._sockets: list[socket.socket] = []
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ports.ADDRESS, port))
        listener.listen(0)
        self._sockets.append(listener)
        for _ in range(FILLING_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((ports.ADDRESS, port))
            self._sockets.append(filler)

    def close(self) -> None:
        """Refuse connections from now on."""
        for held in self._sockets:
            held.close()
