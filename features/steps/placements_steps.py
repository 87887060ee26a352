"""Steps on evacuated zones and regions, without a network."""

import asyncio
import json
import random
from unittest import mock

import behave

from buckthornhold import fleet_orders
from buckthornhold import grammars
from buckthornhold import logs
from buckthornhold import operator_documents
from buckthornhold import routes
from buckthornhold import stores
from buckthornhold import upstream_directories
from buckthornhold import versions
from buckthornhold.scheduling import placements

STEPS_OF_A_RUN = 120
MAX_EXCHANGE_ROUNDS = 50


def split(text):
    return () if text == "none" else tuple(text.split(","))


@behave.given(
    "placements: zone a is in r1, b in r2, c in no region, evacuated are "
    "{evacuated}"
)
def make_placements(context, evacuated):
    context.placements = placements.Placements(
        regions={"a": "r1", "b": "r2"},
        evacuated=None if evacuated == "unknown" else split(evacuated),
    )


@behave.then(
    "placements: a request limited to {regions} may use {zones}, and with "
    "upstreams in {listed} it is {outcome}"
)
def check_decision(context, regions, zones, listed, outcome):
    lists = placements.list_regions(*map(split, regions.split("+")))
    decision = context.placements
    allowed = tuple(zone for zone in "abc" if decision.allows(zone, lists))
    assert allowed == split(zones), allowed
    refusal = decision.find_refusal(split(listed), lists)
    assert (refusal.reason.value if refusal else "run") == outcome, refusal
    assert refusal is None or refusal.retry_after > 0


class Documents(operator_documents.OperatorDocuments):
    """A host's documents; keys are letters, their values don't count."""

    def __init__(self):
        super().__init__(excluded="configuration")

    @property
    def keys(self):
        return "".join(sorted(entry.key for entry in self.entries))

    def read(self, revision, items):
        self.apply_snapshot(make_change(revision, items))

    def see(self, revision, items, deleted):
        self.apply_change(make_change(revision, items, deleted))

    def ask(self, other):
        """Pull another's documents as broadcasts do; tell whether any."""
        if other.version <= self.version:
            return False
        self.apply_body(other.make_body(), version=other.version)
        return True


def make_change(revision, items, deleted=()):
    entries = [
        stores.Entry(key=key, value="{}", version=version)
        for key, version in {**items, "configuration": 1}.items()
    ]
    return stores.Change(
        revision=revision, entries=tuple(entries), deleted=tuple(deleted)
    )


@behave.when("placements: hosts x and y do {steps}")
def do_steps(context, steps):
    hosts = context.documents = {"x": Documents(), "y": Documents()}
    for step in steps.split(","):
        name, verb, *words = step.split()
        host = hosts[name]
        if verb in ("reads", "sees"):
            revision = int(words[0])
            keys = {it: revision for it in words[1:] if it[0] != "-"}
            gone = [it[1:] for it in words[1:] if it[0] == "-"]
            if verb == "reads":
                host.read(revision, keys)
            else:
                host.see(revision, keys, gone)
        elif verb == "asks":
            host.ask(hosts[words[0]])
        elif verb == "forgets":
            host.forget_revisions()
        elif verb == "passes":
            # A host of the previous build sends no complete revision.
            body = json.loads(host.make_body())
            del body[operator_documents.COMPLETE_KEY]
            hosts[words[2]].apply_body(json.dumps(body), version=99)
        elif verb == "knew":
            # It keeps documents that were removed beside what it is told.
            body = json.loads(hosts["x"].make_body())
            newest = max(number for number, _ in body.values())
            assert newest == hosts["x"].version, "it would ask without end"
            text = json.dumps({"b": [5, "{}"], **body})
            host.apply_body(text, version=newest)
        else:
            raise AssertionError(step)


@behave.then("placements: x holds {x} and y holds {y}")
def check_documents(context, x, y):
    held = [host.keys or "none" for host in context.documents.values()]
    assert held == [x, y], held


