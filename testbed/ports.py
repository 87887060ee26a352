"""Ports of the loopback address, none of which two processes are given."""

import itertools
import socket

ADDRESS = "127.0.0.1"
#: Below the ephemeral range, from which the kernel takes the local ports of
#: outgoing connections.
FIRST_PORT = 12000
LAST_PORT = 31999
BLOCK_SIZE = 500


class PortBlock:
    """Ports that belong to this process for as long as it runs.

    The first port of a block is bound and never listened on: another
    process can't bind it and takes the next block.
    """

    def __init__(self) -> None:
        self._guard, self._ports = _claim_block()

    def find_free_port(self) -> int:
        """Return a port that nothing is bound to.

        The ports are taken in turn, so one that was returned stays free
        also while a host that is started again is down.
        """
        for port in itertools.islice(self._ports, BLOCK_SIZE):
            with socket.socket() as probe:
                # A port that only closed connections use can be listened on.
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((ADDRESS, port))
                except OSError:
                    continue
                return port
        raise AssertionError("no port of this process is free")


def _claim_block() -> tuple[socket.socket, itertools.cycle]:
    """Return the bound guard of a block and the block's other ports."""
    for first in range(FIRST_PORT, LAST_PORT + 1, BLOCK_SIZE):
        guard = socket.socket()
        try:
            guard.bind((ADDRESS, first))
        except OSError:
            guard.close()
            continue
        return guard, itertools.cycle(range(first + 1, first + BLOCK_SIZE))
    raise AssertionError("other processes hold all ports")


_block: PortBlock | None = None


def find_free_port() -> int:
    """Return a free port of this process's block."""
    global _block
    if _block is None:
        _block = PortBlock()
    return _block.find_free_port()
