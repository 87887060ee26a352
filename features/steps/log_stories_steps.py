"""Steps on requests' stories in logs."""

import json
import pathlib
import subprocess
import sys
import tempfile

import behave

TIMEOUT = 60.0
FIRST = (
    ("11:59:00.000", "h1", "", "directory", "u1", "", "listed, revision 4"),
    ("11:59:00.000", "h1", "", "members", "h2", "", "ready"),
    ("12:00:00.500", "h1", "", "store", "", "", "lost"),
    (
        "12:00:01.000",
        "h1",
        "r1",
        "send",
        "u1",
        "upstream_broken",
        "retrying: reset",
    ),
    ("12:00:01.200", "h1", "r1", "relay", "u2", "", "200 after 0.3 s"),
    ("12:00:02.000", "h1", "", "directory", "u1", "", "not listed any more"),
)
SECOND = (
    (
        "12:00:01.100",
        "h2",
        "r2",
        "limit",
        "",
        "limit_reached",
        "w may take 5/s",
    ),
    ("12:00:01.150", "h2", "", "directory", "u1", "", "listed"),
)
FIELDS = ("time", "host", "request_id", "step", "peer", "reason", "message")


def format_lines(rows, prefix=""):
    lines = []
    for row in rows:
        line = dict(zip(FIELDS, row, strict=True), level="info", zone="a")
        line["time"] = f"2026-12-04T{line['time']}+00:00"
        lines.append(f"{prefix}{json.dumps(line)}\n")
    return "".join(lines)


def run_tool(request_id, *files, text=None):
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "buckthornhold.tools.buckthornctl",
            "explain",
            "log",
            request_id,
            *files,
        ],
        input=text,
        capture_output=True,
        text=True,
        timeout=TIMEOUT,
    )


@behave.given("stories: logs of two hosts")
def write_logs(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.files = []
    for name, rows in (("h1.log", FIRST), ("h2.log", SECOND)):
        path = pathlib.Path(folder.name) / name
        path.write_text(format_lines(rows))
        context.files.append(str(path))


@behave.given("stories: the first file ends within a line")
def cut_file(context):
    with pathlib.Path(context.files[0]).open("a") as log:
        log.write('{"time": "2026-12-04T12:00:0')


@behave.when('stories: the tool explains "{request_id}" from both files')
def explain_files(context, request_id):
    context.ran = run_tool(request_id, *context.files)


@behave.when(
    'stories: the tool explains "{request_id}" from a pipe with prefixes'
)
def explain_pipe(context, request_id):
    text = format_lines([*FIRST, *SECOND], prefix="12.5 front-1 ")
    context.ran = run_tool(request_id, text=f"a collector says\n{text}")


@behave.when(
    'stories: the tool explains "{request_id}" from a file that is not there'
)
def explain_missing(context, request_id):
    context.ran = run_tool(request_id, f"{context.files[0]}.gone")


@behave.then("stories: it exits with {code:d} and prints")
def check_printed(context, code):
    assert context.ran.returncode == code, context.ran
    assert context.ran.stdout.rstrip() == context.text.rstrip(), (
        context.ran.stdout
    )


@behave.then('stories: it exits with {code:d} and says "{words}"')
def check_said(context, code, words):
    assert context.ran.returncode == code, context.ran
    assert words in context.ran.stderr, context.ran


@behave.then("stories: it says the place of the line")
def check_place(context):
    assert f"{context.files[0]}, line 7" in context.ran.stderr, context.ran
