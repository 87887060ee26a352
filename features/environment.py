"""Shared fixtures: fleets of processes, one for each set of options."""

import pathlib
import shutil

import behave

from testbed import fleets

#: Seconds in which all hosts answer also on a busy machine, for features
#: that check whether a refusal is right about what ran, not how fast it is.
LOOKUP_PATIENCE = 5.0
#: Where the files of fleets stay whose scenario has failed; without them
#: one that fails once can't be traced.
FAILED = pathlib.Path("reports/failed")


@behave.fixture
def run_fleet(context, *, apply_rules=True, kind=fleets.Fleet, **options):
    """Run a fleet until the feature or scenario that uses it ends."""
    fleet = kind(**options)
    try:
        fleet.start(apply_rules=apply_rules)
        yield fleet
    finally:
        fleet.stop()


def use_fresh_fleet(context, **options):
    """Give the scenario a fleet of its own."""
    context.fleet = behave.use_fixture(run_fleet, context, **options)
    return context.fleet


def use_shared_fleet(context, **options):
    """Give the scenario the feature's fleet with these options."""
    key = repr(sorted(options.items()))
    if key not in context.shared_fleets:
        fleet = fleets.Fleet(**options)
        context.shared_fleets[key] = fleet
        fleet.start()
    context.fleet = context.shared_fleets[key]
    return context.fleet


def before_feature(context, feature):
    context.shared_fleets = {}


def after_feature(context, feature):
    for fleet in context.shared_fleets.values():
        fleet.stop()


def after_scenario(context, scenario):
    keep_files(context, scenario)
    for fleet in context.shared_fleets.values():
        fleet.reset_faults()


def keep_files(context, scenario):
    """Copy settings and logs of a failed scenario's fleet to ``FAILED``."""
    folder = getattr(getattr(context, "fleet", None), "folder", None)
    if folder is None or not scenario.status.has_failed():
        return
    if not folder.is_dir():
        print(f"{folder} was removed before the scenario ended")
        return
    name = pathlib.Path(scenario.filename).stem
    target = FAILED / f"{name}-{scenario.line}"
    shutil.copytree(folder, target, dirs_exist_ok=True)
    print(f"settings and logs of its hosts are in {target}")
