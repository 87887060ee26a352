"""Machines: processes of a fleet and HTTP calls to them."""

import dataclasses
import json
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

READY_TIMEOUT = 30.0
POLL_INTERVAL = 0.05
CALLER_PORT = 7001
OPERATOR_PORT = 7002
PEER_PORT = 7003
TOKEN = "operator-token"
#: How Linux names the processor clock of another process by its id.
CPU_CLOCK_SHIFT = 3
CPU_CLOCK_OF_PROCESS = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Answer to an HTTP call; status 0 when there was none."""

    status: int
    headers: dict[str, str]
    text: str

    def json(self):
        """Return the body as JSON."""
        return json.loads(self.text)


def call(
    method: str,
    address: str,
    path: str,
    body=None,
    *,
    headers: dict[str, str] | None = None,
    timeout: float = 10.0,
) -> Reply:
    """Make one HTTP call with a JSON body."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        method=method,
        data=None if body is None else json.dumps(body).encode(),
        headers={"Content-Type": "application/json", **(headers or {})},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            status, answer_headers = answer.status, answer.headers
            text = answer.read().decode()
    except urllib.error.HTTPError as error:
        status, answer_headers = error.code, error.headers
        text = error.read().decode()
    except OSError as error:
        return Reply(status=0, headers={}, text=repr(error))
    return Reply(status=status, headers=dict(answer_headers), text=text)


def wait_until(check, *, timeout: float = READY_TIMEOUT, what: str = ""):
    """Poll until ``check`` returns something true, and return that."""
    give_up_at = time.monotonic() + timeout
    while True:
        result = check()
        if result:
            return result
        if time.monotonic() > give_up_at:
            raise AssertionError(f"not within {timeout} s: {what}")
        time.sleep(POLL_INTERVAL)


class Machine:
    """One process of the fleet on its own loopback address."""

    #: Options of the interpreter that runs the process.
    python_options: tuple[str, ...] = ()

    def __init__(
        self, *, name: str, zone: str, ip: str, log_path: pathlib.Path
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.incarnation = 1
        self._log_path = log_path
        self._process: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def started(self) -> bool:
        """Whether the process was ever started."""
        return self._process is not None

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def log(self) -> str:
        """What the process wrote to standard error."""
        return self._log_path.read_text()

    def start(self, module: str, *arguments: str) -> None:
        """Start the process."""
        with self._log_path.open("a") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    *self.python_options,
                    "-m",
                    module,
                    *arguments,
                ],
                stdout=subprocess.DEVNULL,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process at once."""
        self._process.kill()
        self._process.wait()

    def freeze(self) -> None:
        """Pause the process."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a paused process go on."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to stop."""
        self._process.terminate()

    def wait(self, timeout: float = 30.0) -> int:
        """Wait for the process's end and return its exit code."""
        return self._process.wait(timeout)

    def measure_memory(self) -> int:
        """Return the resident memory in kB."""
        return self._read_memory("VmRSS")

    def measure_peak_memory(self) -> int:
        """Return the greatest resident memory so far in kB."""
        return self._read_memory("VmHWM")

    def _read_memory(self, name: str) -> int:
        text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        for line in text.splitlines():
            if line.startswith(name):
                return int(line.split()[1])
        return 0

    def measure_cpu(self) -> float:
        """Return the processor time used so far, in seconds.

        The kernel's clock of the process counts nanoseconds, where its
        statistics count hundredths of a second.
        """
        clock = (~self.pid << CPU_CLOCK_SHIFT) | CPU_CLOCK_OF_PROCESS
        return time.clock_gettime(clock)


class EntryMachine(Machine):
    """A machine with an entry host.

    It is started as docs/operators/running.md says.
    """

    python_options = ("-X", "no_debug_ranges")

    @property
    def address(self) -> str:
        """The callers' address."""
        return f"{self.ip}:{CALLER_PORT}"

    @property
    def operator_address(self) -> str:
        """The operators' address."""
        return f"{self.ip}:{OPERATOR_PORT}"

    @property
    def peer_address(self) -> str:
        """The peers' address."""
        return f"{self.ip}:{PEER_PORT}"

    def operate(self, method: str, path: str, body=None) -> Reply:
        """Call the operators' listener."""
        return call(
            method,
            self.operator_address,
            path,
            body,
            headers={"Authorization": f"Bearer {TOKEN}"},
        )

    def is_ready(self) -> bool:
        """Tell whether the host says that it is ready."""
        reply = call("GET", self.address, "/readyz", timeout=2.0)
        return reply.status == 200


class StandInMachine(Machine):
    """A machine with a stand-in."""

    def __init__(self, *, port: int, **kwargs) -> None:
        super().__init__(**kwargs)
        self.port = port

    @property
    def address(self) -> str:
        """The stand-in's address."""
        return f"{self.ip}:{self.port}"

    def set_faults(self, **faults) -> None:
        """Change some of the stand-in's faults."""
        reply = call("POST", self.address, "/faults", faults)
        assert reply.status == 200, reply

    def get(self, path: str):
        """Return the JSON at a path of the stand-in."""
        return call("GET", self.address, path).json()

    def is_up(self) -> bool:
        """Tell whether the stand-in answers."""
        return call("GET", self.address, "/faults", timeout=2.0).status == 200
