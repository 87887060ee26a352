"""Steps for malformed entries that another writer left in the store."""

import asyncio
import base64
import json

import behave

NESTING_DEPTH = 100_000
NESTED_JSON = "[" * NESTING_DEPTH + "]" * NESTING_DEPTH
#: Time after which hosts have read a written entry.
READ_WAIT_SECONDS = 1.0
UNUSED_ADDRESS = "127.0.0.1:9"
#: Field and JSON value by which a malformed entry differs from a valid one.
INVALID_FIELDS = {
    "a service in deep nesting": ("service", NESTED_JSON),
    "port 70000": ("address", '"127.0.0.1:70000"'),
    "port -1": ("address", '"127.0.0.1:-1"'),
    "port 0": ("address", '"127.0.0.1:0"'),
    "port http": ("address", '"127.0.0.1:http"'),
    "no port": ("address", '"127.0.0.1"'),
    "an empty address": ("address", '""'),
    "a name for an address": ("address", '"orders.example:80"'),
    "10**400 slots": ("slots", str(10**400)),
    "10**30 slots": ("slots", str(10**30)),
    "-1 slots": ("slots", "-1"),
    "0 slots": ("slots", "0"),
    "a start at 10**40": ("born", str(10**40)),
    "a start at -5": ("born", "-5"),
    "an endless warm-up": ("coldRemainingMs", "1e999"),
    "a warm-up of -1": ("coldRemainingMs", "-1"),
    "an endless notice": ("leaves_ms", "1e999"),
}


def make_text(fault):
    """Return an upstream's entry as JSON with one invalid field."""
    if fault == "deep nesting":
        return NESTED_JSON
    fields = {
        "service": '"orders"',
        "address": json.dumps(UNUSED_ADDRESS),
        "zone": '"a"',
        "version": '"v1"',
        "slots": "8",
        "state": '"ready"',
        "coldRemainingMs": "0",
        "sequence": "1",
    }
    name, value = INVALID_FIELDS[fault]
    fields[name] = value
    pairs = [f'"{key}": {value}' for key, value in fields.items()]
    return "{" + ", ".join(pairs) + "}"


def make_value(fault):
    if fault == "bytes that are no text":
        return base64.b64encode(b"\xff\xfe\x00{").decode()
    if fault == "a value that is no base64":
        return "%%%"
    if fault == "a value that is no string":
        return 17
    return base64.b64encode(make_text(fault).encode()).decode()


@behave.when("wire: another writer lists an upstream with {fault}")
def list_malformed(context, fault):
    context.fleet.store._put("servers/odd", make_value(fault), 0)
    context.fleet.list_worker("plain-2")
    context.fleet.run(asyncio.sleep(READ_WAIT_SECONDS))


@behave.then(
    "wire: the host knows the {count:d} upstreams that can be used and no "
    "other"
)
def check_known(context, count):
    host = context.fleet.hosts[0]
    names = {record.name for record in host.directory.list_records()}
    assert names == set(context.fleet.workers), names
    assert len(names) == count


@behave.then("wire: {count:d} requests to {path} are served")
def check_served(context, count, path):
    fleet = context.fleet

    async def run():
        return [
            (await fleet.send(path, host=number % len(fleet.hosts))).status
            for number in range(count)
        ]

    statuses = fleet.run(run())
    assert statuses == [200] * count, statuses


@behave.when("wire: another writer leaves {fault} at {key}")
def write_malformed(context, fault, key):
    text = NESTED_JSON if fault == "deep nesting" else "17"
    value = base64.b64encode(text.encode()).decode()
    context.fleet.store._put(key, value, 0)


@behave.when("wire: all hosts are killed and start again")
def restart(context):
    context.fleet.run(context.fleet.restart_hosts())


@behave.then("wire: no task of a host has failed")
def check_no_errors(context):
    for host in context.fleet.hosts:
        counted = host.counters.totals["events.tasks.errors"]
        assert counted == 0, counted
