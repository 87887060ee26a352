"""Answers: the model requests that this host has accepted, by request id.

An accepted request is held by another host as well; see
``coordination.handovers``. After its end an answer is kept for a while, for
a caller that lost its connection.
"""

import dataclasses
import time
import zlib

from buckthornhold import attempts
from buckthornhold import reasons
from buckthornhold import signals
from buckthornhold import streams
from buckthornhold import tasks
from buckthornhold import upstreams
from buckthornhold.coordination import handover_records
from buckthornhold.coordination import handover_servicers
from buckthornhold.coordination import handovers
from buckthornhold.peers import handovers_pb2

CHECK_INTERVAL_SECONDS = 0.5
COMPRESSION_LEVEL = 1
KEPT_LIMIT = 256
#: A record is told again after this share of the time it is held for.
REFRESH_SHARE = 0.5


@dataclasses.dataclass(kw_only=True, eq=False)
class Answer:
    """A model request that this host has accepted.

    ``synced`` counts the tokens that the holder was told. Times are on the
    monotonic clock; ``finished_at`` is 0 while it runs.
    """

    stream: streams.Stream
    prompt: bytes
    holder: str = ""
    synced: int = 0
    told_at: float = 0.0
    finished_at: float = 0.0

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.stream.contract.request_id

    def make_record(self, host: str) -> handovers.Record:
        """Return all that another host needs to go on."""
        contract = self.stream.contract
        record = handovers_pb2.HandoverRecord(
            request_id=contract.request_id,
            digest=contract.digest,
            entry_host=host,
            epoch=self.stream.epoch,
            workspace=contract.workspace,
            model=contract.route,
            priority=contract.priority,
            max_tokens=self.stream.max_tokens,
            prompt=self.prompt,
            texts=self.stream.emitted,
            ended=self.stream.ended,
        )
        attempt = self.stream.attempt
        if attempt is not None:
            record.version = attempt.version
            record.upstream = attempt.upstream.record.host
            record.upstream_incarnation = attempt.upstream.record.incarnation
        return record

    def make_update(self) -> handovers_pb2.UpdateRequest:
        """Return what the holder was not told yet."""
        attempt = self.stream.attempt
        return handovers_pb2.UpdateRequest(
            request_id=self.request_id,
            epoch=self.stream.epoch,
            version=attempt.version,
            upstream=attempt.upstream.record.host,
            upstream_incarnation=attempt.upstream.record.incarnation,
            offset=self.synced,
            texts=self.stream.emitted[self.synced :],
        )


