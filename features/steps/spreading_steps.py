"""Steps for the propagation of revisions over a fleet of processes."""

import concurrent.futures
import itertools
import json
import re
import time

import behave

from buckthornhold.coordination import revisions
from features import environment
from testbed import change_histories
from testbed import machines

OPTIONS = {
    "zones": ("zone-a", "zone-b"),
    "entries_per_zone": 3,
    "engines_per_zone": 0,
    "services_per_zone": 0,
    "relays": True,
}
RATES = itertools.count(10)
ADOPTED = re.compile(r"rules revision (\d+) is in force")


@behave.given("spreading on a running fleet")
def use_spreading_fleet(context):
    environment.use_shared_fleet(context, **OPTIONS)
    context.paused = []
    for entry in context.fleet.entries:
        machines.wait_until(entry.is_ready, what=f"{entry.name} is ready")


def read_rules(entry):
    return entry.operate("GET", "/rules").json()


def change_rule(entry, workspace, rate):
    """Set one workspace's rate on top of the host's current rules."""
    held = read_rules(entry)
    lines = [
        line
        for line in held["text"].splitlines()
        if f"workspace={workspace} " not in line
    ]
    lines.append(f"limit workspace={workspace} rate={rate}/s  # asked by: ann")
    body = {"text": "\n".join(lines) + "\n", "base": held["revision"]}
    return entry.operate("PUT", "/rules", body)


def list_zone(context, number):
    zone = context.fleet.zones[number]
    return [entry for entry in context.fleet.entries if entry.zone == zone]


@behave.when(
    "spreading: operators make {count:d} changes through different hosts"
)
def make_changes(context, count):
    hosts = list_zone(context, 0)
    for number in range(count):
        rate = next(RATES)
        reply = change_rule(hosts[number % len(hosts)], f"desk-{rate}", rate)
        assert reply.status == 200, reply
        context.number = reply.json()["revision"]
        context.rule = f"workspace=desk-{rate} rate={rate}/s"


def wait_in_force(entries, rules, seconds):
    started = time.monotonic()
    for entry in entries:
        machines.wait_until(
            lambda entry=entry: all(
                rule in read_rules(entry)["text"] for rule in rules
            ),
            timeout=max(0.1, seconds - (time.monotonic() - started)),
            what=f"{rules} in force on {entry.name}",
        )


@behave.then(
    "spreading: within {seconds:d} seconds it is in force on all hosts"
)
def check_in_force(context, seconds):
    wait_in_force(context.fleet.entries, [context.rule], seconds)


@behave.then(
    "spreading: within {seconds:d} seconds it is in force on the running hosts"
)
def check_in_force_running(context, seconds):
    running = [
        entry for entry in context.fleet.entries if entry not in context.paused
    ]
    wait_in_force(running, [context.rule], seconds)


def list_watchers(context, number):
    return [
        entry
        for entry in list_zone(context, number)
        if "rules" in entry.operate("GET", "/members").json()["watches"]
    ]


@behave.then(
    "spreading: each zone has {count:d} watchers and the other hosts none"
)
def check_watchers(context, count):
    for number in range(len(context.fleet.zones)):
        machines.wait_until(
            lambda number=number: len(list_watchers(context, number)) == count,
            what=f"zone {number} has {count} watchers",
        )


@behave.when("spreading: zone {number:d} is cut off from the platform alone")
def cut_platform(context, number):
    context.fleet.cut((context.fleet.zones[number], "platform"))


@behave.when("spreading: zone {number:d} is cut off")
def cut_zone(context, number):
    context.fleet.cut_off(context.fleet.zones[number])


@behave.when("spreading: the store is slow and zone {number:d} is cut off")
def slow_and_cut(context, number):
    context.fleet.platform.set_faults(slow=0.5)
    cut_zone(context, number)


@behave.when("spreading: the cut is healed")
def heal(context):
    context.fleet.heal()


@behave.then("spreading: zone {number:d} is ready with the previous rules")
def check_ready_before(context, number):
    for entry in list_zone(context, number):
        assert entry.is_ready(), entry.name
        assert context.rule not in read_rules(entry)["text"]


