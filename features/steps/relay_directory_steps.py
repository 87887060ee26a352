"""Steps on upstream directories and configurations, without a network."""

import json
import types

import behave

from buckthornhold import configurations
from buckthornhold import engine_speeds
from buckthornhold import logs
from buckthornhold import relay_upstreams
from buckthornhold import routes
from buckthornhold import stores
from buckthornhold import upstream_directories
from buckthornhold.coordination import broadcasts
from buckthornhold.scheduling import placements

PREFIX = "servers/"
RETURN_SECONDS = 2.0


def decode(name, text):
    values = json.loads(text)
    if values is None:
        raise ValueError("no entry")
    return upstream_directories.UpstreamRecord(
        name=name, service="s", address="", zone="a", **values
    )


class DirectoryBench:
    """A store's entries, and the directory that they are applied to."""

    def __init__(self, **options):
        self.now = 50.0
        self.revision = 10
        self.values = {}
        self.first_versions = {}
        self.directory = upstream_directories.UpstreamDirectory(
            prefix=PREFIX,
            decode=decode,
            return_seconds=RETURN_SECONDS,
            logger=logs.bind(host="h", zone="a"),
            clock=lambda: self.now,
            **options,
        )

    def make_entry(self, name, values):
        self.revision += 1
        entry = stores.Entry(
            key=PREFIX + name,
            value=json.dumps(values),
            version=self.revision,
        )
        self.values[name] = entry
        self.first_versions.setdefault(name, entry.version)
        return entry

    def write(self, name, values):
        entry = self.make_entry(name, values)
        self.directory.apply_change(
            stores.Change(revision=self.revision, entries=(entry,))
        )

    def remove(self, name):
        self.revision += 1
        del self.values[name]
        self.directory.apply_change(
            stores.Change(
                revision=self.revision, entries=(), deleted=(PREFIX + name,)
            )
        )

    def apply_snapshot(self):
        self.directory.apply_snapshot(
            stores.Change(
                revision=self.revision, entries=tuple(self.values.values())
            )
        )

    def find_usable(self):
        records = self.directory.list_records()
        return sorted(record.name for record in records if not record.leaving)


@behave.given("directory: upstreams a and b are listed")
def list_two(context):
    context.bench = DirectoryBench()
    for name in ("a", "b"):
        context.bench.make_entry(name, {})
    context.bench.apply_snapshot()


@behave.when("directory: {name:w} announces that it leaves")
def announce_leaving(context, name):
    context.bench.write(name, {"leaving": True})


@behave.when("directory: the entry of {name:w} is removed")
def remove(context, name):
    context.bench.remove(name)


@behave.when(
    "directory: the store fails for {seconds:g} seconds and recovers without "
    "{name:w}"
)
def interrupt_store(context, seconds, name):
    bench = context.bench
    bench.directory.set_store_reached(False)
    bench.now += seconds
    del bench.values[name]
    bench.revision += 1
    bench.directory.set_store_reached(True)
    bench.apply_snapshot()


@behave.when("directory: {seconds:g} seconds pass")
def pass_time(context, seconds):
    context.bench.now += seconds


@behave.when(
    "directory: {seconds:g} seconds pass and {name:w} is listed again"
)
def list_again(context, seconds, name):
    context.bench.now += seconds
    context.bench.write(name, {})


@behave.when("directory: {name:w} restarts under its name")
def restart(context, name):
    context.bench.write(name, {"started_at": 7})


@behave.when("directory: an older entry of {name:w} arrives")
def apply_older_entry(context, name):
    entry = stores.Entry(key=PREFIX + name, value="{}", version=3)
    context.bench.directory.apply_change(
        stores.Change(revision=context.bench.revision, entries=(entry,))
    )


@behave.when("directory: the entry of {name:w} is invalid")
def write_invalid_entry(context, name):
    context.bench.write(name, None)


def apply_document(bench, entries):
    """Apply another host's document with these entries."""
    applied = []

    class TopicRecorder:
        def add_topic(self, name, *, read, read_version, apply, should_pull):
            applied.append(apply)

    bench.directory.register_topic(TopicRecorder())
    body = {
        name: [entry.version, entry.value] for name, entry in entries.items()
    }
    applied[0](
        broadcasts.Document(
            topic=upstream_directories.TOPIC,
            version=bench.revision,
            body=json.dumps(body),
        )
    )


@behave.when(
    "directory: another host has the document without {lost:w} and with "
    "{found:w}"
)
def apply_peer_document(context, lost, found):
    bench = context.bench
    bench.directory.set_store_reached(False)
    bench.now += 10
    del bench.values[lost]
    bench.make_entry(found, {})
    apply_document(bench, bench.values)


