"""Event throttles: a bound on how fast one stream's events are forwarded."""

import asyncio
import time

#: Events that are forwarded before other tasks run.
EVENTS_PER_TURN = 32
#: An engine makes at most one event in a step, which takes 3 ms or more.
MIN_EVENT_SECONDS = 0.001


class EventThrottle:
    """Delays events that come faster than an engine makes them.

    Events that have arrived are read and written without waiting while the
    client keeps up. A faulty upstream that sends small events without end
    would keep the event loop from running anything else.
    """

    def __init__(self) -> None:
        self._turn_began_at = time.monotonic()
        self._event_count = 0
        self._delay_seconds = 0.0

    @property
    def delay_seconds(self) -> float:
        """For how long events were delayed in all."""
        return self._delay_seconds

    async def count_event(self) -> None:
        """Count a forwarded event; wait if this turn has had its events."""
        self._event_count += 1
        if self._event_count < EVENTS_PER_TURN:
            return
        passed = time.monotonic() - self._turn_began_at
        least = self._event_count * MIN_EVENT_SECONDS
        if passed < least:
            self._delay_seconds += least - passed
            await asyncio.sleep(least - passed)
        self._event_count = 0
        self._turn_began_at = time.monotonic()
