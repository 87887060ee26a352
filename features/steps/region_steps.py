"""Steps for two regions with a network partition between them."""

import itertools
import re
import time

import behave

from features import environment
from testbed import machines

ADOPTED = re.compile(r"rules revision (\d+) is in force")
RATES = itertools.count(100)


@behave.given("regions of {first:d} and {second:d} zones on a running fleet")
def use_regions(context, first, second):
    names = tuple(f"zone-{number}" for number in range(first + second))
    environment.use_shared_fleet(context, zones=names, relays=True)
    context.regions = [
        [host for host in context.fleet.entries if host.zone in names[:first]],
        [host for host in context.fleet.entries if host.zone in names[first:]],
    ]
    for entry in context.fleet.entries:
        machines.wait_until(entry.is_ready, what=f"{entry.name} is ready")
    wait_for_peers(context, 30.0)


def read_rules(entry):
    return entry.operate("GET", "/rules").json()


def propose(entry, rate):
    """Propose a rule on top of the host's current rules."""
    held = read_rules(entry)
    line = f"limit workspace=desk-{rate} rate={rate}/s  # asked by: ann"
    body = {
        "text": f"{held['text'].rstrip()}\n{line}\n",
        "base": held["revision"],
    }
    return entry.operate("PUT", "/rules", body), line.partition("  #")[0]


def wait_in_force(entries, rule, seconds):
    give_up_at = time.monotonic() + seconds
    for entry in entries:
        machines.wait_until(
            lambda entry=entry: rule in read_rules(entry)["text"],
            timeout=max(0.1, give_up_at - time.monotonic()),
            what=f"{rule} in force on {entry.name}",
        )


def list_states(entry):
    """Return the state of each other host as one host sees it."""
    members = entry.operate("GET", "/members").json()["members"]
    return {
        member["host"]: (
            member["state"] if member["doubt"] == "none" else member["doubt"]
        )
        for member in members
        if member["state"] != "gone"
    }


def wait_for_peers(context, seconds):
    give_up_at = time.monotonic() + seconds
    for entry in context.fleet.entries:
        others = [
            other.name for other in context.fleet.entries if other is not entry
        ]
        wanted = dict.fromkeys(others, "ready")
        machines.wait_until(
            lambda entry=entry, wanted=wanted: list_states(entry) == wanted,
            timeout=max(0.1, give_up_at - time.monotonic()),
            what=f"{entry.name} considers all others ready",
        )


def list_pairs(context):
    first, second = context.regions
    return list(
        itertools.product(
            sorted({entry.zone for entry in first}),
            sorted({entry.zone for entry in second}),
        )
    )


@behave.when("regions: they are partitioned")
def cut_regions(context):
    zones = sorted({entry.zone for entry in context.regions[1]})
    platform = [(zone, "platform") for zone in zones]
    context.fleet.cut(*list_pairs(context), *platform)


@behave.when("regions: they are partitioned, and both reach the platform")
def cut_regions_only(context):
    context.fleet.cut(*list_pairs(context))


@behave.when("regions: an operator in the first region changes a rule")
def change_first(context):
    reply, context.rule = propose(context.regions[0][0], next(RATES))
    assert reply.status == 200, reply


@behave.when("regions: an operator in the second region proposes a rule")
def change_second(context):
    context.refused, context.unaccepted = propose(
        context.regions[1][0], next(RATES)
    )


@behave.then('regions: it is refused as "{reason}" and in force nowhere')
def check_refused(context, reason):
    assert context.refused.json()["error"]["reason"] == reason, context.refused
    for entry in context.fleet.entries:
        assert context.unaccepted not in read_rules(entry)["text"], entry.name


@behave.then("regions: within {seconds:d} seconds it is in force in {where}")
def check_in_force(context, seconds, where):
    entries = context.fleet.entries
    if where == "the first region":
        entries = context.regions[0]
    wait_in_force(entries, context.rule, seconds)


@behave.then(
    "regions: within {seconds:d} seconds each region considers the other's "
    "hosts gone"
)
def check_gone(context, seconds):
    give_up_at = time.monotonic() + seconds
    for region in context.regions:
        names = {host.name for host in region}
        for entry in region:
            wanted = dict.fromkeys(names - {entry.name}, "ready")
            machines.wait_until(
                lambda entry=entry, wanted=wanted: (
                    list_states(entry) == wanted
                ),
                timeout=max(0.1, give_up_at - time.monotonic()),
                what=f"{entry.name} considers the other region gone",
            )


@behave.then("regions: the second region is ready with the previous rules")
def check_previous_rules(context):
    for entry in context.regions[1]:
        assert entry.is_ready(), entry.name
        assert context.rule not in read_rules(entry)["text"]


@behave.when("regions: the partition is healed")
def heal(context):
    context.fleet.heal()


@behave.then(
    "regions: within {seconds:d} seconds all hosts consider all others ready"
)
def check_all_ready(context, seconds):
    wait_for_peers(context, seconds)


@behave.then("regions: no host ever showed older rules after newer ones")
def check_rising(context):
    for entry in context.fleet.entries:
        numbers = [int(number) for number in ADOPTED.findall(entry.log)]
        assert numbers, entry.name
        assert numbers == sorted(set(numbers)), (entry.name, numbers)
