"""Steps on cold upstreams: the selection on one host, and capacities."""

import asyncio
import collections
import time
import types
from unittest import mock

import behave

from buckthornhold import counters
from buckthornhold import logs
from buckthornhold import reasons
from buckthornhold import relay_moves
from buckthornhold import relay_routers
from buckthornhold import relay_selectors
from buckthornhold import relay_settings
from buckthornhold import relay_upstreams
from buckthornhold import routes
from buckthornhold import stores
from buckthornhold import upstream_directories
from buckthornhold.coordination import members
from buckthornhold.scheduling import cold_capacities
from buckthornhold.scheduling import cold_starts
from buckthornhold.scheduling import placements
from testbed import cold_fleets
from testbed import relay_fleets


class ColdBench:
    """The selection of upstreams on one host, without a network."""

    def __init__(self, seconds):
        self.rate = cold_fleets.RATE
        self.records = [
            upstream_directories.UpstreamRecord(
                name=f"u{number}",
                service="s",
                address="",
                zone="a",
                warm_up_seconds=cold,
            )
            for number, cold in enumerate(seconds)
        ]
        own = members.Member(host="h", zone="a", address="", incarnation=1)
        table = members.MemberTable(own=own)
        table.set_state(members.MemberState.READY)
        host = types.SimpleNamespace(
            logger=logs.bind(host="h", zone="a"),
            counters=counters.Counters(address=None, prefix=""),
            settings=types.SimpleNamespace(
                host="h",
                zone="a",
                zones=("a", "b", "c"),
                seeds=(),
                bounds=relay_settings.Bounds(),
            ),
            members=table,
            prober=types.SimpleNamespace(
                list_recently_silent=lambda seconds: []
            ),
            summaries=types.SimpleNamespace(
                add_source=lambda fill: None, list_fresh=lambda: []
            ),
            directory=types.SimpleNamespace(
                list_records=lambda: self.records, generation=0
            ),
            moves=types.SimpleNamespace(
                choose=lambda request, found, is_retry: (
                    relay_moves.VersionChoice(upstreams=found)
                )
            ),
            poison_guard=types.SimpleNamespace(
                isolate_suspect=lambda request, found: found
            ),
            find_router=lambda service: relay_routers.LeastLoadedRouter(
                zone="a"
            ),
            configurations=types.SimpleNamespace(),
            placements=placements.Placements(),
        )
        host.placements.set_evacuated(())
        self.host = host
        self.apply_rate(self.rate)
        host.upstreams = relay_upstreams.RelayUpstreams(host=host)
        host.upstreams.cold._started_at -= cold_starts.SETTLE_SECONDS
        host.upstreams.refresh()

    def apply_rate(self, rate):
        service = routes.Service(name="s", connections=9, cold_rate=rate)
        self.host.configurations.current = routes.Configuration(
            version=1, services=(service,)
        )

    def send(self, *, is_retry=False):
        request = types.SimpleNamespace(
            service="s",
            workload=relay_routers.Workload(),
            route=types.SimpleNamespace(streamed=True, regions=()),
            workspace=None,
        )
        selector = relay_selectors.UpstreamSelector(
            host=self.host, request=request
        )
        return asyncio.run(selector.select(is_retry=is_retry))

    def send_all(self, count):
        return [self.send() for _ in range(count)]


@behave.given(
    "cold: a host whose upstreams are cold for {first:g} and {second:g} "
    "seconds"
)
def make_bench(context, first, second):
    context.bench = ColdBench((first, second))


@behave.given("cold: a move sends no request to the second")
def take_back(context):
    def choose(request, found, is_retry):
        old = [it for it in found if it.name != "u1"]
        return relay_moves.VersionChoice(upstreams=old)

    context.bench.host.moves.choose = choose


@behave.when("cold: {count:d} requests arrive at once")
def send_requests(context, count):
    context.results = context.bench.send_all(count)
    begun_at = time.monotonic()
    context.results.append(context.bench.send())
    context.seconds = time.monotonic() - begun_at


@behave.then("cold: at most {most:d} were sent to each upstream")
def check_sent(context, most):
    names = [getattr(it, "name", "") for it in context.results]
    for record in context.bench.records:
        assert 1 <= names.count(record.name) <= most, names


@behave.then(
    "cold: the last was refused in {limit:g} s as {reason:w}, to return in "
    "{wait:g} s"
)
def check_refused(context, limit, reason, wait):
    failure = context.results[-1]
    assert failure.reason is reasons.Reason(reason), failure
    assert failure.ran is reasons.Ran.NO, failure
    assert wait - 0.5 <= failure.retry_after <= wait, failure
    assert context.seconds <= limit, context.seconds


@behave.then("cold: a request that may have run waits and is sent")
def check_retry(context):
    result = context.bench.send(is_retry=True)
    assert not isinstance(result, reasons.Failure), result


@behave.when("cold: the first upstream's entry is read again")
def read_again(context):
    cold = context.bench.host.upstreams.cold
    context.remaining = cold.list_remaining("s")
    time.sleep(0.2)
    context.bench.host.upstreams.refresh()


@behave.then("cold: its remaining time has not changed")
def check_remaining(context):
    cold = context.bench.host.upstreams.cold
    for key, seconds in cold.list_remaining("s").items():
        passed = context.remaining[key] - seconds
        assert 0.19 <= passed <= 1.0, passed


@behave.when("cold: a new revision says that the first upstream is warm")
def write_warm(context):
    first = context.bench.records[0]
    context.bench.records[0] = upstream_directories.UpstreamRecord(
        **{**vars(first), "warm_up_seconds": 0.0}
    )
    context.bench.host.directory.generation += 1


