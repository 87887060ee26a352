"""The daemon: one entry host as a tree of services."""

import asyncio
import contextlib
import time

import aiohttp
import mode

from buckthornhold import admission_policies
from buckthornhold import admissions
from buckthornhold import answers
from buckthornhold import backoffs
from buckthornhold import bootstraps
from buckthornhold import calls
from buckthornhold import carriers
from buckthornhold import clients
from buckthornhold import clouds
from buckthornhold import connections
from buckthornhold import counters
from buckthornhold import drains
from buckthornhold import exchanges
from buckthornhold import grammars
from buckthornhold import hosts
from buckthornhold import judges
from buckthornhold import links
from buckthornhold import listeners
from buckthornhold import listings
from buckthornhold import load_trackers
from buckthornhold import logs
from buckthornhold import memory_budgets
from buckthornhold import poison_guards
from buckthornhold import probes
from buckthornhold import provisioners
from buckthornhold import rate_limits
from buckthornhold import recents
from buckthornhold import reports
from buckthornhold import retentions
from buckthornhold import retry_budgets
from buckthornhold import rollouts
from buckthornhold import routers
from buckthornhold import rule_evacuations
from buckthornhold import rules
from buckthornhold import settings
from buckthornhold import signals
from buckthornhold import silences
from buckthornhold import stores
from buckthornhold import tasks
from buckthornhold import traffic
from buckthornhold import transfers
from buckthornhold import upstreams
from buckthornhold import versions
from buckthornhold.coordination import claims
from buckthornhold.coordination import histories
from buckthornhold.coordination import members
from buckthornhold.coordination import pause_detectors
from buckthornhold.coordination import revisions
from buckthornhold.coordination import roles
from buckthornhold.coordination import store_eras

BACKGROUND_TIMEOUT = 1.0
HAND_OVER_SECONDS = 2.0
RULES_PREFIX = "rules"
#: Rules need not name all workspaces, so none may have all memory.
ASSUMED_WORKSPACES = 2


