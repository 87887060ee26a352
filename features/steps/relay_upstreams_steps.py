"""Steps for the selection of upstreams for relayed requests."""

import collections
import time
import types

import behave

from buckthornhold import engine_speeds
from buckthornhold import logs
from buckthornhold import relay_routers
from buckthornhold import relay_upstreams
from buckthornhold import upstream_directories
from buckthornhold.peers import summaries_pb2
from buckthornhold.scheduling import placements


class UpstreamBench:
    """The upstreams of one host, without a network."""

    def __init__(self, zones, count, own_zone):
        records = [
            upstream_directories.UpstreamRecord(
                name=f"{zone}-{number}",
                service="s",
                address="",
                zone=zone,
                slots=8,
            )
            for zone in zones
            for number in range(count)
        ]
        self.sources = []
        host = types.SimpleNamespace(
            logger=logs.bind(host="h", zone=own_zone),
            directory=types.SimpleNamespace(
                list_records=lambda: records, generation=0
            ),
            summaries=types.SimpleNamespace(
                add_source=self.sources.append,
                publish=lambda: None,
                list_fresh_received=lambda: [],
                aggregation_delay_seconds=0.0,
            ),
            engine_speeds=engine_speeds.EngineSpeeds(),
            placements=placements.Placements(),
        )
        host.placements.set_evacuated(())
        self.upstreams = relay_upstreams.RelayUpstreams(host=host)
        self.upstreams.refresh()
        self.by_name = {
            upstream.name: upstream for upstream in self.upstreams.list_all()
        }
        self.plain = relay_routers.LeastLoadedRouter(zone=own_zone)
        self.engine = relay_routers.EngineRouter(
            zone=own_zone, speeds=host.engine_speeds
        )

    def send(self, count):
        """Send plain requests that stay in flight; count them by upstream."""
        found = collections.Counter()
        for _ in range(count):
            candidates = self.upstreams.list_service("s")
            chosen = self.plain.choose(candidates, relay_routers.Workload())
            chosen.record_request()
            chosen.record_activity()
            found[chosen.name] += 1
        for name, number in found.items():
            self.by_name[name].in_flight -= number
        return found

    def choose_engine(self, prefix):
        work = relay_routers.Workload(
            prefix=prefix, shared_tokens=6000, own_tokens=2000
        )
        candidates = self.upstreams.list_service("s")
        return self.engine.choose(candidates, work).name


@behave.given(
    "upstreams: {count:d} in each of zones {first:w} and {second:w}, seen "
    "from zone {own:w}"
)
def make_bench(context, count, first, second, own):
    context.bench = UpstreamBench((first, second), count, own)


def silence(context, names, count):
    for name in names:
        for _ in range(count):
            context.bench.by_name[name].record_request()


@behave.when(
    "upstreams: those of zone {zone:w} become silent with {count:d} requests "
    "in flight each"
)
def silence_zone(context, zone, count):
    names = [name for name in context.bench.by_name if name.startswith(zone)]
    silence(context, names, count)


@behave.when(
    "upstreams: all become silent with {count:d} requests in flight each"
)
def silence_all(context, count):
    silence(context, context.bench.by_name, count)


@behave.when("upstreams: {seconds:g} seconds pass")
def pass_time(context, seconds):
    time.sleep(seconds)


@behave.when("upstreams: the requests at zone {zone:w} are abandoned")
def abandon_requests(context, zone):
    for name, upstream in context.bench.by_name.items():
        while name.startswith(zone) and upstream.in_flight:
            upstream.record_abandoned()
            upstream.in_flight -= 1


@behave.when(
    "upstreams: {name} fails {failed:d} of {ended:d} requests and the others "
    "{others:d} of {same:d}"
)
def fail_some(context, name, failed, ended, others, same):
    for other, upstream in context.bench.by_name.items():
        count = failed if other == name else others
        for number in range(ended):
            upstream.record_outcome(failed=number < count)


@behave.when("upstreams: all fail {failed:d} of {ended:d} requests")
def fail_all(context, failed, ended):
    fail_some(context, "", failed, ended, failed, ended)


def apply_summary(context, **fields):
    summary = summaries_pb2.Summary(host="other", incarnation=1, **fields)
    context.bench.upstreams.apply_summary(summary)


@behave.when(
    "upstreams: another host reports that {name} failed {failed:d} of "
    "{ended:d} requests"
)
def report_failures(context, name, failed, ended):
    for count, failed_count in ((0, 0), (ended, failed)):
        load = summaries_pb2.UpstreamLoad(
            upstream=name, ended=count, failed=failed_count
        )
        apply_summary(context, loads=[load])


@behave.when("upstreams: another host reports that {name} leaves")
def report_leaving(context, name):
    upstream = context.bench.by_name[name]
    apply_summary(
        context, leaving=[relay_upstreams.make_process_name(upstream)]
    )


@behave.when("upstreams: the engine of a prefix has {tokens:d} tokens waiting")
def fill_prefix_engine(context, tokens):
    context.prefix_engine = context.bench.choose_engine("subject")
    context.bench.by_name[context.prefix_engine].waiting_tokens = tokens


@behave.then("upstreams: {count:d} new requests all go to zone {zone:w}")
def check_zone(context, count, zone):
    found = context.bench.send(count)
    assert all(name.startswith(zone) for name in found), found


@behave.then("upstreams: some of {count:d} new requests go to zone {zone:w}")
def check_some(context, count, zone):
    found = context.bench.send(count)
    assert any(name.startswith(zone) for name in found), found


@behave.then("upstreams: new requests are still sent")
def check_sent(context):
    assert sum(context.bench.send(4).values()) == 4


@behave.then("upstreams: {count:d} new requests avoid {name}")
def check_avoided(context, count, name):
    found = context.bench.send(count)
    assert name not in found, found


@behave.then("upstreams: no upstream is avoided")
def check_none_avoided(context):
    found = context.bench.send(40)
    assert len(found) == len(context.bench.by_name), found


@behave.then(
    "upstreams: requests for one of {count:d} prefixes go to one engine"
)
def check_one_engine(context, count):
    context.engines = []
    for number in range(count):
        engines = {
            context.bench.choose_engine(f"subject-{number}") for _ in range(5)
        }
        assert len(engines) == 1, engines
        context.engines += engines


@behave.then("upstreams: the prefixes are spread over all engines")
def check_spread(context):
    found = collections.Counter(context.engines)
    assert len(found) == len(context.bench.by_name), found
    assert max(found.values()) <= 3 * min(found.values()), found


@behave.then("upstreams: requests for that prefix go to another engine")
def check_another_engine(context):
    engine = context.bench.choose_engine("subject")
    assert engine != context.prefix_engine, engine


@behave.then("upstreams: a call is not refused for silence")
def check_not_refused(context):
    assert context.bench.upstreams.find_retry_wait("s") == 0.0


@behave.then(
    "upstreams: a call is refused with a Retry-After of at most {seconds:g} "
    "seconds"
)
def check_refused(context, seconds):
    wait = context.bench.upstreams.find_retry_wait("s")
    assert 0.0 < wait <= seconds, wait
