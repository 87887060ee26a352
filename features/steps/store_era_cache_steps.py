"""Steps on caches, configurations and moves of a restored store."""

import asyncio
import types

import behave
import loguru

from buckthornhold import configurations
from buckthornhold import counters
from buckthornhold import logs
from buckthornhold import relay_moves
from buckthornhold import routes
from buckthornhold import stores
from buckthornhold.coordination import move_eras
from buckthornhold.coordination import store_eras
from buckthornhold.coordination import version_moves
from features.steps import relay_directory_steps
from testbed import era_stores

PREFIX = relay_directory_steps.PREFIX


def make_entry(name, era, revision, text="{}"):
    version = store_eras.make_version(era, revision)
    return stores.Entry(key=PREFIX + name, value=text, version=version)


def make_change(era, revision, *entries):
    version = store_eras.make_version(era, revision)
    return stores.Change(revision=version, entries=entries)


@behave.given(
    "eras: a directory that knows a and b, and then c and that b leaves"
)
def make_directory(context):
    bench = context.bench = relay_directory_steps.DirectoryBench()
    a, b = make_entry("a", 0, 11), make_entry("b", 0, 12)
    bench.directory.apply_snapshot(make_change(0, 12, a, b))
    leaving = make_entry("b", 0, 14, '{"leaving": true}')
    change = make_change(0, 14, make_entry("c", 0, 13), leaving)
    bench.directory.apply_change(change)
    context.old_document = bench.directory._make_document()


@behave.when("eras: the store goes back to a and b, and a is written again")
def restore_directory(context):
    bench = context.bench
    bench.directory.begin_era(store_eras.EraChange(before=0, now=1))
    b = make_entry("b", 1, 12)
    a = make_entry("a", 1, 13, '{"started_at": 4}')
    bench.directory.apply_snapshot(make_change(1, 13, a, b))


@behave.then("eras: the directory lists {names}")
def check_directory(context, names):
    assert context.bench.find_usable() == names.split(" and ")
    records = context.bench.directory.list_records()
    assert {it.started_at for it in records if it.name == "a"} == {4}


@behave.when("eras: a host that hasn't seen the new era pushes its directory")
def push_old_directory(context):
    assert not context.bench.directory._apply_document(context.old_document)


@behave.when("eras: c isn't written again in the time for it")
def pass_grace(context):
    context.bench.now += relay_directory_steps.RETURN_SECONDS + 0.1


def make_configuration():
    return configurations.ActiveConfiguration(
        key="k",
        decode=lambda text: routes.Configuration(version=int(text.split()[0])),
        logger=logs.bind(host="h", zone="a"),
    )


def write_configuration(host, era, revision, text):
    version = store_eras.make_version(era, revision)
    entry = stores.Entry(key="k", value=text, version=version)
    host.apply_change(stores.Change(revision=version, entries=(entry,)))


@behave.given("eras: hosts with configurations 5 and then 6 of era 0")
def make_configurations(context):
    context.hosts = [make_configuration(), make_configuration()]
    for host in context.hosts:
        write_configuration(host, 0, 11, "5")
        write_configuration(host, 0, 12, "6")


@behave.when("eras: the restored store has configuration 5")
def restore_configuration(context):
    write_configuration(context.hosts[0], 1, 11, "5")


@behave.then(
    "eras: configuration {active:d} is in force there and {offered:d} is "
    "offered"
)
def check_configuration(context, active, offered):
    assert context.hosts[0].version == active
    assert context.hosts[0]._make_document().body == str(offered)


@behave.then(
    "eras: a host that starts takes 5 from it and not 6 from the others"
)
def check_fresh(context):
    fresh = make_configuration()
    new, old = [host._make_document() for host in context.hosts]
    assert new.version > old.version
    assert fresh._apply_document(new)
    assert not fresh._apply_document(old)
    assert fresh.version == 5, fresh.version
    # The other host stays in force and offers what the store has.
    assert context.hosts[1]._apply_document(new)
    assert context.hosts[1].version == 6


@behave.when("eras: the operator writes configuration 6 with another text")
def rewrite_other(context):
    write_configuration(context.hosts[0], 1, 12, "6 other")


@behave.when("eras: the operator writes configuration 6 with the same text")
def rewrite_same(context):
    write_configuration(context.hosts[0], 1, 12, "6")


