"""Steps on the embedded mode and the demonstration."""

import ast
import asyncio
import json
import pathlib
import subprocess
import sys
import tempfile
import time

import aiohttp
import behave

from testbed import callers
from testbed import fleets
from testbed import machines

PACKAGE = pathlib.Path("buckthornhold")
STAND_INS = "buckthornhold.standins"


@behave.when("the demonstration is run")
def run_demo(context):
    started = time.monotonic()
    context.done = subprocess.run(
        [sys.executable, "-m", "buckthornhold.tools.demo"],
        capture_output=True,
        text=True,
        timeout=90,
    )
    context.seconds = time.monotonic() - started


@behave.then("it exits with {code:d} within {seconds:d} seconds")
def check_demo(context, code, seconds):
    assert context.done.returncode == code, context.done
    assert context.seconds < seconds, context.seconds


@behave.then('it has shown "{text}"')
def check_shown(context, text):
    assert text in context.done.stdout, context.done


@behave.when("the daemon's modules are imported")
def import_daemon(context):
    code = (
        "import sys, json; import buckthornhold.__main__; "
        "print(json.dumps(list(sys.modules)))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True
    )
    context.modules = json.loads(done.stdout)


@behave.then('none of "{names}" is loaded')
def check_not_loaded(context, names):
    for name in names.split(", "):
        assert name not in context.modules, name


@behave.when("the imports of the package are read")
def read_imports(context):
    context.importers = set()
    for path in PACKAGE.rglob("*.py"):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        for node in ast.walk(tree):
            names = []
            if isinstance(node, ast.ImportFrom):
                names = [f"{node.module}.{it.name}" for it in node.names]
            if isinstance(node, ast.Import):
                names = [it.name for it in node.names]
            if any(name.startswith(STAND_INS) for name in names):
                context.importers.add(path.relative_to(PACKAGE))


@behave.then('only "{name}" and the stand-ins import the stand-ins')
def check_importers(context, name):
    outside = {it for it in context.importers if it.parts[0] != "standins"}
    assert outside == {pathlib.Path(name)}, outside


@behave.given("a daemon with the shipped settings of the embedded mode")
def start_embedded(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    prefix = fleets.make_prefix()
    text = pathlib.Path("examples/embedded.json").read_text()
    text = text.replace("127.0.0.1", f"{prefix}.1")
    context.settings = json.loads(text)
    context.folder = pathlib.Path(folder.name)
    path = context.folder / "embedded.json"
    path.write_text(text)
    entry = machines.EntryMachine(
        name="entry-1",
        zone="riga-a",
        ip=f"{prefix}.1",
        log_path=pathlib.Path(folder.name) / "entry.log",
    )
    entry.start("buckthornhold", "--settings", str(path))
    context.add_cleanup(lambda: entry.running and entry.kill())
    context.entry = entry
    context.token = json.loads(text)["operator_tokens"]["ilze"]
    machines.wait_until(lambda: _operate(context, "GET", "/status").status)


def _operate(context, method, path, body=None):
    return machines.call(
        method,
        context.entry.operator_address,
        path,
        body,
        headers={"Authorization": f"Bearer {context.token}"},
    )


@behave.when("the shipped rules of the postcards are applied")
def apply_postcards(context):
    text = pathlib.Path("examples/postcards.rules").read_text()
    reply = _operate(context, "PUT", "/rules", {"text": text})
    assert reply.status == 200, reply
    machines.wait_until(context.entry.is_ready)
    machines.wait_until(
        lambda: _operate(context, "GET", "/status").json()["upstreams"]
    )


@behave.then("a driver's question is answered whole")
def ask_as_driver(context):
    async def run():
        async with aiohttp.ClientSession() as session:
            return await callers.stream_chat(
                session,
                context.entry.address,
                request_id="driver-1",
                prompt="what is low?",
                model="model-pool",
                workspace="drivers",
            )

    chat = asyncio.run(run())
    assert chat.whole, chat


@behave.then("the embedded daemon ends with exit code {code:d}")
def check_embedded_end(context, code):
    context.entry.terminate()
    assert context.entry.wait(15.0) == code, context.entry.log


@behave.when("a second daemon is to listen to its {listener} address")
def start_second(context, listener):
    config = {**context.settings, "embedded": False}
    taken = config["listen"][listener]
    ip = taken.partition(":")[0]
    names = ("callers", "operators", "peers")
    config["listen"] = {
        name: f"{ip}:{port}" for port, name in enumerate(names, 7101)
    }
    config["listen"][listener] = taken
    path = context.folder / "second.json"
    path.write_text(json.dumps(config))
    context.done = subprocess.run(
        [sys.executable, "-m", "buckthornhold", "--settings", str(path)],
        capture_output=True,
        text=True,
        timeout=20,
    )


@behave.then(
    "the second daemon ends with exit code {code:d} and an error in step "
    '"{step}"'
)
def check_second(context, code, step):
    assert context.done.returncode == code, context.done
    lines = [json.loads(it) for it in context.done.stderr.splitlines()]
    errors = [it for it in lines if it["level"] == "error"]
    assert [it["step"] for it in errors] == [step], errors
    assert "address" in errors[0]["message"].lower(), errors
