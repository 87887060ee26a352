"""Shared base of the stand-in programs: HTTP listener and faults."""

import abc
import argparse
import asyncio
import json
import os
import signal

from aiohttp import web
import pydantic

BODY_LIMIT_BYTES = 64 << 20


class StandIn(abc.ABC):
    """A stand-in that serves HTTP on one address.

    Its faults are one validated model, read at ``GET /faults`` and changed
    in part at ``POST /faults``.
    """

    #: Validated model of the faults that the stand-in can have.
    faults_model: type[pydantic.BaseModel]

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._runner: web.AppRunner | None = None
        self.faults = self.faults_model()
        self._faults_changed = asyncio.Event()

    @property
    def address(self) -> str:
        """The address it listens on, as ``IP:port``."""
        return self._address

    @abc.abstractmethod
    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the stand-in's own routes."""

    async def start(self) -> None:
        """Listen; port 0 takes a free port."""
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        app.router.add_get("/faults", self._show_faults)
        app.router.add_post("/faults", self._change_faults)
        self.add_routes(app.router)
        app.on_response_prepare.append(self._prepare)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True
        )
        await self._runner.setup()
        ip, _, port = self._address.rpartition(":")
        site = web.TCPSite(self._runner, ip, int(port), shutdown_timeout=0.2)
        await site.start()
        bound = self._runner.addresses[0]
        self._address = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._runner is not None:
            await self._runner.cleanup()

    def make_headers(self) -> dict[str, str]:
        """Return headers that all responses have."""
        return {}

    async def _prepare(self, request: web.Request, response) -> None:
        response.headers.update(self.make_headers())

    async def _show_faults(self, request: web.Request) -> web.Response:
        return web.json_response(self.faults.model_dump())

    async def _change_faults(self, request: web.Request) -> web.Response:
        changes = await request.json()
        merged = {**self.faults.model_dump(), **changes}
        self.faults = self.faults_model.model_validate(merged)
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()
        return web.json_response(self.faults.model_dump())


def drop_connection(request: web.Request) -> None:
    """Close the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()


def crash() -> None:
    """End this process at once, as a crash would."""
    os._exit(70)


def parse_arguments(description: str) -> argparse.Namespace:
    """Read the arguments that every stand-in program takes."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--options", default="{}", help="options as JSON")
    parser.add_argument("--faults", default="{}", help="faults as JSON")
    return parser.parse_args()


def run_program(stand_in: StandIn, *, faults: str) -> None:
    """Serve until a termination signal; print the address when ready."""
    asyncio.run(_serve(stand_in, faults))


async def _serve(stand_in: StandIn, faults: str) -> None:
    stand_in.faults = stand_in.faults_model.model_validate_json(faults)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stand_in.start()
    print(json.dumps({"address": stand_in.address}), flush=True)
    await stopped.wait()
    await stand_in.stop()
