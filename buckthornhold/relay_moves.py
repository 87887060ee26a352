"""Relay moves: services that an operator has ordered to another version.

Each host splits the requests of such a service by their ids and tells the
others how both versions did. The host that holds the duties decides by all
hosts' evidence, has the store agree, and passes the new state on; a host that
sees by the same evidence that the version is bad stops it at once by itself.
``coordination.version_moves`` says what follows from what.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import json

import pydantic

from buckthornhold import reasons
from buckthornhold import relay_messages
from buckthornhold import relay_upstreams
from buckthornhold import request_contracts
from buckthornhold import stores
from buckthornhold import summary_aggregates
from buckthornhold import tasks
from buckthornhold.coordination import broadcasts
from buckthornhold.coordination import evidence
from buckthornhold.coordination import version_moves
from buckthornhold.peers import summaries_pb2

_STATES = pydantic.TypeAdapter(list[version_moves.Progress])
TOPIC = "moves"
#: Where the store has the states of all moves.
STATES_KEY = "moves"
#: Time between two looks at the evidence, in seconds.
EVALUATION_INTERVAL_SECONDS = 0.25
#: Time that a stream takes for each token, in seconds; a step of an engine
#: takes 5 ms and more, the longer the more requests it runs.
SECONDS_PER_TOKEN = 0.008
#: Part of its target after which a stream's first event usually comes.
FIRST_EVENT_TARGET_SHARE = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionChoice:
    """The upstreams that a request may go to.

    ``series`` is where its outcome counts, None if it says nothing of the
    versions.
    """

    upstreams: list[relay_upstreams.RelayUpstream]
    series: evidence.Series | None = None


class RelayMoves(tasks.PeriodicService):
    """Follows the operator's orders and splits requests between versions.

    ``decode`` reads an order from an entry of the store: None if the entry
    is something else, ValueError if it can't be read. ``encode`` returns the
    key and the text by which the operator is told of a move.
    """

    def __init__(
        self,
        *,
        host,
        decode: Callable[[stores.Entry], version_moves.Order | None],
        encode: Callable[[version_moves.Progress], tuple[str, str]],
    ) -> None:
        super().__init__(
            interval=EVALUATION_INTERVAL_SECONDS,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._decode = decode
        self._encode = encode
        self._exposure_share = host.settings.bounds.exposure_share
        self._orders: dict[str, version_moves.Order] = {}
        self._states: dict[str, version_moves.Progress] = {}
        #: Revision at which the store has these states, 0 if it has none.
        self._states_version = 0
        self._states_loaded = False
        #: Moves whose new version this host has stopped, and why.
        self._blocked_moves: dict[str, str] = {}
        self._tallies: evidence.Tallies = {}
        #: What this host has told the operator last, by service.
        self._published: dict[str, version_moves.Progress] = {}
        host.summaries.add_source(self._fill_summary)

    def register_topic(self, broadcast: broadcasts.Broadcasts) -> None:
        """Have hosts that are behind pull the states from this one."""
        broadcast.add_topic(
            TOPIC,
            read=lambda: broadcasts.Document(
                topic=TOPIC, version=self._states_version, body=self._dump()
            ),
            read_version=lambda: self._states_version,
            apply=lambda it: self._apply_states(it.body, it.version),
        )

    def apply_change(self, change: stores.Change) -> None:
        """Take in the operator's orders."""
        for entry in change.entries:
            try:
                order = self._decode(entry)
            except ValueError as error:
                self._logger.bind(step="moves", peer=entry.key).error(
                    f"the order can't be read: {error}"
                )
                continue
            if order is not None:
                self._apply_order(order)

    def is_moving(self, service: str) -> bool:
        """Tell whether an order to move a service is being carried out."""
        order = self._orders.get(service)
        if order is None:
            return False
        progress = self._find_progress(order)
        return (
            progress is None
            or progress.state not in version_moves.FINAL_STATES
        )

    def choose(
        self,
        request: relay_messages.RelayRequest,
        found: list[relay_upstreams.RelayUpstream],
        *,
        is_retry: bool,
    ) -> VersionChoice:
        """Return the upstreams for a request, by the move of its service.

        Retries go to the old version.
        """
        order = self._orders.get(request.service)
        if order is None:
            return VersionChoice(upstreams=found)
        new = [it for it in found if it.record.version == order.version]
        old = [it for it in found if it.record.version != order.version]
        progress = self._find_progress(order)
        state = progress.state if progress is not None else None
        now = self._host.summaries.read_time_of_day()
        if progress is not None and progress.is_expired(now):
            return VersionChoice(upstreams=found)
        if state is version_moves.State.DONE:
            return VersionChoice(upstreams=new or old)
        name = version_moves.make_move_id(order)
        if (
            state is version_moves.State.TAKEN_BACK
            or name in self._blocked_moves
        ):
            return VersionChoice(upstreams=old)
        if not new or not old or is_retry:
            return VersionChoice(upstreams=old or new)
        share = version_moves.find_share(
            progress,
            now=now,
            duration_seconds=estimate_seconds(request),
            exposure=self._exposure_share,
        )
        place = request_contracts.hash_to_fraction(
            f"{name}:{request.contract.request_id}"
        )
        takes_new = place < share
        chosen = new if takes_new else old
        if state is not version_moves.State.TRIAL:
            return VersionChoice(upstreams=chosen)
        # Routes stand where the product's own moves compare workspaces.
        series = evidence.Series(
            move=name,
            step=version_moves.TRIAL_STEP,
            workspace=request.route.name,
            new=takes_new,
        )
        return VersionChoice(upstreams=chosen, series=series)

    def record_attempt(
        self,
        series: evidence.Series | None,
        upstream: relay_upstreams.RelayUpstream,
        *,
        failed: bool,
        seconds: float,
    ) -> None:
        """Count an answer, or its absence, after ``seconds``.

        Connections that break tell of the upstream's machine and are not
        counted; nor is one that is still slow from its start.
        """
        if series is None or upstream.record.warm_up_seconds > 0:
            return
        tally = self._tallies.setdefault(series, evidence.Tally())
        tally.record_outcome(failed=failed)
        if not failed:
            tally.record_first_token(seconds)

    def record_event_interval(
        self,
        series: evidence.Series | None,
        upstream: relay_upstreams.RelayUpstream,
        gap: float,
    ) -> None:
        """Count the mean time between the events of a stream, in seconds."""
        if series is None or upstream.record.warm_up_seconds > 0:
            return
        tally = self._tallies.setdefault(series, evidence.Tally())
        tally.record_gap(gap)

    async def run_once(self) -> None:
        """Look at the evidence; as the holder, take the moves further."""
        if not self._states_loaded:
            await self._read_states()
        for service in list(self._orders):
            await self._evaluate(service)

    async def _evaluate(self, service: str) -> None:
        order = self._orders[service]
        now = self._host.summaries.read_time_of_day()
        progress = self._find_progress(order)
        if progress is None:
            if self._host.duty.held and self._states_loaded:
                begun = version_moves.Progress(order=order, begun=now)
                await self._commit(begun)
            return
        if progress.state in version_moves.FINAL_STATES:
            if self._host.duty.held:
                await self._publish_status(progress)
            return
        name = version_moves.make_move_id(order)
        following = version_moves.decide(
            progress,
            self._merge_tallies(),
            now=now,
            exposure=self._exposure_share,
        )
        if (
            following.state is version_moves.State.TAKEN_BACK
            and name not in self._blocked_moves
        ):
            self._blocked_moves[name] = following.reason
            self._logger.bind(step="moves", peer=name).warning(
                f"{order.version} gets no more requests: {following.reason}"
            )
        if not self._host.duty.held:
            return
        if following != progress and not await self._commit(following):
            return
        await self._publish_status(following)
        self._schedule_evaluation(following.find_next_transition())

    def _schedule_evaluation(self, moment: float | None) -> None:
        """Look again at a moment that comes before the next usual look."""
        if moment is None:
            return
        left = moment - self._host.summaries.read_time_of_day()
        if 0 < left < EVALUATION_INTERVAL_SECONDS:
            asyncio.get_running_loop().call_later(left, self.wake)

    async def _commit(self, progress: version_moves.Progress) -> bool:
        """Have the store agree to a move's state; tell whether it has."""
        states = {**self._states, progress.order.service: progress}
        text = dump_states(states.values())
        result = await self._host.store.put(
            STATES_KEY, text, expect=self._states_version
        )
        logger = self._logger.bind(
            step="moves", peer=version_moves.make_move_id(progress.order)
        )
        if isinstance(result, reasons.Failure):
            logger.bind(reason=result.reason.value).warning(
                f"the store did not agree to {progress.state.value}: "
                f"{result.detail}"
            )
            # What the store has may be this very state, or a later one.
            self._states_loaded = False
            return False
        self._apply_states(text, result.version)
        self._host.broadcasts.publish(TOPIC)
        return True

    async def _publish_status(self, progress: version_moves.Progress) -> None:
        service = progress.order.service
        if self._published.get(service) == progress:
            return
        key, text = self._encode(progress)
        result = await self._host.store.put(key, text, expect=None)
        if isinstance(result, reasons.Failure):
            self._logger.bind(
                step="moves", peer=key, reason=result.reason.value
            ).warning(f"the operator was not told: {result.detail}")
            return
        self._published[service] = progress

    async def _read_states(self) -> None:
        entry = await self._host.store.get(STATES_KEY)
        if isinstance(entry, reasons.Failure):
            self._logger.bind(step="moves", reason=entry.reason.value).debug(
                f"the states of moves can't be read: {entry.detail}"
            )
            return
        self._states_loaded = True
        if entry is not None:
            self._apply_states(entry.value, entry.version)

    def _apply_order(self, order: version_moves.Order) -> None:
        known = self._orders.get(order.service)
        if known is not None and known.number >= order.number:
            return
        self._orders[order.service] = order
        self._logger.bind(step="moves", peer=order.service).info(
            f"ordered to {order.version} within {order.seconds:g} s"
        )
        self.wake()

    def _apply_states(self, text: str, version: int) -> bool:
        """Take in all moves' states, if they are newer than the known ones."""
        if version <= self._states_version:
            return False
        # Even if it can't be read, what follows must be written over it.
        self._states_version = version
        try:
            self._states = load_states(text)
        except ValueError as error:
            self._logger.bind(step="moves", peer=STATES_KEY).error(
                f"the states of version {version} can't be read, those known "
                f"are kept: {error}"
            )
            return False
        for progress in self._states.values():
            self._apply_order(progress.order)
            self._logger.bind(
                step="moves", peer=version_moves.make_move_id(progress.order)
            ).info(f"{progress.state.value}: {progress.reason}")
        return True

    def _find_progress(
        self, order: version_moves.Order
    ) -> version_moves.Progress | None:
        progress = self._states.get(order.service)
        if progress is None or progress.order.number != order.number:
            return None
        return progress

    def _dump(self) -> str:
        return dump_states(self._states.values())

    def _merge_tallies(self) -> evidence.Tallies:
        """Return the evidence of all hosts."""
        total: evidence.Tallies = {}
        evidence.add_tallies(total, self._tallies)
        for summary in self._host.summaries.list_all():
            evidence.add_tallies(
                total, summary_aggregates.read_tallies(summary)
            )
        return total

    def _fill_summary(self, summary: summaries_pb2.Summary) -> None:
        running = {
            version_moves.make_move_id(it.order)
            for it in self._states.values()
            if it.state not in version_moves.FINAL_STATES
        }
        for series in list(self._tallies):
            if series.move not in running:
                del self._tallies[series]
        summary_aggregates.write_tallies(summary, self._tallies)


def estimate_seconds(request: relay_messages.RelayRequest) -> float:
    """Return for how long an upstream is likely to work on a request."""
    first = request.route.target * FIRST_EVENT_TARGET_SHARE
    return first + request.workload.output_tokens * SECONDS_PER_TOKEN


def dump_states(states: Iterable[version_moves.Progress]) -> str:
    """Return moves' states as JSON."""
    return json.dumps([dataclasses.asdict(it) for it in states])


def load_states(text: str) -> dict[str, version_moves.Progress]:
    """Read moves' states by service; raise ValueError if that fails."""
    found = _STATES.validate_json(text)
    return {progress.order.service: progress for progress in found}
