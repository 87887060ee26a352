"""Steps on the settings file and the pages made from the code."""

import json
import pathlib
import subprocess
import sys
import tempfile

import behave

from buckthornhold.tools import documents

LINES = [
    "{",
    '"host": "entry-1",',
    '"zone": "riga-a",',
    '"listen": {',
    '"callers": "127.0.0.1:7001",',
    '"operators": "127.0.0.1:7002",',
    '"peers": "127.0.0.1:7003"',
    "},",
    '"platform": "127.0.0.1:7200",',
    '"log_level": "info",',
    '"seeds": ["127.0.0.2:7003"],',
    '"body_limit": 5000,',
    '"operator_tokens": {"ilze": "secret-token"}',
    "}",
]
CHANGES = {
    "zone is called zoen": ('"zone"', '"zoen"'),
    "zone is missing": ('"zone": "riga-a",', ""),
    "callers is called caller": ('"callers"', '"caller"'),
    "platform is a name": ("127.0.0.1:7200", "localhost:7200"),
    "platform has no port": ("127.0.0.1:7200", "127.0.0.1"),
    "platform has the port 70000": ("127.0.0.1:7200", "127.0.0.1:70000"),
    "seeds has a name": ("127.0.0.2:7003", "entry-2:7003"),
    "body_limit is negative": ("5000", "-1"),
    "log_level is loud": ('"info"', '"loud"'),
    "router is a guess": ('"log_level": "info"', '"router": "best"'),
    "host stands twice": ('"log_level": "info"', '"host": "entry-2"'),
    "a comma is missing": ('"entry-1",', '"entry-1"'),
}


def _write(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.settings_file = pathlib.Path(folder.name) / "entry.json"
    context.settings_file.write_text(text)


def _run(module, *arguments):
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        capture_output=True,
        text=True,
    )


@behave.given("a settings file in which {change}")
def write_wrong_settings(context, change):
    old, new = CHANGES[change]
    text = "\n".join(LINES)
    assert old in text
    _write(context, text.replace(old, new))


@behave.given("a settings file with three wrong values")
def write_three_wrong(context):
    text = "\n".join(LINES)
    for change in ("zone is called zoen", "platform is a name"):
        text = text.replace(*CHANGES[change])
    _write(context, text)


@behave.given("a settings file that is right")
def write_right_settings(context):
    _write(context, "\n".join(LINES))


@behave.when("the settings file is checked")
def check_settings(context):
    context.done = _run(
        "buckthornhold.tools.buckthornctl",
        "settings",
        "check",
        str(context.settings_file),
    )


@behave.then('it is refused on line {line:d} with "{text}"')
def check_refused_settings(context, line, text):
    assert context.done.returncode == 2, context.done
    place = f"{context.settings_file}:{line}:"
    if not line:
        place = f"{context.settings_file}:"
    assert any(
        row.startswith(place) and text in row
        for row in context.done.stderr.splitlines()
    ), context.done.stderr


@behave.then("each of the three is named on a line of its own")
def check_three(context):
    rows = context.done.stderr.splitlines()
    assert len(rows) == 3, rows
    for text in ("'zone' is missing", "unknown key 'zoen'", "IP:port"):
        assert sum(text in row for row in rows) == 1, rows


@behave.then("the daemon refuses the file with exit code 2 and the same text")
def check_daemon_refusal(context):
    done = _run("buckthornhold", "--settings", str(context.settings_file))
    assert done.returncode == 2, done
    assert done.stderr == context.done.stderr, done


@behave.when("the settings file is shown")
def show_settings(context):
    context.done = _run(
        "buckthornhold.tools.buckthornctl",
        "settings",
        "show",
        str(context.settings_file),
        "--json",
    )
    context.shown = {it["key"]: it for it in json.loads(context.done.stdout)}


@behave.then('"{key}" is shown with origin "{origin}"')
def check_origin(context, key, origin):
    assert context.shown[key]["origin"] == origin, context.shown[key]


@behave.then("no token is shown")
def check_tokens(context):
    assert "ilze" in context.done.stdout
    assert "secret-token" not in context.done.stdout


@behave.then("the generated pages are as the code would make them")
def check_pages(context):
    assert documents.list_stale() == []


@behave.then("every setting, reason and counter has a meaning there")
def check_meanings(context):
    assert documents.list_unexplained() == []
