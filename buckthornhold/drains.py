"""Drains: how an entry host ends, on its own notice or when asked to."""

import asyncio
import math
import time

from buckthornhold import signals
from buckthornhold import streams
from buckthornhold import tasks

CHECK_INTERVAL_SECONDS = 0.25
#: Callers of calls that will not end in time are told so much earlier.
WORD_MARGIN_SECONDS = 0.5


class Drains(tasks.PeriodicService):
    """Ends this host's requests before the host goes.

    Requests that fit the time are finished. The others are handed over
    little by little: their holders are told all that was emitted, and their
    callers to come back, to any other host.
    """

    jitter = 0.0

    def __init__(self, *, host, logger, counters) -> None:
        super().__init__(
            interval=CHECK_INTERVAL_SECONDS, logger=logger, counters=counters
        )
        self._host = host
        self._settings = host.settings
        self._ends_at = math.inf
        self._over: asyncio.Future | None = None
        self._first_notices: set[tuple[str, int]] | None = None
        signals.host_draining.connect(self._start_telling, sender=host)

    @property
    def ends_at(self) -> float:
        """When the host goes, on the monotonic clock; infinite if never."""
        return self._ends_at

    @property
    def has_work(self) -> bool:
        """Whether the host is going; notices wake the service."""
        return self._ends_at < math.inf

    @property
    def over(self) -> asyncio.Future:
        """Done once the host's time is over but for a last word."""
        if self._over is None:
            self._over = asyncio.get_running_loop().create_future()
        return self._over

    def begin(self, seconds: float) -> None:
        """Take no new requests, and be done in so many seconds."""
        self._ends_at = min(self._ends_at, time.monotonic() + seconds)
        self.wake()
        self._host.start_draining()

    async def run_once(self) -> None:
        """Look for this host's own notice; hand over what will not fit."""
        self._check_notice()
        if self._ends_at == math.inf:
            return
        left = self._ends_at - time.monotonic()
        if left <= WORD_MARGIN_SECONDS and not self.over.done():
            self.over.set_result(None)
        await self._host.answers.tell_holders()
        for stream in self._list_due():
            await self._host.answers.take(stream.contract.request_id)

    def _check_notice(self) -> None:
        notices = self._host.upstreams.notices
        if self._first_notices is None and self._host.upstreams.list_received:
            self._first_notices = set(notices)
        for key, notice in notices.items():
            if notice.host != self._settings.host:
                continue
            if self._is_for_this_process(key) and self._ends_at == math.inf:
                self._host.logger.info("this host was given notice")
                seconds = notice.seconds_left - self._settings.own_margin
                self.begin(max(0.0, seconds))

    def _is_for_this_process(self, key: tuple[str, int]) -> bool:
        """Tell whether a notice is not for an earlier process.

        Without an incarnation in the settings, only notices that were not
        there at the start can be for this one.
        """
        if self._settings.incarnation is not None:
            return key[1] == self._settings.incarnation
        return key not in (self._first_notices or ())

    def _list_due(self) -> list[streams.Stream]:
        """Return the streams to be handed over now.

        Those that no other host holds are left to run on to the end.
        Those that take longest go first, spread over the time that is left,
        so that the other hosts get their callers one after the other.
        """
        left = max(0.0, self._ends_at - time.monotonic())
        late = [
            stream
            for stream in self._host.answers.list_held()
            if stream.estimate_seconds_left() > left
        ]
        late.sort(key=lambda it: -it.estimate_seconds_left())
        rounds = max(1, int(left / CHECK_INTERVAL_SECONDS / 2))
        return late[: math.ceil(len(late) / rounds)]

    def _start_telling(self, sender) -> None:
        self._host.background.start(
            self._host.answers.tell_holders(), step="tell holders"
        )
