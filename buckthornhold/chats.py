"""Chats: model requests over an OpenAI-style HTTP API."""

import asyncio
import dataclasses
import time

from aiohttp import web
import pydantic

from buckthornhold import event_ids
from buckthornhold import headers
from buckthornhold import prefill_backlogs
from buckthornhold import prompt_prefixes
from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import resumptions
from buckthornhold import signals
from buckthornhold import streams
from buckthornhold import writers
from buckthornhold.coordination import handovers

#: Forms in which a prompt is kept until its request was answered: the body,
#: the parsed messages, the joined prompt and what is sent to an engine.
PROMPT_COPIES = 4


class Message(pydantic.BaseModel):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(pydantic.BaseModel):
    """Body of a chat completion request."""

    model: str
    messages: list[Message] = pydantic.Field(min_length=1)
    max_tokens: int = pydantic.Field(default=256, ge=1, le=32768)
    stream: bool = False

    def join_prompt(self) -> str:
        """Return all messages as one prompt."""
        return "\n".join(
            f"{message.role}: {message.content}" for message in self.messages
        )

    def digest(self) -> str:
        """Return what tells this request apart from others."""
        text = f"{self.model}\n{self.max_tokens}\n{self.join_prompt()}"
        return request_contracts.digest_body(text.encode())


