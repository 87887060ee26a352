"""Steps for the ports that processes of a test run are given."""

import subprocess
import sys

import behave

#: Prints ports and keeps the process running until its input is closed.
TAKE_PORTS = """
import sys
from testbed import ports
print(*[ports.find_free_port() for _ in range(int(sys.argv[1]))], flush=True)
sys.stdin.read()
"""


@behave.given("ports: {count:d} processes that take {each:d} ports each")
def take_ports(context, count, each):
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", TAKE_PORTS, str(each)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(count)
    ]
    context.taken = [it.stdout.readline().split() for it in processes]
    context.asked = each
    for process in processes:
        process.communicate()


@behave.then("ports: no port was given to two of them")
def check_distinct(context):
    taken = [port for ports in context.taken for port in set(ports)]
    assert len(taken) == len(context.taken) * context.asked
    assert len(set(taken)) == len(taken)


@behave.then("ports: each of them got all its ports")
def check_complete(context):
    assert all(len(it) == context.asked for it in context.taken)
