"""Steps on evacuations in fleets of relay hosts."""

import asyncio
import collections
import time
import uuid

import behave

from buckthornhold import relay_hosts
from buckthornhold import relay_watchers
from buckthornhold import summaries
from buckthornhold.platform import adapters
from features.steps import relay_readers_steps
from testbed import relay_fleets

KEY = "op/evacuate/b"
#: Zones of the upstreams; the hosts are in another, so they prefer none.
ZONES = {"plain-1": "c", "model-1": "c", "plain-2": "b", "model-2": "b"}
REQUESTS_PER_HOST = 20
REQUEST_INTERVAL_SECONDS = 0.06
#: Bound of a refusal at once. A wait for upstreams takes 0.3 s or more.
AT_ONCE_SECONDS = 0.25
START_TIMEOUT_SECONDS = 15.0


class ZoneFleet(relay_fleets.RelayFleet):
    """A fleet whose settings map the zones to regions."""

    def _make_timeouts(self):
        regions = {"b": "south", "c": "north"}
        return {**super()._make_timeouts(), "zone_regions": regions}


@behave.fixture
def run_fleet(context, hosts, mesh_peers):
    usual = summaries.FULL_MESH_MAX_PEERS
    summaries.FULL_MESH_MAX_PEERS = mesh_peers
    fleet = ZoneFleet(hosts=hosts, linked=True, config_seconds=4.0)
    fleet.start()
    yield fleet
    fleet.stop()
    summaries.FULL_MESH_MAX_PEERS = usual


@behave.given(
    "evacuations: {count:d} hosts of a {size} fleet with upstreams in the "
    "zones b and c"
)
def use_fleet(context, count, size):
    usual = summaries.FULL_MESH_MAX_PEERS
    fleet = context.fleet = behave.use_fixture(
        run_fleet,
        context,
        hosts=count,
        mesh_peers=relay_readers_steps.MESH_PEERS
        if size == "large"
        else usual,
    )
    fleet.run(relay_readers_steps.wait_joined(fleet.hosts))
    for name, zone in ZONES.items():
        fleet.list_worker(name, zone=zone)
    # Hosts end the watches that they began before they knew all others.
    fleet.run(asyncio.sleep(relay_readers_steps.SETTLE_SECONDS))
    assert all(send_to_all(fleet)[0]), "some host doesn't send to zone b"


def send_to_all(fleet):
    """Return by host how many of its requests ran in b, and all statuses.

    They are spread over more than the time between two summaries: while one
    says that an upstream has a request in flight, the others are preferred.
    """
    worker = fleet.workers["plain-2"]
    worker.ran.clear()

    async def send(number):
        statuses = set()
        for _ in range(REQUESTS_PER_HOST):
            request_id = f"{number}:{uuid.uuid4().hex}"
            response = await fleet.send(
                "/look/", host=number, request_id=request_id
            )
            statuses.add(response.status)
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        return statuses

    async def run():
        hosts = range(len(fleet.hosts))
        return await asyncio.gather(*[send(number) for number in hosts])

    statuses = fleet.run(run())
    sent_by = collections.Counter(it.partition(":")[0] for it in worker.ran)
    counts = [sent_by[str(number)] for number in range(len(fleet.hosts))]
    return counts, set().union(*statuses)


@behave.given("evacuations: a slow stream runs in zone b")
def start_stream(context):
    fleet = context.fleet
    for name in ("model-1", "model-2"):
        fleet.workers[name].script.append("slow")
        fleet.list_worker(name, zone="b")

    async def start():
        context.stream = asyncio.create_task(
            fleet.send("/chat/", headers={"Deadline-Ms": "10000"})
        )
        await asyncio.sleep(0.2)

    fleet.run(start())
    assert not context.stream.done()


@behave.then("evacuations: the stream in zone b has run to its end")
def check_stream(context):
    response = context.fleet.run(context.stream)
    events = len(response.event_ids)
    assert not response.broken and events == relay_fleets.EVENTS, events


@behave.when("evacuations: zone b is {done}")
def change_order(context, done):
    if done == "evacuated":
        context.fleet.store.write(KEY, {})
    else:
        context.fleet.store.remove(KEY)


@behave.then("evacuations: after {seconds:g} seconds {who} to zone b")
def check_evacuated(context, seconds, who):
    context.fleet.run(asyncio.sleep(seconds))
    counts, statuses = send_to_all(context.fleet)
    expected = {
        "no host sends": [False] * len(counts),
        "all hosts send": [True] * len(counts),
        "all requests go": [True],
    }[who]
    assert statuses == {200}, statuses
    assert [count > 0 for count in counts] == expected, counts
    if who == "all requests go":
        assert counts == [REQUESTS_PER_HOST], counts


@behave.when("evacuations: the others offer no orders, as the previous build")
def offer_no_orders(context):
    for host in context.fleet.hosts[1:]:
        topic = host.broadcasts._topics[relay_watchers.ORDERS_TOPIC]
        topic.read_version = lambda: 0


@behave.when(
    "evacuations: {seconds:g} seconds later the store goes down and host 0 is "
    "started anew"
)
def restart_host(context, seconds):
    fleet = context.fleet

    async def run():
        await asyncio.sleep(seconds)
        fleet.store.down = True
        config = fleet.hosts[0].settings
        await fleet.hosts[0].stop()
        fleet.hosts[0] = relay_hosts.RelayHost(
            config=config, platform=adapters.PlatformAdapter()
        )
        await fleet.hosts[0].start()
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while not fleet.hosts[0].ready:
            assert time.monotonic() < deadline, "host 0 is not ready"
            await asyncio.sleep(0.02)

    fleet.run(run())


@behave.when(
    "evacuations: the key is removed while host 1 is cut off from the store, "
    "which is up again"
)
def remove_unseen(context):
    fleet = context.fleet
    fleet.store_links[1].closed = True
    fleet.store_links[1].reset()
    fleet.store.remove(KEY)
    fleet.store.down = False


@behave.when("evacuations: the workspace is limited to {which}")
def limit_regions(context, which):
    region = "south" if which == "the region of zone b" else "east"
    context.fleet.configure(allowedRegions=[region])


@behave.then(
    "evacuations: after {seconds:g} seconds a request is refused at once as "
    "{reason}"
)
def check_refused(context, seconds, reason):
    fleet = context.fleet
    fleet.run(asyncio.sleep(seconds))
    started_at = time.monotonic()
    response = fleet.run(fleet.send("/look/"))
    taken = time.monotonic() - started_at
    assert response.status == 503, response.status
    assert float(response.headers["Retry-After"]) > 0
    assert taken < AT_ONCE_SECONDS, taken
    counted = fleet.hosts[0].counters.totals
    assert counted[f"refusals.{reason}"] == 1, counted
