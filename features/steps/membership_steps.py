"""Steps on membership in running fleets with faults."""

import time

import behave

from features import environment
from testbed import machines

OPTIONS = {
    "entries_per_zone": 2,
    "engines_per_zone": 0,
    "services_per_zone": 0,
    "relays": True,
}


@behave.given("membership on a running fleet")
def use_members_fleet(context):
    environment.use_shared_fleet(context, **OPTIONS)
    fleet = context.fleet
    for entry in fleet.entries:
        if not entry.running:
            fleet.start_entry(entry)
    fleet.wait_ready()
    wait_for_all(fleet)
    context.marks = {host.name: len(host.log) for host in fleet.entries}
    context.before = {
        host.name: fetch_members(host)["own"]["incarnation"]
        for host in fleet.entries
    }


@behave.given("membership on a fleet whose platform lists no hosts")
def use_unlisted_fleet(context):
    fleet = environment.use_fresh_fleet(
        context, apply_rules=False, **{**OPTIONS, "relays": False}
    )
    for entry in fleet.entries:
        entry.kill()
        fleet.unlist_host(entry)
    time.sleep(1.5)
    for entry in fleet.entries:
        fleet.start_entry(entry)


def fetch_members(entry):
    return entry.operate("GET", "/members").json()


def fetch_states(entry):
    reply = entry.operate("GET", "/members")
    if reply.status != 200:
        return {}
    return {member["host"]: member for member in reply.json()["members"]}


def list_running(fleet):
    return [entry for entry in fleet.entries if entry.running]


def wait_for_all(fleet, ready=True):
    wanted = ("ready",) if ready else ("ready", "joining")

    def check():
        for entry in fleet.entries:
            states = fetch_states(entry)
            if len(states) < len(fleet.entries) - 1:
                return False
            for member in states.values():
                if member["state"] not in wanted or member["doubt"] != "none":
                    return False
        return True

    machines.wait_until(check, what="all hosts know each other")


def wait_for_view(context, number, matches, what):
    target = context.fleet.entries[number]

    def check():
        for entry in list_running(context.fleet):
            if entry is target or entry is context.__dict__.get("paused"):
                continue
            seen = fetch_states(entry).get(target.name)
            if seen is None or not matches(seen):
                return False
        return True

    machines.wait_until(check, what=what)


@behave.then("membership: every host knows all others as present")
def check_all_known(context):
    wait_for_all(context.fleet, ready=False)


@behave.when("membership: host {number:d} is killed")
def kill_host(context, number):
    context.fleet.entries[number].kill()


@behave.when("membership: host {number:d} is started again")
def start_host(context, number):
    context.fleet.start_entry(context.fleet.entries[number])


@behave.when("membership: host {number:d} is paused")
def pause_host(context, number):
    context.fleet.entries[number].freeze()
    context.paused = context.fleet.entries[number]


@behave.when("membership: host {number:d} resumes")
def resume_host(context, number):
    context.fleet.entries[number].thaw()
    context.paused = None


@behave.when("membership: host {number:d} is terminated")
def stop_host(context, number):
    context.fleet.entries[number].terminate()
    context.fleet.entries[number].wait()


@behave.then('membership: every host sees host {number:d} as "{state}"')
def check_state(context, number, state):
    wait_for_view(
        context,
        number,
        lambda member: member["state"] == state,
        f"{number} {state}",
    )


@behave.then('membership: every host doubts host {number:d} as "{doubt}"')
def check_doubt(context, number, doubt):
    wait_for_view(
        context,
        number,
        lambda member: member["doubt"] == doubt,
        f"{number} {doubt}",
    )


@behave.then("membership: host {number:d} has a newer incarnation than before")
def check_newer(context, number):
    entry = context.fleet.entries[number]
    now = fetch_members(entry)["own"]["incarnation"]
    assert now > context.before[entry.name], now


@behave.then("membership: host {number:d} has the same incarnation as before")
def check_same(context, number):
    entry = context.fleet.entries[number]
    now = fetch_members(entry)["own"]["incarnation"]
    assert now == context.before[entry.name], now


@behave.then(
    "membership: host {number:d} has counted {count:d} pause and doubts no "
    "host"
)
def check_pauses(context, number, count):
    entry = context.fleet.entries[number]
    totals = entry.operate("GET", "/counters").json()
    assert totals["events.hosts.paused"] == count, totals
    doubts = {member["doubt"] for member in fetch_members(entry)["members"]}
    assert doubts == {"none"}, doubts


def read_new_log(context, entry):
    return entry.log[context.marks[entry.name] :]


def list_member_lines(context, number):
    """Return the other hosts' log lines about a host's membership."""
    name = context.fleet.entries[number].name
    return [
        line
        for entry in context.fleet.entries
        for line in read_new_log(context, entry).splitlines()
        if f'"peer": "{name}"' in line and '"step": "members"' in line
    ]


@behave.then("membership: no host has ever seen host {number:d} gone")
def check_never_gone(context, number):
    gone = [
        line
        for line in list_member_lines(context, number)
        if "is gone" in line
    ]
    assert not gone, gone


@behave.then("membership: no host doubted host {number:d}")
def check_never_doubted(context, number):
    doubted = [
        line
        for line in list_member_lines(context, number)
        if "doubt none" not in line
    ]
    assert not doubted, doubted


@behave.when("membership: host {number:d} is removed from the platform's list")
def unlist_host(context, number):
    context.fleet.unlist_host(context.fleet.entries[number])


@behave.then(
    "membership: {seconds:d} seconds later every host sees host {number:d} "
    'as "{state}"'
)
def check_state_later(context, seconds, number, state):
    time.sleep(seconds)
    check_state(context, number, state)
    check_never_gone(context, number)


@behave.when(
    "membership: a host that does not run is added to the platform's list"
)
def list_stopped_host(context):
    entry = context.fleet.entries[0]
    ip = f"{entry.ip.rpartition('.')[0]}.250"
    context.fleet.list_host(
        {
            "host": "ghost",
            "kind": "entry",
            "zone": entry.zone,
            "host_class": "reclaimable",
            "address": f"{ip}:7001",
            "peer_address": f"{ip}:7003",
            "incarnation": 1,
        }
    )


@behave.then("membership: no host knows the host that does not run")
def check_not_known(context):
    for entry in context.fleet.entries:
        assert "ghost" not in fetch_states(entry), fetch_states(entry)
        status = entry.operate("GET", "/status").json()
        assert status["ready"], status


@behave.when("membership: zone {number:d} is cut off")
def cut_zone(context, number):
    context.cut_zone = context.fleet.zones[number]
    context.fleet.cut_off(context.cut_zone)


@behave.when(
    "membership: zones {first:d} and {second:d} are cut off from each other"
)
def cut_pair(context, first, second):
    zones = context.fleet.zones
    context.fleet.cut((zones[first], zones[second]))


@behave.when("membership: zone {source:d} cannot send to zone {target:d}")
def cut_one_way(context, source, target):
    zones = context.fleet.zones
    context.fleet.cut_one_way(zones[source], zones[target])


@behave.when("membership: the cut is healed")
def heal_cut(context):
    context.fleet.heal()


@behave.then('membership: the hosts on each side see the others as "{state}"')
def check_sides(context, state):
    running = list_running(context.fleet)

    def check():
        for entry in running:
            states = fetch_states(entry)
            for other in running:
                apart = context.cut_zone in (entry.zone, other.zone)
                if not apart or entry.zone == other.zone:
                    continue
                if states[other.name]["state"] != state:
                    return False
        return True

    machines.wait_until(check, what=f"others are {state}")
