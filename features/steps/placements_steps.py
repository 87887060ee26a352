"""Steps on evacuated zones and regions, without a network."""

import asyncio
import json
import random
import types

import behave

from buckthornhold import counters
from buckthornhold import fleet_orders
from buckthornhold import logs
from buckthornhold import operator_documents
from buckthornhold import routes
from buckthornhold import stores
from buckthornhold import upstream_directories
from buckthornhold.coordination import handovers
from buckthornhold.scheduling import placements

CONFIGURATION_KEY = "op/config"
KEY = "op/evacuate/b"
KEYS = ("op/evacuate/a", "op/evacuate/b", "op/rollout/s")
STEPS_OF_A_RUN = 120
MAX_EXCHANGE_ROUNDS = 50


def split(text):
    return () if text in ("-", "none") else tuple(text.split(","))


@behave.given(
    "placements: zone a is in r1, b in r2, c in no region, evacuated are "
    "{evacuated}"
)
def make_placements(context, evacuated):
    context.placements = placements.Placements(
        regions={"a": "r1", "b": "r2"},
        evacuated=None if evacuated == "unknown" else split(evacuated),
    )


@behave.then("placements: a request limited to {regions} may use {zones}")
def check_allowed(context, regions, zones):
    context.regions = placements.list_regions(
        *[split(part) for part in regions.split("+")]
    )
    allowed = tuple(
        zone
        for zone in "abc"
        if context.placements.allows(zone, context.regions)
    )
    assert allowed == split(zones), allowed


@behave.then(
    "placements: with upstreams in {listed} it is refused as {reason}"
)
def check_refusal(context, listed, reason):
    refusal = context.placements.find_refusal(split(listed), context.regions)
    found = refusal.reason.value if refusal else "not refused"
    assert found == reason, refusal
    assert refusal is None or refusal.retry_after > 0


def make_documents():
    return operator_documents.OperatorDocuments(excluded=CONFIGURATION_KEY)


def make_change(revision, entries=(), deleted=()):
    return stores.Change(
        revision=revision,
        entries=tuple(
            stores.Entry(key=key, value="{}", version=version)
            for key, version in entries
        ),
        deleted=tuple(deleted),
    )


def list_keys(documents):
    return sorted(entry.key for entry in documents.entries)


def exchange(reader, other):
    """Let a host apply another's documents as broadcasts do."""
    if other.version <= reader.version:
        return False
    reader.apply_body(other.make_body(), version=other.version)
    return True


@behave.given("placements: hosts x and y know an order of revision 5")
def make_hosts(context):
    context.documents = {"x": make_documents(), "y": make_documents()}
    for documents in context.documents.values():
        change = make_change(5, [(KEY, 5), (CONFIGURATION_KEY, 4)])
        documents.apply_snapshot(change)


@behave.when("placements: the order is removed at revision 9 and x sees it")
def remove_order(context):
    context.documents["x"].apply_change(make_change(9, deleted=[KEY]))


@behave.when(
    "placements: x starts anew and reads the store without it at revision 9"
)
def start_anew(context):
    context.documents["x"] = make_documents()
    context.documents["x"].apply_snapshot(make_change(9))


@behave.when("placements: x reads the store without it at revision 2")
def read_restored(context):
    context.documents["x"].apply_snapshot(make_change(2))


@behave.when("placements: {reader:w} applies what {other:w} holds")
def apply_other(context, reader, other):
    exchange(context.documents[reader], context.documents[other])


@behave.when("placements: x forgets all revisions")
def forget(context):
    context.documents["x"].forget_revisions()


@behave.then("placements: {name:w} knows no order")
def check_removed(context, name):
    assert not context.documents[name].entries


@behave.then("placements: x knows the order")
def check_kept(context):
    assert list_keys(context.documents["x"]) == [KEY]


@behave.then(
    "placements: the previous build reads the order and the version from x"
)
def check_previous_build(context):
    """Read a body as the build before removals were kept."""
    documents = context.documents["x"]
    entries = [
        stores.Entry(key=key, value=value, version=version)
        for key, (version, value) in json.loads(documents.make_body()).items()
    ]
    assert stores.Entry(key=KEY, value="{}", version=5) in entries
    # Otherwise that build would ask for the documents in each probe.
    assert max(entry.version for entry in entries) == documents.version


@behave.when(
    "placements: x applies a body of the previous build with a newer order"
)
def apply_previous_build(context):
    body = json.dumps({KEY: [5, "{}"], "op/evacuate/c": [8, "{}"]})
    context.documents["x"].apply_body(body, version=8)


@behave.when(
    "placements: x starts anew and applies what the previous build made of y's"
)
def apply_passed_on(context):
    """The previous build still holds a document that y knows as removed."""
    y = context.documents["y"]
    y.apply_change(make_change(9, [("op/evacuate/c", 8)], deleted=[KEY]))
    body = {KEY: [5, "{}"], **json.loads(y.make_body())}
    context.documents["x"] = make_documents()
    context.documents["x"].apply_body(json.dumps(body), version=y.version)


@behave.then("placements: x knows one order once it has asked y")
def check_one(context):
    assert exchange(context.documents["x"], context.documents["y"])
    assert list_keys(context.documents["x"]) == ["op/evacuate/c"]


@behave.then("placements: x knows both orders")
def check_both(context):
    assert list_keys(context.documents["x"]) == [KEY, "op/evacuate/c"]


