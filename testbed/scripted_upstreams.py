"""Scripted upstreams of relayed requests, and a client that records."""

import asyncio

from buckthornhold import reasons
from buckthornhold import relay_messages

EVENTS = 6
EVENTS_BEFORE_FAULT = 3
SLOW_GAP_SECONDS = 0.2
#: How long the upstreams of the ``late`` entries of a script take.
LATE_SECONDS = 0.3


def fail(reason, ran=reasons.Ran.UNKNOWN):
    """Return the failure of a scripted attempt."""
    return reasons.Failure(reason=reason, step="script", ran=ran)


class ScriptedResponse(relay_messages.UpstreamResponse):
    """A response that ends as one entry of a script says."""

    def __init__(self, entry, first):
        self._entry = entry
        self._number = first
        self.closed = False

    @property
    def status(self):
        """The HTTP status."""
        return int(self._entry) if self._entry.isdecimal() else 200

    @property
    def streamed(self):
        """Whether the body is a stream of events."""
        return self._entry.endswith("events")

    async def read_body(self):
        """Return the whole body."""
        if self._entry == "cut":
            return fail(reasons.Reason.UPSTREAM_BROKEN)
        if self._entry == "slow":
            await asyncio.sleep(0.3)
        return b"body"

    async def read_event(self):
        """Return the next event, or None at the end."""
        done = self._number >= EVENTS_BEFORE_FAULT
        if self._entry == "cut_events" and done:
            return fail(reasons.Reason.UPSTREAM_BROKEN)
        if self._entry == "mute_events" and done:
            await asyncio.Event().wait()
        if self._number == EVENTS:
            return None
        if self._entry == "slow_events":
            await asyncio.sleep(SLOW_GAP_SECONDS)
        self._number += 1
        data = f"id: {self._number}\n\n".encode()
        return relay_messages.Event(event_id=str(self._number), data=data)

    def close(self):
        """Note that the response is closed."""
        self.closed = True


class ScriptedClient(relay_messages.UpstreamClient):
    """A client whose upstreams respond by a script, one entry an attempt."""

    def __init__(self, entries):
        self._entries = list(entries)
        self.responses = []
        self.attempted = []
        self.sent = []

    async def open(self, request, upstream, *, seconds_left, resume_after):
        """Respond by the script's next entry."""
        self.attempted.append(upstream.name)
        entry = self._entries.pop(0)
        if entry.startswith("late_connect"):
            await asyncio.sleep(LATE_SECONDS)
        if entry == "late_connect_timeout":
            return fail(reasons.Reason.UPSTREAM_UNREACHABLE, reasons.Ran.NO)
        request.dispatch.mark_sent()
        self.sent.append(upstream.name)
        if entry == "late_refusal":
            await asyncio.sleep(LATE_SECONDS)
        if entry in ("not_run", "late_refusal"):
            return fail(reasons.Reason.UPSTREAM_REFUSED, reasons.Ran.NO)
        if entry == "unreachable":
            return fail(reasons.Reason.UPSTREAM_UNREACHABLE, reasons.Ran.NO)
        if entry == "lost":
            return fail(reasons.Reason.UPSTREAM_BROKEN)
        if entry == "crossed":
            return fail(reasons.Reason.ANSWER_CROSSED)
        if entry == "hang":
            await asyncio.Event().wait()
        first = int(resume_after or 0)
        if entry == "restarted_events":
            first = 0
        response = ScriptedResponse(entry, first)
        self.responses.append(response)
        return response

    def drop_idle(self, upstream):
        """Do nothing: there are no connections."""

    async def is_listening(self, upstream):
        """Tell that every upstream runs."""
        return True


class RecordingClient(relay_messages.Responder):
    """Records what the client receives."""

    def __init__(self):
        self.status = None
        self.events = []
        self.whole = False

    async def send_response(self, response, body):
        """Record a whole response."""
        self.status = response.status

    async def start(self, response):
        """Record the head of a stream."""
        self.status = response.status

    async def send(self, data):
        """Record an event."""
        self.events.append(int(data.split()[1]))

    async def finish(self):
        """Record the end of a stream."""
        self.whole = True
