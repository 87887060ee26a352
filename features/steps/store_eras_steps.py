"""Steps on leases of a store that goes back to a copy, on a fake clock."""

import asyncio

import behave
import loguru

from buckthornhold import counters
from buckthornhold.coordination import leases
from buckthornhold.coordination import store_eras
from testbed import era_stores

TTL_SECONDS = 3.0
STEP_SECONDS = 0.5
#: Writes of one acquisition: token, lease, role key.
ACQUISITION_WRITES = 3


@behave.given("eras: parts that were registered in another order")
def make_parts(context):
    def make(order):
        def receive(change):
            context.told.append((order, change.now))
            if order is store_eras.Order.MOVES:
                raise ValueError("a part fails")

        return receive

    context.told = []
    context.eras = store_eras.StoreEras()
    for order in reversed(store_eras.Order):
        context.eras.add_part(order, order.name, make(order))


@behave.when("eras: responses of eras none, 0, 2, 1 and 2 arrive")
def observe_eras(context):
    loguru.logger.disable("buckthornhold")
    context.used = [context.eras.observe(era) for era in (None, 0, 2, 1, 2)]
    loguru.logger.enable("buckthornhold")


@behave.then(
    "eras: each part was told of era 2 once, in order, also after an error"
)
def check_told(context):
    assert context.told == [(order, 2) for order in store_eras.Order]


@behave.then("eras: the response of era 1 was refused")
def check_refused(context):
    assert context.used == [True, True, True, False, True], context.used


@behave.when("eras: the first response is of era 3")
def observe_first(context):
    assert context.eras.observe(3)


@behave.then("eras: no part was told")
def check_untold(context):
    assert context.told == [] and context.eras.current == 3


class Bench:
    """Candidates for one role on a fake clock, and what they held."""

    def __init__(self):
        self.now = 1000.0
        self.backend = era_stores.EraBackend()
        self.backend.take_copy()
        self.held = []
        self.electors = [self.make_elector(name) for name in ("a", "b")]

    def make_elector(self, name):
        elector = leases.LeaderElector(
            store=era_stores.EraStore(backend=self.backend),
            role="mover",
            holder=name,
            ttl=TTL_SECONDS,
            margin=TTL_SECONDS / 5,
            logger=loguru.logger,
            counters=counters.Counters(address=None, prefix=""),
            notify=lambda acquired: acquired and self.note(elector),
            clock=lambda: self.now,
        )
        elector.name = name
        return elector

    def note(self, elector):
        lease = elector.active_lease
        entry_era = self.backend.era
        self.held.append((elector.name, lease.fence, lease.era, entry_era))

    def step(self, *electors):
        loguru.logger.disable("buckthornhold")
        for elector in electors or self.electors:
            asyncio.run(elector.run_once())
        loguru.logger.enable("buckthornhold")
        self.now += STEP_SECONDS

    def find_holders(self):
        return [
            elector
            for elector in self.electors
            if elector.active_lease is not None
        ]


def make_bench(copied, plan):
    bench = Bench()
    first = bench.electors[0]
    if copied.startswith("during"):
        # The copy has the token and the lease, but no role key.
        asyncio.run(first._allocate_fence(0))
        asyncio.run(first._store.grant_lease(TTL_SECONDS))
        bench.backend.take_copy()
    bench.step(first)
    if copied.startswith("after"):
        bench.backend.take_copy()
    assert bench.held, "the first candidate did not acquire the role"
    if plan is not None:
        # The first holder stops without a word; its lease expires.
        bench.now += TTL_SECONDS
        bench.backend.end_lease(first._lease.lease_id)
        number, when = plan
        bench.backend.plan = (bench.backend.writes + number, when)
    return bench


@behave.given("eras: two candidates for a role, and a copy {copied}")
def note_copy(context, copied):
    context.copied = copied
    context.bench = make_bench(copied, None)


@behave.when("eras: the store goes back {when} each write of an acquisition")
def restore_at_each_write(context, when):
    context.benches = []
    for number in range(1, ACQUISITION_WRITES + 1):
        bench = make_bench(context.copied, (number, when))
        bench.step(bench.electors[1])
        bench.step()
        # The copy's own lease of the first holder runs out.
        for lease_id in list(bench.backend.leases)[:1]:
            bench.lease_of_copy = lease_id
        context.benches.append(bench)


@behave.then("eras: no token was held twice and tokens only rise")
def check_tokens(context):
    for bench in context.benches:
        run_until_held(bench)
        tokens = [fence for _, fence, *_ in bench.held]
        assert tokens == sorted(set(tokens)), bench.held
        assert bench.backend.era == 1, "the store did not go back"
        late = [fence for _, fence, era, _ in bench.held if era == 1]
        assert all(fence > store_eras.FENCES_PER_ERA for fence in late)


def run_until_held(bench):
    for number in range(round(2 * TTL_SECONDS / STEP_SECONDS)):
        held = bench.find_holders()
        if held and held[0].active_lease.era == bench.backend.era:
            return
        if number == round(TTL_SECONDS / STEP_SECONDS):
            # Leases that the copy contains have expired by now.
            live = {
                elector._lease.lease_id
                for elector in bench.electors
                if elector._lease and elector._lease.era == bench.backend.era
            }
            for lease_id in set(bench.backend.leases) - live:
                bench.backend.end_lease(lease_id)
        bench.step()


@behave.then("eras: each lease was of the era in which it was acquired")
def check_lease_eras(context):
    for bench in context.benches:
        for name, _, era, entry_era in bench.held:
            # The store may go back with the response of the last write on
            # its way; the read that follows shows it.
            assert era == entry_era, (name, bench.held)


@behave.then("eras: the role is held again within two lease TTLs")
def check_held_again(context):
    for bench in context.benches:
        assert len(bench.find_holders()) == 1, bench.held


@behave.when("eras: the holder reads from a restored store")
def read_restored(context):
    bench = context.bench
    bench.backend.restore()
    loguru.logger.disable("buckthornhold")
    for elector in bench.electors:
        asyncio.run(elector._store.get("anything"))
    loguru.logger.enable("buckthornhold")


@behave.then("eras: it is no holder before its next step")
def check_dropped(context):
    assert context.bench.find_holders() == []


@behave.then(
    "eras: the other candidate waits until a lease would have expired"
)
def check_wait(context):
    bench = context.bench
    other = bench.electors[1]
    began = bench.now
    while other.active_lease is None:
        bench.step(other)
        assert bench.now - began < 2 * TTL_SECONDS
    assert bench.now - STEP_SECONDS - began >= TTL_SECONDS