class RandomRun:
    """Hosts that read a store and exchange documents in a random order."""

    def __init__(self, *, seed, count):
        self.random = random.Random(seed)
        self.revision = 1
        self.items = {}
        self.events = []
        self.hosts = [Documents() for _ in range(count)]
        #: Revision from which each host goes on to watch.
        self.watched = [None] * count

    def write(self):
        self.revision += self.random.randrange(1, 4)
        key = self.random.choice("abc")
        if self.random.random() < 0.5:
            self.items[key] = self.revision
        else:
            self.items.pop(key, None)
        self.events.append((self.revision, key))

    def read(self):
        number = self.random.randrange(len(self.hosts))
        after = self.watched[number]
        if after is None or self.random.random() < 0.2:
            self.hosts[number].read(self.revision, self.items)
        else:
            keys = {key for revision, key in self.events if revision > after}
            written = {it: self.items[it] for it in keys & self.items.keys()}
            gone = keys - self.items.keys()
            self.hosts[number].see(self.revision, written, gone)
        self.watched[number] = self.revision

    def restart(self):
        number = self.random.randrange(len(self.hosts))
        self.hosts[number] = Documents()
        self.watched[number] = None

    def ask(self):
        host, other = self.random.sample(self.hosts, 2)
        host.ask(other)

    def run(self):
        steps = [self.write, self.read, self.ask]
        for _ in range(STEPS_OF_A_RUN):
            self.random.choices([*steps, self.restart], (6, 6, 6, 1))[0]()
        self.read()
        for _ in range(MAX_EXCHANGE_ROUNDS):
            pairs = [(it, other) for it in self.hosts for other in self.hosts]
            if not sum([host.ask(other) for host, other in pairs]):
                return [host.keys for host in self.hosts]
        raise AssertionError("the hosts exchange documents without end")


@behave.then(
    "placements: {runs:d} seeded runs of {count:d} hosts that write, remove, "
    "read, restart and exchange end with the store's documents"
)
def check_agreement(context, runs, count):
    wrong = []
    for seed in range(runs):
        run = RandomRun(seed=seed, count=count)
        held = run.run()
        if set(held) != {"".join(sorted(run.items))}:
            wrong.append((seed, run.items, held))
    assert not wrong, (len(wrong), wrong[:3])


class OrdersBench:
    """The holder of the duty, with a cloud that starts upstreams at once."""

    def __init__(self, *, demand):
        self.orders = {}
        self.records = []
        self.placements = placements.Placements(evacuated=())
        offer = routes.Offer(
            least=1,
            most=9,
            start_seconds=1.0,
            zone_prices={"a": 1.0, "b": 0.5, "c": 1.0},
        )
        service = routes.Service(name="s", connections=9, offer=offer)
        host = mock.MagicMock(
            logger=logs.bind(host="h", zone="a"), placements=self.placements
        )
        host.configurations.current.services = {"s": service}
        host.demands.read.return_value = {"s": demand}
        host.directory.list_records = lambda: self.records
        host.moves.is_moving.return_value = False
        host.moves.removes.return_value = False
        host.upstreams.cold.list_remaining.return_value = {}
        self.host = host
        self.orderer = fleet_orders.FleetOrderer(host=host, calls=self)

    def pass_rounds(self, rounds):
        self.orders.clear()

        async def run():
            for _ in range(rounds):
                await self.orderer.run_once()

        asyncio.run(run())

    def start(self, zone, count):
        self.records += [
            upstream_directories.UpstreamRecord(
                name=f"{zone}{number}", service="s", address="", zone=zone
            )
            for number in range(self.count(zone), count)
        ]

    async def order_upstreams(self, service, zone, count, **options):
        self.orders[zone] = count
        self.start(zone, count)

    def count(self, zones):
        return sum(record.zone in zones for record in self.records)


@behave.given(
    "placements: a holder with 2 upstreams in each of 3 zones and a demand of "
    "{demand:g}"
)
def make_orders_bench(context, demand):
    context.bench = OrdersBench(demand=demand)
    for zone in "abc":
        context.bench.start(zone, 2)


@behave.when(
    "placements: the zones {zones} are evacuated and {rounds:d} rounds of "
    "orders pass"
)
def pass_rounds(context, zones, rounds):
    context.bench.placements.set_evacuated(zones)
    context.bench.pass_rounds(rounds)


@behave.when(
    "placements: it is not known which zones are evacuated and {rounds:d} "
    "rounds of orders pass"
)
def pass_early_rounds(context, rounds):
    context.bench.host.placements = placements.Placements()
    context.bench.pass_rounds(rounds)


@behave.then(
    "placements: no order names zone b, and the other zones bear the demand"
)
def check_orders(context):
    bench = context.bench
    assert bench.orders and "b" not in bench.orders, bench.orders
    assert bench.count("b") == 2 and bench.count("ac") >= 5, bench.records


@behave.then("placements: nothing is ordered")
def check_no_orders(context):
    assert not context.bench.orders, context.bench.orders


@behave.then(
    "placements: records of a rule with zone-c are offered to {zone} alone, "
    "{when}"
)
def check_holders(context, zone, when):
    text = "serve model=m version=v zones=zone-c  # asked by: x"
    host = mock.MagicMock()
    host.moves.find_plan.return_value = None
    host.moves.find_withdrawal.return_value = (
        "withdrawn" if when == "also when it is withdrawn" else None
    )
    found = versions.Versions(host=host)
    found.adopt(grammars.parse_rules(text))
    contract = mock.MagicMock(route="m", workspace="w")
    candidates = context.handovers._list_hold_candidates(
        "request", False, found.make_zone_check(contract)
    )
    assert {link.zone for link in candidates} == {zone}, candidates
