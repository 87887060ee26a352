"""Steps for clients that close while their requests are on the way."""

import asyncio
import socket
import threading
import time

import aiohttp
import behave

from features.steps import relay_wire_steps
from testbed import relay_fleets

#: Longer than connections to a dark upstream are waited for, and a retry.
WATCH_SECONDS = 1.5


@behave.given("wire: connections to the upstream {name} hang")
def darken(context, name):
    context.fleet.darken_worker(name)
    context.fleet.run(asyncio.sleep(0.2))


@behave.when(
    "wire: {count:d} clients request {path} and close after {seconds:g} "
    "seconds"
)
def close_early(context, count, path, seconds):
    fleet = context.fleet

    async def send():
        try:
            async with asyncio.timeout(seconds):
                await fleet.send(path)
        except (TimeoutError, aiohttp.ClientError):
            return

    async def run():
        await asyncio.gather(*[send() for _ in range(count)])

    context.path = path
    context.client_count = count
    fleet.run(run())


def list_ran(context):
    workers = relay_wire_steps.list_workers(context, context.path)
    return [request_id for worker in workers for request_id in worker.ran]


@behave.then("wire: some of their requests were not sent")
def check_some_unsent(context):
    assert len(list_ran(context)) < context.client_count


@behave.then(
    "wire: from {seconds:g} seconds after that on no upstream gets any of them"
)
def check_none_late(context, seconds):
    context.fleet.run(asyncio.sleep(seconds))
    ran = list_ran(context)
    context.fleet.run(asyncio.sleep(WATCH_SECONDS))
    late = set(list_ran(context)) - set(ran)
    assert not late, late


@behave.then("wire: the host has nothing in flight")
def check_idle(context):
    assert not context.fleet.hosts[0].admissions.in_flight


def send_while_blocked(address, requests, seconds):
    """Send requests and close, while the event loop is blocked.

    The host gets each request and its client's close at the same moment.
    """
    ip, _, port = address.partition(":")

    def send():
        for request in requests:
            with socket.create_connection((ip, int(port))) as client:
                client.sendall(request)

    thread = threading.Thread(target=send)
    thread.start()
    time.sleep(seconds)
    thread.join()


@behave.when(
    "wire: {count:d} clients request {path} and close while the host is "
    "blocked for {seconds:g} seconds"
)
def close_while_blocked(context, count, path, seconds):
    fleet = context.fleet
    address = fleet.hosts[0].settings.listen.callers
    requests = [
        (
            f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n"
            f"Attempt-Id: blocked-{number}\r\nDeadline-Ms: 1500\r\n"
            f"Authorization: Token {relay_fleets.API_KEY}\r\n"
            "Content-Length: 4\r\n\r\nbody"
        ).encode()
        for number in range(count)
    ]

    async def run():
        # Connections to the upstreams are kept, so nothing is waited for.
        await asyncio.gather(*[fleet.send(path) for _ in range(count)])
        for worker in relay_wire_steps.list_workers(context, path):
            worker.ran.clear()
        send_while_blocked(address, requests, seconds)
        await asyncio.sleep(WATCH_SECONDS)

    context.path = path
    fleet.run(run())


@behave.then("wire: no upstream got any of them")
def check_none_ran(context):
    assert not list_ran(context), list_ran(context)
