"""Steps on what failed scenarios leave."""

import pathlib
import tempfile
import types

import behave
from behave import model_core

from features import environment


@behave.given("failed: a scenario over a fleet that has logs")
def make_fleet(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    place = pathlib.Path(folder.name)
    (place / "fleet").mkdir()
    (place / "fleet" / "entry.log").write_text("a line\n")
    context.scenario_fleet = types.SimpleNamespace(folder=place / "fleet")
    context.kept = place / "failed"


@behave.given("failed: a scenario without a fleet")
def make_none(context):
    make_fleet(context)
    context.scenario_fleet = None


@behave.when("failed: it ends as {status}")
def end(context, status):
    scenario = types.SimpleNamespace(
        filename="features/x/some.feature",
        line=7,
        status=model_core.Status[status],
    )
    ended = types.SimpleNamespace(fleet=context.scenario_fleet)
    usual = environment.FAILED
    environment.FAILED = context.kept
    try:
        environment.keep_files(ended, scenario)
    finally:
        environment.FAILED = usual


@behave.then("failed: its logs are kept")
def check_kept(context):
    log = context.kept / "some-7" / "entry.log"
    assert log.read_text() == "a line\n"


@behave.then("failed: its logs are not kept")
def check_not_kept(context):
    assert not context.kept.exists()
