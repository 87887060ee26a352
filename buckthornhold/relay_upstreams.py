"""Relay upstreams: load, recent outcomes and silence of each upstream."""

from collections.abc import Callable
import math
import time

from buckthornhold import backoffs
from buckthornhold import cold_upstreams
from buckthornhold import service_indexes
from buckthornhold import upstream_directories
from buckthornhold import upstream_outcomes
from buckthornhold.coordination import pause_detectors
from buckthornhold.peers import summaries_pb2

#: An upstream that has sent nothing for this long while requests are in flight
#: is excluded, since a cut connection reports no error. A busy engine sends
#: events of some stream all the time; a plain call has 0.6 s in all.
SILENCE_TIMEOUT_SECONDS = 0.4
#: How long a silent upstream is excluded after a request was abandoned there.
#: Cuts last for seconds, and each further attempt costs a client its deadline.
SILENCE_PAUSE_SECONDS = 2.0
#: Retry-After while no upstream wants requests and none says until when: about
#: the time in which others are listed.
REPLACEMENT_WAIT_SECONDS = 0.5
#: Least time between two summaries that are sent because of a load.
MIN_ANNOUNCE_INTERVAL_SECONDS = 0.1


class RelayUpstream:
    """One process of an upstream, as this host observes it.

    ``in_flight`` counts this host's requests there; ``waiting_tokens`` sums
    the prompt tokens of those that have had no event yet. ``notify`` is called
    with what the upstream announces of itself, ``watch`` when it may become
    silent or is paused, and ``note_outcomes`` after each outcome.
    """

    def __init__(
        self,
        *,
        record: upstream_directories.UpstreamRecord,
        notify: Callable = lambda upstream, announcement: None,
        watch: Callable = lambda upstream: None,
        note_outcomes: Callable = lambda upstream: None,
    ) -> None:
        self.record = record
        self._notify = notify
        self._watch = watch
        self._note_outcomes = note_outcomes
        self.in_flight = 0
        self.waiting_tokens = 0
        self.leaving = record.leaving
        self.outcomes = upstream_outcomes.Outcomes()
        self.ended_total = 0
        self.failed_total = 0
        self.paused_until = 0.0
        self._last_activity_at = 0.0
        #: End of the exclusion after a request was abandoned there.
        self._silence_pause_until = 0.0
        self._remote_in_flight = 0
        #: Waiting tokens of other hosts, and when they were reported.
        self._remote_waiting: list[tuple[int, float]] = []

    @property
    def key(self) -> tuple[str, int]:
        """Name and start time, which identify the process."""
        return self.record.key

    @property
    def name(self) -> str:
        """The upstream's name."""
        return self.record.name

    @property
    def slots(self) -> int:
        """Requests that it runs at once."""
        return max(1, self.record.slots)

    @property
    def load(self) -> int:
        """Requests in flight there, of all hosts with a recent summary."""
        return self.in_flight + self._remote_in_flight

    def record_announcement(self, announcement: backoffs.Announcement) -> None:
        """Record what an answer says of its upstream."""
        if announcement.leaving or announcement.retry_after is not None:
            self._notify(self, announcement)

    def set_remote_load(
        self, requests: int, waiting: list[tuple[int, float]]
    ) -> None:
        """Set the requests and the waiting tokens of the other hosts.

        ``waiting`` holds each report's tokens and its time, on the clock that
        also runs while the process is paused.
        """
        self._remote_in_flight = requests
        self._remote_waiting = waiting

    def estimate_remote_wait(self, token_seconds: float) -> float:
        """Return the seconds until the other hosts' waiting tokens are read.

        What could be read since each report counts as read.
        """
        if not self._remote_waiting:
            return 0.0
        now = pause_detectors.read_boot_clock()
        return sum(
            max(0.0, tokens * token_seconds - (now - reported_at))
            for tokens, reported_at in self._remote_waiting
        )

    def is_silent(self, now: float) -> bool:
        """Tell whether requests are in flight but no data arrives."""
        has_requests = self.in_flight > 0
        return (
            has_requests
            and now - self._last_activity_at > SILENCE_TIMEOUT_SECONDS
        )

    def record_request(self, prompt_tokens: int = 0) -> None:
        """Count a request sent to the upstream, with its prompt's tokens."""
        if not self.in_flight:
            self._last_activity_at = time.monotonic()
            self._watch(self)
        self.in_flight += 1
        self.waiting_tokens += prompt_tokens

    def record_activity(self) -> None:
        """Record that the upstream has sent data."""
        self._last_activity_at = time.monotonic()
        self._silence_pause_until = 0.0

    def record_abandoned(self) -> bool:
        """Record that a request was abandoned without a response.

        Excludes the upstream for a while if it is silent, as the next
        requests would wait there as well. Returns whether it is silent.
        """
        now = time.monotonic()
        silent = self.is_silent(now)
        if silent:
            self.pause(SILENCE_PAUSE_SECONDS)
            self._silence_pause_until = now + SILENCE_PAUSE_SECONDS
        return silent

    def find_retry_wait(self, now: float) -> float:
        """Return the seconds left of the exclusion for silence, 0 if none."""
        return max(0.0, self._silence_pause_until - now)

    def record_outcome(self, *, failed: bool) -> None:
        """Count the outcome of one of this host's requests."""
        self.ended_total += 1
        self.failed_total += failed
        self.outcomes.add(time.monotonic(), ended=1, failed=failed)
        self._note_outcomes(self)

    def pause(self, seconds: float) -> None:
        """Exclude the upstream for this long."""
        self.paused_until = max(self.paused_until, time.monotonic() + seconds)
        self._watch(self)


