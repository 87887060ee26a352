"""Steps on the sizes of fleets, against a simulated cloud."""

import behave

from buckthornhold import fleet_sizes
from buckthornhold import relay_routers
from buckthornhold import routes
from buckthornhold import upstream_directories

ZONES = ("a", "b", "c")
START_SECONDS = 4.0
NOTICE_SECONDS = 2.0
TICK_SECONDS = 0.25
#: Part of its time that an engine may be busy and still answer in time.
MOST_LOAD = 0.8
MOST = 6
#: How long an engine's step takes, and longer for each request in it, as the
#: deployments' pages and site files say, in seconds.
STEP_SECONDS = 0.00484
STEP_SECONDS_PER_REQUEST = 0.0000725


class CloudBench:
    """Upstreams that come and go as they are ordered and reclaimed."""

    def __init__(self, *, on_demand):
        self.now = 0.0
        self.number = 0
        self.records = {}
        self.ends = {}
        self.starting = []
        self.dry_until = -1.0
        self.unborne = 0
        self.moving = False
        self.offer = routes.Offer(
            least=1,
            most=MOST,
            start_seconds=START_SECONDS,
            zone_prices={"a": 0.85, "b": 1.2, "c": 1.0},
            reclaimable_price=0.22,
        )
        self.size = fleet_sizes.FleetSize(
            service="llm", clock=lambda: self.now
        )
        for zone in ZONES:
            for _ in range(on_demand):
                self.add(zone, fleet_sizes.ON_DEMAND)

    def add(self, zone, kind):
        self.number += 1
        name = f"{zone}-{self.number}"
        self.records[name] = upstream_directories.UpstreamRecord(
            name=name,
            service="llm",
            address="",
            zone=zone,
            reclaimable=kind == fleet_sizes.RECLAIMABLE,
        )

    def list_staying(self, zone=None, kind=None):
        reclaimable = kind == fleet_sizes.RECLAIMABLE
        return [
            it
            for it in self.records.values()
            if not it.leaving
            and zone in (None, it.zone)
            and (kind is None or it.reclaimable == reclaimable)
        ]

    def leave(self, record, seconds):
        # The list does not always say how long what leaves still serves.
        changes = {"leaving": True}
        self.records[record.name] = upstream_directories.UpstreamRecord(
            **{**vars(record), **changes}
        )
        self.ends[record.name] = self.now + seconds

    def reclaim(self, zone, dry_seconds):
        self.dry_until = max(self.dry_until, self.now + dry_seconds)
        for record in self.list_staying(zone, fleet_sizes.RECLAIMABLE):
            self.leave(record, NOTICE_SECONDS)
        self.starting = [
            it
            for it in self.starting
            if it[1] != zone or it[2] != fleet_sizes.RECLAIMABLE
        ]

    def run(self, demand, seconds):
        for _ in range(int(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self.carry_on()
            for order in self.size.plan(
                offer=self.offer,
                demand=demand,
                records=self.records.values(),
                moving=self.moving,
            ):
                self.take(order)
            if len(self.records) * MOST_LOAD < demand:
                self.unborne += 1
                print(f"{self.now:.2f}: {len(self.records)} for {demand}")

    def carry_on(self):
        for name, end in list(self.ends.items()):
            if end <= self.now:
                del self.records[name]
                del self.ends[name]
        for item in list(self.starting):
            if item[0] <= self.now:
                self.starting.remove(item)
                self.add(item[1], item[2])

    def take(self, order):
        dry = self.now < self.dry_until
        staying = self.list_staying(order.zone, order.kind)
        starting = [
            it for it in self.starting if it[1:] == (order.zone, order.kind)
        ]
        missing = order.count - len(staying) - len(starting)
        refused = missing > 0 and dry and order.kind == fleet_sizes.RECLAIMABLE
        self.size.note_order(order, refused=refused)
        if refused:
            return
        for _ in range(missing):
            self.starting.append(
                (self.now + START_SECONDS, order.zone, order.kind)
            )
        for record in staying[: max(0, -missing)]:
            self.leave(record, NOTICE_SECONDS)


@behave.given("sizes: 3 zones with {count:d} on-demand upstreams each")
def make_bench(context, count):
    context.cloud = CloudBench(on_demand=count)


@behave.given("sizes: 3 zones whose {count:d} upstreams each come one by one")
def make_slow_bench(context, count):
    context.cloud = CloudBench(on_demand=0)
    for _ in range(count):
        for zone in ZONES:
            context.cloud.run(0, 0.25)
            context.cloud.add(zone, fleet_sizes.ON_DEMAND)


@behave.when(
    "sizes: a demand of {demand:g} engines is seen for {seconds:g} seconds"
)
def run_demand(context, demand, seconds):
    context.demand = demand
    context.cloud.run(demand, seconds)


@behave.when(
    "sizes: zone {zone} is reclaimed, and there are no more for {seconds:g} "
    "seconds"
)
def reclaim_zone(context, zone, seconds):
    context.cloud.reclaim(zone, seconds)


@behave.then("sizes: there are at most {count:d} on-demand upstreams")
def check_few_on_demand(context, count):
    found = context.cloud.list_staying(kind=fleet_sizes.ON_DEMAND)
    assert len(found) <= count, [it.name for it in found]


@behave.then("sizes: the demand was borne at each moment")
def check_borne(context):
    assert not context.cloud.unborne, context.cloud.unborne


@behave.then("sizes: the demand is borne at the end")
def check_borne_at_end(context):
    assert len(context.cloud.list_staying()) >= context.demand


@behave.then("sizes: there are at most {count:d} upstreams")
def check_count(context, count):
    found = context.cloud.list_staying()
    assert len(found) <= count, [it.name for it in found]


@behave.then("sizes: each zone has one")
def check_zones(context):
    assert {it.zone for it in context.cloud.list_staying()} == set(ZONES)


@behave.then("sizes: no zone has more than {count:d} upstreams")
def check_most(context, count):
    for zone in ZONES:
        assert len(context.cloud.list_staying(zone)) <= count, zone


@behave.then(
    "sizes: {count:d} engines' worth is there without any one zone's "
    "reclaimable"
)
def check_first(context, count):
    staying = context.cloud.list_staying()
    for zone in ZONES:
        lost = context.cloud.list_staying(zone, fleet_sizes.RECLAIMABLE)
        assert len(staying) - len(lost) >= count, (zone, len(staying))


@behave.when(
    "sizes: {count:d} more upstreams come for a move in zone {zone:w}"
)
def begin_move(context, count, zone):
    context.cloud.moving = True
    for _ in range(count):
        context.cloud.add(zone, fleet_sizes.ON_DEMAND)
    context.during_move = len(context.cloud.list_staying())


@behave.when("sizes: the move is over")
def end_move(context):
    context.cloud.moving = False


@behave.then("sizes: none was given back")
def check_none_given_back(context):
    found = len(context.cloud.list_staying())
    assert found >= context.during_move, (found, context.during_move)


@behave.given("sizes: engines of {slots:d} slots")
def use_slots(context, slots):
    context.slots = slots


@behave.when(
    "sizes: {rate:g} answers of {tokens:d} tokens a second are asked for"
)
def ask_long_answers(context, rate, tokens):
    work = relay_routers.Workload(output_tokens=tokens)
    seconds = fleet_sizes.find_engine_seconds(work, context.slots)
    context.engines = rate * seconds / fleet_sizes.ENGINE_SHARE
    step = STEP_SECONDS + context.slots * STEP_SECONDS_PER_REQUEST
    context.at_once = rate * tokens * step


@behave.then("sizes: the engines that bear this have a slot for each at once")
def check_slots(context):
    slots = context.engines * context.slots
    assert slots >= context.at_once, (slots, context.at_once)