@behave.when(
    "directory: another host has a newer document that still lists {name:w}"
)
def apply_stale_document(context, name):
    bench = context.bench
    bench.make_entry("b", {})
    stale = stores.Entry(
        key=PREFIX + name, value="{}", version=bench.first_versions[name]
    )
    apply_document(bench, {**bench.values, name: stale})


@behave.then("directory: only {name:w} may be used")
def check_only(context, name):
    assert context.bench.find_usable() == [name], context.bench.find_usable()


@behave.then("directory: {first:w} and {second:w} may be used")
def check_both(context, first, second):
    assert context.bench.find_usable() == [first, second], (
        context.bench.find_usable()
    )


@behave.given("directory: a configuration of version {version:d} is active")
def make_configuration(context, version):
    context.configuration = configurations.ActiveConfiguration(
        key="k",
        decode=lambda text: routes.Configuration(version=int(text)),
        logger=logs.bind(host="h", zone="a"),
    )
    context.configuration.apply(str(version), origin="store")


@behave.when("directory: versions {versions} arrive")
def apply_versions(context, versions):
    for version in versions.split(","):
        context.configuration.apply(version.strip(), origin="store")


@behave.when("directory: an invalid configuration arrives")
def apply_invalid_configuration(context):
    context.configuration.apply("{", origin="store")


@behave.then("directory: version {version:d} is active")
def check_version(context, version):
    assert context.configuration.version == version


@behave.when("directory: the store sent an entry of {name:w}")
def send_entry(context, name):
    context.bench.write(name, {})


@behave.when("directory: the store sent nothing for {seconds:g} s")
def send_nothing(context, seconds):
    context.bench.now += seconds


@behave.when("directory: the store is unreachable")
def make_unreachable(context):
    context.bench.directory.set_store_reached(False)


@behave.then("directory: the peers are {asked}")
def check_asked(context, asked):
    needed = context.bench.directory.should_ask_peers
    assert needed is (asked == "asked"), needed


@behave.given(
    "directory: a fleet of {hosts:d} hosts, and {count:d} upstreams that write"
)
def use_fleet(context, hosts, count):
    context.hosts = hosts
    context.write_interval = 1.0 / count
    context.bench = DirectoryBench(count_hosts=lambda: hosts)


@behave.when("directory: {seconds:g} seconds pass at one of its hosts")
def watch(context, seconds):
    """Simulate a prefix watcher: wait for the batch, watch for a change."""
    bench = context.bench
    started_at = bench.now
    context.calls = 0
    context.lags = []
    context.peer_queries = 0
    while bench.now < started_at + seconds:
        batch_seconds = bench.directory.batch_seconds
        context.lags.append(batch_seconds + context.write_interval)
        bench.now += batch_seconds + context.write_interval
        context.peer_queries += context.calls and int(
            bench.directory.should_ask_peers
        )
        context.calls += 1
        bench.write("a", {"leaving": False})
    context.seconds = bench.now - started_at


@behave.then(
    "directory: all hosts together make at most {calls:g} calls a second"
)
def check_calls(context, calls):
    call_rate = context.calls / context.seconds * context.hosts
    assert call_rate <= calls, call_rate


@behave.then(
    "directory: an upstream that leaves is seen within {seconds:g} seconds"
)
def check_lag(context, seconds):
    assert max(context.lags) <= seconds, max(context.lags)


@behave.then("directory: no peer is asked")
def check_no_queries(context):
    assert context.peer_queries == 0


@behave.then("directory: an index by service lists what the directory lists")
def check_index(context):
    bench = DirectoryBench()
    host = types.SimpleNamespace(
        logger=logs.bind(host="h", zone="a"),
        directory=bench.directory,
        summaries=types.SimpleNamespace(
            add_source=lambda fill: None, publish=lambda: None
        ),
        engine_speeds=engine_speeds.EngineSpeeds(),
        placements=placements.Placements(evacuated=()),
    )
    upstreams = relay_upstreams.RelayUpstreams(host=host)

    def list_names():
        return [it.name for it in upstreams.list_service("s")]

    for name in ("a", "b", "c"):
        bench.write(name, {})
    assert list_names() == ["a", "b", "c"]
    bench.write("a", {"leaving": True})
    assert list_names() == ["b", "c"]
    bench.directory.set_store_reached(True)
    bench.revision += 1
    bench.directory.apply_change(
        stores.Change(
            revision=bench.revision, entries=(), deleted=(PREFIX + "b",)
        )
    )
    assert list_names() == ["b", "c"]
    bench.now += RETURN_SECONDS + 0.1
    assert list_names() == ["c"]
