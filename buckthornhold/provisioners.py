"""Provisioners: the one host that orders and releases upstream hosts."""

import dataclasses
import time
import uuid

from buckthornhold import cloud_orders
from buckthornhold import clouds
from buckthornhold import engine_loaders
from buckthornhold import peak_demands
from buckthornhold import reasons
from buckthornhold import rules
from buckthornhold import signals
from buckthornhold import start_refusals
from buckthornhold import tasks
from buckthornhold.coordination import capacities
from buckthornhold.coordination import host_rankings
from buckthornhold.coordination import leases
from buckthornhold.coordination import provisions
from buckthornhold.coordination import store_eras

ROLE_RENEWALS_PER_TERM = 4
#: A write of longer ago isn't lost: the copy is at most 10 s old, and the
#: outage before it is brief.
LOST_WRITE_SECONDS = 20.0


@dataclasses.dataclass(kw_only=True)
class Watched:
    """What the holder knows of one rule's hosts.

    ``wants`` says in words what is waited for. ``chosen`` is the latest
    choice with what it was made from: with hundreds of hosts one takes tens
    of milliseconds, and most rounds bring nothing new.
    """

    demand: peak_demands.PeakDemand
    wants: str = ""
    chosen: tuple = (None, {})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What a rule needs now, and the cheapest hosts that would do."""

    need: capacities.Requirement
    offers: tuple[clouds.Offer, ...]
    counts: provisions.HostCounts
    wanted: dict[tuple[str, str], int]


class Provisioner(tasks.PeriodicService):
    """Seeks the role of ordering hosts and orders while it holds it."""

    def __init__(
        self, *, host, cloud: clouds.Cloud, keeper: leases.LeaderElector
    ) -> None:
        config = host.settings
        super().__init__(
            interval=min(
                config.provision_interval,
                config.role_term / ROLE_RENEWALS_PER_TERM,
            ),
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._settings = config
        self._cloud = cloud
        self._keeper = keeper
        self._loader = engine_loaders.EngineLoader(host=host, keeper=keeper)
        self._watched: dict[tuple, Watched] = {}
        #: The ledgers that this host wrote last, and when, by key.
        self._ledgers: dict[str, tuple[float, provisions.Ledger]] = {}
        signals.rules_adopted.connect(self._take_rules, sender=host)
        self._refusals = start_refusals.StartRefusals(
            pause=config.provision_refusal_pause
        )
        self._orders = cloud_orders.CloudOrders(
            host=host, cloud=cloud, keeper=keeper, refusals=self._refusals
        )

    @property
    def has_work(self) -> bool:
        """Whether a rule asks for hosts."""
        return bool(self._host.rules.list_capacities())

    async def describe(self) -> dict:
        """Return each rule's hosts as the store holds them.

        What is measured and waited for is known on the holder alone.
        """
        holder = await self._keeper.find_holder()
        if isinstance(holder, reasons.Failure):
            holder = ""
        found = []
        for rule in self._host.rules.list_capacities():
            ledger = await self._read(rule)
            watched = self._watched.get(rule.key)
            if self._keeper.active_lease is None:
                watched = None
            unread = isinstance(ledger, reasons.Failure)
            found.append(
                {
                    "model": rule.model,
                    "version": rule.version,
                    "least": rule.least,
                    "most": rule.most,
                    "demand": watched.demand.peak if watched else None,
                    "wants": watched.wants if watched else None,
                    "ordered": None
                    if unread
                    else [dataclasses.asdict(it) for it in ledger.provisions],
                }
            )
        return {"holder": holder.partition("/")[0], "capacities": found}

    async def run_once(self) -> None:
        """Keep the role while there are rules on hosts, and follow them."""
        found = self._host.rules.list_capacities()
        if not found or not self._is_candidate():
            return
        await self._keeper.run_once()
        if self._keeper.active_lease is None:
            self._watched.clear()
            return
        for rule in found:
            await self._follow(rule)

    async def _follow(self, rule: rules.CapacityRule) -> None:
        """Take one rule's hosts a step nearer to what it needs."""
        watched = self._watched.get(rule.key)
        if watched is None:
            window = self._settings.provision_window
            watched = Watched(demand=peak_demands.PeakDemand(window=window))
            self._watched[rule.key] = watched
        listed = self._list_hosts(rule)
        await watched.demand.measure(self._list_engines(rule))
        ledger = await self._restore(await self._read(rule))
        ledger = await self._settle(ledger, listed)
        if isinstance(ledger, reasons.Failure):
            watched.wants = "the store"
            return
        self._load(rule, ledger)
        offers = await self._cloud.list_offers()
        if isinstance(offers, reasons.Failure):
            watched.wants = "the cloud"
            return
        ledger = await self._ask_cloud(ledger, listed)
        if isinstance(ledger, reasons.Failure):
            return
        if watched.demand.peak is None:
            watched.wants = "load reports"
            return
        plan = self._make_plan(rule, watched, offers, ledger, listed)
        watched.wants = self._describe_wants(plan)
        ledger = await self._write_orders(ledger, plan)
        if isinstance(ledger, reasons.Failure):
            return
        if watched.demand.window_filled:
            ledger = await self._choose_release(ledger, plan)
        if not isinstance(ledger, reasons.Failure):
            await self._ask_cloud(ledger, listed)

    def _make_plan(
        self,
        rule: rules.CapacityRule,
        watched: Watched,
        offers: tuple[clouds.Offer, ...],
        ledger: provisions.Ledger,
        listed: dict[str, provisions.ListedHost],
    ) -> Plan:
        # Evacuated zones are left as they are and count as empty.
        allows = self._host.upstreams.placements.allows
        offers = tuple(
            it for it in offers if _is_allowed(rule, it) and allows(it.zone)
        )
        zones = {link.zone for link in self._host.links.list_all()}
        zones.add(self._settings.zone)
        need = capacities.Requirement(
            demand=watched.demand.peak,
            host_load=rule.load,
            min_hosts=rule.least,
            max_hosts=rule.most,
            zones=tuple(sorted(zones.intersection(it.zone for it in offers))),
        )
        counts = provisions.count_hosts(
            [it for it in ledger.provisions if allows(it.zone)],
            [it for it in listed.values() if allows(it.zone)],
        )
        refused = self._refusals.list_places()
        inputs = (need, offers, counts.held, refused)
        if watched.chosen[0] != inputs:
            wanted = capacities.choose_cheapest(
                need, offers, counts.held, refused=refused
            )
            watched.chosen = (inputs, wanted)
        return Plan(
            need=need,
            offers=offers,
            counts=counts,
            wanted=watched.chosen[1],
        )

    async def _settle(
        self,
        ledger: provisions.Ledger | reasons.Failure,
        listed: dict[str, provisions.ListedHost],
    ) -> provisions.Ledger | reasons.Failure:
        """Bring what is written down in line with the host list."""
        if isinstance(ledger, reasons.Failure):
            return ledger
        settled = provisions.reconcile(
            ledger.provisions,
            listed,
            now=time.time(),
            start_timeout=self._settings.provision_start_timeout,
        )
        return await self._write(ledger, settled)

    def _load(
        self, rule: rules.CapacityRule, ledger: provisions.Ledger
    ) -> None:
        """Have the listed hosts that were ordered load the version."""
        ordered = {
            it.host
            for it in ledger.provisions
            if it.state is provisions.State.LISTED
        }
        self._loader.load(
            engine_loaders.LoadOrder(model=rule.model, version=rule.version),
            [
                upstream
                for upstream in self._host.upstreams.list_all()
                if upstream.name in ordered and upstream.engine is not None
            ],
        )

    async def _write_orders(
        self, ledger: provisions.Ledger, plan: Plan
    ) -> provisions.Ledger | reasons.Failure:
        """Write down what is to be ordered, before it is asked for."""
        room = plan.need.max_hosts - plan.counts.held.total()
        added = []
        for offer in plan.offers:
            place = capacities.get_placement(offer)
            missing = plan.wanted.get(place, 0) - plan.counts.held[place]
            for _ in range(min(missing, room - len(added))):
                added.append(
                    provisions.Provision(
                        order_id=uuid.uuid4().hex,
                        zone=offer.zone,
                        host_class=offer.host_class,
                        reclaimable=offer.reclaimable,
                        changed=time.time(),
                    )
                )
        return await self._write(ledger, (*ledger.provisions, *added))

    async def _choose_release(
        self, ledger: provisions.Ledger, plan: Plan
    ) -> provisions.Ledger | reasons.Failure:
        """Write down the dearest host that is not needed, one at a time."""
        states = [it.state for it in ledger.provisions]
        if any(state is not provisions.State.LISTED for state in states):
            return ledger
        place = capacities.find_surplus_placement(
            plan.counts.serving, plan.wanted, plan.need, plan.offers
        )
        changed = list(ledger.provisions)
        for number, it in enumerate(changed):
            if it.placement != place:
                continue
            changed[number] = it.advance(
                provisions.State.RELEASING, changed=time.time()
            )
            self._log(it.host).info("is not needed any more")
            break
        return await self._write(ledger, tuple(changed))

    async def _ask_cloud(
        self,
        ledger: provisions.Ledger,
        listed: dict[str, provisions.ListedHost],
    ) -> provisions.Ledger | reasons.Failure:
        """Ask the cloud for all that is written down and not done yet."""
        kept = await self._orders.carry_out(ledger.provisions, listed)
        if isinstance(kept, reasons.Failure):
            return kept
        return await self._write(ledger, kept)

    async def _read(
        self, rule: rules.CapacityRule
    ) -> provisions.Ledger | reasons.Failure:
        key = provisions.make_key(rule.model, rule.version)
        return await provisions.read_ledger(self._host.store, key)

    async def _write(
        self,
        ledger: provisions.Ledger,
        changed: tuple[provisions.Provision, ...],
    ) -> provisions.Ledger | reasons.Failure:
        """Write provisions down, if they differ and the role is held."""
        if changed == ledger.provisions:
            return ledger
        if self._keeper.active_lease is None:
            return cloud_orders.fail_not_holder()
        written = await provisions.write_ledger(
            self._host.store, ledger, changed
        )
        if not isinstance(written, reasons.Failure):
            self._ledgers[written.key] = (time.monotonic(), written)
        return written

    async def _restore(
        self, ledger: provisions.Ledger | reasons.Failure
    ) -> provisions.Ledger | reasons.Failure:
        """Write again what a restored store has lost, before it is used.

        An order that isn't written down would be placed again under another
        id while its host starts.
        """
        if isinstance(ledger, reasons.Failure):
            return ledger
        written_at, known = self._ledgers.get(ledger.key, (0.0, ledger))
        if (
            time.monotonic() - written_at > LOST_WRITE_SECONDS
            or store_eras.find_era(known.version) == self._host.eras.current
        ):
            return ledger
        restored = provisions.restore_provisions(
            ledger.provisions, known.provisions
        )
        return await self._write(ledger, restored)

    def _list_engines(self, rule: rules.CapacityRule) -> list:
        """Return the engines that serve a rule's version."""
        name = f"{rule.model}@{rule.version}"
        return [
            upstream
            for upstream in self._host.upstreams.list_all()
            if upstream.engine is not None and name in upstream.record.serves
        ]

    def _list_hosts(
        self, rule: rules.CapacityRule
    ) -> dict[str, provisions.ListedHost]:
        name = f"{rule.model}@{rule.version}"
        return {
            upstream.name: provisions.ListedHost(
                host=upstream.name,
                zone=upstream.record.zone,
                host_class=upstream.record.host_class,
                serving=name in upstream.record.serves,
                leaving=upstream.leaving
                or self._host.rules.is_drained(upstream.name),
            )
            for upstream in self._host.upstreams.list_all()
        }

    def _describe_wants(self, plan: Plan) -> str:
        missing = capacities.count_missing_hosts(
            plan.counts.serving, plan.need, plan.offers
        )
        if not missing:
            return ""
        refused = ", ".join(
            f"{host_class} in {zone}"
            for zone, host_class in self._refusals.list_places()
        )
        text = f"{missing} more hosts"
        return f"{text}; refused: {refused}" if refused else text

    def _take_rules(self, host, **_) -> None:
        self.wake()

    def _is_candidate(self) -> bool:
        return host_rankings.is_selected(
            self._settings.host,
            [link.host for link in self._host.links.list_all()],
            self._settings.role_candidates,
        )

    def _log(self, peer: str):
        return self._host.logger.bind(step="provision", peer=peer)


def _is_allowed(rule: rules.CapacityRule, offer: clouds.Offer) -> bool:
    """Tell whether a rule allows an offer's zone and class."""
    zone_fits = rules.ANY in rule.zones or offer.zone in rule.zones
    class_fits = rules.ANY in rule.classes or offer.host_class in rule.classes
    return zone_fits and class_fits
