"""Relay requests: from what a caller asks to its answer or refusal."""

import asyncio
import dataclasses
import hashlib
import http
import time
import typing

from buckthornhold import fleet_sizes
from buckthornhold import reasons
from buckthornhold import relay_messages
from buckthornhold import relay_routers
from buckthornhold import relays
from buckthornhold import request_contracts
from buckthornhold import routes

#: Urgency of a request where neither workspace nor route gives one.
USUAL_URGENCY = 5
#: How long a caller waits for a host that has no configuration yet, seconds.
NOT_READY_RETRY_SECONDS = 0.5
#: Length of the digest by which requests for the same are known, in bytes.
CONTENT_DIGEST_BYTES = 12

STATUSES = {
    reasons.Reason.BAD_REQUEST: http.HTTPStatus.BAD_REQUEST,
    reasons.Reason.BODY_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    reasons.Reason.CALLER_TOO_SLOW: http.HTTPStatus.REQUEST_TIMEOUT,
    reasons.Reason.LIMIT_REACHED: http.HTTPStatus.TOO_MANY_REQUESTS,
    reasons.Reason.NOT_AUTHORIZED: http.HTTPStatus.UNAUTHORIZED,
    reasons.Reason.UNKNOWN_PATH: http.HTTPStatus.NOT_FOUND,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestParameters:
    """What a caller says of its request.

    ``received_at`` is on the monotonic clock; ``seconds`` is how long the
    caller waits, None if it does not say. ``parts`` make up the prompt.
    ``content`` is what is asked for, without what tells copies apart.
    """

    request_id: str
    received_at: float
    timeout_seconds: float | None = None
    prompt_tokens: int | None = None
    output_tokens: int = 0
    prompt_parts: tuple[request_contracts.PromptPart, ...] = ()
    resume_after: str = ""
    content_parts: tuple[bytes, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteMatch:
    """The route of a request, and the workspace that its key belongs to."""

    route: routes.Route
    workspace: routes.Workspace | None


class RelayHandler:
    """Admits relayed requests, runs them and says how they ended."""

    def __init__(self, *, host) -> None:
        self._host = host

    def find_route(
        self, name: str, path: str, key: str | None
    ) -> RouteMatch | reasons.Failure:
        """Return where a host name and path lead for a caller's key."""
        current = self._host.configurations.current
        if current is None:
            return reasons.Failure(
                reason=reasons.Reason.HOST_NOT_READY,
                step="route",
                detail="no configuration yet",
                retry_after=NOT_READY_RETRY_SECONDS,
            )
        route = current.find_route(name, path)
        if route is None:
            return reasons.Failure(
                reason=reasons.Reason.UNKNOWN_PATH,
                step="route",
                detail=f"no route for {name}{path}"[:200],
            )
        if not current.workspaces or not route.keyed:
            return RouteMatch(route=route, workspace=None)
        workspace = current.find_workspace(key) if key else None
        if workspace is None:
            return reasons.Failure(
                reason=reasons.Reason.NOT_AUTHORIZED,
                step="route",
                detail=f"no workspace has the key, version {current.version}",
            )
        return RouteMatch(route=route, workspace=workspace)

    def admit_request(
        self, found: RouteMatch, asked: RequestParameters, message: typing.Any
    ) -> relay_messages.RelayRequest | reasons.Failure:
        """Return the request to relay, or why it is over a limit."""
        route = found.route
        workspace = found.workspace
        service = route.choose_service()
        work = make_workload(asked)
        units = self._compute_units(workspace, asked)
        if workspace is not None:
            wait = self._host.quotas.admit(workspace, units)
            if wait:
                return reasons.Failure(
                    reason=reasons.Reason.LIMIT_REACHED,
                    step="limit",
                    detail=(
                        f"{workspace.name} may take {workspace.rate:g}/s and "
                        f"{workspace.burst:g}, asked for {units:g}"
                    ),
                    retry_after=wait,
                )
        self._record_demand(service, work)
        urgency = route.urgency
        if workspace is not None and workspace.urgency is not None:
            urgency = workspace.urgency
        seconds = route.timeout
        if asked.timeout_seconds is not None:
            seconds = min(seconds, asked.timeout_seconds)
        return relay_messages.RelayRequest(
            contract=request_contracts.RequestContract(
                request_id=asked.request_id,
                workspace=workspace.name if workspace else "",
                route=route.name,
                deadline=asked.received_at + seconds,
                priority=urgency,
                idempotent=route.repeatable,
                prompt_tokens=asked.prompt_tokens or 0,
            ),
            route=route,
            service=service,
            workload=work,
            message=message,
            workspace=workspace,
            units=units,
            resume_after=asked.resume_after if route.resumable else "",
            content=make_content_digest(
                workspace.name if workspace else "", asked.content_parts
            ),
        )

    def _record_demand(
        self, service: str, work: relay_routers.Workload
    ) -> None:
        """Count what a request asks of a service's engines, if it has any."""
        found = self._host.configurations.current.services.get(service)
        if found is None or found.engine is None:
            return
        seconds = fleet_sizes.find_engine_seconds(work, found.engine.slots)
        self._host.demands.add(service, seconds)

    async def run(
        self,
        request: relay_messages.RelayRequest,
        responder: relay_messages.Responder,
    ) -> reasons.Failure | None:
        """Give a caller its answer; return why there is none.

        What may not run again goes on when the caller leaves, so that its
        outcome is known and counted.
        """
        started_at = time.monotonic()
        relay = relays.Relay(
            host=self._host, request=request, responder=responder
        )
        if request.route.repeatable or request.route.streamed:
            try:
                failure = await relay.run()
            except asyncio.CancelledError:
                self._record_outcome(
                    relay, request, started_at, _make_disconnect_failure(relay)
                )
                raise
        else:
            task = self._host.background.start(
                self._run_to_end(relay, request, started_at), step="relay"
            )
            try:
                return await asyncio.shield(task)
            except asyncio.CancelledError:
                if not relay.attempt_count:
                    task.cancel()
                raise
        self._record_outcome(relay, request, started_at, failure)
        return failure

    async def _run_to_end(self, relay, request, started_at):
        with self._host.admissions.track_request():
            failure = await relay.run()
        self._record_outcome(relay, request, started_at, failure)
        return failure

    def _record_outcome(self, relay, request, started_at, failure) -> None:
        """Give back what was not used; count and log the outcome."""
        if relay.ran is reasons.Ran.NO and request.workspace is not None:
            self._host.quotas.refund(request.workspace, request.units)
        now = time.monotonic()
        answered_at = relay.first_event_at or now
        kind = "stream" if request.route.streamed else "call"
        outcome = failure.reason.value if failure else str(relay.status)
        self._host.metrics.note_request(
            kind, outcome, answered_at - started_at
        )
        logger = self._host.logger.bind(
            request_id=request.contract.request_id,
            step=failure.step if failure else "relay",
            peer=relay.upstream.name if relay.upstream else "",
            reason=failure.reason.value if failure else "",
        )
        text = (
            f"{request.route.name} of {request.contract.workspace or '-'}: "
            f"{outcome} after {now - started_at:.3f} s, first "
            f"{answered_at - started_at:.3f} s, "
            f"{relay.attempt_count} attempts, "
            f"expected {relay.expected_seconds:.3f} s, "
            f"ran {relay.ran.value}, content {request.content}, "
            f"version {self._host.configurations.version}"
        )
        if failure is None:
            logger.info(text)
            return
        self._host.counters.count_refusal(failure.reason)
        logger.warning(f"{text}: {failure.detail}")

    def _compute_units(
        self, workspace: routes.Workspace | None, asked: RequestParameters
    ) -> float:
        if workspace is None or not workspace.counts_tokens:
            return 1.0
        if asked.prompt_tokens is None:
            return workspace.plain_tokens
        return asked.prompt_tokens + asked.output_tokens


def make_workload(asked: RequestParameters) -> relay_routers.Workload:
    """Return what a request asks of an engine.

    The last part of a prompt is the request's own; the one before it is the
    longest that others share.
    """
    if not asked.prompt_parts:
        return relay_routers.Workload(
            own_tokens=asked.prompt_tokens or 0,
            output_tokens=asked.output_tokens,
        )
    shared = asked.prompt_parts[:-1]
    return relay_routers.Workload(
        prefix=shared[-1].name if shared else "",
        shared_tokens=sum(it.tokens for it in shared),
        own_tokens=asked.prompt_parts[-1].tokens,
        output_tokens=asked.output_tokens,
    )


def make_content_digest(workspace: str, content: tuple[bytes, ...]) -> str:
    """Return what a caller's requests for the same have in common."""
    digest = hashlib.blake2b(digest_size=CONTENT_DIGEST_BYTES)
    for part in (workspace.encode(), *content):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def choose_status(failure: reasons.Failure) -> int:
    """Return the HTTP status of a refusal.

    One that promises that the request was not run is given only where that
    is so; else the status promises nothing.
    """
    if failure.ran is reasons.Ran.NO:
        return STATUSES.get(
            failure.reason, http.HTTPStatus.SERVICE_UNAVAILABLE
        )
    if failure.reason is reasons.Reason.DEADLINE_PASSED:
        return http.HTTPStatus.GATEWAY_TIMEOUT
    return http.HTTPStatus.BAD_GATEWAY


def _make_disconnect_failure(relay: relays.Relay) -> reasons.Failure:
    return reasons.Failure(
        reason=reasons.Reason.CALLER_GONE,
        step="relay",
        ran=relay.ran,
        detail="the caller closed its connection",
    )
