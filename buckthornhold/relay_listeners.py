"""Relay listeners: the servers of a relay host and their addresses."""

from aiohttp import web
import grpc.aio

from buckthornhold import carriers
from buckthornhold import connections
from buckthornhold import evidence_servicers
from buckthornhold import probes
from buckthornhold import settings
from buckthornhold import summary_servicers
from buckthornhold.peers import evidence_pb2_grpc
from buckthornhold.peers import members_pb2_grpc
from buckthornhold.peers import revisions_pb2_grpc
from buckthornhold.peers import summaries_pb2_grpc

SHUTDOWN_TIMEOUT_SECONDS = 0.2
PEER_GRACE_SECONDS = 0.1
#: Two processes must not share an address: peers would reach either of them.
PEER_SERVER_OPTIONS = (("grpc.so_reuseport", 0),)


class RelayListeners:
    """Opens and closes the listeners of one relay host."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._runners: list[web.BaseRunner] = []
        self._caller_runner: web.BaseRunner | None = None
        self._caller_server: connections.CallerServer | None = None
        self._peer_server: grpc.aio.Server | None = None

    @property
    def caller_connections(self) -> list[connections.CallerConnection]:
        """The open connections of clients."""
        return self._caller_server.connections

    async def start_peer_server(self) -> None:
        """Start the gRPC server for other relay hosts."""
        host = self._host
        server = grpc.aio.server(options=PEER_SERVER_OPTIONS)
        members_pb2_grpc.add_MembersServicer_to_server(
            probes.ProbeServicer(prober=host.prober, table=host.members),
            server,
        )
        revisions_pb2_grpc.add_BroadcastsServicer_to_server(
            carriers.BroadcastServicer(broadcast=host.broadcasts), server
        )
        summaries_pb2_grpc.add_SummariesServicer_to_server(
            summary_servicers.SummaryServicer(exchange=host.summaries), server
        )
        evidence_pb2_grpc.add_EvidenceServicer_to_server(
            evidence_servicers.EvidenceServicer(host=host), server
        )
        server.add_insecure_port(host.settings.listen.peers)
        await server.start()
        self._peer_server = server

    async def start_http_servers(
        self, *, callers: connections.CallerServer, ready: web.Server
    ) -> None:
        """Start the servers of metrics, readiness and client requests."""
        listen = self._host.settings.listen
        await self._start_server(self._make_metrics_server(), listen.metrics)
        await self._start_server(ready, listen.ready)
        self._caller_server = callers
        self._caller_runner = await self._start_server(
            callers, listen.callers, bind=connections.make_caller_socket
        )

    async def stop_listening(self) -> None:
        """Accept no connections; close open ones after their response."""
        for site in list(self._caller_runner.sites):
            await site.stop()
        for connection in self._caller_server.connections:
            connection.end()

    async def close(self) -> None:
        """Close all listeners and their connections."""
        for runner in self._runners:
            await runner.cleanup()
        if self._peer_server is not None:
            await self._peer_server.stop(grace=PEER_GRACE_SECONDS)

    def _make_metrics_server(self) -> web.Server:
        async def serve_metrics(request: web.BaseRequest) -> web.Response:
            return web.Response(
                body=self._host.metrics.render(), content_type="text/plain"
            )

        return web.Server(serve_metrics, access_log=None)

    async def _start_server(self, server: web.Server, address: str, bind=None):
        runner = web.ServerRunner(
            server, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS
        )
        await runner.setup()
        self._runners.append(runner)
        if bind is not None:
            await web.SockSite(runner, bind(address)).start()
            return runner
        ip, port = settings.split_address(address)
        await web.TCPSite(runner, ip, port).start()
        return runner
