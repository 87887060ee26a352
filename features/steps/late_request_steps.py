"""Steps for requests that arrive late in the grace period of a stop."""

import asyncio

import behave

from testbed import relay_fleets

#: Longer than the grace period has left for a late request.
WORK_SECONDS = 1.0
DEADLINE_MS = 2000
REQUEST_ID = "late-1"
BODY = b"0123456789"


def make_head(path):
    return (
        f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Attempt-Id: {REQUEST_ID}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
        f"Authorization: Token {relay_fleets.API_KEY}\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    ).encode()


@behave.when(
    "wire: the rest of a request to {path} comes {late:g} seconds after "
    "the host was asked to stop"
)
def send_late(context, path, late):
    fleet = context.fleet
    host = fleet.hosts[0]
    ip, _, port = host.settings.listen.callers.partition(":")
    for worker in fleet.workers.values():
        worker.work_seconds = WORK_SECONDS

    async def stop():
        await host.drain()
        await host.listeners.close()

    async def run():
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = make_head(path)
        writer.write(head[:40])
        await asyncio.sleep(0.1)
        # Keeps the host from ending before the late request arrives.
        for worker in fleet.workers.values():
            worker.script = ["mute"] if worker.events else []
        other = asyncio.ensure_future(
            fleet.send("/chat/", headers={"Deadline-Ms": "5000"})
        )
        await asyncio.sleep(0.1)
        for worker in fleet.workers.values():
            worker.script = []
        stopped = asyncio.ensure_future(stop())
        await asyncio.sleep(late)
        writer.write(head[40:] + BODY)
        try:
            context.answer = await reader.read()
        except ConnectionError as error:
            context.answer = repr(error).encode()
        writer.close()
        await stopped
        other.cancel()
        await asyncio.gather(other, return_exceptions=True)

    fleet.run(run())
    context.ran = [
        name
        for worker in fleet.workers.values()
        for name in worker.ran
        if name == REQUEST_ID
    ]


@behave.then("wire: the late request was refused and not executed")
def check_late_refused(context):
    found = (context.answer, context.ran)
    assert context.answer.startswith(b"HTTP/1.1 503"), found
    head = context.answer.lower()
    assert b"connection: close" in head, context.answer
    assert b"retry-after: " in head, context.answer
    assert not context.ran


@behave.then("wire: the late request was answered")
def check_late_answered(context):
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer
