"""Upstreams of relayed requests, as this host sees them."""

import dataclasses
import math
import time

from buckthornhold import upstream_directories
from buckthornhold.peers import summaries_pb2

#: Half of what was seen of an upstream is forgotten in this time, seconds.
OUTCOME_HALF_LIFE_SECONDS = 4.0
#: Outcomes that must have been seen before an upstream is passed over.
MIN_OUTCOMES = 4.0
#: An upstream is passed over if this share of its requests failed, and
#: more by this factor than with the service's other upstreams.
MIN_EXCLUDED_FAILED_SHARE = 0.25
EXCLUDED_FAILED_FACTOR = 2.5
#: An upstream that has sent nothing for so long while this host waits for it
#: is passed over, in seconds: a connection that is cut says nothing. Engines
#: that are busy send events of some stream all the while; a plain call has
#: 0.6 s in all.
SILENCE_TIMEOUT_SECONDS = 0.4
#: For how long it is passed over once a request was given up there, seconds.
#: Cuts last for seconds; each try costs a caller its time.
SILENCE_PAUSE_SECONDS = 2.0


@dataclasses.dataclass(kw_only=True)
class Outcomes:
    """How the latest requests at an upstream ended, with decay."""

    ended: float = 0.0
    failed: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float, *, ended: float, failed: float) -> None:
        """Add some outcomes; ``now`` is on the monotonic clock."""
        factor = 0.5 ** ((now - self.updated_at) / OUTCOME_HALF_LIFE_SECONDS)
        self.ended = self.ended * factor + ended
        self.failed = self.failed * factor + failed
        self.updated_at = now

    @property
    def failed_share(self) -> float:
        """Share of the requests that failed, 0 while few were seen."""
        if self.ended < MIN_OUTCOMES:
            return 0.0
        return self.failed / self.ended


class RelayUpstream:
    """One process of an upstream.

    ``in_flight`` and ``waiting_tokens`` are what this host has there: its
    requests, and the tokens of those whose first event has not come.
    """

    def __init__(self, *, record: upstream_directories.UpstreamRecord) -> None:
        self.record = record
        self.in_flight = 0
        self.waiting_tokens = 0
        self.leaving = record.leaving
        self.outcomes = Outcomes()
        self.ended_total = 0
        self.failed_total = 0
        self.paused_until = 0.0
        self._last_activity_at = 0.0
        #: Until when nothing is expected, as a request was given up there.
        self._silence_pause_until = 0.0
        self._remote_in_flight = 0
        self._remote_waiting_tokens = 0

    @property
    def key(self) -> tuple[str, int]:
        """What tells this process from all others."""
        return self.record.key

    @property
    def name(self) -> str:
        """The upstream's name."""
        return self.record.name

    @property
    def load(self) -> int:
        """Requests there, of all hosts that were heard lately."""
        return self.in_flight + self._remote_in_flight

    @property
    def backlog(self) -> int:
        """Tokens there that wait to be prefilled, of all those hosts."""
        return self.waiting_tokens + self._remote_waiting_tokens

    def set_remote_load(self, requests: int, tokens: int) -> None:
        """Learn what other hosts have there."""
        self._remote_in_flight = requests
        self._remote_waiting_tokens = tokens

    def is_silent(self, now: float) -> bool:
        """Tell whether this host waits for it and hears nothing."""
        waits = self.in_flight > 0
        return waits and now - self._last_activity_at > SILENCE_TIMEOUT_SECONDS

    def record_request(self) -> None:
        """Count a request that is sent there."""
        if not self.in_flight:
            self._last_activity_at = time.monotonic()
        self.in_flight += 1

    def record_activity(self) -> None:
        """Note that something came from there."""
        self._last_activity_at = time.monotonic()
        self._silence_pause_until = 0.0

    def record_abandoned(self) -> bool:
        """Note that a request was given up while it waited there.

        If nothing was heard for long the upstream is passed over for a
        while, as the next requests would wait there as well. Returns whether
        that is so.
        """
        now = time.monotonic()
        silent = self.is_silent(now)
        if silent:
            self.pause(SILENCE_PAUSE_SECONDS)
            self._silence_pause_until = now + SILENCE_PAUSE_SECONDS
        return silent

    def find_retry_wait(self, now: float) -> float:
        """Return in how many seconds it is tried again, 0 if it may be now.

        Only if a request was given up there that it had not answered.
        """
        return max(0.0, self._silence_pause_until - now)

    def record_outcome(self, *, failed: bool) -> None:
        """Count how one of this host's requests ended there."""
        self.ended_total += 1
        self.failed_total += failed
        self.outcomes.add(time.monotonic(), ended=1, failed=failed)

    def pause(self, seconds: float) -> None:
        """Pass the upstream over for a while."""
        self.paused_until = max(self.paused_until, time.monotonic() + seconds)


