"""Upstreams: model engines and plain services as this host sees them."""

import asyncio
import dataclasses
import functools
import math
import time

import aiohttp

from buckthornhold import backoffs
from buckthornhold import engines
from buckthornhold import hosts
from buckthornhold import http_engines
from buckthornhold import pools
from buckthornhold import reasons
from buckthornhold import rules
from buckthornhold import services
from buckthornhold import settings
from buckthornhold import signals
from buckthornhold import tasks
from buckthornhold.coordination import departures
from buckthornhold.coordination import host_rankings
from buckthornhold.scheduling import placements

#: An unreachable service gets no new work for this long, while there are
#: others.
UNREACHABLE_SERVICE_PAUSE_SECONDS = 2.0
#: Hosts of each zone that probe an engine while the host list is unavailable.
PROBING_HOSTS_PER_ZONE = 2
#: A successful probe of an upstream stays valid for this long.
PROBE_RESULT_SECONDS = 0.5


@dataclasses.dataclass(kw_only=True, eq=False)
class Upstream:
    """One incarnation of an upstream host.

    ``name`` is its host name, and ``key`` identifies the incarnation.
    ``in_flight`` counts this host's own requests on it. ``leaves_at``,
    ``paused_until`` and ``alive_at``, the time of the last successful probe,
    are on the monotonic clock, in seconds. ``probe`` is the running probe.
    """

    record: hosts.HostRecord
    engine: engines.ModelEngine | None = None
    service: services.PlainService | None = None
    in_flight: int = 0
    leaving: bool = False
    leaves_at: float = math.inf
    paused_until: float = 0.0
    alive_at: float = 0.0
    probe: asyncio.Task | None = None
    name: str = dataclasses.field(init=False)
    key: tuple[str, int] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.name = self.record.host
        self.key = (self.record.host, self.record.incarnation)