@behave.fixture
def run_relay(context):
    fleet = relay_fleets.RelayFleet(hosts=1)
    fleet.start()
    yield fleet
    fleet.stop()


def list_plain(fleet, cold_seconds):
    for name, worker in fleet.workers.items():
        if not worker.events:
            fleet.list_worker(name, cold_seconds=cold_seconds)


def send_calls(context, count):
    """Send calls at once; return their statuses, counted."""

    async def run():
        sendings = [context.fleet.send("/pay/") for _ in range(count)]
        return await asyncio.gather(*sendings)

    context.answers = context.fleet.run(run())
    return collections.Counter(it.status for it in context.answers)


@behave.given(
    "cold: a relay host and two upstreams that are cold for {seconds:g} s"
)
def start_relay(context, seconds):
    context.fleet = behave.use_fixture(run_relay, context)
    context.fleet.run(asyncio.sleep(cold_starts.SETTLE_SECONDS))
    context.fleet.configure(cold_rate=cold_fleets.RATE)
    list_plain(context.fleet, seconds)
    context.fleet.run(asyncio.sleep(2 * cold_starts.PLACE_SECONDS))
    list_plain(context.fleet, seconds)
    context.fleet.run(asyncio.sleep(0.5))


@behave.when("cold: {count:d} calls arrive at once")
def send_many(context, count):
    context.found = send_calls(context, count)


@behave.then(
    "cold: at most {most:d} were run by each upstream and the others got "
    "{status:d}"
)
def check_run(context, most, status):
    found = context.found
    assert set(found) == {200, status}, found
    assert 1 <= found[200] <= 2 * most, found


@behave.then("cold: the refused calls are to return within {seconds:g} s")
def check_return(context, seconds):
    for answer in context.answers:
        if answer.status == 503:
            wait = float(answer.headers["Retry-After"])
            assert 0 < wait <= seconds, answer.headers


@behave.when("cold: the upstreams are warm again")
def warm_up(context):
    list_plain(context.fleet, 0.0)
    context.fleet.run(asyncio.sleep(1.0))


@behave.then("cold: {count:d} calls that arrive at once are all run")
def check_all_run(context, count):
    found = send_calls(context, count)
    assert set(found) == {200}, found


@behave.then(
    "cold: a listing checks no upstream's zone and applies no entry again"
)
def check_listing(context):
    host = context.bench.host
    host.placements.allows = mock.Mock(return_value=True)
    host.upstreams.cold.apply_record = mock.Mock()
    assert len(host.upstreams.list_service("s")) == 2
    assert not host.placements.allows.called
    assert not host.upstreams.cold.apply_record.called


@behave.then("cold: a listing does not look for cold upstreams")
def check_unlimited_listing(context):
    find_remaining = mock.patch.object(
        cold_starts.ColdStarts, "find_remaining", return_value=1.0
    )
    with find_remaining as found:
        assert len(context.bench.host.upstreams.list_service("s")) == 2
    assert not found.called


@behave.then(
    "cold: entries that are cold for 3, 0.5, 2.6, 1.4 and 0 s change the "
    "list at the first, third and fifth"
)
def check_list_changes(context):
    directory = upstream_directories.UpstreamDirectory(
        prefix="",
        decode=lambda name, text: upstream_directories.UpstreamRecord(
            name=name,
            service="s",
            address="",
            zone="a",
            warm_up_seconds=float(text),
        ),
        return_seconds=0.0,
        logger=logs.bind(host="h", zone="a"),
    )
    found = []
    for revision, text in enumerate(("3", "0.5", "2.6", "1.4", "0"), start=1):
        entry = stores.Entry(key="u", value=text, version=revision)
        directory.apply_change(
            stores.Change(revision=revision, entries=(entry,), deleted=())
        )
        found.append(directory.version)
    assert found == [1, 1, 3, 3, 5], found


@behave.when("cold: the configuration has no cold rate")
def drop_rate(context):
    context.bench.apply_rate(0.0)


@behave.then("cold: {count:d} more requests that arrive at once are all sent")
def check_all_sent(context, count):
    for result in context.bench.send_all(count):
        assert not isinstance(result, reasons.Failure), result


@behave.given(
    "cold: upstreams that take {start:g} s to start and are then cold for "
    "{cold:g} s"
)
def make_service(context, start, cold):
    offer = routes.Offer(
        least=1, most=6, start_seconds=start, zone_prices={"a": 1.0}
    )
    context.service = routes.Service(
        name="s",
        connections=9,
        offer=offer,
        cold_start_seconds=cold,
        cold_rate=cold_fleets.RATE,
    )


def assess(context, seconds):
    records = ColdBench((seconds, 0.0)).records
    remaining = {records[0].key: seconds}
    return cold_capacities.assess(records, remaining, context.service)


@behave.then(
    "cold: one that is cold for {seconds:g} s counts when others are ordered"
)
def check_counted(context, seconds):
    found = assess(context, seconds)
    assert len(found.counted) == 2, found
    count = found.complete_count(3, zone="a", reclaimable=False, most=6)
    assert count == 3, count


@behave.then("cold: one that is cold for {seconds:g} s is ordered in addition")
def check_late(context, seconds):
    found = assess(context, seconds)
    assert [it.name for it in found.counted] == ["u1"], found
    count = found.complete_count(3, zone="a", reclaimable=False, most=6)
    assert count == 4, count
    count = found.complete_count(6, zone="a", reclaimable=False, most=6)
    assert count == 6, count


@behave.then("cold: nothing is given back while one is cold")
def check_kept(context):
    assert assess(context, 1.0).any_cold
    records = ColdBench((0.0,)).records
    found = cold_capacities.assess(records, {}, context.service)
    assert not found.any_cold
