"""Steps for orders of two electors that both believe to hold one role."""

import asyncio

import behave

from buckthornhold import reasons
from buckthornhold.coordination import orders
from buckthornhold.coordination import pause_detectors
from buckthornhold.standins import engine_options
from buckthornhold.standins import engines
from testbed import roles as roles_bed

FAST_TTL_SECONDS = 0.3
MAX_FLIGHT_SECONDS = 0.2


@behave.given(
    "leases with two electors that both regard themselves as the holder"
)
def make_two_holders(context):
    """Let another elector acquire the role while the first clock stands."""

    async def run():
        for checks in (True, False):
            engine = engines.Engine(
                address="127.0.0.1:0",
                options=engine_options.EngineOptions(
                    models={}, checks_fence=checks
                ),
            )
            await engine.start()
            context.engines.append(engine)
            context.targets[checks] = roles_bed.EngineTarget(
                engine=engine, session=roles.session, checks_fence=checks
            )
        await context.older.run_once()
        assert context.older.active_lease is not None
        frozen.append(pause_detectors.read_boot_clock())
        await asyncio.sleep(1.1 * FAST_TTL_SECONDS)
        await context.newer.start()
        await roles.wait_holder(besides=(context.older,))
        assert context.older.active_lease is not None

    frozen = []
    context.engines, context.targets = [], {}
    roles = context.roles = behave.use_fixture(roles_bed.run_roles, context)
    context.older = roles.add_keeper(
        ttl=FAST_TTL_SECONDS,
        clock=lambda: (
            frozen[0] if frozen else pause_detectors.read_boot_clock()
        ),
    )
    context.newer = roles.add_keeper(ttl=4 * FAST_TTL_SECONDS)
    context.orders = {
        elector: orders.OrderIssuer(
            elector=elector,
            max_flight_seconds=MAX_FLIGHT_SECONDS,
            counters=roles.counters,
        )
        for elector in roles.keepers
    }
    roles.run(run())
    context.add_cleanup(lambda: stop_engines(context))


def stop_engines(context):
    async def run():
        for engine in context.engines:
            await engine.stop()

    context.roles.run(run())


def send_unchecked(context, target, order):
    """Send an order of the older holder without its lease check."""
    return target.send(
        order,
        fence=context.older.active_lease.fence,
        timeout=MAX_FLIGHT_SECONDS,
    )


@behave.when('leases: the newer one orders role "new" and the older one "old"')
def order_both(context):
    async def run():
        target = context.targets[True]
        first = await context.orders[context.newer].issue(target, "new")
        return [first, await send_unchecked(context, target, "old")]

    context.results = context.roles.run(run())


@behave.then(
    'leases: an upstream that checks tokens rejects the older as "{reason}"'
)
def check_fenced(context, reason):
    assert context.results[0] is None, context.results
    assert context.results[1].reason.value == reason, context.results


@behave.then('leases: on an upstream that {kind} tokens the role is "{role}"')
def check_role(context, kind, role):
    target = context.targets[kind == "checks"]
    assert context.roles.run(target.read_role()) == role


@behave.when(
    'leases: the older one orders "old" while the newer one orders "new"'
)
def order_at_once(context):
    async def run():
        target = context.targets[False]
        running = asyncio.create_task(
            context.orders[context.newer].issue(target, "new")
        )
        while not target.sent_at:
            await asyncio.sleep(0.01)
        await asyncio.sleep(MAX_FLIGHT_SECONDS / 2)
        await send_unchecked(context, target, "old")
        return await running

    result = context.roles.run(run())
    assert result is None, result


@behave.then("leases: the newer one has noticed that its order was overridden")
def check_overridden(context):
    totals = context.roles.counters.totals
    assert totals["events.orders.overridden"] == 1, totals


@behave.when(
    "leases: the newer one issues an order to an upstream that ignores tokens"
)
def order_ignoring(context):
    context.acquired_at = context.newer.active_lease.acquired_at
    context.roles.run(
        context.orders[context.newer].issue(context.targets[False], "new")
    )


@behave.then(
    "leases: it was sent after the maximum flight time of earlier orders"
)
def check_waited(context):
    waited = context.targets[False].sent_at[0] - context.acquired_at
    assert waited >= MAX_FLIGHT_SECONDS, waited


@behave.when("leases: an order is issued shortly before the lease expires")
def order_late(context):
    async def run():
        await context.newer.stop()
        await asyncio.sleep(
            context.newer.active_lease.expires_at
            - pause_detectors.read_boot_clock()
            - 0.1
        )
        return await context.orders[context.newer].issue(
            context.targets[True], "late"
        )

    context.result = context.roles.run(run())


@behave.then('leases: it is rejected as "{reason}" and nothing was sent')
def check_not_sent(context, reason):
    assert context.result.reason.value == reason, context.result
    assert context.result.ran is reasons.Ran.NO
    assert context.targets[True].sent_at == []
