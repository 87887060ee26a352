"""Relay platforms: the interface to the platform a relay host runs on."""

import abc

import aiohttp
from aiohttp import web

from buckthornhold import connections
from buckthornhold import memory_budgets
from buckthornhold import relay_messages
from buckthornhold import routes
from buckthornhold import stores
from buckthornhold import upstream_directories
from buckthornhold import usages
from buckthornhold.coordination import version_moves


class Platform(abc.ABC):
    """Adapter to a platform: its store, formats, servers and clients."""

    #: Key of the configuration and the prefix that contains it.
    configuration_key: str
    configuration_prefix: str
    #: Prefix of the upstreams' entries.
    directory_prefix: str

    @abc.abstractmethod
    def make_store(
        self, session: aiohttp.ClientSession, config, eras=None
    ) -> stores.Store:
        """Return the client of the platform's store.

        The client reports to ``eras`` (a ``store_eras.StoreEras``).
        """

    @abc.abstractmethod
    def decode_configuration(self, text: str) -> routes.Configuration:
        """Parse the operator's document; raise ValueError if it is invalid."""

    @abc.abstractmethod
    def decode_upstream(
        self, name: str, text: str
    ) -> upstream_directories.UpstreamRecord:
        """Parse an upstream's entry; raise ValueError if it is invalid."""

    @abc.abstractmethod
    def decode_move(self, entry: stores.Entry) -> version_moves.Order | None:
        """Parse an order to move a service to another version.

        Returns None for an entry that is something else; raises ValueError
        for an invalid order.
        """

    @abc.abstractmethod
    def encode_move(self, progress: version_moves.Progress) -> tuple[str, str]:
        """Return the key and the text of a move's status for the operator."""

    @abc.abstractmethod
    def decode_evacuation(self, key: str) -> str | None:
        """Return the zone that a key of the operator evacuates, if any."""

    @abc.abstractmethod
    def make_upstream_session(self) -> aiohttp.ClientSession:
        """Return the session for requests to upstreams."""

    @abc.abstractmethod
    def make_upstream_client(
        self,
        session: aiohttp.ClientSession,
        memory: memory_budgets.MemoryBudget,
    ) -> relay_messages.UpstreamClient:
        """Return the client that sends requests to upstreams."""

    @abc.abstractmethod
    def make_duty_calls(
        self, session: aiohttp.ClientSession, config
    ) -> usages.FencedClient:
        """Return the client of the calls that only the leader makes."""

    @abc.abstractmethod
    def make_caller_server(self, host) -> connections.CallerServer:
        """Return the server for client requests."""

    @abc.abstractmethod
    def make_ready_server(self, host) -> web.Server:
        """Return the server for the load balancer's readiness checks."""
