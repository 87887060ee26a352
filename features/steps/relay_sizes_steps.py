"""Steps on fleet sizes, with a simulated cloud."""

import behave

from buckthornhold import engine_speeds
from buckthornhold import fleet_sizes
from buckthornhold import routes
from buckthornhold import upstream_directories

ZONES = ("a", "b", "c")
START_SECONDS = 4.0
NOTICE_SECONDS = 2.0
TICK_SECONDS = 0.25
#: Time until a move's end has removed upstreams.
REMOVAL_SECONDS = 0.75
#: Share of its time that an engine may be busy and still respond in time.
MAX_BUSY_SHARE = 0.8
MAX_ZONE_UPSTREAMS = 6
#: Duration of an engine's step, and the increase per request in it, as in the
#: deployments' pages and site files.
STEP_SECONDS = 0.00484
STEP_SECONDS_PER_REQUEST = 0.0000725


class CloudBench:
    """A cloud that starts ordered upstreams and reclaims them by zone."""

    def __init__(self, *, on_demand):
        self.now = 0.0
        self.number = 0
        self.records = {}
        self.end_times = {}
        self.starting = []
        self.no_capacity_until = -1.0
        #: Zones that have no upstreams of any kind to give, until when.
        self.dry_until = {}
        self.refused_orders = 0
        self.overload_ticks = 0
        self.rollout_running = False
        #: Upstreams that the end of a move removes, and when.
        self.removed = {}
        self.offer = routes.Offer(
            least=1,
            most=MAX_ZONE_UPSTREAMS,
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

    def add(self, zone, kind, version="v1"):
        self.number += 1
        name = f"{zone}-{self.number}"
        self.records[name] = upstream_directories.UpstreamRecord(
            name=name,
            service="llm",
            address="",
            zone=zone,
            version=version,
            reclaimable=kind == fleet_sizes.RECLAIMABLE,
        )

    def list_staying(self, zone=None, kind=None):
        reclaimable = kind == fleet_sizes.RECLAIMABLE
        return [
            record
            for record in self.records.values()
            if not record.leaving
            and zone in (None, record.zone)
            and (kind is None or record.reclaimable == reclaimable)
        ]

    def leave(self, record, seconds):
        # Entries don't always say how long a leaving upstream still serves.
        changes = {"leaving": True}
        self.records[record.name] = upstream_directories.UpstreamRecord(
            **{**vars(record), **changes}
        )
        self.end_times[record.name] = self.now + seconds

    def reclaim(self, zone, no_capacity_seconds):
        self.no_capacity_until = max(
            self.no_capacity_until, self.now + no_capacity_seconds
        )
        for record in self.list_staying(zone, fleet_sizes.RECLAIMABLE):
            self.leave(record, NOTICE_SECONDS)
        self.starting = [
            item
            for item in self.starting
            if item[1] != zone or item[2] != fleet_sizes.RECLAIMABLE
        ]

    def run(self, demand, seconds):
        for _ in range(int(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self.advance()
            for order in self.size.plan(
                offer=self.offer,
                demand=demand,
                records=self.records.values(),
                moving=self.rollout_running,
                removed=[
                    record
                    for name, record in self.records.items()
                    if name in self.removed
                ],
            ):
                self.apply_order(order)
            if len(self.records) * MAX_BUSY_SHARE < demand:
                self.overload_ticks += 1
                print(f"{self.now:.2f}: {len(self.records)} for {demand}")

    def end_move(self, version, seconds):
        """End a move; the upstreams of a version are removed soon after."""
        self.rollout_running = False
        for name, record in self.records.items():
            if record.version == version:
                self.removed[name] = self.now + seconds

    def advance(self):
        for name, end in list(self.removed.items()):
            if end <= self.now:
                del self.removed[name]
                self.records.pop(name, None)
                self.end_times.pop(name, None)
        for name, end in list(self.end_times.items()):
            if end <= self.now:
                del self.records[name]
                del self.end_times[name]
        for item in list(self.starting):
            if item[0] <= self.now:
                self.starting.remove(item)
                self.add(item[1], item[2])

    def apply_order(self, order):
        no_capacity = self.now < self.no_capacity_until
        staying = self.list_staying(order.zone, order.kind)
        starting = [
            item
            for item in self.starting
            if item[1:] == (order.zone, order.kind)
        ]
        missing = order.count - len(staying) - len(starting)
        refused = (
            missing > 0
            and no_capacity
            and order.kind == fleet_sizes.RECLAIMABLE
        )
        if missing > 0 and self.now < self.dry_until.get(order.zone, 0.0):
            refused = True
        self.refused_orders += refused
        if refused:
            self.size.record_refusal(order)
            return
        self.size.record_order(order)
        for _ in range(missing):
            self.starting.append(
                (self.now + START_SECONDS, order.zone, order.kind)
            )
        # The newest are released, which a move has added.
        for record in staying[::-1][: max(0, -missing)]:
            self.leave(record, NOTICE_SECONDS)


@behave.given("sizes: 3 zones with {count:d} on-demand upstreams each")
def make_bench(context, count):
    context.cloud = CloudBench(on_demand=count)


@behave.given(
    "sizes: 3 zones whose {count:d} upstreams each are listed one by one"
)
def make_late_bench(context, count):
    context.cloud = CloudBench(on_demand=0)
    for _ in range(count):
        for zone in ZONES:
            context.cloud.run(0, 0.25)
            context.cloud.add(zone, fleet_sizes.ON_DEMAND)


@behave.when("sizes: the demand is {demand:g} engines for {seconds:g} seconds")
def run_demand(context, demand, seconds):
    context.demand = demand
    context.cloud.run(demand, seconds)


@behave.when(
    "sizes: zone {zone} is reclaimed, without replacements for {seconds:g} "
    "seconds"
)
def reclaim_zone(context, zone, seconds):
    context.cloud.reclaim(zone, seconds)


@behave.when(
    "sizes: zone {zone} is reclaimed and has nothing to give for {seconds:g} "
    "seconds"
)
def dry_zone(context, zone, seconds):
    context.cloud.reclaim(zone, seconds)
    context.cloud.dry_until[zone] = context.cloud.now + seconds


@behave.then("sizes: at most {count:d} orders were refused")
def check_refused(context, count):
    assert context.cloud.refused_orders <= count, context.cloud.refused_orders


@behave.then("sizes: there are at most {count:d} on-demand upstreams")
def check_few_on_demand(context, count):
    found = context.cloud.list_staying(kind=fleet_sizes.ON_DEMAND)
    assert len(found) <= count, [record.name for record in found]


@behave.then("sizes: there was always enough capacity")
def check_capacity(context):
    assert not context.cloud.overload_ticks, context.cloud.overload_ticks


@behave.then("sizes: there is enough capacity at the end")
def check_capacity_at_end(context):
    assert len(context.cloud.list_staying()) >= context.demand


@behave.then("sizes: there are at most {count:d} upstreams")
def check_count(context, count):
    found = context.cloud.list_staying()
    assert len(found) <= count, [record.name for record in found]


@behave.then("sizes: each zone has one")
def check_zones(context):
    assert {record.zone for record in context.cloud.list_staying()} == set(
        ZONES
    )


@behave.then("sizes: no zone has more than {count:d} upstreams")
def check_zone_maximum(context, count):
    for zone in ZONES:
        assert len(context.cloud.list_staying(zone)) <= count, zone


@behave.then(
    "sizes: {count:d} engines remain without any one zone's reclaimable ones"
)
def check_zone_loss(context, count):
    staying = context.cloud.list_staying()
    for zone in ZONES:
        lost = context.cloud.list_staying(zone, fleet_sizes.RECLAIMABLE)
        assert len(staying) - len(lost) >= count, (zone, len(staying))


@behave.when(
    "sizes: {count:d} more upstreams are added for a rollout in zone {zone:w}"
)
def begin_rollout(context, count, zone):
    context.cloud.rollout_running = True
    for _ in range(count):
        context.cloud.add(zone, fleet_sizes.ON_DEMAND)
    context.during_rollout = len(context.cloud.list_staying())


@behave.when("sizes: the rollout is over")
def end_rollout(context):
    context.cloud.rollout_running = False


@behave.when("sizes: a move adds {count:d} upstreams to each zone")
def begin_move(context, count):
    context.cloud.rollout_running = True
    for zone in ZONES:
        for _ in range(count):
            context.cloud.add(zone, fleet_sizes.ON_DEMAND, version="v2")


@behave.when("sizes: the move is {outcome}")
def end_move(context, outcome):
    removed = {"done": "v1", "taken back": "v2"}[outcome]
    context.cloud.end_move(removed, REMOVAL_SECONDS)


@behave.then("sizes: none was released")
def check_none_released(context):
    found = len(context.cloud.list_staying())
    assert found >= context.during_rollout, (found, context.during_rollout)


@behave.given("sizes: engines of {slots:d} slots")
def use_slots(context, slots):
    context.slots = slots


@behave.when(
    "sizes: {rate:g} responses of {tokens:d} tokens a second are requested"
)
def request_long_responses(context, rate, tokens):
    speed = engine_speeds.ServiceSpeed()
    seconds = speed.estimate_engine_seconds(
        own_tokens=0,
        shared_tokens=0,
        output_tokens=tokens,
        slots=context.slots,
    )
    context.engines = rate * seconds / fleet_sizes.ENGINE_SHARE
    step = STEP_SECONDS + context.slots * STEP_SECONDS_PER_REQUEST
    context.at_once = rate * tokens * step


@behave.then("sizes: the engines for this load have a slot for each at once")
def check_slots(context):
    slots = context.engines * context.slots
    assert slots >= context.at_once, (slots, context.at_once)