@behave.when(
    "spreading: the first host of zone {number:d} is killed and started again"
)
def restart_host(context, number):
    context.fresh = list_zone(context, number)[0]
    context.fresh.kill()
    context.fleet.start_entry(context.fresh)


@behave.then("spreading: that host is ready with the rules of its peers")
def check_fresh(context):
    machines.wait_until(context.fresh.is_ready, what="the host is ready")
    peer = list_zone(context, 1)[1]
    assert read_rules(context.fresh) == read_rules(peer)


@behave.when(
    "spreading: the first host of zone {number:d} is paused during a change"
)
def pause_during_change(context, number):
    entry = list_zone(context, number)[0]
    entry.freeze()
    time.sleep(1.5)
    make_changes(context, 1)
    context.seen = []
    entry.thaw()
    give_up_at = time.monotonic() + 9
    while context.number not in context.seen:
        assert time.monotonic() < give_up_at, context.seen
        if entry.is_ready():
            context.seen.append(read_rules(entry)["revision"])


@behave.then("spreading: it is never ready with older rules")
def check_never_older(context):
    assert set(context.seen) == {context.number}, context.seen


@behave.when("spreading: the watchers of zone {number:d} are paused")
def pause_watchers(context, number):
    context.paused = list_watchers(context, number)
    assert len(context.paused) == 2
    for entry in context.paused:
        entry.freeze()


@behave.when("spreading: the paused hosts resume")
def thaw_paused(context):
    for entry in context.paused:
        entry.thaw()


@behave.when("spreading: the store is down and zone {number:d} is cut off")
def break_both(context, number):
    context.fleet.platform.set_faults(store_down=True)
    context.fleet.cut_off(context.fleet.zones[number])


@behave.when("spreading: two operators on both sides make a change")
@behave.when("spreading: both operators make their changes at once")
def change_both(context):
    hosts = [list_zone(context, 0)[0], list_zone(context, 1)[0]]
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        context.replies = list(
            pool.map(change_rule, hosts, ["desk", "tower"], [31, 32])
        )
    context.seconds = time.monotonic() - started


@behave.then("spreading: both are refused at once as not run")
def check_refused(context):
    for reply in context.replies:
        assert reply.status == 503, reply
        error = reply.json()["error"]
        assert error["ran"] == "no", error
        assert error["reason"] == "store_unavailable", error
    assert context.seconds < 3, context.seconds


@behave.when("spreading: the store is up and the cut is healed")
def restore_both(context):
    context.fleet.platform.set_faults(store_down=False)
    context.fleet.heal()


@behave.then(
    "spreading: both changes are in force on all hosts in {seconds:d} seconds"
)
def check_both_in_force(context, seconds):
    assert [reply.status for reply in context.replies] == [200, 200], (
        context.replies
    )
    rules = ["workspace=desk rate=31/s", "workspace=tower rate=32/s"]
    wait_in_force(context.fleet.entries, rules, seconds)


@behave.when(
    "spreading: the store is saved, {count:d} changes are made and it is "
    "restored"
)
def restore_older(context, count):
    address = context.fleet.platform.address
    saved = machines.call("GET", address, "/dump").json()
    make_changes(context, count)
    machines.call("POST", address, "/restore", saved)


@behave.then("spreading: the store eventually holds the newest change again")
def check_store(context):
    def read_number():
        entry = context.fleet.platform.get("/kv/rules/current")
        return revisions.load_revision(entry["value"]).number

    machines.wait_until(
        lambda: read_number() >= context.number,
        what="the store is repaired",
    )


@behave.then("spreading: no host's revision ever fell")
def check_never_fell(context):
    events = [
        {
            "kind": "adopted",
            "host": f"{entry.name} {run}",
            "number": int(number),
            "change_id": "",
        }
        for entry in context.fleet.entries
        for run, log in enumerate(entry.log.split('"starting"'))
        for number in ADOPTED.findall(log)
    ]
    assert len(events) > len(context.fleet.entries)
    events.append({"kind": "final", "text": ""})
    lines = [json.dumps(event) for event in events]
    assert change_histories.check_history(lines) == []
