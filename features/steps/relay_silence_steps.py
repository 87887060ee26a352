"""Steps for relay hosts whose open connections go silent."""

import asyncio
import pathlib
import re
import time

import behave

from testbed import relay_fleets

#: The deployment's settings, with placeholders for values that vary by host.
DEPLOYED_SETTINGS = pathlib.Path("deploy/settings.json")
TIMEOUT_NAMES = ("platform_timeout", "rules_watch_timeout")
#: The deadline of plain calls in the deployments' data sheets.
CALL_HEADERS = {"Deadline-Ms": "600"}
#: Time for hosts to fill their connection pools and find each other.
SETTLE_SECONDS = 2.0


class LinkedFleet(relay_fleets.RelayFleet):
    """Relay hosts behind links, with the deployment's timeouts."""

    def _make_timeouts(self):
        text = DEPLOYED_SETTINGS.read_text()
        return {
            name: float(re.search(f'"{name}": ([0-9.]+)', text)[1])
            for name in TIMEOUT_NAMES
        }


@behave.fixture
def run_linked_fleet(context, hosts):
    fleet = LinkedFleet(hosts=hosts, linked=True)
    fleet.start()
    yield fleet
    fleet.stop()


@behave.given("wire: {count:d} relay hosts with links that can be disturbed")
def use_linked_hosts(context, count):
    context.fleet = behave.use_fixture(run_linked_fleet, context, hosts=count)
    context.fleet.run(asyncio.sleep(SETTLE_SECONDS))


@behave.when(
    "wire: the watch on configurations has waited for {seconds:g} seconds"
)
def await_watch(context, seconds):
    fleet = context.fleet
    fleet.configure()
    fleet.run(asyncio.sleep(seconds))


@behave.when(
    "wire: the host has made {count:d} more calls to the store at once"
)
def call_store(context, count):
    """Open as many connections to the store, which stay idle after it."""
    store = context.fleet.hosts[0].store

    async def run():
        await asyncio.gather(*[store.get("none") for _ in range(count)])

    context.fleet.run(run())


def silence(context, links):
    for link in links:
        link.harm("silence open")
    context.silenced_at = time.monotonic()


@behave.when("wire: open connections to the store go silent")
def silence_store(context):
    silence(context, context.fleet.store_links)


@behave.when("wire: open connections between hosts go silent")
def silence_peers(context):
    silence(context, context.fleet.peer_links.values())


@behave.when("wire: open connections to upstreams go silent")
def silence_upstreams(context):
    silence(context, context.fleet.upstream_links.values())


@behave.when("wire: the store refuses the first host")
def refuse_first_host(context):
    link = context.fleet.store_links[0]
    link.closed = True
    link.reset()


@behave.when(
    "wire: {pause:g} seconds later a configuration without the key is written"
)
def remove_key_later(context, pause):
    left = context.silenced_at + pause - time.monotonic()
    context.fleet.run(asyncio.sleep(max(0.0, left)))
    context.fleet.configure(keys=("another",))


@behave.then(
    "wire: it is in force at each host {seconds:g} seconds after the silence "
    "began"
)
def check_in_force(context, seconds):
    fleet = context.fleet

    async def run():
        left = context.silenced_at + seconds - time.monotonic()
        await asyncio.sleep(max(0.0, left))
        return [
            (await fleet.send("/look/", host=number)).status
            for number in range(len(fleet.hosts))
        ]

    statuses = fleet.run(run())
    assert statuses == [401] * len(fleet.hosts), statuses


@behave.then(
    "wire: each host receives the others {seconds:g} seconds after the "
    "silence began"
)
def check_reporting_hosts(context, seconds):
    hosts = context.fleet.hosts
    left = context.silenced_at + seconds - time.monotonic()
    context.fleet.run(asyncio.sleep(max(0.0, left)))
    reporting = [host.summaries.count_reporting_hosts() for host in hosts]
    assert reporting == [len(hosts) - 1] * len(hosts), reporting


@behave.when("wire: {path} is requested {count:d} times at once")
def send_at_once(context, path, count):
    fleet = context.fleet

    async def run():
        return await asyncio.gather(*[fleet.send(path) for _ in range(count)])

    answers = fleet.run(run())
    assert all(answer.status == 200 for answer in answers), answers


@behave.when(
    "wire: {path} is requested every {pause:g} seconds for {seconds:g} seconds"
)
def send_repeatedly(context, path, pause, seconds):
    fleet = context.fleet

    async def send():
        sent_at = time.monotonic()
        answer = await fleet.send(path, headers=CALL_HEADERS)
        return sent_at, answer.status

    async def run():
        requests = []
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            requests.append(asyncio.ensure_future(send()))
            await asyncio.sleep(pause)
        return await asyncio.gather(*requests)

    context.sent = fleet.run(run())


@behave.then(
    "wire: all that were sent {seconds:g} seconds after the silence are "
    "answered with {status:d}"
)
def check_answered(context, seconds, status):
    since = context.silenced_at + seconds
    failed = [
        (round(sent_at - context.silenced_at, 2), found)
        for sent_at, found in context.sent
        if sent_at >= since and found != status
    ]
    assert not failed, failed
