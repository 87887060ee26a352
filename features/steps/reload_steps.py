"""Steps for the reloads of a relay host's settings file."""

import asyncio
import contextlib
import json
import pathlib
import tempfile

import behave
import loguru

from buckthornhold import relay_processes

SETTINGS = {
    "host": "entry-1",
    "zone": "a",
    "zones": ["a"],
    "listen": {
        "callers": "127.0.0.1:7001",
        "ready": "127.0.0.1:7002",
        "peers": "127.0.0.1:7003",
        "metrics": "127.0.0.1:7004",
    },
    "platform": "127.0.0.1:7005",
}
BAD_HOST = "entry-that-fails"
CONTENTS = {
    "deep nesting": b"[" * 100_000,
    "no JSON": b"{",
    "bytes that are no text": b"\xff\xfe\xfd",
    "settings that can't be applied": json.dumps(
        {**SETTINGS, "host": BAD_HOST}
    ).encode(),
}
CHECK_SECONDS = 0.05


class RecordingHost:
    """Records the settings that are applied to it."""

    def __init__(self):
        self.applied = []
        self.logger = loguru.logger.bind(host="h", zone="a")

    def apply_settings(self, config):
        if config.host == BAD_HOST:
            raise KeyError(config.host)
        self.applied.append(config.host)


@behave.given("reloads: a host whose settings file is checked")
def make_file(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "entry.json"
    context.path.write_text(json.dumps(SETTINGS))
    context.host = RecordingHost()
    context.reloader = relay_processes.SettingsReloader(
        path=str(context.path),
        host=context.host,
        seen=relay_processes.read_stamp(str(context.path)),
    )
    context.logged = []
    sink = loguru.logger.add(context.logged.append, level="ERROR")
    context.add_cleanup(loguru.logger.remove, sink)
    usual = relay_processes.SETTINGS_POLL_INTERVAL_SECONDS
    relay_processes.SETTINGS_POLL_INTERVAL_SECONDS = CHECK_SECONDS
    context.add_cleanup(set_interval, usual)
    context.loop = asyncio.new_event_loop()
    context.task = context.loop.create_task(context.reloader.watch())
    context.add_cleanup(stop_checks, context)


def set_interval(seconds):
    relay_processes.SETTINGS_POLL_INTERVAL_SECONDS = seconds


def stop_checks(context):
    context.task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        context.loop.run_until_complete(context.task)
    context.loop.close()


def run_checks(context):
    context.loop.run_until_complete(asyncio.sleep(4 * CHECK_SECONDS))


@behave.when("reloads: the file changes to other valid settings")
def write_valid(context):
    context.path.write_text(json.dumps({**SETTINGS, "host": "entry-12"}))
    run_checks(context)


@behave.when("reloads: the file changes to {content}")
def write_content(context, content):
    context.path.write_bytes(CONTENTS[content])
    run_checks(context)


@behave.then("reloads: the error is logged and the checks go on")
def check_logged(context):
    assert context.logged, "nothing was logged"
    assert not context.task.done(), context.task
    assert not context.host.applied, context.host.applied


@behave.then("reloads: these settings are applied")
def check_applied(context):
    assert context.host.applied == ["entry-12"], context.host.applied
