"""Resumptions: requests that another entry host accepted, gone on with here.

A caller comes back with the request's id and the offset up to which it has
the answer, and gets the rest.
"""

import asyncio
import time
import zlib

from buckthornhold import attempt_plans
from buckthornhold import reasons
from buckthornhold import request_contracts
from buckthornhold import streams
from buckthornhold import upstreams
from buckthornhold.coordination import handovers


def make_unknown(request_id: str) -> reasons.Failure:
    """Return the refusal for a request that no host knows."""
    return reasons.Failure(
        reason=reasons.Reason.UNKNOWN_STREAM,
        step="find request",
        ran=reasons.Ran.UNKNOWN,
        detail=f"no host knows {request_id}",
    )


class Resumptions:
    """Finds requests of other hosts and makes streams that go on."""

    def __init__(self, *, host) -> None:
        self._host = host

    async def find(
        self, request_id: str
    ) -> handovers.Record | reasons.Failure:
        """Return a request's record, asking its holders and then others.

        That nobody knows it is final only if all were asked who may.
        """
        finding = await self._host.handovers.find(request_id)
        if finding.record is None:
            finding = await self._host.handovers.find(request_id, wide=True)
        if finding.record is not None:
            return finding.record
        silent = [
            *finding.unanswered,
            *self._host.handovers.list_unreachable(),
        ]
        if silent:
            return self._make_unreachable(request_id, silent)
        return make_unknown(request_id)

    def _make_unreachable(
        self, request_id: str, silent: list[str]
    ) -> reasons.Failure:
        return reasons.Failure(
            reason=reasons.Reason.STREAM_UNREACHABLE,
            step="find request",
            peer=silent[0],
            ran=reasons.Ran.UNKNOWN,
            retry_after=self._host.settings.retry_after,
            detail=f"{len(silent)} hosts that may know {request_id} "
            "can't be reached",
        )

    async def resume(
        self,
        record: handovers.Record,
        *,
        workspace: str,
        start: int = 0,
        digest: int | None = None,
    ) -> streams.Stream | reasons.Failure:
        """Return a stream that goes on with a request from an offset.

        The host that ran it, if it can be reached, gives it up first.
        ``digest`` is of the text that the caller has.
        """
        if record.workspace != workspace:
            return reasons.Failure(
                reason=reasons.Reason.NOT_AUTHORIZED, step="find request"
            )
        record = await self._take_newest(record)
        self._host.counters.count_event("streams.returned")
        prompt = zlib.decompress(record.prompt).decode()
        contract = request_contracts.RequestContract(
            request_id=record.request_id,
            workspace=record.workspace,
            route=record.model,
            deadline=time.monotonic() + self._host.settings.request_deadline,
            priority=record.priority,
            digest=record.digest,
            prefix=prompt[: request_contracts.PREFIX_CHARACTERS],
            resumed=True,
        )
        known = attempt_plans.ResumedState(
            texts=tuple(record.texts),
            ended=record.ended,
            epoch=record.epoch + 1,
            upstream=self._find_upstream(record),
            version=record.version,
        )
        return streams.Stream(
            host=self._host,
            contract=contract,
            prompt=prompt,
            max_tokens=record.max_tokens,
            start=start,
            digest=digest,
            known=known,
        )

    async def _take_newest(self, record: handovers.Record):
        """End a request's run elsewhere; return the newest that is known.

        A record may be an old one that its holder was not told to forget.
        Where its entry host does not answer, others are asked widely.
        """
        found = self._host.handovers
        taken, finding = await asyncio.gather(
            found.take_over(record), found.find(record.request_id, wide=True)
        )
        newest = finding.record
        if newest is not None and newest.epoch > record.epoch:
            record = newest
            taken = await found.take_over(record)
        if taken is not None and taken.epoch >= record.epoch:
            return taken
        return record

    def _find_upstream(
        self, record: handovers.Record
    ) -> upstreams.Upstream | None:
        """Return the upstream that may have kept a request's text.

        None if its zone is evacuated, since no stream is resumed there.
        """
        key = (record.upstream, record.upstream_incarnation)
        for upstream in self._host.upstreams.list_all():
            if upstream.key != key:
                continue
            if self._host.upstreams.placements.allows(upstream.record.zone):
                return upstream
        return None