class ChatHandler:
    """Answers chat requests of the callers' listener."""

    def __init__(self, *, host, listener) -> None:
        self._host = host
        self._listener = listener
        self._resumptions = resumptions.Resumptions(host=host)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one chat request, streamed or whole.

        A request whose id is known already goes on where it is.
        """
        if headers.LAST_EVENT_ID in request.headers:
            return await self.handle_return(request)
        request_id = headers.find_request_id(request)
        self._host.counters.count_event("requests.model")
        body = await self._listener.accept(request, copies=PROMPT_COPIES)
        if isinstance(body, reasons.Failure):
            return self._listener.refuse(request_id, body)
        try:
            chat = ChatBody.model_validate_json(body)
        except pydantic.ValidationError as error:
            return self._listener.refuse(request_id, _describe_bad_body(error))
        workspace = request.headers.get(headers.WORKSPACE, "")
        signals.request_read.send(
            self._host,
            request_id=request_id,
            workspace=workspace,
            route=chat.model,
        )
        with self._host.admissions.track_request():
            if headers.REQUEST_ID not in request.headers:
                stream = self._make_new(request, request_id, chat)
                return await self._run(
                    request, request_id, stream, chat.stream
                )
            lookup = asyncio.ensure_future(
                self._host.handovers.find(request_id)
            )
            try:
                return await self._run_once(request, request_id, chat, lookup)
            finally:
                lookup.cancel()

    async def handle_return(self, request: web.Request) -> web.StreamResponse:
        """Give a caller that came back the rest of its answer.

        It names its request by the last event id, or in the path for a
        whole answer.
        """
        request_id = request.match_info.get("request_id", "")
        last = event_ids.EventId(request_id=request_id, offset=0)
        event_id = request.headers.get(headers.LAST_EVENT_ID, "")
        self._host.counters.count_event("requests.model")
        body = await self._listener.accept(request)
        if isinstance(body, reasons.Failure):
            return self._listener.refuse(request_id, body)
        if event_id or not request_id:
            last = event_ids.parse(event_id)
            if last is None:
                failure = reasons.Failure(
                    reason=reasons.Reason.BAD_REQUEST,
                    step="read headers",
                    detail=f"{headers.LAST_EVENT_ID}: not {event_ids.FORMAT}",
                )
                return self._listener.refuse(request_id, failure)
            request_id = last.request_id
        request[headers.REQUEST_ID] = request_id
        streamed = bool(event_id) or headers.wants_events(request)
        with self._host.admissions.track_request():
            stream = await self._resume(request, last)
            return await self._run(request, request_id, stream, streamed)

    async def _resume(
        self, request: web.Request, last: event_ids.EventId
    ) -> streams.Stream | reasons.Failure:
        record = await self._resumptions.find(last.request_id)
        if isinstance(record, reasons.Failure):
            return record
        signals.request_read.send(
            self._host,
            request_id=last.request_id,
            workspace=record.workspace,
            route=record.model,
        )
        return await self._resumptions.resume(
            record,
            workspace=request.headers.get(headers.WORKSPACE, ""),
            start=last.offset,
            digest=last.digest,
        )

    async def _run_once(
        self,
        request: web.Request,
        request_id: str,
        chat: ChatBody,
        lookup: asyncio.Future[handovers.LookupResult],
    ) -> web.StreamResponse:
        """Go on with a request where it is known, or run it here.

        A new request that has no room is refused at once. Where other hosts
        have not yet told that they don't know it, it may have run.
        """
        patience = self._host.settings.lookup_patience
        await asyncio.wait([lookup], timeout=patience)
        if not lookup.done() or lookup.result().record is None:
            stream = self._make_new(request, request_id, chat)
            place = await self._find_place(stream)
            if isinstance(place, reasons.Failure):
                return self._refuse_new(request_id, place, lookup)
            try:
                finding = await lookup
                if finding.record is None:
                    return await self._run_at(
                        place, request, request_id, stream, chat.stream
                    )
            finally:
                self._host.admission_policy.release(place)
        stream = await self._go_on(request, lookup.result().record, chat)
        return await self._run(request, request_id, stream, chat.stream)

    def _refuse_new(
        self,
        request_id: str,
        failure: reasons.Failure,
        lookup: asyncio.Future[handovers.LookupResult],
    ) -> web.Response:
        """Refuse a request that other hosts may know."""
        told = lookup.done() and lookup.result().complete
        if not told and failure.ran is reasons.Ran.NO:
            self._host.counters.count_event("handovers.unanswered")
            failure = dataclasses.replace(failure, ran=reasons.Ran.UNKNOWN)
        return self._listener.refuse(request_id, failure)

    async def _go_on(
        self, request: web.Request, record: handovers.Record, chat: ChatBody
    ) -> streams.Stream | reasons.Failure:
        """Return the stream that goes on with a request sent before."""
        if record.digest != chat.digest():
            return reasons.Failure(
                reason=reasons.Reason.ID_REUSED, step="find request"
            )
        return await self._resumptions.resume(
            record,
            workspace=request.headers.get(headers.WORKSPACE, ""),
        )

    async def _run(
        self, request, request_id: str, stream, streamed: bool
    ) -> web.StreamResponse:
        """Accept a stream and send its answer."""
        place = await self._find_place(stream)
        if isinstance(place, reasons.Failure):
            return self._listener.refuse(request_id, place)
        try:
            return await self._run_at(
                place, request, request_id, stream, streamed
            )
        finally:
            self._host.admission_policy.release(place)

    async def _run_at(
        self,
        place: prefill_backlogs.AdmittedRequest | None,
        request: web.Request,
        request_id: str,
        stream: streams.Stream,
        streamed: bool,
    ) -> web.StreamResponse:
        """Accept a stream that has a place and send its answer."""
        answer = await self._host.answers.accept(stream)
        if isinstance(answer, reasons.Failure):
            return self._listener.refuse(request_id, answer)
        try:
            return await self._answer(request, stream, streamed, place)
        finally:
            self._host.answers.finish(answer)

    async def _find_place(
        self, stream: streams.Stream | reasons.Failure
    ) -> prefill_backlogs.AdmittedRequest | reasons.Failure | None:
        """Plan a stream; refuse a new one that has no room."""
        if isinstance(stream, reasons.Failure):
            return stream
        failure = await stream.plan()
        if failure is not None:
            return failure
        if stream.epoch or stream.attempt is None:
            return None
        return self._host.admission_policy.admit(
            stream.contract,
            max_tokens=stream.max_tokens,
            attempt=stream.attempt,
        )

    async def _answer(
        self,
        request,
        stream: streams.Stream,
        streamed: bool,
        place: prefill_backlogs.AdmittedRequest | None,
    ) -> web.StreamResponse:
        """Send the answer; leaving early cancels the upstream's work."""
        request_id = stream.contract.request_id

        def note_first() -> None:
            self._host.admission_policy.record_first_token(place)

        if not streamed:
            sink = writers.TextSink(on_first=note_first)
            return await self._send_whole(request_id, stream, sink)
        sink = writers.EventSink(
            request=request, stream=stream, on_first=note_first
        )
        last = await stream.run(sink)
        failure = last if isinstance(last, reasons.Failure) else None
        if failure is not None and not sink.begun:
            return self._listener.refuse(request_id, failure)
        response = await sink.finish(
            writers.format_last(request_id, last, self._listener.describe)
        )
        self._listener.finish(request_id, failure)
        return response

    async def _send_whole(
        self, request_id: str, stream: streams.Stream, sink: writers.TextSink
    ) -> web.Response:
        last = await stream.run(sink)
        if isinstance(last, reasons.Failure):
            return self._listener.refuse(request_id, last)
        self._listener.finish(request_id, None)
        return writers.make_whole(stream)

    def _make_new(
        self, request: web.Request, request_id: str, chat: ChatBody
    ) -> streams.Stream | reasons.Failure:
        """Return the stream of a new request that its workspace may send."""
        workspace = request.headers.get(headers.WORKSPACE, "")
        refusal = self._host.rate_limits.check(workspace)
        if refusal is not None:
            return refusal
        return streams.Stream(
            host=self._host,
            contract=self._make_model_contract(request, request_id, chat),
            prompt=chat.join_prompt(),
            max_tokens=chat.max_tokens,
        )

    def _make_model_contract(
        self, request: web.Request, request_id: str, chat: ChatBody
    ) -> request_contracts.RequestContract:
        workspace = request.headers.get(headers.WORKSPACE, "")
        limit = self._host.rules.find_limit(workspace)
        prompt = chat.join_prompt()
        return request_contracts.RequestContract(
            request_id=request_id,
            workspace=workspace,
            route=chat.model,
            deadline=time.monotonic() + self._host.settings.request_deadline,
            priority=limit.priority if limit else 0,
            digest=chat.digest(),
            prefix=prompt[: request_contracts.PREFIX_CHARACTERS],
            blocks=prompt_prefixes.list_blocks(prompt),
            prompt_tokens=prompt_prefixes.count_tokens(prompt),
        )


def _describe_bad_body(error: pydantic.ValidationError) -> reasons.Failure:
    item = error.errors()[0]
    place = ".".join(str(part) for part in item["loc"])
    return reasons.Failure(
        reason=reasons.Reason.BAD_REQUEST,
        step="read body",
        detail=f"{place}: {item['msg']}".strip(": "),
    )
