"""Steps on what a relay host learns from the store and from others."""

import json

import behave

from buckthornhold import configurations
from buckthornhold import logs
from buckthornhold import routes
from buckthornhold import stores
from buckthornhold import upstream_directories
from buckthornhold.coordination import broadcasts

PREFIX = "servers/"
RETURN_SECONDS = 2.0


def decode(name, text):
    values = json.loads(text)
    if values is None:
        raise ValueError("no entry")
    return upstream_directories.UpstreamRecord(
        name=name, service="s", address="", zone="a", **values
    )


class Listing:
    """A store's entries, and the directory that is told of them."""

    def __init__(self, **options):
        self.now = 50.0
        self.revision = 10
        self.values = {}
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

    def list_all(self):
        self.directory.apply_snapshot(
            stores.Change(
                revision=self.revision, entries=tuple(self.values.values())
            )
        )

    def find_usable(self):
        records = self.directory.list_records()
        return sorted(it.name for it in records if not it.leaving)


@behave.given("directory: upstreams a and b are listed")
def list_two(context):
    context.listing = Listing()
    for name in ("a", "b"):
        context.listing.make_entry(name, {})
    context.listing.list_all()


@behave.when("directory: {name:w} says that it leaves")
def say_leaving(context, name):
    context.listing.write(name, {"leaving": True})


@behave.when("directory: the entry of {name:w} is removed")
def remove(context, name):
    context.listing.remove(name)


@behave.when(
    "directory: the store goes away for {seconds:g} seconds and comes back "
    "without {name:w}"
)
def lose_store(context, seconds, name):
    listing = context.listing
    listing.directory.set_store_reached(False)
    listing.now += seconds
    del listing.values[name]
    listing.revision += 1
    listing.directory.set_store_reached(True)
    listing.list_all()


@behave.when("directory: {seconds:g} seconds pass")
def pass_time(context, seconds):
    context.listing.now += seconds


@behave.when(
    "directory: {seconds:g} seconds pass and {name:w} is listed again"
)
def list_again(context, seconds, name):
    context.listing.now += seconds
    context.listing.write(name, {})


@behave.when("directory: {name:w} starts again under its name")
def start_again(context, name):
    context.listing.write(name, {"started_at": 7})


@behave.when("directory: an older entry of {name:w} arrives")
def take_older(context, name):
    entry = stores.Entry(key=PREFIX + name, value="{}", version=3)
    context.listing.directory.apply_change(
        stores.Change(revision=context.listing.revision, entries=(entry,))
    )


@behave.when("directory: the entry of {name:w} can't be read")
def write_unreadable(context, name):
    context.listing.write(name, None)


@behave.when(
    "directory: another host has the document without {lost:w} and with "
    "{found:w}"
)
def take_document(context, lost, found):
    listing = context.listing
    listing.directory.set_store_reached(False)
    listing.now += 10
    del listing.values[lost]
    listing.make_entry(found, {})
    body = {
        name: [entry.version, entry.value]
        for name, entry in listing.values.items()
    }
    carried = []

    class Carried:
        def add_topic(self, name, *, read, read_version, apply, should_pull):
            carried.append(apply)

    listing.directory.register_topic(Carried())
    carried[0](
        broadcasts.Document(
            topic=upstream_directories.TOPIC,
            version=listing.revision,
            body=json.dumps(body),
        )
    )


@behave.then("directory: only {name:w} may be sent to")
def check_only(context, name):
    assert context.listing.find_usable() == [name], (
        context.listing.find_usable()
    )


@behave.then("directory: {first:w} and {second:w} may be sent to")
def check_both(context, first, second):
    assert context.listing.find_usable() == [first, second], (
        context.listing.find_usable()
    )


@behave.given("directory: a configuration of version {version:d} is in force")
def make_configurations(context, version):
    context.configurations = configurations.ActiveConfiguration(
        key="k",
        decode=lambda text: routes.Configuration(version=int(text)),
        logger=logs.bind(host="h", zone="a"),
    )
    context.configurations.apply(str(version), origin="store")


@behave.when("directory: versions {versions} arrive")
def take_versions(context, versions):
    for version in versions.split(","):
        context.configurations.apply(version.strip(), origin="store")


@behave.when("directory: a configuration arrives that can't be read")
def take_unreadable(context):
    context.configurations.apply("{", origin="store")


@behave.then("directory: version {version:d} is in force")
def check_version(context, version):
    assert context.configurations.version == version


@behave.when("directory: the store told of {name:w} just now")
def tell_now(context, name):
    context.listing.write(name, {})


@behave.when("directory: the store was quiet for {seconds:g} s")
def stay_quiet(context, seconds):
    context.listing.now += seconds


@behave.when("directory: the store turns this host away")
def turn_away(context):
    context.listing.directory.set_store_reached(False)


@behave.then("directory: the others are {asked}")
def check_asked(context, asked):
    needed = context.listing.directory.should_ask_peers
    assert needed is (asked == "asked"), needed


@behave.given(
    "directory: a fleet of {hosts:d} hosts, and {count:d} upstreams that write"
)
def use_fleet(context, hosts, count):
    context.hosts = hosts
    context.pause = 1.0 / count
    context.listing = Listing(count_hosts=lambda: hosts)


@behave.when("directory: {seconds:g} seconds pass at one of its hosts")
def follow(context, seconds):
    """Ask as a follower does: some time after the last news, until more."""
    listing = context.listing
    begun = listing.now
    context.calls = 0
    context.lags = []
    context.asked_others = 0
    while listing.now < begun + seconds:
        pause = listing.directory.batch_seconds
        context.lags.append(pause + context.pause)
        listing.now += pause + context.pause
        context.asked_others += context.calls and int(
            listing.directory.should_ask_peers
        )
        context.calls += 1
        listing.write("a", {"leaving": False})
    context.seconds = listing.now - begun


@behave.then(
    "directory: all hosts together ask at most {calls:g} times a second"
)
def check_calls(context, calls):
    asked = context.calls / context.seconds * context.hosts
    assert asked <= calls, asked


@behave.then(
    "directory: an upstream that leaves is seen within {seconds:g} seconds"
)
def check_lag(context, seconds):
    assert max(context.lags) <= seconds, max(context.lags)


@behave.then("directory: no other host is asked")
def check_not_asked(context):
    assert context.asked_others == 0
