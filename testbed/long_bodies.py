"""Long bodies: clients that send them, or are sent them, many at once."""

import asyncio
import collections
import json
import pathlib
import sys
import tempfile
import time

from aiohttp import web

from testbed import relay_fleets
from testbed import soak_fleets

KINDS = ("length", "chunked", "slow", "unread")
#: The longest body that a deployment's configuration allows.
BODY_BYTES = 4 << 20
CHUNK_BYTES = 64 << 10
SAMPLE_SECONDS = 0.01
#: For how long short requests are sent.
LENGTH_SECONDS = 10.0
#: Answers that clients don't read.
ANSWER_BYTES = 2 << 20
#: Bytes of a slow client, and the pause between them, in seconds.
SLOW_BYTES = 1 << 10
SLOW_SECONDS = 1.0
DEADLINE_SECONDS = 6.0
SHORT_DEADLINE_SECONDS = 0.6
SHORT_INTERVAL_SECONDS = 0.03
SHORT_BODY = b"short"
#: How long upstreams work before they answer.
WORK_SECONDS = 0.5


class LongWorker(soak_fleets.SoakWorker):
    """An upstream that takes long bodies, and gives long answers."""

    answer_bytes = 0

    async def answer(self, request):
        """Answer one request; long if answers are to be."""
        # aiohttp has no way to allow one server's handler longer bodies.
        request._client_max_size = 2 * BODY_BYTES
        response = await super().answer(request)
        if self.answer_bytes and isinstance(response, web.Response):
            response.body = bytes(self.answer_bytes)
        return response

    def _note_run(self, request, body, word):
        self.ran.append(request.headers["Attempt-Id"])


class LongFleet(soak_fleets.SoakFleet):
    """One host, and upstreams that take long bodies."""

    route_timeout_ms = int(1000 * DEADLINE_SECONDS)

    def _make_worker(self, name, events):
        worker = LongWorker(name=name, events=events, history=self.history)
        if events:
            worker.work_seconds = WORK_SECONDS
        return worker


def read_memory_mb(process_id: int) -> float:
    """Return the resident memory of a process, in MB."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def make_head(path, request_id, deadline, *fields) -> bytes:
    """Return the head of a request."""
    lines = (
        f"POST {path} HTTP/1.1",
        "Host: shop.example",
        f"Attempt-Id: {request_id}",
        f"Deadline-Ms: {int(deadline * 1000)}",
        f"Authorization: Token {relay_fleets.API_KEY}",
        "Connection: close",
        *fields,
        "\r\n",
    )
    return "\r\n".join(lines).encode()


class Clients:
    """Sends long and short requests, and counts what becomes of them."""

    def __init__(self, *, address: str, kind: str) -> None:
        self._ip, _, self._port = address.partition(":")
        self._kind = kind
        self.results: dict[str, collections.Counter] = {
            "long": collections.Counter(),
            "short": collections.Counter(),
        }

    async def send_long(self, number: int) -> None:
        """Send one long request, or one that is answered at length."""
        if self._kind == "unread":
            head = make_head(
                "/look/", f"l-{number}", DEADLINE_SECONDS, "Content-Length: 0"
            )
            await self._send("long", head, self._wait, DEADLINE_SECONDS)
            return
        if self._kind == "chunked":
            fields = ("Transfer-Encoding: chunked",)
        else:
            fields = (f"Content-Length: {BODY_BYTES}",)
        head = make_head("/chat/", f"l-{number}", DEADLINE_SECONDS, *fields)
        await self._send("long", head, self._write_long, DEADLINE_SECONDS)

    async def send_short(self, until: float) -> None:
        """Send short calls until a time on the monotonic clock."""
        tasks = []
        while time.monotonic() < until:
            head = make_head(
                "/look/",
                f"s-{len(tasks)}",
                SHORT_DEADLINE_SECONDS,
                f"Content-Length: {len(SHORT_BODY)}",
            )
            tasks.append(
                asyncio.create_task(
                    self._send(
                        "short", head, self._write_short, DEADLINE_SECONDS
                    )
                )
            )
            await asyncio.sleep(SHORT_INTERVAL_SECONDS)
        await asyncio.gather(*tasks)

    async def _send(self, size, head, write, seconds) -> None:
        result = "no answer"
        writer = None
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(
                    self._ip, int(self._port)
                )
                writer.write(head)
                writing = asyncio.create_task(write(writer))
                try:
                    status = await reader.readline()
                    result = status.decode().split()[1] if status else "closed"
                    if write == self._wait:
                        await asyncio.Event().wait()
                    await reader.read()
                finally:
                    writing.cancel()
        except TimeoutError:
            if write != self._wait:
                result = "no answer"
        except OSError:
            result = "closed" if result == "no answer" else result
        finally:
            if writer is not None:
                writer.transport.abort()
        self.results[size][result] += 1

    async def _wait(self, writer) -> None:
        """Send no body and read no answer."""

    async def _write_short(self, writer) -> None:
        writer.write(SHORT_BODY)

    async def _write_long(self, writer) -> None:
        try:
            if self._kind == "slow":
                for _ in range(BODY_BYTES // SLOW_BYTES):
                    writer.write(bytes(SLOW_BYTES))
                    await asyncio.sleep(SLOW_SECONDS)
            for _ in range(BODY_BYTES // CHUNK_BYTES):
                chunk = bytes(CHUNK_BYTES)
                if self._kind == "chunked":
                    chunk = b"%x\r\n%s\r\n" % (len(chunk), chunk)
                writer.write(chunk)
                await writer.drain()
            if self._kind == "chunked":
                writer.write(b"0\r\n\r\n")
        except OSError:
            return


async def measure(clients: int, kind: str) -> dict:
    """Return what one host needs while so many long bodies come at once."""
    if kind == "unread":
        LongWorker.answer_bytes = ANSWER_BYTES
    with tempfile.TemporaryDirectory() as folder:
        fleet = LongFleet(hosts=1, folder=pathlib.Path(folder))
        await fleet.begin()
        try:
            return await _measure(fleet, clients, kind)
        finally:
            await fleet.end()


async def _measure(fleet, clients: int, kind: str) -> dict:
    process_id = fleet.processes[0].process_id
    idle = read_memory_mb(process_id)
    peak = idle

    async def watch() -> None:
        nonlocal peak
        while True:
            peak = max(peak, read_memory_mb(process_id))
            await asyncio.sleep(SAMPLE_SECONDS)

    watching = asyncio.create_task(watch())
    # The upstreams share this process, and the clients would hold them up.
    sending = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "testbed.long_bodies",
        fleet.processes[0].settings["listen"]["callers"],
        kind,
        str(clients),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await sending.communicate()
    watching.cancel()
    return {
        "clients": clients,
        "kind": kind,
        "idle_mb": round(idle),
        "peak_mb": round(peak),
        "afterwards_mb": round(read_memory_mb(process_id)),
        **json.loads(output),
    }


async def send(address: str, kind: str, clients: int) -> dict:
    """Send long requests at once and short ones beside them."""
    sender = Clients(address=address, kind=kind)
    short = asyncio.create_task(
        sender.send_short(time.monotonic() + LENGTH_SECONDS)
    )
    await asyncio.gather(*(sender.send_long(it) for it in range(clients)))
    await short
    return {size: dict(it) for size, it in sender.results.items()}


if __name__ == "__main__":
    address, kind, clients = sys.argv[1:]
    print(json.dumps(asyncio.run(send(address, kind, int(clients)))))
