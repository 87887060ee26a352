"""The plainest aiohttp handler that passes a request on.

It stands beside the daemon in measurements: no rules, no checks, no retries.
Streams are passed on as they arrive, or at another path event by event.
Run as ``python -m measurements.baselines --address IP:port --engine IP:port
--service IP:port``.
"""

import argparse
import asyncio
import json
import signal

import aiohttp
from aiohttp import web

BODY_LIMIT_BYTES = 8 << 20


class Baseline:
    """Passes calls to one plain service and streams to one engine."""

    def __init__(self, *, engine: str, service: str) -> None:
        self._engine = engine
        self._service = service
        self._session: aiohttp.ClientSession | None = None

    async def start(self, address: str) -> None:
        """Listen on an address."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        app.router.add_post("/call/{operation}", self._call)
        app.router.add_post("/v1/generate", self._stream_chunks)
        app.router.add_post("/events", self._stream_events)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        ip, _, port = address.rpartition(":")
        await web.TCPSite(runner, ip, int(port)).start()

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.read()
        async with self._session.post(
            f"http://{self._service}{request.path}",
            data=body,
            headers={
                "X-Request-Id": request.headers["X-Request-Id"],
                "Content-Type": request.content_type,
            },
        ) as answer:
            return web.Response(
                status=answer.status,
                body=await answer.read(),
                content_type=answer.content_type,
            )

    async def _stream_chunks(self, request: web.Request):
        response, answer = await self._open_stream(request)
        async with answer:
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
        return response

    async def _stream_events(self, request: web.Request):
        response, answer = await self._open_stream(request)
        async with answer:
            async for line in answer.content:
                if line != b"\n":
                    await response.write(line + b"\n")
        return response

    async def _open_stream(self, request: web.Request):
        body = await request.read()
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        await response.prepare(request)
        answer = await self._session.post(
            f"http://{self._engine}/v1/generate",
            data=body,
            headers={"Content-Type": "application/json"},
        )
        return response, answer


async def _serve(arguments: argparse.Namespace) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    baseline = Baseline(engine=arguments.engine, service=arguments.service)
    await baseline.start(arguments.address)
    print(json.dumps({"address": arguments.address}), flush=True)
    await stopped.wait()


def main() -> None:
    """Run the baseline."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--engine", required=True)
    parser.add_argument("--service", required=True)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