class EntryHost(mode.Service):
    """One entry host: three listeners and the parts behind them."""

    def __init__(self, *, config: settings.Settings) -> None:
        super().__init__()
        self._settings = config
        self._incarnation = config.incarnation or time.time_ns()
        self._rules = rules.RuleSet()
        self._session: aiohttp.ClientSession | None = None
        self.logger = logs.bind(host=config.host, zone=config.zone)
        self.counters = counters.Counters(
            address=config.statsd_address, prefix=config.statsd_prefix
        )
        self.admissions = admissions.AdmissionController(
            max_in_flight=config.max_in_flight,
            retry_after=config.retry_after,
        )
        self.memory = memory_budgets.make_budget(
            config, lambda: ASSUMED_WORKSPACES
        )
        self.loads = load_trackers.LoadTracker(
            host=self, interval=config.load_interval
        )
        self.router = routers.make_router(config.router, loads=self.loads)
        self.exchanges = exchanges.Exchanges(host=self)
        self.moves = rollouts.Rollouts(host=self)
        self.quarantines = poison_guards.PoisonGuard(host=self)
        self.versions = versions.Versions(host=self)
        self.traffic = traffic.Traffic()
        self.links = links.Links(
            config=config,
            counted=self.traffic,
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
            notify=self._take_member,
        )
        self.eras = store_eras.make_eras(self)
        self.pauses = pause_detectors.PauseDetector(
            threshold=config.pause_threshold,
            refresh_timeout=config.refresh_timeout,
            logger=self.logger,
            notify=self._take_pause,
        )
        self.background = tasks.TaskSet(
            logger=self.logger, counters=self.counters
        )
        self.answers = answers.Answers(
            host=self, logger=self.logger, counters=self.counters
        )
        self.handovers = answers.make_handovers(self)
        self.drains = drains.Drains(
            host=self, logger=self.logger, counters=self.counters
        )
        self.transfers = transfers.Transfers(host=self, config=config)
        self.retentions = retentions.Retentions(host=self)
        self.backoffs = backoffs.Backoffs(
            count_hosts=lambda: self.members.count_all() + 1
        )
        self.retry_budget = retry_budgets.RetryBudget(
            share=config.retry_share, reserve=config.retry_reserve
        )
        self.admission_policy = admission_policies.make_policy(
            config.admission, host=self
        )
        self.rate_limits = rate_limits.WorkspaceRateLimits(host=self)
        self.calls = calls.Calls(host=self)
        self.silences = silences.Silences(host=self)
        self.recents = recents.Recents(host=self, size=config.recent_requests)
        self.reports = reports.Reports(host=self)
        self.listeners = listeners.Listeners(host=self)

    @property
    def settings(self) -> settings.Settings:
        """The host's settings."""
        return self._settings

    @property
    def incarnation(self) -> int:
        """Number that tells this process from earlier ones."""
        return self._incarnation

    @property
    def rules(self) -> rules.RuleSet:
        """The rules in force on this host."""
        return self._rules

    @property
    def ready(self) -> bool:
        """Whether the host has rules and may serve callers."""
        return (
            self.revisions.current.number > 0
            and self.bootstrap.asked
            and self.pauses.fresh
            and self.exchanges.synced
        )

    def list_staying_links(self) -> list[links.Link]:
        """Return the links to entry hosts that are not known to leave."""
        return [
            link
            for link in self.links.list_all()
            if link.member.state is not members.MemberState.LEAVING
        ]

    async def on_first_start(self) -> None:
        """Build the parts that need the running event loop."""
        self._session = clients.make_session()
        address = self._settings.translate(self._settings.platform)
        self.store = self.make_store(self._session, address)
        self.history = histories.History(store=self.store, prefix=RULES_PREFIX)
        self.prober = probes.make_prober(self, self._read_state)
        self.broadcasts = carriers.make_broadcasts(self)
        self.members.add_digest(
            "facts",
            read=self.exchanges.read_digest,
            on_difference=self.exchanges.compare_with,
        )
        self.revisions = bootstraps.make_revisions(
            self, prefix=RULES_PREFIX, adopt=self._adopt_rules
        )
        self.changes = bootstraps.make_changes(self)
        self.bootstrap = bootstraps.Bootstrap(
            held=self.revisions,
            broadcast=self.broadcasts,
            wait_joined=self.prober.joined.wait,
            timeout=self._settings.refresh_timeout,
        )
        self.pauses.add_refresher(self.bootstrap.refresh)
        self.pauses.add_refresher(self._refresh_upstreams)
        self.claims = self.make_claims()
        self.judge = judges.Judge(
            host=self,
            role=roles.LeasedRole(
                elector=bootstraps.make_keeper(self, "moves")
            ),
        )
        self.provisioner = provisioners.Provisioner(
            host=self,
            cloud=self.make_cloud(self._session, address),
            keeper=bootstraps.make_keeper(self, "hosts"),
        )
        self.host_list = listings.SharedHostList(
            inner=hosts.HttpHostList(
                session=self._session,
                address=address,
                timeout=self._settings.platform_timeout,
            ),
            table=self.members,
            broadcast=self.broadcasts,
            notify=self._take_listing,
        )
        self.upstreams = upstreams.Upstreams(
            host=self,
            host_list=self.host_list,
            session=self._session,
            config=self._settings,
            logger=self.logger,
            counters=self.counters,
        )
        known = self.upstreams.departures
        self.members.add_digest(
            "departures",
            read=known.digest,
            on_difference=lambda member: known.start_reconcile(member.host),
        )

    async def on_start(self) -> None:
        """Start the parts, then listen."""
        self.logger.info("starting")
        await self.listeners.open_for_peers()
        for part in (
            self.links,
            self.pauses,
            self.prober,
            self.bootstrap,
            self.revisions,
            self.upstreams,
            self.silences,
            self.exchanges,
            self.moves,
            self.retentions,
            self.judge,
            self.provisioner,
            self.quarantines,
            self.answers,
            self.drains,
        ):
            await self.add_runtime_dependency(part)
        await self.listeners.open_for_operators()
        self.caller_server = await self.listeners.open_for_callers()
        await self.add_runtime_dependency(
            connections.ConnectionSweeper(
                server=self.caller_server,
                config=self._settings,
                logger=self.logger,
                counters=self.counters,
            )
        )
        self.logger.info("listening")

    async def on_stop(self) -> None:
        """Close the listeners and all connections."""
        await self.listeners.close_for_clients()
        await self.prober.announce_gone()
        await self.listeners.close_for_peers()

    async def on_shutdown(self) -> None:
        """Close the client session after every part has stopped."""
        await self.broadcasts.stop()
        await self.background.wait(BACKGROUND_TIMEOUT)
        await self.background.cancel()
        await self.claims.close()
        if self._session is not None:
            await self._session.close()
        await self.links.close()

    def make_store(
        self, session: aiohttp.ClientSession, address: str
    ) -> stores.Store:
        """Return the client of the platform's store."""
        return stores.HttpStore(
            session=session,
            address=address,
            timeout=self._settings.platform_timeout,
            eras=self.eras,
        )

    def make_cloud(
        self, session: aiohttp.ClientSession, address: str
    ) -> clouds.Cloud:
        """Return the client of the platform's cloud API."""
        return clouds.HttpCloud(
            session=session,
            address=address,
            timeout=self._settings.platform_timeout,
        )

    def make_claims(self) -> claims.Claims:
        """Return the host's part in the claims of all hosts."""
        return bootstraps.make_claims(self)

    def start_draining(self) -> None:
        """Become unready and take no new requests."""
        if self.admissions.draining:
            return
        self.admissions.start_draining()
        self.logger.info("draining")
        signals.host_draining.send(self)

    async def drain(self) -> None:
        """Wait until nothing is in flight, up to the drain timeout.

        What does not end in that time is handed over, for which a little
        longer is waited.
        """
        self.drains.begin(self._settings.drain_timeout)
        left = self.drains.ends_at - time.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, left) + HAND_OVER_SECONDS):
                await self.admissions.wait_idle()

    def _read_state(self) -> members.MemberState:
        if self.admissions.draining:
            return members.MemberState.LEAVING
        if self.ready:
            return members.MemberState.READY
        return members.MemberState.JOINING

    def _take_member(self, member: members.Member) -> None:
        self.counters.count_event("members.changed")
        self.logger.bind(step="members", peer=member.host).info(
            f"incarnation {member.incarnation} is "
            f"{member.state.name.lower()}, doubt {member.doubt.name.lower()}"
        )
        self.links.take_member(member)
        signals.member_changed.send(self, member=member)

    def _take_listing(self, listing: hosts.Listing) -> None:
        self.upstreams.apply_listing(listing)

    async def _refresh_upstreams(self) -> None:
        await self.upstreams.run_once()
        await self.upstreams.departures.reconcile_with_any()

    def _take_pause(self, seconds: float) -> None:
        self.counters.count_event("hosts.paused")
        self.host_list.expire()
        signals.host_resumed.send(self, seconds=seconds)

    def _adopt_rules(self, revision: revisions.Revision) -> None:
        parsed = grammars.parse_rules(revision.text)
        if not isinstance(parsed, rules.RuleSet):
            self.logger.bind(step="adopt rules").error(parsed[0].describe())
            return
        was_ready = self._rules.rules
        self._rules = parsed
        rule_evacuations.adopt_rules(self, parsed, revision.number)
        self.versions.adopt(parsed)
        self.moves.adopt(parsed, revision.number)
        if parsed.is_drained(self._settings.host):
            self.start_draining()
        self.counters.count_event("revisions.adopted")
        self.logger.info(f"rules revision {revision.number} is in force")
        signals.rules_adopted.send(self, revision=revision)
        if not was_ready:
            signals.host_ready.send(self)
