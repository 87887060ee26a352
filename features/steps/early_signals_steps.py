"""Steps for signals and settings that arrive while a process starts."""

import pathlib
import subprocess
import sys
import tempfile
import types

import behave

from buckthornhold import logs
from buckthornhold import relay_processes

TIMEOUT_SECONDS = 60.0
#: Sends the signal when the import of the first large library starts.
PROGRAM = """
import os, signal, sys

class Sender:
    def find_spec(self, name, path=None, target=None):
        if name == "aiohttp":
            os.kill(os.getpid(), signal.{signal})

sys.meta_path.insert(0, Sender())
import buckthornhold.platform.__main__
print("imported")
"""
SETTINGS = """{{
  "host": "h", "zone": "{zone}", "zones": ["a", "b"],
  "listen": {{"callers": "127.0.0.1:1", "ready": "127.0.0.1:2",
    "peers": "127.0.0.1:3", "metrics": "127.0.0.1:4"}},
  "seeds": [], "platform": "127.0.0.1:5"
}}"""


@behave.when("early: {signal} comes while the daemon imports its libraries")
def send_early(context, signal):
    context.ended = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(signal=signal)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    )


@behave.then("early: the process exits with 0 and goes on starting")
def check_goes_on(context):
    assert context.ended.returncode == 0, context.ended
    assert "imported" in context.ended.stdout, context.ended


@behave.then("early: the process exits with 0 and does not go on")
def check_ends(context):
    assert context.ended.returncode == 0, context.ended
    assert "imported" not in context.ended.stdout, context.ended


@behave.given("early: settings that were written again after they were read")
def write_twice(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "settings.json"
    path.write_text(SETTINGS.format(zone="a"))
    context.seen = relay_processes.read_stamp(str(path))
    path.write_text(SETTINGS.format(zone="b") + "\n")
    context.path = str(path)


@behave.when("early: the process looks for changes")
def check_for_changes(context):
    context.adopted = []
    host = types.SimpleNamespace(
        logger=logs.bind(host="h", zone="a"),
        apply_settings=context.adopted.append,
    )
    reloader = relay_processes.SettingsReloader(
        path=context.path, host=host, seen=context.seen
    )
    reloader.check()
    reloader.check()


@behave.then("early: the host takes over what was written last")
def check_adopted(context):
    assert [settings.zone for settings in context.adopted] == ["b"], (
        context.adopted
    )
