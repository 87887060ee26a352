"""Relay hosts: the daemon that proxies requests by an operator's routes.

It shares membership, links, broadcasts, leases, logs and counters with
``daemons.EntryHost``. It starts no claims, as each request id reaches one
host only, no handover records and no relays of the host list: the platform
makes them unnecessary.
"""

import asyncio
import contextlib
import math
import time

import aiohttp
import mode

from buckthornhold import admissions
from buckthornhold import carriers
from buckthornhold import checkpoints
from buckthornhold import clients
from buckthornhold import configurations
from buckthornhold import counters
from buckthornhold import duties
from buckthornhold import engine_speeds
from buckthornhold import exchanges
from buckthornhold import fleet_orders
from buckthornhold import fleet_sizes
from buckthornhold import limit_uses
from buckthornhold import links
from buckthornhold import logs
from buckthornhold import memory_budgets
from buckthornhold import metrics
from buckthornhold import probes
from buckthornhold import quotas
from buckthornhold import reasons
from buckthornhold import relay_listeners
from buckthornhold import relay_messages
from buckthornhold import relay_moves
from buckthornhold import relay_platforms
from buckthornhold import relay_poison_guards
from buckthornhold import relay_requests
from buckthornhold import relay_retry_budgets
from buckthornhold import relay_routers
from buckthornhold import relay_settings
from buckthornhold import relay_upstreams
from buckthornhold import relay_watchers
from buckthornhold import rosters
from buckthornhold import store_readers
from buckthornhold import summaries
from buckthornhold import tasks
from buckthornhold import traffic
from buckthornhold import upstream_directories
from buckthornhold import usages
from buckthornhold.coordination import members
from buckthornhold.coordination import pause_detectors
from buckthornhold.coordination import poison_detectors
from buckthornhold.coordination import store_eras
from buckthornhold.peers import summaries_pb2
from buckthornhold.scheduling import placements

#: How long a draining host still accepts connections: until the load
#: balancer, which checks readiness once a second, has seen two failures.
DRAIN_DELAY_SECONDS = 2.6
#: Part of the grace period that is reserved for closing connections.
CLOSE_RESERVE_SECONDS = 0.6