@behave.then("eras: the other text is in force there")
def check_other(context):
    assert context.hosts[0]._text == "6 other"


def make_order(version, era, revision):
    return version_moves.Order(
        service="s",
        version=version,
        seconds=10.0,
        number=store_eras.make_version(era, revision),
    )


@behave.given("eras: orders to v1 and then to v2 in era 0")
def make_orders(context):
    context.orders = move_eras.KnownOrders()
    context.orders.apply(make_order("v1", 0, 11))
    context.orders.apply(make_order("v2", 0, 15))


@behave.when("eras: the restored store shows the order to v1")
def show_replaced_order(context):
    assert not context.orders.apply(make_order("v1", 1, 11))


@behave.when("eras: the operator writes the order to v2 again")
def write_order_again(context):
    assert not context.orders.apply(make_order("v2", 1, 13))


@behave.when("eras: the operator orders v1 once more")
def order_once_more(context):
    assert context.orders.apply(make_order("v1", 1, 14))


@behave.then("eras: the order to v2 is in force with its first number")
def check_same_order(context):
    assert context.orders.find("s") == make_order("v2", 0, 15)


@behave.then("eras: the order to v1 is in force")
def check_new_order(context):
    assert context.orders.find("s") == make_order("v1", 1, 14)


@behave.when(
    "eras: a host knows a move as {known} and a later era has it as {stored}"
)
def merge_move(context, known, stored):
    def make(state, era):
        if state == "nothing":
            return {}
        order = make_order("v2", era, 15)
        state = version_moves.State(state)
        return {
            "s": version_moves.Progress(order=order, begun=1.0, state=state)
        }

    context.merged = move_eras.merge_states(make(known, 0), make(stored, 1))


@behave.then("eras: the move is {state}")
def check_merged(context, state):
    assert context.merged["s"].state == state


def make_leader(backend):
    """Return the moves of a host that holds the duty, on a fake store."""
    store = era_stores.EraStore(backend=backend)
    host = types.SimpleNamespace(
        logger=loguru.logger,
        counters=counters.Counters(address=None, prefix=""),
        settings=types.SimpleNamespace(
            bounds=types.SimpleNamespace(exposure_share=0.1)
        ),
        summaries=types.SimpleNamespace(
            add_source=lambda source: None,
            read_time_of_day=lambda: 1000.0,
            list_all=list,
        ),
        broadcasts=types.SimpleNamespace(publish=lambda topic: None),
        duty=types.SimpleNamespace(held=True),
        store=store,
        eras=store.eras,
    )
    return relay_moves.RelayMoves(
        host=host,
        decode=lambda entry: make_order("v2", 0, 15),
        encode=lambda progress: ("status/s", progress.state.value),
    )


@behave.given(
    "eras: a leader of moves whose states are written {count:d} times"
)
def start_leader(context, count):
    context.backend = era_stores.EraBackend()
    context.backend.take_copy()
    context.leader = make_leader(context.backend)
    context.write_count = count


@behave.when("eras: the store goes back {when} write {write:d}")
def restore_at_write(context, when, write):
    leader, backend = context.leader, context.backend
    states = (version_moves.State.TRIAL, version_moves.State.TAKEN_BACK)

    async def run():
        await leader._read_states()
        leader.apply_change(make_change(0, 15, make_entry("order", 0, 15)))
        for number in range(1, context.write_count + 1):
            if number == write:
                # The status is the write between two states.
                backend.plan = (backend.writes + 1, when)
            progress = version_moves.Progress(
                order=make_order("v2", 0, 15),
                begun=1000.0,
                state=states[number - 1],
            )
            if await leader._commit(progress):
                await leader._publish_status(progress)
        for _ in range(4):
            await leader.run_once()

    loguru.logger.disable("buckthornhold")
    asyncio.run(run())
    loguru.logger.enable("buckthornhold")
    assert backend.era == 1, "the store did not go back"


@behave.then("eras: the store has the states that the leader knows")
def check_states(context):
    text = context.backend.items[relay_moves.STATES_KEY][1]
    stored = move_eras.load_states(text)
    assert stored == context.leader._states and stored, stored


@behave.then("eras: the status is written again")
def check_status(context):
    state = context.leader._states["s"].state
    assert context.backend.items["status/s"][1] == state.value
