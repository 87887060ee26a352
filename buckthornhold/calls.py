"""Calls: requests to plain services."""

import asyncio
import dataclasses
import time

from aiohttp import web

from buckthornhold import attempts
from buckthornhold import backoffs
from buckthornhold import claimed_calls
from buckthornhold import dispatches
from buckthornhold import headers
from buckthornhold import hosts
from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import rule_evacuations
from buckthornhold import rules
from buckthornhold import services
from buckthornhold import shared_reads
from buckthornhold import signals

#: Statuses of an idempotent call's answer that are worth another attempt.
RETRY_STATUSES = (429, 502, 503, 504)


class Calls:
    """Runs calls of plain services under the contract of their rule."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._claimed = claimed_calls.ClaimedCalls(
            host=host, run_attempts=self.run_attempts
        )
        self._reads = shared_reads.SharedReads(
            host=host,
            run=self._run_once,
            memory=host.settings.shared_read_memory,
        )

    async def run(
        self, contract: request_contracts.RequestContract, call: services.Call
    ) -> services.Answer | reasons.Failure:
        """Run one call and return its whole answer.

        A call that isn't idempotent goes on, and stays counted as in flight,
        when this coroutine is cancelled after a service may have received it.
        """
        if not contract.idempotent:
            try:
                return await self._claimed.run(contract, call)
            finally:
                self._reads.note_write(contract.route.partition("/")[0])
        with self._host.admissions.track_request():
            if contract.shared_key:
                return await self._reads.run(contract, call)
            return await self._run_once(contract, call)

    async def _run_once(
        self, contract: request_contracts.RequestContract, call: services.Call
    ) -> services.Answer | reasons.Failure:
        return await self.run_attempts(
            contract, call, contract.request_id, dispatches.Dispatch()
        )

    async def run_attempts(
        self,
        contract: request_contracts.RequestContract,
        call: services.Call,
        name: str,
        dispatch: dispatches.Dispatch,
    ) -> services.Answer | reasons.Failure:
        """Send a call until it is answered or may not be sent again.

        The attempts are named by ``name`` and their number. The final
        failure's ``ran`` speaks of all of them. The call is not sent again
        once ``dispatch`` is abandoned.
        """
        service, _, _ = contract.route.partition("/")
        tried: set[tuple[str, int]] = set()
        ran = reasons.Ran.NO
        number = 0
        while True:
            attempt = self._plan_attempt(contract, service, number, tried)
            if isinstance(attempt, reasons.Failure):
                return attempt.replace(ran=ran)
            result = await self._send(
                attempt,
                dataclasses.replace(call, attempt=f"{name}/{number}"),
                dispatch,
            )
            failure = _find_failure(result, contract)
            if failure is None:
                self._host.retry_budget.record_success()
                return result
            if failure.retry_after is not None:
                self._host.backoffs.begin(
                    attempt.upstream.key, failure.retry_after
                )
            tried.add(attempt.upstream.key)
            number += 1
            if failure.ran is not reasons.Ran.NO:
                ran = reasons.Ran.UNKNOWN
            if dispatch.abandoned:
                reason = reasons.Reason.CALLER_GONE
                return failure.replace(ran=ran, reason=reason)
            wait = self._plan_wait(contract, service, number, tried, failure)
            if isinstance(wait, reasons.Failure):
                if isinstance(result, services.Answer):
                    return result
                return wait.replace(ran=ran)
            self._host.counters.count_retry(
                attempts.find_retry_reason(failure)
            )
            dispatch.prepare_retry()
            await asyncio.sleep(wait)

    def _plan_attempt(self, contract, service, number, tried):
        if time.monotonic() >= contract.deadline:
            return reasons.Failure(
                reason=reasons.Reason.DEADLINE_PASSED, step="call"
            )
        candidates = self._list_candidates(service, tried)
        if not contract.idempotent:
            candidates = self._prefer_own_zone(candidates)
        if not candidates:
            refusal = rule_evacuations.find_refusal(
                self._host, hosts.HostKind.SERVICE, service
            )
            return refusal or reasons.Failure(
                reason=reasons.Reason.NO_UPSTREAM,
                step="route",
                detail=f"no upstream for {service}",
                retry_after=self._find_wait(service),
            )
        return attempts.Attempt(
            contract=contract,
            number=number,
            upstream=self._host.router.choose(candidates, contract),
        )

    def _plan_wait(self, contract, service, number, tried, failure):
        """Return the wait before another attempt, or the final failure."""
        if number >= self._host.settings.max_attempts:
            return failure.replace(
                retry_after=failure.retry_after
                or self._host.settings.retry_after
            )
        fresh = [
            upstream
            for upstream in self._list_candidates(service, tried)
            if upstream.key not in tried
        ]
        return self._host.retry_budget.acquire_retry(
            failure,
            number=number,
            left=contract.deadline - time.monotonic(),
            idempotent=contract.idempotent,
            elsewhere=bool(fresh),
        )

    def _list_candidates(self, service, tried):
        """Return upstreams that may be sent to, untried ones if any."""
        candidates = [
            upstream
            for upstream in self._host.upstreams.list_services(service)
            if self._host.backoffs.admits(upstream.key, upstream.in_flight)
        ]
        fresh = [it for it in candidates if it.key not in tried]
        return fresh or candidates

    def _prefer_own_zone(self, candidates):
        """Keep what may not be repeated off the links between zones.

        A call lost on a link that is cut may have run, and nobody can tell.
        """
        zone = self._host.settings.zone
        near = [it for it in candidates if it.record.zone == zone]
        return near or candidates

    def _find_wait(self, service) -> float:
        """Return when the next upstream of a service may be tried."""
        found = self._host.upstreams.list_services(service)
        wait = self._host.backoffs.find_wait(it.key for it in found)
        return max(self._host.settings.retry_after, wait)

    async def _send(self, attempt, call, dispatch):
        upstream = attempt.upstream
        signals.attempt_started.send(self._host, attempt=attempt)
        upstream.in_flight += 1
        try:
            result = await upstream.service.call(
                call,
                timeout=attempt.contract.deadline - time.monotonic(),
                mark_sent=dispatch.mark_sent,
            )
        finally:
            upstream.in_flight -= 1
            attempt.ended_at = time.monotonic()
        if isinstance(result, reasons.Failure):
            attempt.failure = result
        signals.attempt_finished.send(self._host, attempt=attempt)
        return result


def _find_failure(result, contract) -> reasons.Failure | None:
    """Return why an attempt might be repeated; None for a final answer."""
    if isinstance(result, reasons.Failure):
        return result
    if not contract.idempotent or result.status not in RETRY_STATUSES:
        return None
    return reasons.Failure(
        reason=reasons.Reason.UPSTREAM_ERROR,
        step="service",
        ran=reasons.Ran.UNKNOWN,
        detail=f"status {result.status}",
        retry_after=backoffs.parse_retry_after(result.retry_after),
    )


class CallHandler:
    """Answers plain calls of the callers' listener."""

    def __init__(self, *, host, listener) -> None:
        self._host = host
        self._listener = listener

    async def handle(self, request: web.Request) -> web.Response:
        """Answer one call of a plain service."""
        request_id = headers.find_request_id(request)
        self._host.counters.count_event("requests.service")
        signals.request_read.send(
            self._host,
            request_id=request_id,
            workspace=request.headers.get(headers.WORKSPACE, ""),
            route="{service}/{operation}".format(**request.match_info),
        )
        body = await self._listener.accept(request)
        if isinstance(body, reasons.Failure):
            return self._refuse_unclaimed(request, request_id, body)
        contract = self._make_contract(request, request_id, body)
        if isinstance(contract, reasons.Failure):
            return self._refuse_unclaimed(request, request_id, contract)
        refusal = self._host.rate_limits.check(contract.workspace)
        if refusal is not None:
            return self._refuse_unclaimed(request, request_id, refusal)
        call = services.Call(
            request_id=contract.request_id,
            attempt="",
            operation=request.match_info["operation"],
            method=request.method,
            body=body,
            content_type=request.content_type,
            query=request.rel_url.raw_query_string,
        )
        result = await self._host.calls.run(contract, call)
        if isinstance(result, reasons.Failure):
            return self._listener.refuse(contract.request_id, result)
        return self._send_answer(contract.request_id, result)

    def _refuse_unclaimed(self, request, request_id, failure):
        """Refuse a call before anyone looked at what became of its id.

        This sending isn't run, but an earlier one may have been.
        """
        if headers.may_be_repeat(request):
            failure = failure.replace(ran=reasons.Ran.UNKNOWN)
        return self._listener.refuse(request_id, failure)

    def _make_contract(self, request, request_id, body):
        service = request.match_info["service"]
        operation = request.match_info["operation"]
        rule = self._host.rules.find_call(service, operation)
        if rule is None:
            return reasons.Failure(
                reason=reasons.Reason.UNKNOWN_SERVICE,
                step="rules",
                detail=f"no rule for {service}/{operation}",
            )
        given = headers.RequestId(value=request_id, by_caller=True)
        if not rule.repeat:
            given = headers.read_request_id(request)
        if isinstance(given, reasons.Failure):
            return given
        return _make_contract(request, rule, given, body)

    def _send_answer(self, request_id: str, answer: services.Answer):
        self._listener.finish(request_id, None)
        fields = {
            headers.REQUEST_ID: request_id,
            headers.RAN: reasons.Ran.YES.value,
            "Content-Type": answer.content_type,
        }
        if answer.retry_after:
            fields["Retry-After"] = answer.retry_after
        return web.Response(
            status=answer.status, body=answer.body, headers=fields
        )


def _make_contract(
    request: web.Request,
    rule: rules.CallRule,
    given: headers.RequestId,
    body: bytes,
) -> request_contracts.RequestContract:
    workspace = request.headers.get(headers.WORKSPACE, "")
    route = f"{rule.service}/{request.match_info['operation']}"
    query = request.rel_url.raw_query_string
    target = f"{route}?{query}" if query else route
    told = f"{workspace}\n{request.method}\n{target}\n".encode()
    shared_key = ""
    if rule.shared:
        # Of the headers the service is sent the content type alone.
        more = f"{request.content_type}\n".encode()
        shared_key = request_contracts.digest_body(more + told + body)
    return request_contracts.RequestContract(
        request_id=given.value,
        workspace=workspace,
        route=route,
        deadline=time.monotonic() + rule.deadline,
        idempotent=rule.repeat,
        digest=request_contracts.digest_body(told + body),
        id_from_client=given.by_caller,
        is_retry=given.repeated,
        id_created_at=given.made_at,
        shared_key=shared_key,
        max_answer_age=rule.fresh,
    )
