"""Relay messages: relayed requests and answers, and who carries them."""

import abc
import dataclasses
import typing

from buckthornhold import reasons
from buckthornhold import relay_routers
from buckthornhold import relay_upstreams
from buckthornhold import request_contracts
from buckthornhold import routes

#: Statuses that promise that a request was not run.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayRequest:
    """One request as it is to be passed on.

    ``message`` is what the platform's client makes of the caller's request;
    nothing here looks into it. ``units`` is what it counts against its
    workspace's limit. ``resume_after`` is the last event that the caller
    has of an earlier sending. ``content`` is a digest that requests have in
    common which ask for the same, under any id.
    """

    contract: request_contracts.RequestContract
    route: routes.Route
    service: str
    workload: relay_routers.Workload
    message: typing.Any
    workspace: routes.Workspace | None = None
    units: float = 1.0
    resume_after: str = ""
    content: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """One whole event of a stream, with its id, as its bytes came."""

    event_id: str
    data: bytes


class UpstreamResponse(abc.ABC):
    """An upstream's answer whose head has come."""

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
        """Return the next whole event, or None at the stream's right end."""

    @abc.abstractmethod
    def close(self) -> None:
        """Give the connection back, or end it if the answer isn't read."""


class UpstreamClient(abc.ABC):
    """Sends requests to upstreams, each once."""

    @abc.abstractmethod
    async def open(
        self,
        request: RelayRequest,
        upstream: relay_upstreams.RelayUpstream,
        *,
        seconds_left: float,
        resume_after: str,
    ) -> UpstreamResponse | reasons.Failure:
        """Send a request and return its answer's head.

        ``failure.ran`` is ``NO`` only if no byte reached the upstream or it
        says itself that it did not run the request.
        """

    @abc.abstractmethod
    def drop_idle(self, upstream: relay_upstreams.RelayUpstream) -> None:
        """Use no connection again that is kept to an upstream.

        To be called when one gave no answer: the others may be as silent.
        """

    @abc.abstractmethod
    async def is_listening(
        self, upstream: relay_upstreams.RelayUpstream
    ) -> bool:
        """Tell whether a process takes connections at its address.

        False only if a connection is refused; one that gets no answer may be
        cut off.
        """


class Responder(abc.ABC):
    """Gives a caller its answer."""

    @abc.abstractmethod
    async def send_response(
        self, answer: UpstreamResponse, body: bytes
    ) -> None:
        """Send a whole answer."""

    @abc.abstractmethod
    async def start(self, answer: UpstreamResponse) -> None:
        """Send the head of a stream."""

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Send a part of a stream."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End a stream as whole."""


def make_timeout_failure(upstream, limit: float) -> reasons.Failure:
    """Return the failure of an upstream that said nothing for ``limit`` s."""
    reason = reasons.Reason.UPSTREAM_TIMEOUT
    return _make_failure(reason, upstream, f"nothing for {limit:.2f} s")


def make_status_failure(upstream, answer: UpstreamResponse) -> reasons.Failure:
    """Return the failure of an answer that isn't passed on."""
    reason = reasons.Reason.UPSTREAM_ERROR
    return _make_failure(reason, upstream, f"status {answer.status}")


def _make_failure(reason: reasons.Reason, upstream, detail: str):
    return reasons.Failure(
        reason=reason,
        step="read answer",
        peer=upstream.name,
        ran=reasons.Ran.UNKNOWN,
        detail=detail,
    )