class RelayHost(mode.Service):
    """One relay host: its listeners and their parts."""

    def __init__(
        self,
        *,
        config: relay_settings.RelaySettings,
        platform: relay_platforms.Platform,
    ) -> None:
        super().__init__()
        self._settings = config
        self._platform = platform
        self._incarnation = time.time_ns()
        self._stopping = False
        self._listening = True
        #: When a draining host ends, on the monotonic clock.
        self._drain_ends_at = math.inf
        self._sessions: list[aiohttp.ClientSession] = []
        self.logger = logs.bind(host=config.host, zone=config.zone)
        self.counters = counters.Counters(
            address=config.statsd_address, prefix=config.statsd_prefix
        )
        self.metrics = metrics.Metrics(counts=self.counters)
        self.admissions = admissions.AdmissionController(
            max_in_flight=config.max_in_flight, retry_after=config.retry_after
        )
        self.background = tasks.TaskSet(
            logger=self.logger, counters=self.counters
        )
        self.links = links.Links(
            config=config,
            counted=traffic.Traffic(),
            logger=self.logger,
            counters=self.counters,
        )
        self.members = members.MemberTable(
            own=members.Member(
                host=config.host,
                zone=config.zone,
                address=config.listen.peers,
                incarnation=self._incarnation,
            ),
            notify=self._handle_member_change,
        )
        self.eras = store_eras.make_eras(self)
        self.pauses = pause_detectors.PauseDetector(
            threshold=config.pause_threshold,
            refresh_timeout=config.refresh_timeout,
            logger=self.logger,
            notify=lambda seconds: self.counters.count_event("hosts.paused"),
        )
        self._store_age = store_readers.StoreAge(
            prefixes=(platform.configuration_prefix, platform.directory_prefix)
        )
        self.summaries = summaries.SummaryExchange(
            host=self, store_age=self._store_age
        )
        self.exchanges = exchanges.Exchanges(
            host=self, prefixes=(poison_detectors.POISON_PREFIX,)
        )
        self.poison_guard = relay_poison_guards.RelayPoisonGuard(host=self)
        self.configurations = configurations.ActiveConfiguration(
            key=platform.configuration_key,
            decode=platform.decode_configuration,
            logger=self.logger,
            notify=lambda _: self.counters.count_event("revisions.adopted"),
        )
        self.memory = memory_budgets.make_budget(
            config, self.configurations.count_workspaces
        )
        self.directory = upstream_directories.UpstreamDirectory(
            prefix=platform.directory_prefix,
            decode=platform.decode_upstream,
            return_seconds=config.bounds.entry_return_seconds,
            logger=self.logger,
            notify=self._handle_directory_change,
            count_hosts=self.count_hosts,
        )
        self.placements = placements.Placements(regions=config.zone_regions)
        self.upstreams = relay_upstreams.RelayUpstreams(host=self)
        self.quotas = quotas.make_quotas(
            config,
            count_hosts=self.count_hosts,
            read_limit_share=self._compute_limit_share,
            logger=self.logger,
            counts=self.counters,
        )
        self.usage = usages.UsageCounter(
            window_seconds=config.bounds.usage_window,
            read_time=self.summaries.read_time_of_day,
        )
        self.demands = fleet_sizes.DemandMeter()
        self.summaries.add_source(self.usage.fill_summary)
        self.summaries.add_source(self._fill_summary)
        self.moves = relay_moves.RelayMoves(
            host=self,
            decode=platform.decode_move,
            encode=platform.encode_move,
        )
        self.retry_budgets = relay_retry_budgets.RelayRetryBudgets(host=self)
        self.listeners = relay_listeners.RelayListeners(host=self)
        self.relay_handler = relay_requests.RelayHandler(host=self)
        self.engine_speeds = engine_speeds.EngineSpeeds()
        self._engine_router = relay_routers.EngineRouter(
            zone=config.zone, speeds=self.engine_speeds
        )
        self._least_loaded_router = relay_routers.LeastLoadedRouter(
            zone=config.zone
        )
        self._paced = _make_paced_routing(self)

    @property
    def settings(self) -> relay_settings.RelaySettings:
        """The host's settings."""
        return self._settings

    def read_boot_clock(self) -> float:
        """Return seconds on a clock that also advances during suspension."""
        return pause_detectors.read_boot_clock()

    @property
    def incarnation(self) -> int:
        """Number that distinguishes this process from earlier ones."""
        return self._incarnation

    @property
    def ready(self) -> bool:
        """Whether the host can serve requests."""
        return (
            self.configurations.version > 0
            and self.directory.loaded
            and self.placements.known
            and self.checkpoints.ready
            and self.poison_guard.ready
        )

    @property
    def stopping(self) -> bool:
        """Whether the host is draining."""
        return self._stopping

    def may_finish(self, deadline: float) -> bool:
        """Tell whether a new request may be answered before the host ends.

        Nearly all that come while the host still listens end in time.
        """
        return self._listening or deadline <= self._drain_ends_at

    async def on_first_start(self) -> None:
        """Create the parts that need the running event loop."""
        config = self._settings
        session = self._add_session(clients.make_session())
        upstream_session = self._add_session(
            self._platform.make_upstream_session()
        )
        self.store = self._platform.make_store(session, config, self.eras)
        self.upstream_client = self._platform.make_upstream_client(
            upstream_session, self.memory
        )
        self.prober = probes.make_prober(self, self._read_state)
        self.broadcasts = carriers.make_broadcasts(self)
        self.configurations.register_topic(self.broadcasts)
        self.directory.register_topic(self.broadcasts)
        self.moves.register_topic(self.broadcasts)
        self.members.add_digest(
            "facts",
            read=self.exchanges.read_digest,
            on_difference=self.exchanges.compare_with,
        )
        self.duty = duties.Duty(host=self)
        watchers = relay_watchers.RelayWatchers(
            host=self, platform=self._platform, store_age=self._store_age
        )
        self.pauses.add_refresher(watchers.refresh)
        self.checkpoints = checkpoints.Checkpoints(host=self)
        self._services = [
            self.links,
            self.pauses,
            self.prober,
            rosters.Roster(host=self, is_reader=watchers.is_watcher),
            *watchers.make_watchers(),
            self.summaries,
            self.exchanges,
            self.poison_guard,
            self.duty,
            self.checkpoints,
            self.moves,
        ]
        if config.cloud is not None:
            calls = self._platform.make_duty_calls(session, config)
            self._services += self._make_duties(calls)

    def _make_duties(self, calls: usages.FencedClient) -> list[mode.Service]:
        services = []
        if "usage" in self._settings.duties:
            services.append(usages.UsageReporter(host=self, calls=calls))
        if "scale" in self._settings.duties:
            services.append(fleet_orders.FleetOrderer(host=self, calls=calls))
        return services

    async def on_start(self) -> None:
        """Start the parts, then the listeners."""
        self.logger.info(f"starting, incarnation {self._incarnation}")
        await self.listeners.start_peer_server()
        for service in self._services:
            await self.add_runtime_dependency(service)
        await self.listeners.start_http_servers(
            callers=self._platform.make_caller_server(self),
            ready=self._platform.make_ready_server(self),
        )
        self.logger.info("listening")

    async def on_shutdown(self) -> None:
        """Close listeners and connections after all parts have stopped."""
        await self.listeners.close()
        await self.broadcasts.stop()
        await self.background.cancel()
        for session in self._sessions:
            await session.close()
        await self.links.close()

    async def drain(self) -> None:
        """Announce the stop and complete the requests in flight."""
        self._stopping = True
        grace = self._settings.bounds.grace_seconds
        self._drain_ends_at = time.monotonic() + grace - CLOSE_RESERVE_SECONDS
        self.logger.info(
            f"draining for up to {grace:g} s, "
            f"{self.admissions.in_flight} requests in flight"
        )
        await self.prober.announce_gone()
        await asyncio.sleep(min(DRAIN_DELAY_SECONDS, grace / 2))
        self._listening = False
        await self.listeners.stop_listening()
        remaining = self._drain_ends_at - time.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, remaining)):
                await self.admissions.wait_idle()
        self.logger.info(
            f"stopped with {self.admissions.in_flight} requests in flight"
        )

    def apply_settings(self, config: relay_settings.RelaySettings) -> None:
        """Apply settings that may change at run time."""
        self.prober.apply_listing(list(config.seeds))
        self.logger.info("settings reloaded")

    def find_router(self, service: str) -> relay_routers.RelayRouter:
        """Return the router for the upstreams of a service."""
        service_record = self.configurations.current.services.get(service)
        is_engine = service_record is not None and bool(service_record.engine)
        if self._paced is not None:
            return self._paced.find_router(is_engine=is_engine)
        return self._engine_router if is_engine else self._least_loaded_router

    def record_retry(
        self, request: relay_messages.RelayRequest, failure: reasons.Failure
    ) -> None:
        """Count and log a retry and its cause."""
        self.counters.count_event("relays.repeated")
        self.logger.bind(
            request_id=request.contract.request_id,
            step=failure.step,
            peer=failure.peer,
            reason=failure.reason.value,
        ).info(f"retrying: {failure.detail}")

    def apply_summary(
        self, summary: summaries_pb2.Summary, age: float = 0.0
    ) -> None:
        """Apply another host's summary of figures ``age`` seconds old."""
        self.quotas.apply_remote_uses(
            (summary.host, summary.incarnation),
            limit_uses.read_uses(summary),
            age=age,
            aggregated=summary.hosts > 0,
        )
        self.upstreams.apply_summary(summary)
        self.upstreams.update_remote_load()

    def _fill_summary(self, summary: summaries_pb2.Summary) -> None:
        current = self.configurations.current
        known = current.workspaces if current else ()
        limit_uses.write_uses(summary, self.quotas.publish_uses(known))
        summary.demands.update(self.demands.read())

    def count_hosts(self) -> int:
        """Return how many hosts the fleet has, this one included."""
        return self.members.count_all() + 1

    def _compute_limit_share(self) -> float:
        """Return the share of the limits for the hosts that report."""
        silent = self.summaries.count_silent_hosts()
        if not silent:
            return 1.0
        reporting = self.summaries.count_reporting_hosts() + 1
        return reporting / (reporting + silent)

    def _read_state(self) -> members.MemberState:
        if self._stopping:
            return members.MemberState.LEAVING
        if self.ready:
            return members.MemberState.READY
        return members.MemberState.JOINING

    def _handle_member_change(self, member: members.Member) -> None:
        self.counters.count_event("members.changed")
        self.logger.bind(step="members", peer=member.host).info(
            f"incarnation {member.incarnation} is "
            f"{member.state.name.lower()}, doubt {member.doubt.name.lower()}"
        )
        self.links.take_member(member)

    def _handle_directory_change(self) -> None:
        self.upstreams.refresh()

    def _add_session(
        self, session: aiohttp.ClientSession
    ) -> aiohttp.ClientSession:
        self._sessions.append(session)
        return session


def _make_paced_routing(host: RelayHost):
    """Return routing by learned paces, None if it is switched off."""
    if not host.settings.scheduling.learned_paces:
        return None
    # Loaded where it is switched on: each module delays the start of a host
    # with a small part of a core.
    from buckthornhold import paced_routers

    return paced_routers.PacedRouting(host=host)
