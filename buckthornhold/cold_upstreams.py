"""Cold upstreams: what a relay host knows of them, and who may send there.

``scheduling.cold_starts`` decides; here its input is read from the entries,
the configuration, the members and the summaries.
"""

import math
import time

from buckthornhold import upstream_directories
from buckthornhold.coordination import members
from buckthornhold.scheduling import cold_starts

#: How long what is known of the zone's hosts is used before it is read again.
#: Doubts and summaries change less often.
VIEW_SECONDS = 0.1
#: For how long a host that became gone by silence may run behind a partition.
#: Partitions last for seconds or minutes; hosts that ended without a trace
#: must not count for ever.
SILENT_SECONDS = 300.0


class ColdUpstreams:
    """The cold upstreams of one relay host."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._started_at = time.monotonic()
        self._records: dict[
            tuple[str, int], upstream_directories.UpstreamRecord
        ] = {}
        self._decision: cold_starts.ColdStarts | None = None
        self._view: cold_starts.ZoneView | None = None
        self._view_until = -math.inf

    def apply_record(
        self, record: upstream_directories.UpstreamRecord
    ) -> None:
        """Apply an upstream's entry, once for each revision.

        The directory keeps one record for each revision, also if the entry
        is read again.
        """
        known = self._records.get(record.key)
        if record is known:
            return
        self._records[record.key] = record
        seconds = record.warm_up_seconds
        if self._decision is None and not seconds:
            return
        is_news = self._get_decision().apply_entry(
            record.key, seconds, first_seen=known is None
        )
        if is_news:
            self._log_change(record)

    def forget(self, key: tuple[str, int]) -> None:
        """Drop an upstream that was removed."""
        self._records.pop(key, None)
        if self._decision is not None:
            self._decision.forget(key)

    def select(self, service: str, upstreams: list) -> list:
        """Return the upstreams of a service that one request may be sent to.

        All of them if none is cold or the service has no cold rate.
        """
        if self._decision is None or not self._decision.any_cold:
            return upstreams
        rate = self._find_rate(service)
        if not rate:
            return upstreams
        selected = set(
            self._decision.select(
                [upstream.key for upstream in upstreams], rate
            )
        )
        return [it for it in upstreams if it.key in selected]

    def admits(self, upstream) -> bool:
        """Tell whether this host may send to an upstream now.

        True for all upstreams of a service without a cold rate.
        """
        if self._decision is None:
            return True
        rate = self._find_rate(upstream.record.service)
        return self._decision.admits(upstream.key, rate)

    def record_request(self, upstream) -> None:
        """Count an attempt that is about to be sent to an upstream."""
        if self._decision is not None:
            rate = self._find_rate(upstream.record.service)
            self._decision.record_request(upstream.key, rate)

    def find_wait(self, service: str, upstreams: list) -> float:
        """Return the seconds until the first of some upstreams is warm.

        0 if none is cold, or if a request could be sent to one now.
        ``upstreams`` are those of the service that a request may use.
        """
        if self._decision is None:
            return 0.0
        return self._decision.find_wait(
            [upstream.key for upstream in upstreams], self._find_rate(service)
        )

    def list_remaining(self, service: str) -> dict[tuple[str, int], float]:
        """Return the remaining cold seconds of a service's cold upstreams.

        Empty if the service has no cold rate.
        """
        if self._decision is None or not self._find_rate(service):
            return {}
        found = {
            key: self._decision.find_remaining(key)
            for key, record in self._records.items()
            if record.service == service
        }
        return {key: seconds for key, seconds in found.items() if seconds}

    def _find_rate(self, service: str) -> float:
        current = self._host.configurations.current
        known = current.services.get(service) if current else None
        return known.cold_rate if known is not None else 0.0

    def _get_decision(self) -> cold_starts.ColdStarts:
        if self._decision is None:
            config = self._host.settings
            self._decision = cold_starts.ColdStarts(
                host=config.host,
                zone=config.zone,
                zones=config.zones,
                bound=cold_starts.Bound(
                    overage=config.bounds.cold_overage,
                    slack=config.bounds.cold_slack,
                ),
                read_view=self._read_view,
            )
        return self._decision

    def _read_view(self) -> cold_starts.ZoneView:
        now = time.monotonic()
        if self._view is None or now >= self._view_until:
            view = self._make_view(now)
            if self._view is not None and view.may_send != (
                self._view.may_send
            ):
                self._log_view(view)
            self._view = view
            self._view_until = now + VIEW_SECONDS
        return self._view

    def _make_view(self, now: float) -> cold_starts.ZoneView:
        table = self._host.members
        zone = table.own.zone
        others = table.list_all()
        ready = [
            member
            for member in [table.own, *others]
            if member.zone == zone
            and member.state is members.MemberState.READY
        ]
        silent = [
            table.find(name)
            for name in self._host.prober.list_recently_silent(
                seconds=SILENT_SECONDS
            )
        ]
        # A host that knows no other but has seeds has not joined yet. Its own
        # address may be among them.
        config = self._host.settings
        seeds = set(config.seeds) - {table.own.address}
        alone = not others and not seeds
        return cold_starts.ZoneView(
            hosts=tuple(sorted(member.host for member in ready)),
            present=sum(
                member.doubt is members.Doubt.NONE for member in ready
            ),
            silent=sum(
                member is not None and member.zone == zone for member in silent
            ),
            informed=alone or bool(self._host.summaries.list_fresh()),
            age=now - self._started_at,
        )

    def _log_change(self, record: upstream_directories.UpstreamRecord) -> None:
        rate = self._find_rate(record.service)
        if not rate:
            return
        logger = self._host.logger.bind(step="cold", peer=record.name)
        if not record.warm_up_seconds:
            logger.info(f"{record.service} in {record.zone} is warm")
            return
        self._host.counters.count_event("upstreams.cold")
        places = self._get_decision().count_places(record.key, rate)
        logger.info(
            f"{record.service} in {record.zone} is cold for "
            f"{record.warm_up_seconds:.2f} s, {places} places here at "
            f"{rate:g}/s over all hosts"
        )

    def _log_view(self, view: cold_starts.ZoneView) -> None:
        self._host.logger.bind(step="cold").info(
            f"{'may' if view.may_send else 'may not'} send to cold upstreams: "
            f"{view.present} of {len(view.hosts)} hosts of the zone present, "
            f"{view.silent} silent, "
            f"{'' if view.informed else 'no '}recent summaries"
        )
