"""Steps on the ledger of ordered hosts in a restored store."""

import asyncio
import types

import behave

from buckthornhold import provisioners
from buckthornhold.coordination import provisions
from testbed import era_stores

KEY = provisions.make_key("m", "v1")
ORDER = provisions.Provision(
    order_id="o-1",
    zone="a",
    host_class="large",
    reclaimable=False,
    changed=1.0,
)


@behave.given("eras: a provisioner that has written an order")
def write_order(context):
    backend = context.backend = era_stores.EraBackend()
    backend.take_copy()
    store = era_stores.EraStore(backend=backend)
    provisioner = context.provisioner = provisioners.Provisioner.__new__(
        provisioners.Provisioner
    )
    provisioner._host = types.SimpleNamespace(store=store, eras=store.eras)
    provisioner._keeper = types.SimpleNamespace(active_lease=True)
    provisioner._ledgers = {}
    ledger = provisions.Ledger(key=KEY, version=0)
    ledger = asyncio.run(provisioner._write(ledger, (ORDER,)))
    assert ledger.provisions == (ORDER,)


@behave.when(
    "eras: the store goes back to before it, {seconds:d} seconds later"
)
def restore(context, seconds):
    context.backend.restore()
    provisioner = context.provisioner
    written_at, ledger = provisioner._ledgers[KEY]
    provisioner._ledgers[KEY] = (written_at - seconds, ledger)

    async def run():
        ledger = await provisions.read_ledger(provisioner._host.store, KEY)
        await provisioner._restore(ledger)

    asyncio.run(run())


@behave.then("eras: the ledger {result} the order")
def check_ledger(context, result):
    assert (KEY in context.backend.items) == (result == "has")