class RelayUpstreams:
    """The upstreams that are listed, and what other hosts say of them."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._upstreams: dict[tuple[str, int], RelayUpstream] = {}
        self._leaving_names: dict[str, float] = {}
        self._totals: dict[tuple[str, int, str], tuple[int, int]] = {}
        host.summaries.add_source(self._fill_summary)

    def list_all(self) -> list[RelayUpstream]:
        """Return all upstreams, leaving ones included."""
        return list(self._upstreams.values())

    def list_service(self, service: str) -> list[RelayUpstream]:
        """Return the upstreams of a service that may be sent to.

        Those that are silent or fail much are left out, unless that leaves
        none.
        """
        self.refresh()
        now = time.monotonic()
        staying = [
            it
            for it in self._upstreams.values()
            if it.record.service == service and not it.leaving
        ]
        good = [
            it
            for it in staying
            if it.paused_until <= now and not it.is_silent(now)
        ]
        return exclude_failing(good) or good or staying

    def find_retry_wait(self, service: str) -> float:
        """Return when a service's next upstream is tried again, in seconds.

        0 unless requests were given up at every one without a word.
        """
        now = time.monotonic()
        return min(
            (
                it.find_retry_wait(now)
                for it in self._upstreams.values()
                if it.record.service == service and not it.leaving
            ),
            default=0.0,
        )

    def refresh(self) -> None:
        """Take in the directory's records."""
        listed = set()
        for record in self._host.directory.list_records():
            listed.add(record.key)
            upstream = self._upstreams.get(record.key)
            if upstream is None:
                upstream = RelayUpstream(record=record)
                self._upstreams[record.key] = upstream
            if record.leaving:
                self._mark_leaving(upstream)
            upstream.record = record
        for key in self._upstreams.keys() - listed:
            upstream = self._upstreams[key]
            upstream.leaving = True
            if not upstream.in_flight:
                del self._upstreams[key]
                self._drop_totals(upstream.name)

    def apply_summary(self, summary: summaries_pb2.Summary) -> None:
        """Learn of outcomes and leaving upstreams from another host."""
        now = time.monotonic()
        leaving = set(summary.leaving)
        by_name = {it.name: it for it in self._upstreams.values()}
        for load in summary.loads:
            upstream = by_name.get(load.upstream)
            if upstream is None:
                continue
            place = (summary.host, summary.incarnation, load.upstream)
            ended, failed = self._totals.get(place, (load.ended, load.failed))
            self._totals[place] = (load.ended, load.failed)
            upstream.outcomes.add(
                now, ended=load.ended - ended, failed=load.failed - failed
            )
        for upstream in self._upstreams.values():
            if make_process_name(upstream) in leaving:
                self._mark_leaving(upstream)

    def update_remote_load(self) -> None:
        """Add up what the other hosts have in flight."""
        requests: dict[str, int] = {}
        tokens: dict[str, int] = {}
        for summary in self._host.summaries.list_fresh():
            for load in summary.loads:
                name = load.upstream
                requests[name] = requests.get(name, 0) + load.requests
                tokens[name] = tokens.get(name, 0) + load.tokens
        for upstream in self._upstreams.values():
            upstream.set_remote_load(
                requests.get(upstream.name, 0), tokens.get(upstream.name, 0)
            )

    def _mark_leaving(self, upstream: RelayUpstream) -> None:
        """Send an upstream no more, and have the others learn of it."""
        if upstream.leaving:
            return
        upstream.leaving = True
        self._host.logger.bind(step="upstreams", peer=upstream.name).info(
            f"is leaving with {upstream.in_flight} requests in flight"
        )
        self._host.summaries.publish()

    def _drop_totals(self, name: str) -> None:
        """Drop what other hosts told of an upstream that is gone."""
        for place in [it for it in self._totals if it[2] == name]:
            del self._totals[place]

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
    """Return the name of one process of an upstream, for other hosts."""
    return f"{upstream.name}/{upstream.record.started_at}"


def exclude_failing(found: list[RelayUpstream]) -> list[RelayUpstream]:
    """Return the upstreams that fail no more often than the others do."""
    if len(found) < 2:
        return found
    shares = sorted(it.outcomes.failed_share for it in found)
    usual = shares[(len(shares) - 1) // 2]
    bound = max(MIN_EXCLUDED_FAILED_SHARE, usual * EXCLUDED_FAILED_FACTOR)
    good = [it for it in found if it.outcomes.failed_share <= bound]
    # Where most fail, the cause lies elsewhere.
    if len(good) < math.ceil(len(found) / 2):
        return found
    return good
