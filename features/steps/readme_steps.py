"""Steps on the commands of README.md, run as a newcomer would."""

import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import textwrap

import behave

from testbed import fleets
from testbed import machines

README = pathlib.Path("README.md")
SECTION = "## A first rule in five minutes"
BLOCK = re.compile(r"(?:^ {4}.*\n|^\n(?= {4}))+", re.MULTILINE)
DAEMON = "buckthornhold --settings"
ADDRESS = "127.0.0.1"
BLOCK_TIMEOUT = 20.0
STOP_TIMEOUT = 20.0


def read_blocks() -> list[str]:
    """Return the section's blocks of commands, in the page's order."""
    text = README.read_text(encoding="utf-8")
    section = text.partition(SECTION)[2].partition("\n## ")[0]
    return [textwrap.dedent(it).strip() for it in BLOCK.findall(section)]


@behave.given("a newcomer with the repository and the daemon of README.md")
def start_daemon(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.home = pathlib.Path(folder.name)
    context.address = f"{fleets.make_prefix()}.1"
    if shutil.which("curl") is None:
        replace_curl(context.home)
    shutil.copytree("examples", context.home / "examples")
    (context.home / ".venv").symlink_to(pathlib.Path(sys.prefix).absolute())
    path = context.home / "examples" / "embedded.json"
    path.write_text(path.read_text().replace(ADDRESS, context.address))
    context.blocks = read_blocks()
    command = next(it for it in context.blocks if DAEMON in it)
    context.blocks.remove(command)
    context.daemon = subprocess.Popen(
        command.split(),
        cwd=context.home,
        env=make_environment(context.home),
        stderr=subprocess.DEVNULL,
    )
    context.add_cleanup(context.daemon.kill)
    machines.wait_until(
        lambda: (
            machines.call(
                "GET", f"{context.address}:{machines.CALLER_PORT}", "/healthz"
            ).status
        ),
        what="README.md's daemon listens",
    )


def replace_curl(home: pathlib.Path) -> None:
    """Put a program in curl's place, for machines that have none."""
    path = home / "curl"
    path.write_text(f'#!/bin/sh\nexec {sys.executable} -m testbed.curl "$@"\n')
    path.chmod(0o755)


def make_environment(home: pathlib.Path) -> dict[str, str]:
    """Return an environment in which the repository's package is found."""
    return {
        **os.environ,
        "PATH": f"{os.environ['PATH']}:{home}",
        "PYTHONPATH": str(pathlib.Path.cwd()),
    }


@behave.when("the newcomer runs all other commands of README.md in order")
def run_blocks(context):
    exported = ""
    context.shown = []
    for block in context.blocks:
        text = block.replace(ADDRESS, context.address)
        lines = text.splitlines()
        exported += "".join(
            f"{it}\n" for it in lines if it.startswith("export ")
        )
        done = subprocess.run(
            ["bash", "-c", f"set -e\n{exported}{text}"],
            cwd=context.home,
            env=make_environment(context.home),
            capture_output=True,
            text=True,
            timeout=BLOCK_TIMEOUT,
        )
        assert done.returncode == 0, (block, done.stdout, done.stderr)
        context.shown.append((block, done.stdout))


@behave.then("each block of commands has shown what the page says")
def check_blocks(context):
    for row in context.table:
        shown = [out for block, out in context.shown if row[0] in block]
        assert len(shown) == 1, (row[0], len(shown))
        assert row[1] in shown[0], (row[1], shown[0])


@behave.then("the refill was answered twice alike and ran once")
def check_refill(context):
    first, second = context.shown[-1][1].splitlines()
    assert first == second, (first, second)
    assert '"run": 1' in first, first


@behave.then("the daemon of README.md ends with exit code 0 on Ctrl-C")
def check_stop(context):
    context.daemon.send_signal(signal.SIGINT)
    assert context.daemon.wait(STOP_TIMEOUT) == 0