class RelayUpstreams:
    """All listed upstreams, with the load that other hosts report."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._upstreams: dict[tuple[str, int], RelayUpstream] = {}
        self._index = service_indexes.ServiceIndex()
        #: Generation of the directory that was read last.
        self._generation = -1
        self._leaving_names: dict[str, float] = {}
        self._totals: dict[tuple[str, int, str], tuple[int, int]] = {}
        self._announced_at = -math.inf
        self.cold = cold_upstreams.ColdUpstreams(host=host)
        self._backoffs = backoffs.Backoffs(
            count_hosts=lambda: self._host.count_hosts()
        )
        host.summaries.add_source(self._fill_summary)

    def list_all(self) -> list[RelayUpstream]:
        """Return all upstreams, leaving ones included."""
        return list(self._upstreams.values())

    def list_service(self, service: str, regions=()) -> list[RelayUpstream]:
        """Return the upstreams of a service that may receive requests.

        Silent and failing ones are excluded unless none would be left, those
        that want no requests and those in zones that aren't allowed in any
        case. ``regions`` is a ``placements.Regions``.
        """
        if self._host.directory.generation != self._generation:
            self.refresh()
        active = self._list_admitting(service, regions)
        return (
            self._index.exclude_unhealthy(active, time.monotonic()) or active
        )

    def _list_admitting(self, service: str, regions) -> list[RelayUpstream]:
        """Return the upstreams that may get requests by their own state.

        Every filter by a record or by what an upstream says of itself is
        applied here, and only here. A list from which nothing is removed is
        returned as it is, since routers recognize it.
        """
        staying = self._index.list_staying(service)
        staying = self._filter_placed(staying, regions)
        refusing = self._backoffs.list_refusing(
            lambda key: (
                self._upstreams[key].in_flight if key in self._upstreams else 0
            )
        )
        if refusing:
            staying = [it for it in staying if it.key not in refusing]
        return self.cold.select(service, staying)

    def list_allowed(self, service: str, regions=()) -> list[RelayUpstream]:
        """Return the upstreams of a service in zones that are allowed."""
        return self._filter_placed(self._index.list_known(service), regions)

    def _filter_placed(self, upstreams, regions) -> list[RelayUpstream]:
        placements = self._host.placements
        if placements.allows_all(regions):
            return upstreams
        return [
            upstream
            for upstream in upstreams
            if placements.allows(upstream.record.zone, regions)
        ]

    def find_retry_wait(self, service: str, regions=()) -> float:
        """Return the seconds until an upstream of the service may be used.

        0 unless every one is excluded because requests were abandoned there.
        """
        staying = self._index.list_staying(service)
        return self._index.find_retry_wait(
            self._filter_placed(staying, regions), time.monotonic()
        )

    def find_backoff_wait(self, service: str, regions=()) -> float:
        """Return the seconds until an upstream of the service wants requests.

        0 unless upstreams are known and every one is leaving or has asked for
        no more requests.
        """
        known = self.list_allowed(service, regions)
        staying = [upstream for upstream in known if not upstream.leaving]
        if not known or any(
            self._backoffs.admits(upstream.key, upstream.in_flight)
            and self.cold.admits(upstream)
            for upstream in staying
        ):
            return 0.0
        wait = self._backoffs.find_wait(upstream.key for upstream in staying)
        return wait or REPLACEMENT_WAIT_SECONDS

    def refresh(self) -> None:
        """Update the upstreams from the directory's records."""
        listed = set()
        self._generation = self._host.directory.generation
        for record in self._host.directory.list_records():
            key = record.key
            listed.add(key)
            upstream = self._upstreams.get(key)
            if upstream is None:
                upstream = RelayUpstream(
                    record=record,
                    notify=self._take_announcement,
                    watch=self._index.watch,
                    note_outcomes=self._index.note_outcomes,
                )
                self._upstreams[key] = upstream
            elif upstream.record is record:
                # The directory keeps one record for each revision.
                continue
            if record.leaving:
                self._mark_leaving(upstream, "its record")
            upstream.record = record
            self.cold.apply_record(record)
        for key in self._upstreams.keys() - listed:
            upstream = self._upstreams[key]
            upstream.leaving = True
            if not upstream.in_flight:
                del self._upstreams[key]
                self.cold.forget(key)
                self._drop_totals(upstream.name)
                self._host.engine_speeds.forget(key)
        self._index.rebuild(self._upstreams.values())

    def apply_summary(self, summary: summaries_pb2.Summary) -> None:
        """Apply another host's outcomes and leaving upstreams."""
        now = time.monotonic()
        leaving = set(summary.leaving)
        by_name = {known.name: known for known in self._upstreams.values()}
        for load in summary.loads:
            upstream = by_name.get(load.upstream)
            if upstream is None:
                continue
            key = (summary.host, summary.incarnation, load.upstream)
            ended, failed = self._totals.get(key, (load.ended, load.failed))
            self._totals[key] = (load.ended, load.failed)
            upstream.outcomes.add(
                now, ended=load.ended - ended, failed=load.failed - failed
            )
            self._index.note_outcomes(upstream)
        for upstream in self._upstreams.values():
            if make_process_name(upstream) in leaving:
                self._mark_leaving(upstream, summary.host)

    def announce_load(self) -> None:
        """Send this host's loads to all others now, in a full mesh.

        An aggregate would arrive too late to be of use.
        """
        now = time.monotonic()
        if (
            not self._host.summaries.full_mesh
            or now - self._announced_at < MIN_ANNOUNCE_INTERVAL_SECONDS
        ):
            return
        self._announced_at = now
        self._host.summaries.publish()

    def update_remote_load(self) -> None:
        """Collect the other hosts' requests and tokens per upstream."""
        requests: dict[str, int] = {}
        waiting: dict[str, list[tuple[int, float]]] = {}
        delay = self._host.summaries.aggregation_delay_seconds
        for received in self._host.summaries.list_fresh_received():
            reported_at = received.received_at - delay
            for load in received.summary.loads:
                name = load.upstream
                requests[name] = requests.get(name, 0) + load.requests
                if load.tokens:
                    report = (load.tokens, reported_at)
                    waiting.setdefault(name, []).append(report)
        for upstream in self._upstreams.values():
            upstream.set_remote_load(
                requests.get(upstream.name, 0), waiting.get(upstream.name, [])
            )

    def _take_announcement(
        self, upstream: RelayUpstream, announcement: backoffs.Announcement
    ) -> None:
        """Keep to what an upstream says of itself from now on."""
        if announcement.leaving and not upstream.leaving:
            self._host.counters.count_event("upstreams.announced_leaving")
            self._mark_leaving(upstream, "its own answer")
        seconds = announcement.retry_after
        if seconds is None:
            return
        self._host.counters.count_event("upstreams.backed_off")
        self._backoffs.begin(upstream.key, seconds)
        self._host.logger.bind(step="backoff", peer=upstream.name).info(
            f"asked for no requests for {seconds:.2f} s"
        )

    def _mark_leaving(self, upstream: RelayUpstream, source: str) -> None:
        """Stop sending to an upstream and publish that it is leaving."""
        if upstream.leaving:
            return
        upstream.leaving = True
        self._index.rebuild(self._upstreams.values())
        self._host.logger.bind(step="upstreams", peer=upstream.name).info(
            f"upstream is leaving by {source}, "
            f"{upstream.in_flight} requests in flight"
        )
        self._host.summaries.publish()

    def _drop_totals(self, name: str) -> None:
        """Drop the reported totals of an upstream that was removed."""
        for key in [known for known in self._totals if known[2] == name]:
            del self._totals[key]

    def _fill_summary(self, summary: summaries_pb2.Summary) -> None:
        for upstream in self._upstreams.values():
            if upstream.leaving:
                summary.leaving.append(make_process_name(upstream))
            summary.loads.add(
                upstream=upstream.name,
                requests=upstream.in_flight,
                tokens=upstream.waiting_tokens,
                ended=upstream.ended_total,
                failed=upstream.failed_total,
            )


def make_process_name(upstream: RelayUpstream) -> str:
    """Return the name of an upstream's process, as summaries use it."""
    return f"{upstream.name}/{upstream.record.started_at}"
