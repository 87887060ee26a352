"""Member updates: which hosts' records the next messages carry."""

import math

#: Records per message: recent updates, and other records in rotation.
MAX_UPDATES_PER_MESSAGE = 12
MAX_ROTATED_PER_MESSAGE = 2
#: Each update is sent this many times log2 of the member count.
RETRANSMIT_FACTOR = 3


class UpdateQueue:
    """Selects hosts whose records are gossiped, a bounded number at a time."""

    def __init__(self) -> None:
        self._transmissions_left: dict[str, int] = {}
        self._rotation: list[str] = []

    def add(self, host: str, *, host_count: int) -> None:
        """Send a host's record, which is new, in the next messages."""
        if host not in self._rotation:
            self._rotation.append(host)
        self._transmissions_left[host] = RETRANSMIT_FACTOR * math.ceil(
            math.log2(host_count + 1)
        )

    def remove(self, host: str) -> None:
        """Send nothing of a host any more."""
        self._transmissions_left.pop(host, None)
        self._rotation.remove(host)

    def select(self) -> list[str]:
        """Return the hosts for one message.

        First those that were sent least often since their update, then some
        others in rotation.
        """
        order = sorted(
            self._transmissions_left,
            key=self._transmissions_left.get,
            reverse=True,
        )
        selected = order[:MAX_UPDATES_PER_MESSAGE]
        for host in selected:
            self._transmissions_left[host] -= 1
            if self._transmissions_left[host] <= 0:
                del self._transmissions_left[host]
        for _ in range(min(MAX_ROTATED_PER_MESSAGE, len(self._rotation))):
            host = self._rotation.pop(0)
            self._rotation.append(host)
            selected.append(host)
        return selected
