"""Returning requests: those that were refused before, told by their deadlines.

A client that returns after a refusal has less time left than its first
request had. It mostly returns to another host, so nothing else is known of
it there.
"""

import collections

#: Requests of a route whose times are compared. Few enough to follow a
#: client that changes its timeouts within seconds under load.
MAX_REQUESTS = 64
#: Part of the usual time below which a request counts as returning. Clients
#: round their deadlines, and a request waits some ms before it is read.
RETURNING_PART = 0.97
#: Routes that are remembered; the least recently used one is dropped.
MAX_ROUTES = 256


class ReturnDetector:
    """Tells which requests of a route have less time than is usual there."""

    def __init__(self) -> None:
        self._seconds: collections.OrderedDict[
            str, collections.deque[float]
        ] = collections.OrderedDict()

    def check(self, route: str, seconds: float) -> bool:
        """Return whether a request with this time left is returning.

        The usual time is the longest of the route's latest requests.
        """
        latest = self._seconds.pop(route, None)
        if latest is None:
            latest = collections.deque(maxlen=MAX_REQUESTS)
        usual = max(latest, default=seconds)
        latest.append(seconds)
        self._seconds[route] = latest
        if len(self._seconds) > MAX_ROUTES:
            self._seconds.popitem(last=False)
        return seconds < RETURNING_PART * usual