class Upstreams(tasks.PeriodicService):
    """Keeps the upstreams up to date with the platform's host list."""

    #: The host list itself determines when it is to be read.
    jitter = 0.0

    def __init__(
        self,
        *,
        host,
        host_list: hosts.HostList,
        session: aiohttp.ClientSession,
        config: settings.Settings,
        logger,
        counters,
    ) -> None:
        super().__init__(
            interval=config.host_list_interval,
            logger=logger,
            counters=counters,
        )
        self._host = host
        self._host_list = host_list
        self._session = session
        self._settings = config
        self._upstreams: dict[tuple[str, int], Upstream] = {}
        self._entry_hosts: tuple[hosts.HostRecord, ...] = ()
        self._notices: dict[tuple[str, int], hosts.Notice] = {}
        self._list_received = False
        self._listing: hosts.Listing | None = None
        self._listed_keys: set[tuple[str, int]] = set()
        self._listed_names: set[str] = set()
        self._list_failed = False
        self._pools = pools.PoolCache()
        self._pooled_rules: rules.RuleSet | None = None
        self.placements = placements.Placements(evacuated=())
        self.departures = departures.Departures(
            list_links=host.links.list_all,
            on_departure=self._apply_departure,
            start_task=host.background.start,
        )
        signals.attempt_finished.connect(
            self._handle_finished_attempt, sender=host
        )

    @property
    def notices(self) -> dict[tuple[str, int], hosts.Notice]:
        """Reclaim notices on the host list, by host name and incarnation."""
        return self._notices

    @property
    def list_received(self) -> bool:
        """Whether the host list was read at least once."""
        return self._list_received

    @property
    def entry_hosts(self) -> tuple[hosts.HostRecord, ...]:
        """Entry hosts on the host list."""
        return self._entry_hosts

    def list_all(self) -> list[Upstream]:
        """Return every known upstream."""
        return list(self._upstreams.values())

    def list_engines(self, model: str, version: str) -> pools.Pool:
        """Return the engines that may get new work for a version."""
        return self._list_available(
            hosts.HostKind.ENGINE, f"{model}@{version}"
        )

    def list_engines_for_rule(self, rule: rules.ServeRule) -> pools.Pool:
        """Return the engines that may get new work under a rule."""
        engines_of = self.list_engines(rule.model, rule.version)
        if rules.ANY in rule.zones and rules.ANY in rule.classes:
            return engines_of
        return self._pools.find(
            (rule.model, rule.version, rule.zones, rule.classes),
            lambda: [
                upstream
                for upstream in engines_of
                if rule.allows(upstream.record)
            ],
        )

    def list_services(self, service: str) -> pools.Pool:
        """Return the upstreams that may get new calls of a service."""
        return self._list_available(hosts.HostKind.SERVICE, service)

    def _list_available(self, kind: hosts.HostKind, name: str) -> pools.Pool:
        if self._pooled_rules is not self._host.rules:
            self._pooled_rules = self._host.rules
            self._pools.invalidate()
        return self._pools.find(
            (kind, name), lambda: self._select_available(kind, name)
        )

    def _select_available(
        self, kind: hosts.HostKind, name: str
    ) -> list[Upstream]:
        found = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.record.kind is kind
            and self._accepts_work(upstream)
            and name in upstream.record.serves
        ]
        now = time.monotonic()
        reachable = [
            candidate
            for candidate in found
            if candidate.paused_until <= now
            and not self._host.silences.is_silent(candidate)
        ]
        return reachable or found

    def _accepts_work(self, upstream: Upstream) -> bool:
        return not (
            upstream.leaving
            or self._host.rules.is_drained(upstream.name)
            or not self.placements.allows(upstream.record.zone)
        )

    def mark_leaving(
        self, upstream: Upstream, *, listed: bool = False
    ) -> None:
        """Stop new work for an upstream, on all entry hosts."""
        self._stop_new_work(upstream)
        self.departures.add(
            departures.Departure(
                host=upstream.record.host,
                incarnation=upstream.record.incarnation,
                leaves_at=upstream.leaves_at,
            ),
            listed=listed,
        )

    async def check_alive(self, upstream: Upstream) -> bool:
        """Tell whether an engine responds; concurrent calls share a probe."""
        if time.monotonic() - upstream.alive_at < PROBE_RESULT_SECONDS:
            return True
        if upstream.probe is None or upstream.probe.done():
            upstream.probe = asyncio.create_task(self._probe(upstream))
        return await asyncio.shield(upstream.probe)

    async def _probe(self, upstream: Upstream) -> bool:
        load = await upstream.engine.fetch_load()
        if isinstance(load, reasons.Failure):
            self._host.silences.note_silence(upstream)
            return False
        self._host.silences.note_answer(upstream)
        upstream.alive_at = time.monotonic()
        if load.leaving and load.incarnation == upstream.record.incarnation:
            self.mark_leaving(upstream)
        return True

    def _stop_new_work(self, upstream: Upstream) -> None:
        if upstream.leaving:
            return
        upstream.leaving = True
        self._pools.invalidate()
        signals.upstream_leaving.send(self._host, upstream=upstream)

    def _apply_departure(self, departure: departures.Departure) -> None:
        for upstream in list(self._upstreams.values()):
            if upstream.record.host != departure.host:
                continue
            if upstream.record.incarnation > departure.incarnation:
                continue
            upstream.leaves_at = min(upstream.leaves_at, departure.leaves_at)
            self._stop_new_work(upstream)

    def _handle_finished_attempt(self, sender, attempt) -> None:
        failure = attempt.failure
        if failure is None:
            return
        if failure.reason is reasons.Reason.UPSTREAM_LEAVING:
            self.mark_leaving(attempt.upstream)
        if failure.reason is not reasons.Reason.UPSTREAM_UNREACHABLE:
            return
        if attempt.upstream.engine is not None:
            self._host.silences.note_silence(attempt.upstream)
            return
        attempt.upstream.paused_until = (
            time.monotonic() + UNREACHABLE_SERVICE_PAUSE_SECONDS
        )
        self._pools.invalidate_at(attempt.upstream.paused_until)

    def invalidate_pools(self) -> None:
        """Drop the cached pools after a change of an upstream's state."""
        self._pools.invalidate()

    async def run_once(self) -> None:
        """Read the host list and apply its changes."""
        if self._list_failed:
            self._host.background.start(
                self._probe_assigned(), step="ask upstreams"
            )
        listing = await self._host_list.fetch()
        self._list_failed = isinstance(listing, reasons.Failure)
        if not isinstance(listing, reasons.Failure):
            self.apply_listing(listing)
            self._host.prober.apply_listing(
                [record.peer_address for record in self._entry_hosts]
            )
        self._interval = self._host_list.find_wait(
            self._settings.host_list_interval
        )

    async def refresh_list(self, timeout: float) -> None:
        """Read the host list now, within ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self.run_once()
        except TimeoutError:
            self._logger.bind(step="host list").warning(
                f"host list not read within {timeout:g} s"
            )

    async def _probe_assigned(self) -> None:
        """Probe the engines assigned to this host, to learn if they leave.

        While the host list is unavailable, nothing else reports it. Each
        engine is probed by the hosts with requests in flight on it, and by a
        few assigned hosts of each zone.
        """
        host, zone = self._settings.host, self._settings.zone
        peers = [link.host for link in self._host.links.list_zone(zone)]
        probed = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.engine and not upstream.leaving
            if upstream.in_flight
            or host_rankings.is_assigned(
                host, peers, upstream.name, PROBING_HOSTS_PER_ZONE
            )
        ]
        await asyncio.gather(*[self.check_alive(engine) for engine in probed])

    def apply_listing(self, listing: hosts.Listing) -> None:
        """Apply a host list; an unchanged list object is cheap."""
        if listing is self._listing:
            self._drop_unlisted()
            return
        self._listing = listing
        notices = {
            (notice.host, notice.incarnation): notice
            for notice in listing.notices
        }
        notices_changed = (
            not self._list_received or notices.keys() != self._notices.keys()
        )
        self._list_received = True
        self._notices = notices
        if notices_changed:
            self._host.drains.wake()
        entry_hosts = []
        listed_keys = set()
        for record in listing.hosts:
            if record.kind is hosts.HostKind.ENTRY:
                entry_hosts.append(record)
                continue
            key = (record.host, record.incarnation)
            listed_keys.add(key)
            self._apply_record(key, record)
        self._listed_keys = listed_keys
        self._listed_names = {name for name, _ in listed_keys}
        self._drop_unlisted()
        self._entry_hosts = tuple(entry_hosts)

    def _apply_record(
        self, key: tuple[str, int], record: hosts.HostRecord
    ) -> None:
        """Apply the record of a listed upstream; an unchanged one is cheap."""
        upstream = self._upstreams.get(key)
        if upstream is None:
            upstream = self._upstreams[key] = self._make_upstream(record)
            self._pools.invalidate()
        elif upstream.record is not record:
            upstream.record = record
            self._pools.invalidate()
        elif key not in self._notices:
            return
        self._apply_known_departure(upstream)

    def _apply_known_departure(self, upstream: Upstream) -> None:
        """Stop new work for an upstream that any source says is leaving."""
        known = self.departures.find(*upstream.key)
        if known is not None:
            upstream.leaves_at = min(upstream.leaves_at, known.leaves_at)
            self._stop_new_work(upstream)
        notice = self._notices.get(upstream.key)
        if notice is not None and upstream.leaves_at == math.inf:
            upstream.leaves_at = time.monotonic() + notice.seconds_left
        leaving = upstream.record.state is hosts.HostState.LEAVING
        if leaving or notice is not None:
            self.mark_leaving(upstream, listed=True)

    def _drop_unlisted(self) -> None:
        for key in self._upstreams.keys() - self._listed_keys:
            upstream = self._upstreams[key]
            self._stop_new_work(upstream)
            if upstream.in_flight == 0:
                del self._upstreams[key]
                self._pools.invalidate()
        for departure in self.departures.list_all():
            if departure.host not in self._listed_names:
                self.departures.remove(departure.host)

    def _make_upstream(self, record: hosts.HostRecord) -> Upstream:
        upstream = Upstream(record=record)
        common = {
            "session": self._session,
            "address": self._settings.translate(record.address),
            "memory": self._host.memory,
            "announce": functools.partial(self._take_announcement, upstream),
        }
        timeout = self._settings.upstream_connect_timeout
        if record.kind is hosts.HostKind.ENGINE:
            upstream.engine = http_engines.HttpModelEngine(
                timeout=timeout, **common
            )
        else:
            upstream.service = services.HttpPlainService(
                connect_timeout=timeout, **common
            )
        return upstream

    def _take_announcement(
        self, upstream: Upstream, announcement: backoffs.Announcement
    ) -> None:
        if announcement.leaving and not upstream.leaving:
            self._host.counters.count_event("upstreams.announced_leaving")
            self.mark_leaving(upstream)
