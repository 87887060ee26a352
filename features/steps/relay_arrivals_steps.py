"""Steps for requests that still arrive when a relay host stops listening."""

import asyncio

import behave

from testbed import relay_fleets

#: Longer than a host needs to respond or to close.
DEADLINE_SECONDS = 4.0
PAUSE_SECONDS = 0.1
BODY = b"0123456789"


def make_head(key):
    return (
        f"POST /pay/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: late-1\r\n"
        f"Authorization: Token {key}\r\nDeadline-Ms: 1500\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    ).encode()


@behave.when("wire: it stops listening once {arrived} has arrived")
def stop_while_arriving(context, arrived):
    fleet = context.fleet
    host = fleet.hosts[0]
    ip, _, port = host.settings.listen.callers.partition(":")
    refused = arrived == "the body of a refused request"
    head = make_head("no-such-key" if refused else relay_fleets.API_KEY)
    first, rest = head + BODY[:5], BODY[5:]
    if arrived == "half of a request's head":
        first, rest = head[:40], head[40:] + BODY

    async def run():
        reader, writer = await asyncio.open_connection(ip, int(port))
        context.answer = b""
        writer.write(first)
        if refused:
            context.answer = await reader.readuntil(b"}")
            writer.write(rest)
        await asyncio.sleep(PAUSE_SECONDS)
        host._stopping = True
        await host.listeners.stop_listening()
        if not refused:
            writer.write(rest)
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                context.answer += await reader.read()
            context.closed = True
        except TimeoutError:
            context.closed = False
        writer.close()

    fleet.run(run())


@behave.then("wire: the client is disconnected at once")
def check_closed(context):
    assert context.answer.startswith(b"HTTP/1.1 401"), context.answer
    assert context.closed


@behave.then("wire: the client is answered and disconnected")
def check_answered(context):
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer
    assert b"connection: close" in context.answer.lower(), context.answer
    assert context.closed
