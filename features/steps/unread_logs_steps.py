"""Steps on a log that nobody reads."""

import json
import pathlib
import subprocess
import sys
import tempfile
import threading

import behave

from testbed import fleets
from testbed import machines

REFUSED = "/services/order-desk/refill"


@behave.given("an embedded daemon whose log nobody reads")
def start_unread(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    ip = f"{fleets.make_prefix()}.1"
    text = pathlib.Path("examples/embedded.json").read_text()
    path = pathlib.Path(folder.name) / "embedded.json"
    path.write_text(text.replace("127.0.0.1", ip))
    context.address = f"{ip}:7001"
    context.process = subprocess.Popen(
        [sys.executable, "-m", "buckthornhold", "--settings", str(path)],
        stderr=subprocess.PIPE,
    )
    context.add_cleanup(context.process.kill)
    machines.wait_until(
        lambda: machines.call("GET", context.address, "/healthz").status
    )


@behave.when("{count:d} requests are refused")
def refuse_many(context, count):
    for _ in range(count):
        reply = machines.call(
            "POST", context.address, REFUSED, {}, timeout=2.0
        )
        assert reply.status == 503, reply


@behave.then("the daemon answers still")
def check_answers(context):
    reply = machines.call("GET", context.address, "/healthz", timeout=2.0)
    assert reply.status == 200, reply


@behave.then("the log, once it is read, says how many lines were dropped")
def check_dropped(context):
    lines = []

    def read():
        lines.extend(map(json.loads, context.process.stderr))

    reader = threading.Thread(target=read)
    reader.start()
    refuse_many(context, 5)
    context.process.terminate()
    assert context.process.wait(15.0) == 0
    reader.join(5.0)
    said = [it["message"] for it in lines if "dropped" in it["message"]]
    assert said, len(lines)
    dropped = int(said[0].split()[0])
    refused = [it for it in lines if it["reason"] == "host_not_ready"]
    assert dropped > 0, said
    assert len(refused) + dropped >= 3005, (len(refused), dropped)
