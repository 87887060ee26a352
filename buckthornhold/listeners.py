"""Listeners: the three addresses on which an entry host is reached."""

from aiohttp import web
import grpc
import grpc.aio

from buckthornhold import answers
from buckthornhold import callers
from buckthornhold import carriers
from buckthornhold import connections
from buckthornhold import evidence_servicers
from buckthornhold import operators
from buckthornhold import probes
from buckthornhold import reports
from buckthornhold import settings
from buckthornhold.coordination import claim_peers
from buckthornhold.coordination import departures
from buckthornhold.peers import claims_pb2_grpc
from buckthornhold.peers import evidence_pb2_grpc
from buckthornhold.peers import handovers_pb2_grpc
from buckthornhold.peers import members_pb2_grpc
from buckthornhold.peers import reports_pb2_grpc
from buckthornhold.peers import revisions_pb2_grpc
from buckthornhold.peers import upstreams_pb2_grpc

SHUTDOWN_TIMEOUT = 1.0
PEER_GRACE_SECONDS = 0.1
#: Two processes must never share one address: peers would reach either.
PEER_SERVER_OPTIONS = (("grpc.so_reuseport", 0),)


class Listeners:
    """Opens and closes the listeners of one entry host."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._runners: list[web.BaseRunner] = []
        self._peer_server: grpc.aio.Server | None = None

    async def open_for_operators(self) -> None:
        """Answer operators."""
        config = self._host.settings
        runner = web.AppRunner(
            operators.OperatorListener(host=self._host).make_app(),
            access_log=None,
            keepalive_timeout=config.keepalive_timeout,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT,
        )
        await self._open(runner, config.listen.operators)

    async def open_for_callers(self) -> connections.CallerServer:
        """Answer callers; return the server of their connections."""
        server = callers.CallerListener(host=self._host).make_server()
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT)
        bound = connections.make_caller_socket(
            self._host.settings.listen.callers
        )
        await runner.setup()
        self._runners.append(runner)
        await web.SockSite(runner, bound).start()
        return server

    async def open_for_peers(self) -> None:
        """Answer other entry hosts."""
        host = self._host
        server = grpc.aio.server(
            interceptors=[host.traffic.make_interceptor()],
            options=PEER_SERVER_OPTIONS,
        )
        add_peer_services(host, server)
        server.add_insecure_port(host.settings.listen.peers)
        await server.start()
        self._peer_server = server

    async def close_for_clients(self) -> None:
        """Close the listeners of callers and operators."""
        for runner in self._runners:
            await runner.cleanup()

    async def close_for_peers(self) -> None:
        """Close the listener of other entry hosts."""
        if self._peer_server is not None:
            await self._peer_server.stop(grace=PEER_GRACE_SECONDS)

    async def _open(self, runner: web.BaseRunner, address: str) -> None:
        await runner.setup()
        self._runners.append(runner)
        ip, port = settings.split_address(address)
        await web.TCPSite(runner, ip, port).start()


def add_peer_services(host, server: grpc.aio.Server) -> None:
    """Add what an entry host answers to others, one service a matter."""
    members_pb2_grpc.add_MembersServicer_to_server(
        probes.ProbeServicer(prober=host.prober, table=host.members),
        server,
    )
    evidence_pb2_grpc.add_EvidenceServicer_to_server(
        evidence_servicers.EvidenceServicer(host=host), server
    )
    revisions_pb2_grpc.add_BroadcastsServicer_to_server(
        carriers.BroadcastServicer(broadcast=host.broadcasts),
        server,
    )
    upstreams_pb2_grpc.add_UpstreamsServicer_to_server(
        departures.DepartureServicer(
            departures=host.upstreams.departures,
            zone=host.settings.zone,
            start_task=host.background.start,
        ),
        server,
    )
    handovers_pb2_grpc.add_HandoversServicer_to_server(
        answers.make_servicer(host), server
    )
    claims_pb2_grpc.add_ClaimsServicer_to_server(
        claim_peers.ClaimServicer(claims=host.claims),
        server,
    )
    reports_pb2_grpc.add_ReportsServicer_to_server(
        reports.ReportServicer(host=host), server
    )
