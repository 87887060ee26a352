"""Stand-in of the network: relays between zones that can be cut."""

import asyncio
import contextlib
import random

from aiohttp import web
import pydantic

from buckthornhold.standins import servers

CHUNK_BYTES = 1 << 16
#: What TCP waits before it first sends again, in seconds; it doubles.
FIRST_RESEND = 0.2
FIRST_CONNECT_RESEND = 1.0
LOSS_SEED = 7


class NetworkFaults(pydantic.BaseModel, extra="forbid"):
    """Cuts as pairs ``[from, to]`` of zone names; each cuts one direction.

    ``delay`` is added to each chunk, in seconds. ``loss`` is the share of
    sendings that are lost between zones. What is lost is sent again by TCP
    after a wait that doubles, and whatever follows waits for it.
    """

    cuts: list[tuple[str, str]] = []
    delay: float = 0.0
    loss: float = 0.0


class Network(servers.StandIn):
    """Relays TCP from a source zone to a target, unless they are cut.

    A cut swallows what is sent, as a lost route does: connections hang and
    new ones are never answered.
    """

    faults_model = NetworkFaults

    def __init__(self, *, address: str) -> None:
        super().__init__(address=address)
        self._relays: list[asyncio.Server] = []
        self._random = random.Random(LOSS_SEED)

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the network's routes."""
        router.add_post("/relays", self._open_relay)

    async def stop(self) -> None:
        """Close all relays."""
        for relay in self._relays:
            relay.close()
        await super().stop()

    async def open_relay(
        self, *, source: str, target_zone: str, target: str
    ) -> str:
        """Open a relay and return its address."""

        async def handle(reader, writer):
            await self._relay(reader, writer, source, target_zone, target)

        relay = await asyncio.start_server(handle, "127.0.0.1", 0)
        self._relays.append(relay)
        port = relay.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def _open_relay(self, request: web.Request) -> web.Response:
        body = await request.json()
        address = await self.open_relay(**body)
        return web.json_response({"address": address})

    async def _relay(self, reader, writer, source, target_zone, target):
        await self._wait_for_link(source, target_zone)
        await self._lose(FIRST_CONNECT_RESEND)
        ip, _, port = target.rpartition(":")
        try:
            up_reader, up_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        copies = [
            asyncio.create_task(
                self._copy(reader, up_writer, source, target_zone)
            ),
            asyncio.create_task(
                self._copy(up_reader, writer, target_zone, source)
            ),
        ]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(copies, return_when=asyncio.FIRST_EXCEPTION)
        for copy in copies:
            copy.cancel()
        for end in (writer, up_writer):
            end.transport.abort()

    async def _copy(self, reader, writer, source, target):
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            await self._wait_for_link(source, target)
            if not chunk:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            if self.faults.delay:
                await asyncio.sleep(self.faults.delay)
            await self._lose(FIRST_RESEND)
            writer.write(chunk)
            await writer.drain()

    async def _lose(self, resend: float) -> None:
        """Wait as long as TCP needs until a sending is not lost."""
        while self._random.random() < self.faults.loss:
            await asyncio.sleep(resend)
            resend *= 2

    async def _wait_for_link(self, source: str, target: str) -> None:
        while (source, target) in self.faults.cuts:
            await self._faults_changed.wait()


def main() -> None:
    """Run the network's stand-in."""
    arguments = servers.parse_arguments("Stand-in of the network")
    network = Network(address=arguments.address)
    servers.run_program(network, faults=arguments.faults)


if __name__ == "__main__":
    main()
