"""Relay upstreams: load, recent outcomes and silence of each upstream."""

from collections.abc import Callable
import dataclasses
import math
import time

from buckthornhold import backoffs
from buckthornhold import cold_upstreams
from buckthornhold import failing_upstreams
from buckthornhold import upstream_directories
from buckthornhold.coordination import pause_detectors
from buckthornhold.peers import summaries_pb2

#: Half-life of the weight of an upstream's outcomes.
OUTCOME_HALF_LIFE_SECONDS = 4.0
#: Weight of outcomes below which an upstream's failures are not judged.
MIN_OUTCOMES = 4.0
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


@dataclasses.dataclass(kw_only=True)
class Outcomes:
    """Counts of an upstream's outcomes, with exponential decay."""

    ended: float = 0.0
    failed: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float, *, ended: float, failed: float) -> None:
        """Add outcomes; ``now`` is on the monotonic clock."""
        factor = 0.5 ** ((now - self.updated_at) / OUTCOME_HALF_LIFE_SECONDS)
        self.ended = self.ended * factor + ended
        self.failed = self.failed * factor + failed
        self.updated_at = now

    @property
    def failed_share(self) -> float:
        """Share of the requests that failed, 0 while the counts are low."""
        if self.ended < MIN_OUTCOMES:
            return 0.0
        return self.failed / self.ended


class RelayUpstream:
    """One process of an upstream, as this host observes it.

    ``in_flight`` counts this host's requests there; ``waiting_tokens`` sums
    the prompt tokens of those that have had no event yet. ``notify`` is called
    with what the upstream announces of itself.
    """

    def __init__(
        self,
        *,
        record: upstream_directories.UpstreamRecord,
        notify: Callable = lambda upstream, announcement: None,
    ) -> None:
        self.record = record
        self._notify = notify
        self.in_flight = 0
        self.waiting_tokens = 0
        self.leaving = record.leaving
        self.outcomes = Outcomes()
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

    def pause(self, seconds: float) -> None:
        """Exclude the upstream for this long."""
        self.paused_until = max(self.paused_until, time.monotonic() + seconds)


class RelayUpstreams:
    """All listed upstreams, with the load that other hosts report."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._upstreams: dict[tuple[str, int], RelayUpstream] = {}
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
        self.refresh()
        now = time.monotonic()
        active = [
            upstream
            for upstream in self.list_allowed(service, regions)
            if not upstream.leaving
            and self._backoffs.admits(upstream.key, upstream.in_flight)
        ]
        active = self.cold.select(service, active)
        healthy = [
            upstream
            for upstream in active
            if upstream.paused_until <= now and not upstream.is_silent(now)
        ]
        return failing_upstreams.exclude_failing(healthy) or healthy or active

    def find_retry_wait(self, service: str, regions=()) -> float:
        """Return the seconds until an upstream of the service may be used.

        0 unless every one is excluded because requests were abandoned there.
        """
        now = time.monotonic()
        return min(
            (
                upstream.find_retry_wait(now)
                for upstream in self.list_allowed(service, regions)
                if not upstream.leaving
            ),
            default=0.0,
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

    def list_allowed(self, service: str, regions=()) -> list[RelayUpstream]:
        """Return the upstreams of a service in zones that are allowed."""
        allows = self._host.placements.allows
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.record.service == service
            and allows(upstream.record.zone, regions)
        ]

    def refresh(self) -> None:
        """Update the upstreams from the directory's records."""
        listed = set()
        for record in self._host.directory.list_records():
            listed.add(record.key)
            upstream = self._upstreams.get(record.key)
            if upstream is None:
                upstream = RelayUpstream(
                    record=record, notify=self._take_announcement
                )
                self._upstreams[record.key] = upstream
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
