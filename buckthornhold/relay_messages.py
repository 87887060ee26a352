"""Relay messages: relayed requests and responses and their transports."""

import abc
import dataclasses
import typing

from buckthornhold import dispatches
from buckthornhold import reasons
from buckthornhold import relay_routers
from buckthornhold import relay_upstreams
from buckthornhold import request_bodies
from buckthornhold import request_contracts
from buckthornhold import routes

#: Statuses that tell clients that the request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)

#: Estimated time per token of a stream. A step of an engine takes 5 ms or
#: more and grows with the number of its running requests.
SECONDS_PER_TOKEN = 0.008
#: Share of the target latency after which a first event usually arrives.
FIRST_EVENT_TARGET_SHARE = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayRequest:
    """One admitted request.

    ``message`` is the client's request in the platform's own form and opaque
    here. ``units`` is its cost against the workspace's limit.
    ``resume_after`` is the id of the last event that the client received in
    an earlier attempt. ``content`` is a digest that is equal for requests
    with equal content under any id. ``parts`` are the digests of the parts of
    its prompt that other requests may share. ``dispatch`` tells whether an
    upstream may have received it and whether its client still waits.
    """

    contract: request_contracts.RequestContract
    route: routes.Route
    service: str
    workload: relay_routers.Workload
    message: typing.Any
    body: request_bodies.RequestBody = dataclasses.field(
        default_factory=request_bodies.RequestBody, compare=False
    )
    workspace: routes.Workspace | None = None
    units: float = 1.0
    resume_after: str = ""
    content: str = ""
    parts: tuple[str, ...] = ()
    dispatch: dispatches.Dispatch = dataclasses.field(
        default_factory=dispatches.Dispatch, compare=False
    )


def estimate_seconds(request: RelayRequest) -> float:
    """Return the estimated duration of a request."""
    first = request.route.target * FIRST_EVENT_TARGET_SHARE
    return first + request.workload.output_tokens * SECONDS_PER_TOKEN


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """One whole event of a stream: its id and its raw bytes."""

    event_id: str
    data: bytes


class UpstreamResponse(abc.ABC):
    """An upstream's response whose head was received."""

    @property
    @abc.abstractmethod
    def status(self) -> int:
        """The HTTP status."""

    @property
    @abc.abstractmethod
    def streamed(self) -> bool:
        """Whether the body is a stream of events."""

    @abc.abstractmethod
    async def read_body(self) -> bytes | reasons.Failure:
        """Return the whole body."""

    @abc.abstractmethod
    async def read_event(self) -> Event | None | reasons.Failure:
        """Return the next event, or None at the regular end of the stream."""

    @abc.abstractmethod
    def close(self) -> None:
        """Release the connection; close it if the body was not read."""


class UpstreamClient(abc.ABC):
    """Sends requests to upstreams, without retries."""

    @abc.abstractmethod
    async def open(
        self,
        request: RelayRequest,
        upstream: relay_upstreams.RelayUpstream,
        *,
        seconds_left: float,
        resume_after: str,
    ) -> UpstreamResponse | reasons.Failure:
        """Send a request and return the response once its head arrived.

        ``request.dispatch`` is marked as sent before the first byte.
        ``failure.ran`` is ``NO`` only if no byte reached the upstream or it
        reports itself that it did not execute the request.
        """

    @abc.abstractmethod
    def drop_idle(self, upstream: relay_upstreams.RelayUpstream) -> None:
        """Close the idle connections to an upstream.

        To be called when a request got no response: the other connections
        may be silent as well.
        """

    @abc.abstractmethod
    async def is_listening(
        self, upstream: relay_upstreams.RelayUpstream
    ) -> bool:
        """Tell whether the upstream accepts connections.

        False only if a connection is refused. If there is no reply, the
        upstream may be unreachable from here only.
        """


class Responder(abc.ABC):
    """Sends the response to a client."""

    @abc.abstractmethod
    async def send_response(
        self, response: UpstreamResponse, body: bytes
    ) -> None:
        """Send a whole response."""

    @abc.abstractmethod
    async def start(self, response: UpstreamResponse) -> None:
        """Send the head of a streamed response."""

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Send a part of a stream."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End a complete stream."""


def is_later(event: Event, last_event: str) -> bool:
    """Tell whether an event may follow the one with the id ``last_event``.

    Ids that are numbers must rise. An upstream that is asked to continue a
    stream may begin it anew.
    """
    if not (event.event_id.isdecimal() and last_event.isdecimal()):
        return True
    return int(event.event_id) > int(last_event)


def make_order_failure(
    upstream, event: Event, last_event: str
) -> reasons.Failure:
    """Return the failure of a stream whose events are out of order."""
    reason = reasons.Reason.UPSTREAM_BROKEN
    detail = f"event {event.event_id[:40]} after event {last_event[:40]}"
    return _make_failure(reason, upstream, detail)


def make_timeout_failure(upstream, limit: float) -> reasons.Failure:
    """Return the failure of an upstream silent for ``limit`` seconds."""
    reason = reasons.Reason.UPSTREAM_TIMEOUT
    return _make_failure(reason, upstream, f"no data for {limit:.2f} s")


def make_status_failure(
    upstream, response: UpstreamResponse
) -> reasons.Failure:
    """Return the failure of a response that is not forwarded."""
    reason = reasons.Reason.UPSTREAM_ERROR
    return _make_failure(reason, upstream, f"status {response.status}")


def _make_failure(reason: reasons.Reason, upstream, detail: str):
    return reasons.Failure(
        reason=reason,
        step="read answer",
        peer=upstream.name,
        ran=reasons.Ran.UNKNOWN,
        detail=detail,
    )
