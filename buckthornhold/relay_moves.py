"""Relay moves: rollout of a service's new version that an operator ordered.

Each host splits the service's requests between the versions by a hash of the
request id and publishes the outcomes of both. The leader decides the next
state from the outcomes of all hosts, commits it to the store and broadcasts
it. A host that finds the new version bad by the same outcomes stops using it
at once. ``coordination.version_moves`` holds the decision rules.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from buckthornhold import reasons
from buckthornhold import relay_messages
from buckthornhold import relay_upstreams
from buckthornhold import request_contracts
from buckthornhold import stores
from buckthornhold import summary_aggregates
from buckthornhold import tasks
from buckthornhold.coordination import broadcasts
from buckthornhold.coordination import evidence
from buckthornhold.coordination import move_eras
from buckthornhold.coordination import store_eras
from buckthornhold.coordination import version_moves
from buckthornhold.peers import summaries_pb2

TOPIC = "moves"
#: Key of the states of all moves in the store.
STATES_KEY = "moves"
#: Interval between two evaluations of the outcomes.
EVALUATION_INTERVAL_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionChoice:
    """The upstreams that may receive a request.

    ``series`` is the series that its outcome counts in, None if the outcome
    does not compare the versions.
    """

    upstreams: list[relay_upstreams.RelayUpstream]
    series: evidence.Series | None = None


class RelayMoves(tasks.PeriodicService):
    """Carries out the operator's orders and splits requests by version.

    ``decode`` parses an order from an entry of the store. It returns None if
    the entry is something else and raises ValueError if it is invalid.
    ``encode`` returns the key and the text of a move's status.
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
        self._orders = move_eras.KnownOrders()
        self._states: dict[str, version_moves.Progress] = {}
        #: The states as the store has them.
        self._stored_states: dict[str, version_moves.Progress] = {}
        #: Version of the states in the store, 0 if it has none.
        self._states_version = 0
        #: The version that the next write of the states replaces.
        self._expected_version = 0
        self._states_loaded = False
        #: Whether a restored store may have lost states that this host knows.
        self._is_rewrite_due = False
        #: The reason for each move whose new version this host has stopped.
        self._blocked_moves: dict[str, str] = {}
        self._tallies: evidence.Tallies = {}
        #: The status that this host published last, by service.
        self._published: dict[str, version_moves.Progress] = {}
        host.summaries.add_source(self._fill_summary)
        host.eras.add_part(store_eras.Order.MOVES, "moves", self._begin_era)

    def register_topic(self, broadcast: broadcasts.Broadcasts) -> None:
        """Register the states as a broadcast topic."""
        broadcast.add_topic(
            TOPIC,
            read=lambda: broadcasts.Document(
                topic=TOPIC,
                version=self._states_version,
                body=move_eras.dump_states(self._states.values()),
            ),
            read_version=lambda: self._states_version,
            apply=lambda document: self._apply_states(
                document.body, document.version
            ),
        )

    def apply_change(self, change: stores.Change) -> None:
        """Apply the operator's orders among the changed entries."""
        for entry in change.entries:
            try:
                order = self._decode(entry)
            except ValueError as error:
                self._logger.bind(step="moves", peer=entry.key).error(
                    f"invalid order: {error}"
                )
                continue
            if order is not None:
                self._apply_order(order)

    def is_moving(self, service: str) -> bool:
        """Tell whether a move of the service is in progress."""
        order = self._orders.find(service)
        if order is None:
            return False
        progress = self._find_progress(order)
        return progress is None or not progress.is_final

    def removes(self, service: str, version: str) -> bool:
        """Tell whether a move's end removes a version's upstreams."""
        order = self._orders.find(service)
        progress = order and self._find_progress(order)
        now = self._host.summaries.read_time_of_day()
        return progress is not None and progress.removes(version, now)

    def choose(
        self,
        request: relay_messages.RelayRequest,
        upstreams: list[relay_upstreams.RelayUpstream],
        *,
        is_retry: bool,
    ) -> VersionChoice:
        """Return the upstreams for a request, by its service's move.

        Retries go to the old version.
        """
        order = self._orders.find(request.service)
        if order is None:
            return VersionChoice(upstreams=upstreams)
        new = [it for it in upstreams if it.record.version == order.version]
        old = [it for it in upstreams if it.record.version != order.version]
        progress = self._find_progress(order)
        state = progress.state if progress is not None else None
        now = self._host.summaries.read_time_of_day()
        if progress is not None and progress.is_expired(now):
            return VersionChoice(upstreams=upstreams)
        if state is version_moves.State.DONE:
            return VersionChoice(upstreams=new or old)
        move_id = version_moves.make_move_id(order)
        if (
            state is version_moves.State.TAKEN_BACK
            or move_id in self._blocked_moves
        ):
            return VersionChoice(upstreams=old)
        if not new or not old or is_retry:
            return VersionChoice(upstreams=old or new)
        share = version_moves.find_share(
            progress,
            now=now,
            duration_seconds=relay_messages.estimate_seconds(request),
            exposure=self._exposure_share,
        )
        position = request_contracts.hash_to_fraction(
            f"{move_id}:{request.contract.request_id}"
        )
        takes_new = position < share
        selected = new if takes_new else old
        if state is not version_moves.State.TRIAL:
            return VersionChoice(upstreams=selected)
        # The workspace of a series is the route here; entry hosts compare
        # by workspace.
        series = evidence.Series(
            move=move_id,
            step=version_moves.TRIAL_STEP,
            workspace=request.route.name,
            new=takes_new,
        )
        return VersionChoice(upstreams=selected, series=series)

    def record_attempt(
        self,
        series: evidence.Series | None,
        upstream: relay_upstreams.RelayUpstream,
        *,
        failed: bool,
        seconds: float,
    ) -> None:
        """Record a response, or its absence, after ``seconds``.

        Broken connections are not recorded, as they indicate a fault of the
        machine. Upstreams that are still warming up aren't either.
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
        """Record the mean time between a stream's events, in seconds."""
        if series is not None and upstream.record.warm_up_seconds <= 0:
            tally = self._tallies.setdefault(series, evidence.Tally())
            tally.record_gap(gap)

    async def run_once(self) -> None:
        """Evaluate the outcomes; as the leader, advance the moves."""
        if not self._states_loaded:
            await self._read_states()
        if self._is_rewrite_due and self._states_loaded:
            await self._rewrite_states()
        for service in self._orders.list_services():
            await self._evaluate(service)

    async def _evaluate(self, service: str) -> None:
        order = self._orders.find(service)
        now = self._host.summaries.read_time_of_day()
        progress = self._find_progress(order)
        if progress is None:
            if self._host.duty.held and self._states_loaded:
                initial = version_moves.Progress(order=order, begun=now)
                await self._commit(initial)
            return
        if progress.is_final:
            if self._host.duty.held:
                await self._publish_status(progress)
            return
        move_id = version_moves.make_move_id(order)
        next_progress = version_moves.decide(
            progress,
            summary_aggregates.merge_tallies(
                self._tallies, self._host.summaries.list_all()
            ),
            now=now,
            exposure=self._exposure_share,
        )
        if (
            next_progress.state is version_moves.State.TAKEN_BACK
            and move_id not in self._blocked_moves
        ):
            self._blocked_moves[move_id] = next_progress.reason
            self._logger.bind(step="moves", peer=move_id).warning(
                f"stopped sending to {order.version}: {next_progress.reason}"
            )
        if not self._host.duty.held:
            return
        if next_progress != progress and not await self._commit(next_progress):
            return
        await self._publish_status(next_progress)
        self._schedule_evaluation(next_progress.find_next_transition())

    def _schedule_evaluation(self, moment: float | None) -> None:
        """Schedule an evaluation at a moment before the next regular one."""
        if moment is None:
            return
        delay = moment - self._host.summaries.read_time_of_day()
        if 0 < delay < EVALUATION_INTERVAL_SECONDS:
            asyncio.get_running_loop().call_later(delay, self.wake)

    async def _commit(self, progress: version_moves.Progress) -> bool:
        """Write a move's state to the store; return whether that succeeded."""
        states = {**self._states, progress.order.service: progress}
        move_id = version_moves.make_move_id(progress.order)
        return await self._write_states(
            states, f"state {progress.state.value} of {move_id}"
        )

    async def _write_states(
        self, states: dict[str, version_moves.Progress], what: str
    ) -> bool:
        text = move_eras.dump_states(states.values())
        result = await self._host.store.put(
            STATES_KEY, text, expect=self._expected_version
        )
        if isinstance(result, reasons.Failure):
            self._logger.bind(
                step="moves", reason=result.reason.value
            ).warning(f"{what} was not written to the store: {result.detail}")
            # The store may hold this very state, or a later one.
            self._states_loaded = False
            return False
        self._apply_states(text, result.version)
        self._host.broadcasts.publish(TOPIC)
        return True

    def _begin_era(self, change: store_eras.EraChange) -> None:
        """Read the states again, and write what the store has lost."""
        self._states_loaded = False
        self._is_rewrite_due = True
        self._published.clear()

    async def _rewrite_states(self) -> None:
        """Write the known states if a restored store has lost them."""
        if not self._host.duty.held:
            return
        era = store_eras.find_era(self._states_version)
        is_stored = self._stored_states == self._states
        if self._states and not (is_stored and era == self._host.eras.current):
            what = "what the restored store has lost"
            if not await self._write_states(self._states, what):
                return
        self._is_rewrite_due = False

    async def _publish_status(self, progress: version_moves.Progress) -> None:
        service = progress.order.service
        if self._published.get(service) == progress:
            return
        key, text = self._encode(progress)
        result = await self._host.store.put(key, text, expect=None)
        if isinstance(result, reasons.Failure):
            self._logger.bind(
                step="moves", peer=key, reason=result.reason.value
            ).warning(f"status was not written to the store: {result.detail}")
            return
        self._published[service] = progress

    async def _read_states(self) -> None:
        entry = await self._host.store.get(STATES_KEY)
        if isinstance(entry, reasons.Failure):
            self._logger.bind(step="moves", reason=entry.reason.value).debug(
                f"reading the states of moves failed: {entry.detail}"
            )
            return
        self._states_loaded = True
        if entry is not None:
            self._apply_states(entry.value, entry.version)
        elif self._host.eras.current:
            self._expected_version = stores.MUST_NOT_EXIST

    def _apply_order(self, order: version_moves.Order) -> None:
        if not self._orders.apply(order):
            return
        self._logger.bind(step="moves", peer=order.service).info(
            f"ordered to move to {order.version} within {order.seconds:g} s"
        )
        self.wake()

    def _apply_states(self, text: str, version: int) -> bool:
        """Apply the states of all moves if they are newer than the known."""
        if version <= self._states_version:
            return False
        # Kept even if the text is invalid: the next write replaces it.
        self._states_version = self._expected_version = version
        try:
            self._stored_states = move_eras.load_states(text)
        except ValueError as error:
            self._logger.bind(step="moves", peer=STATES_KEY).error(
                f"invalid states of version {version}, the known ones stay "
                f"in force: {error}"
            )
            return False
        if store_eras.find_era(version):
            self._states = move_eras.merge_states(
                self._states, self._stored_states
            )
        else:
            self._states = dict(self._stored_states)
        for service, progress in list(self._states.items()):
            self._apply_order(progress.order)
            progress = self._orders.identify(progress)
            self._states[service] = progress
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

    def _fill_summary(self, summary: summaries_pb2.Summary) -> None:
        active_moves = {
            version_moves.make_move_id(progress.order)
            for progress in self._states.values()
            if not progress.is_final
        }
        for series in list(self._tallies):
            if series.move not in active_moves:
                del self._tallies[series]
        summary_aggregates.write_tallies(summary, self._tallies)