class Answers(tasks.PeriodicService):
    """The answers of this host, running and kept."""

    def __init__(self, *, host, logger, counters) -> None:
        super().__init__(
            interval=CHECK_INTERVAL_SECONDS, logger=logger, counters=counters
        )
        self._host = host
        self._settings = host.settings
        self._running: dict[str, Answer] = {}
        self._kept: dict[str, Answer] = {}
        signals.attempt_started.connect(self._take_attempt, sender=host)

    async def accept(self, stream: streams.Stream) -> Answer | reasons.Failure:
        """Have a request held by another host, then call it accepted.

        Where no other host can be reached it is accepted all the same, and
        counted: its host alone can serve its callers then.
        """
        prompt = zlib.compress(stream.prompt.encode(), COMPRESSION_LEVEL)
        if len(prompt) > self._settings.handover_record_limit:
            return reasons.Failure(
                reason=reasons.Reason.BODY_TOO_LARGE, step="hand over"
            )
        answer = Answer(stream=stream, prompt=prompt)
        failure = await self._hold(answer)
        if failure is not None:
            return failure
        self._kept.pop(answer.request_id, None)
        self._running[answer.request_id] = answer
        return answer

    def finish(self, answer: Answer) -> None:
        """Keep an answer that runs no more for a while."""
        if self._running.get(answer.request_id) is answer:
            del self._running[answer.request_id]
            answer.finished_at = time.monotonic()
            self._kept[answer.request_id] = answer

    def list_running(self) -> list[streams.Stream]:
        """Return every running stream."""
        return [answer.stream for answer in self._running.values()]

    def list_held(self) -> list[streams.Stream]:
        """Return the running streams that another host could go on with."""
        return [it.stream for it in self._running.values() if it.holder]

    def list_on(self, upstream: upstreams.Upstream) -> list[streams.Stream]:
        """Return the running streams that an upstream works for."""
        return [it for it in self.list_running() if it.is_on(upstream)]

    def find_running(self, request_id: str) -> streams.Stream | None:
        """Return a running stream by its request id."""
        answer = self._running.get(request_id)
        return answer.stream if answer is not None else None

    def find(self, request_id: str) -> handovers.Record | None:
        """Return the record of a request that runs or is kept here."""
        answer = self._running.get(request_id)
        if answer is None:
            answer = self._keep_longer(request_id)
        if answer is None:
            return None
        return answer.make_record(self._settings.host)

    def _keep_longer(self, request_id: str) -> Answer | None:
        """Return a kept answer, which is kept longer as it is asked for.

        The host that asks may have to wait for an upstream before it
        accepts the request, and its caller may come back elsewhere.
        """
        answer = self._kept.pop(request_id, None)
        if answer is not None:
            answer.finished_at = time.monotonic()
            self._kept[request_id] = answer
        return answer

    async def take(self, request_id: str) -> handovers.Record | None:
        """End a request here for another host; return what is known."""
        answer = self._running.get(request_id)
        if answer is not None:
            await answer.stream.hand_over()
            self._counters.count_event("streams.handed_over")
            self.finish(answer)
        return self.find(request_id)

    async def tell_holders(self) -> None:
        """Tell the holders all that was emitted, at the host's own end."""
        for answer in list(self._running.values()):
            await self._tell(answer)

    async def run_once(self) -> None:
        """Release what is over and mend what lost its holder."""
        await self._release_old()
        self._host.handovers.records.prune()
        running = list(self._running.values())
        connected = self._host.handovers.filter_connected(
            {answer.holder for answer in running}
        )
        refresh = self._settings.handover_keep * REFRESH_SHARE
        now = time.monotonic()
        for answer in running:
            if answer.finished_at:
                continue
            if answer.holder not in connected:
                await self._hold_again(answer)
                if not answer.holder:
                    return
            elif now - answer.told_at > refresh:
                await self._tell(answer)

    async def _hold(
        self, answer: Answer, *, again: bool = False
    ) -> reasons.Failure | None:
        answer.synced = len(answer.stream.emitted)
        held = await self._host.handovers.hold(
            answer.make_record(self._settings.host),
            is_retry=again,
            allows=self._host.versions.make_zone_check(answer.stream.contract),
        )
        if isinstance(held, reasons.Failure):
            return held
        answer.holder = held
        answer.told_at = time.monotonic()
        name = "handovers.held" if held else "handovers.unheld"
        self._counters.count_event(name)
        return None

    async def _hold_again(self, answer: Answer) -> None:
        """Find a holder anew; give up what another host has taken over."""
        failure = await self._hold(answer, again=True)
        if failure is None:
            return
        if failure.reason is reasons.Reason.STILL_RUNNING:
            await answer.stream.hand_over()

    async def _tell(self, answer: Answer) -> None:
        if not answer.holder or answer.stream.attempt is None:
            return
        update = answer.make_update()
        known = await self._host.handovers.update(answer.holder, update)
        if not known:
            await self._hold_again(answer)
            return
        answer.told_at = time.monotonic()
        answer.synced = update.offset + len(update.texts)

    async def _release_old(self) -> None:
        oldest = time.monotonic() - self._settings.answer_keep
        releases: dict[str, list[tuple[str, int]]] = {}
        surplus = len(self._kept) - KEPT_LIMIT
        for request_id, answer in list(self._kept.items()):
            if answer.finished_at > oldest and surplus <= 0:
                break
            surplus -= 1
            del self._kept[request_id]
            releases.setdefault(answer.holder, []).append(
                (request_id, answer.stream.epoch)
            )
        for holder, names in releases.items():
            await self._host.handovers.release(holder, names)

    def _take_attempt(self, sender, attempt: attempts.Attempt) -> None:
        """Tell the holder that a stream moved, with what was emitted."""
        answer = self._running.get(attempt.contract.request_id)
        if answer is None or answer.stream.attempt is not attempt:
            return
        if not answer.stream.moved:
            return
        self._host.background.start(self._tell(answer), step="tell holder")


def make_handovers(host) -> handovers.Handovers:
    """Return a host's handovers, over its links and answers."""
    config = host.settings
    return handovers.Handovers(
        host=config.host,
        zone=config.zone,
        list_links=host.links.list_all,
        list_eligible_links=host.list_staying_links,
        records=handover_records.HandoverRecords(
            limit_bytes=config.handover_memory,
            retention_seconds=config.handover_keep,
        ),
        find_local=host.answers.find,
        take_local=host.answers.take,
        list_unreachable=lambda: host.prober.list_recently_silent(
            seconds=config.handover_keep
        ),
    )


def make_servicer(host) -> handover_servicers.HandoverServicer:
    """Return what answers the handover calls of a host's peers."""
    return handover_servicers.HandoverServicer(
        records=host.handovers.records,
        find_local=host.answers.find,
        take_local=host.answers.take,
        is_leaving=lambda: host.admissions.draining,
    )