class RandomRun:
    """Hosts that read a store and exchange documents in a random order."""

    def __init__(self, *, seed, count):
        self.random = random.Random(seed)
        self.revision = 1
        self.items = {}
        self.events = []
        self.hosts = [make_documents() for _ in range(count)]
        #: Revision from which each host goes on to watch.
        self.watched = [None] * count

    def write(self):
        self.revision += 1
        key = self.random.choice(KEYS)
        self.items[key] = self.revision
        self.events.append((self.revision, key))

    def remove(self):
        key = self.random.choice(KEYS)
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append((self.revision, key))

    def renew(self):
        """Write something that is no document of the operator."""
        self.revision += self.random.randrange(1, 4)

    def read(self):
        number = self.random.randrange(len(self.hosts))
        after = self.watched[number]
        if after is None or self.random.random() < 0.2:
            change = make_change(self.revision, self.items.items())
            self.hosts[number].apply_snapshot(change)
        else:
            keys = {key for revision, key in self.events if revision > after}
            change = make_change(
                self.revision,
                [(key, self.items[key]) for key in keys & self.items.keys()],
                keys - self.items.keys(),
            )
            self.hosts[number].apply_change(change)
        self.watched[number] = self.revision

    def restart(self):
        number = self.random.randrange(len(self.hosts))
        self.hosts[number] = make_documents()
        self.watched[number] = None

    def pull(self):
        exchange(*self.random.sample(self.hosts, 2))

    def run(self):
        steps = [self.write, self.remove, self.renew, self.read, self.pull]
        for _ in range(STEPS_OF_A_RUN):
            self.random.choice([*steps, self.read, self.pull])()
            if self.random.random() < 0.05:
                self.restart()
        self.read()
        for _ in range(MAX_EXCHANGE_ROUNDS):
            pairs = [(it, other) for it in self.hosts for other in self.hosts]
            if not sum([exchange(*pair) for pair in pairs]):
                break
        else:
            raise AssertionError("the hosts exchange documents without end")


@behave.when(
    "placements: {runs:d} seeded runs of {count:d} hosts write, remove, read, "
    "restart and exchange"
)
def run_random(context, runs, count):
    context.runs = [RandomRun(seed=seed, count=count) for seed in range(runs)]
    for run in context.runs:
        run.run()


@behave.then("placements: every host ends with the documents of the store")
def check_agreement(context):
    wrong = [
        (seed, sorted(run.items), [list_keys(host) for host in run.hosts])
        for seed, run in enumerate(context.runs)
        if any(list_keys(host) != sorted(run.items) for host in run.hosts)
    ]
    assert not wrong, (len(wrong), wrong[:3])


class OrdersBench:
    """The holder of the duty, with a cloud that starts upstreams at once."""

    def __init__(self, *, demand):
        self.orders = []
        self.records = [
            upstream_directories.UpstreamRecord(
                name=f"{zone}{number}", service="s", address="", zone=zone
            )
            for zone in "abc"
            for number in range(2)
        ]
        self.placements = placements.Placements(evacuated=())
        offer = routes.Offer(
            least=1,
            most=9,
            start_seconds=1.0,
            zone_prices={"a": 1.0, "b": 0.5, "c": 1.0},
        )
        service = routes.Service(name="s", connections=9, offer=offer)
        host = types.SimpleNamespace(
            logger=logs.bind(host="h", zone="a"),
            counters=counters.Counters(address=None, prefix=""),
            duty=types.SimpleNamespace(held=True, fence=1),
            configurations=types.SimpleNamespace(
                current=routes.Configuration(version=1, services=(service,))
            ),
            placements=self.placements,
            demands=types.SimpleNamespace(read=lambda: {"s": demand}),
            summaries=types.SimpleNamespace(list_fresh=lambda: []),
            directory=types.SimpleNamespace(list_records=lambda: self.records),
            moves=types.SimpleNamespace(
                is_moving=lambda service: False,
                removes=lambda service, version: False,
            ),
        )
        self.orderer = fleet_orders.FleetOrderer(host=host, calls=self)

    async def order_upstreams(self, service, zone, count, **options):
        self.orders.append((zone, count))
        self.records += [
            upstream_directories.UpstreamRecord(
                name=f"{zone}{len(self.records)}-{number}",
                service="s",
                address="",
                zone=zone,
            )
            for number in range(count - self.count(zone))
        ]

    def count(self, *zones):
        return sum(record.zone in zones for record in self.records)


@behave.given(
    "placements: a holder with 2 upstreams in each of 3 zones and a demand of "
    "{demand:g}"
)
def make_orders_bench(context, demand):
    context.bench = OrdersBench(demand=demand)


@behave.when(
    "placements: {which} evacuated and {rounds:d} rounds of orders pass"
)
def pass_rounds(context, which, rounds):
    bench = context.bench
    bench.orders.clear()
    bench.placements.set_evacuated("b" if which == "zone b is" else "abc")

    async def run():
        for _ in range(rounds):
            await bench.orderer.run_once()

    asyncio.run(run())


@behave.then(
    "placements: no order names zone b, and the other zones bear the demand"
)
def check_orders(context):
    bench = context.bench
    assert bench.orders and "b" not in dict(bench.orders), bench.orders
    assert bench.count("b") == 2, bench.records
    assert bench.count("a", "c") >= 5, bench.records


@behave.then("placements: nothing is ordered")
def check_no_orders(context):
    assert not context.bench.orders, context.bench.orders


@behave.then("placements: a record limited to {zone:S} goes to {where}")
def check_holder(context, zone, where):
    record = handovers.Record(request_id="request", entry_host="entry")
    context.handovers.list_holders("request")
    candidates = context.handovers._list_hold_candidates(
        "request", False, lambda name: name == zone
    )
    zones = {link.zone for link in candidates}
    assert zones == ({zone} if where == "that zone alone" else set()), zones
    held = asyncio.run(
        context.handovers.hold(record, allows=lambda name: name == "zone-x")
    )
    assert held == "", held
